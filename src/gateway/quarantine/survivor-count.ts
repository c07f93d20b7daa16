import type {Milliseconds} from '../../shared/clock.js';

/** Time for which a survivor counts. */
const countedMs: Milliseconds = 10_000;

const maximumCount = 1000;

/** Counts the requests that survived since the count was last taken. */
export class SurvivorCount {
	static create(): SurvivorCount {
		return new SurvivorCount();
	}

	/** In order of time. */
	#survivedAt: Milliseconds[] = [];

	private constructor() {}

	record(now: Milliseconds): void {
		this.#survivedAt.push(now);
		if (this.#survivedAt.length > 2 * maximumCount) {
			this.#survivedAt = this.#survivedAt.slice(-maximumCount);
		}
	}

	/** Returns the count and starts a new one. */
	take(now: Milliseconds): number {
		const count = this.#survivedAt.filter(at => now - at <= countedMs).length;
		this.#survivedAt = [];
		return Math.min(count, maximumCount);
	}
}
