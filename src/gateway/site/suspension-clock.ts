import type {Clock, Milliseconds} from '../../shared/clock.js';

/** Differences between the two clocks below this are jitter and slewing, in milliseconds. */
const toleratedJumpMs = 50;

/**
A monotonic clock that also counts the time during which the instance was suspended.

The system's monotonic clock stands still while the instance is suspended, so an age measured by it would be too small. The wall clock goes on, but it may also be set: a step ahead makes ages too large for once, which is harmless, and a step back is ignored.
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

	/** Time that was added for suspensions so far. */
	get suspendedMs(): Milliseconds {
		return this.#suspendedMs;
	}

	now(): Milliseconds {
		const steady = this.inner.now();
		const offset = this.inner.wallTime() - steady;
		if (offset - this.#offsetMs > toleratedJumpMs) {
			this.#suspendedMs += offset - this.#offsetMs;
		}

		this.#offsetMs = offset;
		return steady + this.#suspendedMs;
	}

	wallTime(): Milliseconds {
		return this.inner.wallTime();
	}
}
