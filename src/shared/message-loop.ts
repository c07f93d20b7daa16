/** A handler for each message kind. */
export type HandlerTable<Message extends {readonly kind: string}> = {
	readonly [Kind in Message['kind']]: (message: Extract<Message, {readonly kind: Kind}>) => void;
};

/** The sending side of a task's message queue. */
export type Mailbox<Message> = {
	post(message: Message): void;
};

/**
Handles the messages of a task, an actor that owns its state and that others reach only by posting messages.

Messages are handled one at a time in the order in which they were posted, never inside the call to `post`.
*/
export class MessageLoop<Message extends {readonly kind: string}> implements Mailbox<Message> {
	static create<Message extends {readonly kind: string}>(handlers: HandlerTable<Message>, onError: (error: unknown, message: Message) => void): MessageLoop<Message> {
		return new MessageLoop(handlers, onError);
	}

	readonly #pending: Message[] = [];
	#isScheduled = false;
	#isClosed = false;

	private constructor(private readonly handlers: HandlerTable<Message>, private readonly onError: (error: unknown, message: Message) => void) {}

	post(message: Message): void {
		if (this.#isClosed) {
			return;
		}

		this.#pending.push(message);
		if (!this.#isScheduled) {
			this.#isScheduled = true;
			queueMicrotask(() => {
				this.#drain();
			});
		}
	}

	/** Discards the pending messages and ignores later ones. */
	close(): void {
		this.#isClosed = true;
		this.#pending.length = 0;
	}

	#drain(): void {
		for (let message = this.#pending.shift(); message !== undefined; message = this.#pending.shift()) {
			try {
				const handler = this.handlers[message.kind as Message['kind']] as (message: Message) => void;
				handler(message);
			} catch (error) {
				this.onError(error, message);
			}
		}

		this.#isScheduled = false;
	}
}
