import {hashText} from '../../shared/hash.js';

/** Endpoints that are preferred for one prefix; with more, the prefix is computed more often, and a single one would become a bottleneck. */
const endpointsPerPrefix = 2;

/** Largest value of the 64-bit hash. */
const maximumHash = 2 ** 64;

/** The cache of choices is cleared when it reaches this size. */
const maximumCachedChoices = 4096;

/** An endpoint that can be preferred for a prefix. */
export type AffinityCandidate = {
	readonly endpoint: string;
	/** Units of the full limit; an endpoint with twice the units is preferred for twice as many prefixes. */
	readonly units: number;
};

/**
Chooses preferred endpoints for requests with the same first prefix block, by weighted rendezvous hashing.

All entries choose the same endpoints without exchanging messages, so that a prefix is not computed at every endpoint.
*/
export class PrefixAffinity {
	static create(): PrefixAffinity {
		return new PrefixAffinity();
	}

	/** Preferred endpoints by first block and candidates. Services have different candidates, so they can't overwrite each other's choices. */
	readonly #choices = new Map<string, ReadonlySet<string>>();

	private constructor() {}

	/** @param firstBlock hash of the prompt's first block */
	preferredEndpoints(firstBlock: string, candidates: readonly AffinityCandidate[]): ReadonlySet<string> {
		const key = [firstBlock, ...candidates.map(({endpoint, units}) => `${endpoint}:${units}`)].join(' ');
		let preferred = this.#choices.get(key);
		if (!preferred) {
			preferred = this.#choose(firstBlock, candidates);
			this.#cacheChoice(key, preferred);
		}

		return preferred;
	}

	#cacheChoice(key: string, preferred: ReadonlySet<string>): void {
		if (this.#choices.size >= maximumCachedChoices) {
			this.#choices.clear();
		}

		this.#choices.set(key, preferred);
	}

	#choose(firstBlock: string, candidates: readonly AffinityCandidate[]): ReadonlySet<string> {
		const scored = candidates.map(({endpoint, units}) => {
			const fraction = (Number(hashText(`${firstBlock} ${endpoint}`)) + 1) / (maximumHash + 2);
			return {endpoint, score: -units / Math.log(fraction)};
		});
		return new Set(scored
			.toSorted((left, right) => right.score - left.score)
			.slice(0, endpointsPerPrefix)
			.map(({endpoint}) => endpoint));
	}
}
