import type {Milliseconds} from '../../shared/clock.js';

/** An exponentially weighted mean: the weight of an observation falls to 1/e after the time constant. */
export class DecayingMean {
	static create(timeConstantMs: Milliseconds): DecayingMean {
		return new DecayingMean(timeConstantMs);
	}

	#weightedSum = 0;
	#weight = 0;
	#updatedAt: Milliseconds = 0;

	private constructor(private readonly timeConstantMs: Milliseconds) {}

	/** Weighted mean of the observations; 0 when there are none. */
	get mean(): number {
		return this.#weight === 0 ? 0 : this.#weightedSum / this.#weight;
	}

	add(value: number, now: Milliseconds): void {
		const decayFactor = this.#decayFactorAt(now);
		this.#weightedSum = (this.#weightedSum * decayFactor) + value;
		this.#weight = (this.#weight * decayFactor) + 1;
		this.#updatedAt = now;
	}

	/** Effective number of observations at the given time: the sum of their decayed weights. */
	weightAt(now: Milliseconds): number {
		return this.#weight * this.#decayFactorAt(now);
	}

	#decayFactorAt(now: Milliseconds): number {
		return Math.exp(-Math.max(0, now - this.#updatedAt) / this.timeConstantMs);
	}
}
