/** One response of the stand-in engine: its events so far and those who follow it. */
import type {Completion, CompletionBody} from './completion.js';

export type StreamState = 'running' | 'complete' | 'cancelled';

export type StreamSubscriber = {
	/** Called for every event after the one at which the follower joined. */
	onEvent(index: number): void;
	onEnd(): void;
	/** Drops the connection without an end marker. */
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

	/** Whether some client has been sent the whole response. */
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
		for (const follower of this.#subscribers) {
			follower.onEvent(index);
		}
	}

	isLastEvent(index: number): boolean {
		return index === this.#events.length - 1 && this.#emittedTokens >= this.completion.tokens.length;
	}

	end(state: 'complete' | 'cancelled'): void {
		this.#state = state;
		for (const follower of this.#subscribers) {
			follower.onEnd();
		}

		this.#subscribers.clear();
	}

	/** Joins a running stream. An ended stream calls `onEnd` at once. */
	subscribe(follower: StreamSubscriber): void {
		if (this.#state === 'running') {
			this.#subscribers.add(follower);
		} else {
			follower.onEnd();
		}
	}

	unsubscribe(follower: StreamSubscriber): void {
		this.#subscribers.delete(follower);
	}

	/** Drops the connections of all followers; the stream goes on. */
	disconnectSubscribers(): number {
		const followers = [...this.#subscribers];
		this.#subscribers.clear();
		for (const follower of followers) {
			follower.disconnect();
		}

		return followers.length;
	}
}
