import {performance} from 'node:perf_hooks';

/** A point on a monotonic clock, or a duration, in milliseconds. */
export type Milliseconds = number;

/** Monotonic time source. Code whose behaviour depends on time reads it only from here, so that tests can control it. */
export type Clock = {
	/** Milliseconds since an arbitrary start; never goes backward. */
	now(): Milliseconds;
	/** Wall-clock time in milliseconds since the Unix epoch. Only for display and for detecting that the machine was suspended. */
	wallTime(): Milliseconds;
};

/** The clock of the running process. */
export class SystemClock implements Clock {
	static create(): SystemClock {
		return new SystemClock();
	}

	private constructor() {}

	now(): Milliseconds {
		return performance.now();
	}

	wallTime(): Milliseconds {
		return Date.now();
	}
}
