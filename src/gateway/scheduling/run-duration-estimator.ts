import type {Milliseconds} from '../../shared/clock.js';

/** Weights of a new run in the smoothed duration and its smoothed deviation, as in RFC 6298. */
const durationWeight = 1 / 8;
const deviationWeight = 1 / 4;

/** Ratio of the first duration that counts as deviation. */
const firstDeviationRatio = 0.25;

/** Deviations above the smoothed duration that a run is expected to stay below. */
const expectedDeviations = 2;

/** Estimates how long a run takes, from those that completed. */
export class RunDurationEstimator {
	static create(): RunDurationEstimator {
		return new RunDurationEstimator();
	}

	#durationMs: Milliseconds | undefined;
	#deviationMs: Milliseconds = 0;

	private constructor() {}

	/** Duration that most runs stay below; 0 before the first run. */
	get expectedMs(): Milliseconds {
		return (this.#durationMs ?? 0) + (expectedDeviations * this.#deviationMs);
	}

	recordRun(durationMs: Milliseconds): void {
		if (this.#durationMs === undefined) {
			this.#durationMs = durationMs;
			this.#deviationMs = firstDeviationRatio * durationMs;
			return;
		}

		this.#deviationMs += deviationWeight * (Math.abs(durationMs - this.#durationMs) - this.#deviationMs);
		this.#durationMs += durationWeight * (durationMs - this.#durationMs);
	}
}
