import type {Milliseconds} from '../../shared/clock.js';

/** Time between two ticks from which on the process counts as paused. Ticks come every 50 ms. */
const minimumPauseMs: Milliseconds = 200;

const maximumPauses = 64;

type Pause = {
	readonly from: Milliseconds;
	readonly until: Milliseconds;
};

/** Times in which this process handled nothing, because it was suspended, busy or got no processor time. */
export class ProcessPauses {
	static create(): ProcessPauses {
		return new ProcessPauses();
	}

	/** In order of time; the oldest are dropped. */
	#pauses: Pause[] = [];
	#lastTickAt: Milliseconds | undefined;

	private constructor() {}

	recordTick(now: Milliseconds): void {
		const pause = this.#openPause(now);
		if (pause !== undefined) {
			this.#pauses = [...this.#pauses, pause].slice(-maximumPauses);
		}

		this.#lastTickAt = now;
	}

	/** Returns how long the process was paused between two times. A pause whose end no tick has shown yet counts, too. */
	pausedMs(from: Milliseconds, until: Milliseconds, now: Milliseconds): Milliseconds {
		const openPause = this.#openPause(now);
		return [...this.#pauses, ...(openPause === undefined ? [] : [openPause])]
			.reduce((sum, pause) => sum + Math.max(0, Math.min(until, pause.until) - Math.max(from, pause.from)), 0);
	}

	#openPause(now: Milliseconds): Pause | undefined {
		const from = this.#lastTickAt;
		return from !== undefined && now - from >= minimumPauseMs ? {from, until: now} : undefined;
	}
}
