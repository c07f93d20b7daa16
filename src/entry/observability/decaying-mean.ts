import type {Milliseconds} from '../../shared/clock.js';

/** An exponentially weighted mean: an observation's weight falls to 1/e after the time constant. */
export class DecayingMean {
	/** @param timeConstantMs milliseconds */
	static create(timeConstantMs: Milliseconds): DecayingMean {
		return new DecayingMean(timeConstantMs);
	}

	#weightedSum = 0;
	#weight = 0;
	#updatedAt: Milliseconds = 0;

	private constructor(private readonly timeConstantMs: Milliseconds) {}

	/** Mean of the observations; 0 when there is none. */
	get mean(): number {
		return this.#weight === 0 ? 0 : this.#weightedSum / this.#weight;
	}

	add(value: number, now: Milliseconds): void {
		const decayFactor = this.#decayFactorAt(now);
		this.#weightedSum = (this.#weightedSum * decayFactor) + value;
		this.#weight = (this.#weight * decayFactor) + 1;
		this.#updatedAt = now;
	}

	/** Number of observations that the mean stands for at a time, with old ones counted less. */
	weightAt(now: Milliseconds): number {
		return this.#weight * this.#decayFactorAt(now);
	}

	#decayFactorAt(now: Milliseconds): number {
		return Math.exp(-Math.max(0, now - this.#updatedAt) / this.timeConstantMs);
	}
}
