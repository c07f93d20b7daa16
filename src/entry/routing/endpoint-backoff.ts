import type {Clock, Milliseconds} from '../../shared/clock.js';

const initialBackoffMs: Milliseconds = 250;
const maximumBackoffMs: Milliseconds = 4000;

type Failure = {
	readonly count: number;
	readonly retryAt: Milliseconds;
};

/**
Pauses dispatches to endpoints that can't be reached.

An endpoint that refuses connections fails faster than any other responds, so without a pause it would attract every request.
*/
export class EndpointBackoff {
	static create(clock: Clock): EndpointBackoff {
		return new EndpointBackoff(clock);
	}

	readonly #failures = new Map<string, Failure>();

	private constructor(private readonly clock: Clock) {}

	/** Records that no connection could be established. Failures during the pause are ignored, because their attempts started before it. */
	recordUnreachable(endpoint: string): void {
		const previous = this.#failures.get(endpoint);
		const now = this.clock.now();
		if (previous && now < previous.retryAt) {
			return;
		}

		const count = (previous?.count ?? 0) + 1;
		const backoffMs = Math.min(initialBackoffMs * (2 ** (count - 1)), maximumBackoffMs);
		this.#failures.set(endpoint, {count, retryAt: now + backoffMs});
	}

	/** Records that a request was written to the endpoint. */
	recordReached(endpoint: string): void {
		this.#failures.delete(endpoint);
	}

	mayTry(endpoint: string): boolean {
		const failure = this.#failures.get(endpoint);
		return failure === undefined || this.clock.now() >= failure.retryAt;
	}
}
