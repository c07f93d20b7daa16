import {hashText} from '../../shared/hash.js';

/** Endpoints on which the requests of one prefix are gathered; more would compute the prefix more often, one would be a single point of congestion. */
const endpointsPerPrefix = 2;

/** Largest value of the 64-bit hash. */
const maximumHash = 2 ** 64;

/** Prefixes whose homes are remembered. */
const maximumCachedChoices = 4096;

/** An endpoint that can be a home. */
export type AffinityCandidate = {
	readonly endpoint: string;
	/** Units of the full limit; an endpoint with twice the units is home to twice as many prefixes. */
	readonly units: number;
};

/**
Chooses by weighted rendezvous hashing the endpoints on which requests with the same first prefix block are gathered.

All entries choose the same ones without exchanging messages, so that a prefix is not computed at every endpoint.
*/
export class PrefixAffinity {
	static create(): PrefixAffinity {
		return new PrefixAffinity();
	}

	/** Homes by candidates and first block. Services have candidates of their own, so they don't displace each other's entries. */
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
