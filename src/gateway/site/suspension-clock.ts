import type {Clock, Milliseconds} from '../../shared/clock.js';

/** Changes of the offset between the two clocks up to this are jitter and slewing. */
const toleratedJumpMs = 50;

/**
A monotonic clock that also counts the time during which the instance was suspended. Used for the age of the site state only.

The system's monotonic clock stops while the instance is suspended, so an age measured by it would be too small. The wall clock continues, but it may also be set: a step forward makes ages too large once, so that the state is read again, and a step back is ignored. Limits, deadlines and timeouts must not use this clock, because a step forward would refill quotas and end requests.
*/
export class SuspensionClock implements Clock {
	static create(inner: Clock): SuspensionClock {
		return new SuspensionClock(inner);
	}

	#offsetMs: Milliseconds;
	#suspendedMs: Milliseconds = 0;

	private constructor(private readonly inner: Clock) {
		this.#offsetMs = inner.wallTime() - inner.now();
	}

	/** Total time added for suspensions so far. */
	get suspendedMs(): Milliseconds {
		return this.#suspendedMs;
	}

	now(): Milliseconds {
		const monotonicTime = this.inner.now();
		const offset = this.inner.wallTime() - monotonicTime;
		if (offset - this.#offsetMs > toleratedJumpMs) {
			this.#suspendedMs += offset - this.#offsetMs;
		}

		this.#offsetMs = offset;
		return monotonicTime + this.#suspendedMs;
	}

	wallTime(): Milliseconds {
		return this.inner.wallTime();
	}
}
