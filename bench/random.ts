/** Seeded random distributions. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';

/** Weights by name; they need not add up to 1. */
export type Weights = Readonly<Record<string, number>>;

export type Range = {readonly minimum: number; readonly maximum: number};

/** Shape of the bounded Pareto distribution. Lower values give a heavier tail. */
const tailShape = 1.1;

/** A seeded random generator with the distributions that plans and baselines need. */
export class Random {
	static create(seed: number): Random {
		return new Random(seed);
	}

	readonly #generator: ReturnType<typeof xoroshiro128plus>;

	private constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	/** Uniform, from 0 to below 1. */
	uniform(): number {
		return uniformFloat64(this.#generator);
	}

	/** Exponential with the given mean. */
	exponential(mean: number): number {
		return -Math.log(1 - this.uniform()) * mean;
	}

	/** Picks a name with a probability proportional to its weight. */
	pickWeighted(weights: Weights): string {
		const entries = Object.entries(weights);
		let remainingWeight = this.uniform() * entries.reduce((sum, [, weight]) => sum + weight, 0);
		for (const [name, weight] of entries) {
			remainingWeight -= weight;
			if (remainingWeight < 0) {
				return name;
			}
		}

		return entries.at(-1)![0];
	}

	/** Bounded Pareto, rounded down to an integer. */
	boundedPareto({minimum, maximum}: Range): number {
		const span = 1 - ((minimum / maximum) ** tailShape);
		return Math.floor(minimum * ((1 - (this.uniform() * span)) ** (-1 / tailShape)));
	}
}
