import type {Milliseconds} from '../../shared/clock.js';

/** Length of one of the two intervals: what heartbeats and summaries report is 400 to 1,000 ms old in fleets of 60 to 400 instances. */
const intervalMs: Milliseconds = 1000;

/** The fewest and the most grants at an endpoint in the last one to two seconds. */
export class GrantWindow {
	static create(now: Milliseconds): GrantWindow {
		return new GrantWindow(now);
	}

	#count = 0;
	#current = {minimum: 0, maximum: 0};
	#previous = {minimum: 0, maximum: 0};

	private constructor(private startedAt: Milliseconds) {}

	record(count: number, now: Milliseconds): void {
		this.#advance(now);
		this.#count = count;
		this.#current.minimum = Math.min(this.#current.minimum, count);
		this.#current.maximum = Math.max(this.#current.maximum, count);
	}

	minimum(now: Milliseconds): number {
		this.#advance(now);
		return Math.min(this.#current.minimum, this.#previous.minimum);
	}

	maximum(now: Milliseconds): number {
		this.#advance(now);
		return Math.max(this.#current.maximum, this.#previous.maximum);
	}

	#advance(now: Milliseconds): void {
		if (now - this.startedAt < intervalMs) {
			return;
		}

		const unchanged = {minimum: this.#count, maximum: this.#count};
		this.#previous = now - this.startedAt < 2 * intervalMs ? this.#current : unchanged;
		this.#current = {...unchanged};
		this.startedAt = now;
	}
}
