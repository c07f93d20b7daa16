/** One response of the stand-in engine: the events emitted so far and their subscribers. */
import type {Completion, CompletionBody} from './completion.js';

export type StreamState = 'running' | 'complete' | 'cancelled';

export type StreamSubscriber = {
	/** Called for every event emitted after the subscription. */
	onEvent(index: number): void;
	onEnd(): void;
	/** Resets the connection without an end marker. */
	disconnect(): void;
};

export type StreamUsage = {
	readonly promptTokens: number;
	/** Prompt tokens computed so far. */
	promptTokensComputed: number;
	/** Prompt tokens taken from the prefix cache. */
	promptTokensSaved: number;
};

export class EngineStream {
	static create(requestId: string, body: CompletionBody, completion: Completion, promptTokens: number): EngineStream {
		return new EngineStream(requestId, body, completion, promptTokens);
	}

	readonly usage: StreamUsage;
	readonly #events: string[] = [];
	readonly #subscribers = new Set<StreamSubscriber>();
	#state: StreamState = 'running';
	#emittedTokens = 0;
	#isDelivered = false;

	private constructor(readonly requestId: string, readonly body: CompletionBody, readonly completion: Completion, promptTokens: number) {
		this.usage = {promptTokens, promptTokensComputed: 0, promptTokensSaved: 0};
	}

	get state(): StreamState {
		return this.#state;
	}

	get emittedTokens(): number {
		return this.#emittedTokens;
	}

	/** Event texts; the event with id n is at index n − 1. */
	get events(): readonly string[] {
		return this.#events;
	}

	/** Whether the whole response has been sent to some client. */
	get isDelivered(): boolean {
		return this.#isDelivered;
	}

	markDelivered(): void {
		this.#isDelivered = true;
	}

	/** Emits the next tokens as one event. */
	emit(count: number): void {
		const text = this.completion.tokens.slice(this.#emittedTokens, this.#emittedTokens + count).join('');
		this.#emittedTokens += count;
		this.#events.push(text);
		const index = this.#events.length - 1;
		for (const subscriber of this.#subscribers) {
			subscriber.onEvent(index);
		}
	}

	isLastEvent(index: number): boolean {
		return index === this.#events.length - 1 && this.#emittedTokens >= this.completion.tokens.length;
	}

	end(state: 'complete' | 'cancelled'): void {
		this.#state = state;
		for (const subscriber of this.#subscribers) {
			subscriber.onEnd();
		}

		this.#subscribers.clear();
	}

	/** Subscribes to the events to come. An ended stream calls `onEnd` immediately. */
	subscribe(subscriber: StreamSubscriber): void {
		if (this.#state === 'running') {
			this.#subscribers.add(subscriber);
		} else {
			subscriber.onEnd();
		}
	}

	unsubscribe(subscriber: StreamSubscriber): void {
		this.#subscribers.delete(subscriber);
	}

	/** Resets the connections of all subscribers; the stream continues. @returns the number of connections */
	disconnectSubscribers(): number {
		const subscribers = [...this.#subscribers];
		this.#subscribers.clear();
		for (const subscriber of subscribers) {
			subscriber.disconnect();
		}

		return subscribers.length;
	}
}
