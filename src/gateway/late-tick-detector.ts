import type {Milliseconds} from '../shared/clock.js';

/** Delay of a tick beyond its interval above which the process counts as having been stopped. */
const toleratedDelayMs: Milliseconds = 200;

/**
Tells whether a periodic check has to be left out, because the process did not run for a while.

What peers and endpoints sent meanwhile is still unread then, so nothing may be judged silent before the next check. That one counts also when it is late, so that a process with too little processor time still ends requests.
*/
export class LateTickDetector {
	static create(intervalMs: Milliseconds): LateTickDetector {
		return new LateTickDetector(intervalMs);
	}

	#lastTickAt: Milliseconds | undefined;
	#previousTickAt: Milliseconds | undefined;
	#wasLeftOut = false;

	private constructor(private readonly intervalMs: Milliseconds) {}

	/** Records a tick. Returns whether its check has to be left out. */
	tick(now: Milliseconds): boolean {
		const isLate = this.#isDelayed(this.#lastTickAt, now);
		this.#previousTickAt = this.#lastTickAt;
		this.#lastTickAt = now;
		this.#wasLeftOut = isLate && !this.#wasLeftOut;
		return this.#wasLeftOut;
	}

	/** Returns the earliest time at which something that is read now may have arrived, because nothing was read while the process did not run. */
	earliestArrivalAt(now: Milliseconds): Milliseconds {
		if (this.#isDelayed(this.#lastTickAt, now)) {
			return this.#lastTickAt!;
		}

		// What arrived before a late tick is read soon after it.
		const isAfterLateTick = this.#isDelayed(this.#previousTickAt, this.#lastTickAt ?? now) && now - this.#lastTickAt! <= this.intervalMs;
		return isAfterLateTick ? this.#previousTickAt! : now;
	}

	#isDelayed(tickAt: Milliseconds | undefined, nextAt: Milliseconds): boolean {
		return tickAt !== undefined && nextAt - tickAt > this.intervalMs + toleratedDelayMs;
	}
}
