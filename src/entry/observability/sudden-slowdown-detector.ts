import type {Milliseconds} from '../../shared/clock.js';
import {DecayingMean} from './decaying-mean.js';

/** Smallest factor over the past that counts as a sudden change. Times between tokens vary by less than this with the occupancy of a batch. */
const minimumSlowdownFactor = 3;

/** Slow observations in a row that make a finding. */
const minimumSlowObservations = 2;

/** Slow observations in a row after which the change counts as the new normal; by then the other comparisons have enough observations. */
const maximumSlowObservations = 50;

/** Observations without which there is no past to compare with. */
const minimumBaselineObservations = 10;

/** A sudden change of one endpoint's times, as mean logarithms of milliseconds. */
export type SuddenSlowdown = {
	readonly slowMeanLogMs: number;
	readonly baselineMeanLogMs: number;
	readonly observations: number;
};

/**
Finds an endpoint that has suddenly become slow from very few observations.

The router avoids such an endpoint after one or two slow responses, so a comparison of averages over some time never gets enough of them. The finding stays until a response shows otherwise.
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

	/** @param logMs logarithm of an observation in milliseconds */
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

	/** The change, if the latest observations are all slow. */
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
