/** Exponential backoff between attempts to reach a platform service. */
import type {Milliseconds} from '../../shared/clock.js';

export type BackoffOptions = {
	/** Wait after the first failure, before jitter. Default: 200 ms. */
	readonly initialBackoffMs?: Milliseconds;
	/** Longest wait. Default: 5,000 ms, so that a service is used within seconds of its recovery. */
	readonly maximumBackoffMs?: Milliseconds;
	/** Uniform numbers from 0 to 1 for the jitter. Default: `Math.random`. */
	readonly random?: () => number;
};

/** Doubles the wait with every consecutive failure and shortens it at random by up to half, so that entries don't retry at the same time. */
export class Backoff {
	static create(options: BackoffOptions = {}): Backoff {
		return new Backoff(options);
	}

	#failures = 0;

	private constructor(private readonly options: BackoffOptions) {}

	/** Consecutive failures. */
	get failures(): number {
		return this.#failures;
	}

	reset(): void {
		this.#failures = 0;
	}

	/** Counts a failure and returns the wait before the next attempt. */
	next(): Milliseconds {
		const {initialBackoffMs = 200, maximumBackoffMs = 5000, random = Math.random} = this.options;
		const backoffMs = Math.min(maximumBackoffMs, initialBackoffMs * (2 ** this.#failures));
		this.#failures++;
		return backoffMs * (0.5 + (random() / 2));
	}
}
