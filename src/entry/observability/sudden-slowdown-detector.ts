import type {Milliseconds} from '../../shared/clock.js';
import {DecayingMean} from './decaying-mean.js';

/** Smallest factor over the baseline that counts as a sudden slowdown. Times between tokens vary by less than this with the number of requests in a batch. */
const minimumSlowdownFactor = 3;

/** Consecutive slow observations that are reported as a slowdown. */
const minimumSlowObservations = 2;

/** Consecutive slow observations that become the new baseline; by then the comparisons of averages have enough observations. */
const maximumSlowObservations = 50;

/** Observations needed for a baseline. */
const minimumBaselineObservations = 10;

/** A sudden slowdown of one endpoint. Means are those of logarithms of milliseconds. */
export type SuddenSlowdown = {
	readonly slowMeanLogMs: number;
	readonly baselineMeanLogMs: number;
	readonly observations: number;
};

/**
Detects from very few observations that an endpoint has suddenly become slow.

The router avoids such an endpoint after one or two slow responses, so a comparison of averages over time never gets enough observations. The slowdown is reported until a response is not slow.
*/
export class SuddenSlowdownDetector {
	static create(baselineTimeConstantMs: Milliseconds): SuddenSlowdownDetector {
		return new SuddenSlowdownDetector(baselineTimeConstantMs);
	}

	#baseline: DecayingMean;
	#slowLogMs: number[] = [];

	private constructor(private readonly baselineTimeConstantMs: Milliseconds) {
		this.#baseline = DecayingMean.create(baselineTimeConstantMs);
	}

	/** @param logMs logarithm of an observed time in milliseconds */
	observe(logMs: number, now: Milliseconds): void {
		const isSlow = this.#baseline.weightAt(now) >= minimumBaselineObservations && logMs - this.#baseline.mean >= Math.log(minimumSlowdownFactor);
		if (!isSlow) {
			this.#slowLogMs = [];
			this.#baseline.add(logMs, now);
			return;
		}

		this.#slowLogMs.push(logMs);
		if (this.#slowLogMs.length >= maximumSlowObservations) {
			this.#baseline = DecayingMean.create(this.baselineTimeConstantMs);
			for (const value of this.#slowLogMs) {
				this.#baseline.add(value, now);
			}

			this.#slowLogMs = [];
		}
	}

	/** Returns the slowdown, if enough of the latest observations in a row are slow. */
	detect(): SuddenSlowdown | undefined {
		return this.#slowLogMs.length < minimumSlowObservations
			? undefined
			: {
				slowMeanLogMs: this.#slowLogMs.reduce((sum, value) => sum + value, 0) / this.#slowLogMs.length,
				baselineMeanLogMs: this.#baseline.mean,
				observations: this.#slowLogMs.length,
			};
	}
}
