import type {Clock, Milliseconds} from '../../shared/clock.js';

/** Bounds the memory of the index; one block takes about 100 bytes. */
const maximumBlocksInTotal = 65_536;

/** Assumed until the first eviction is observed. */
const initialLifetimeMs: Milliseconds = 60_000;

/** Weight of the newest eviction in the estimated lifetime. */
const smoothingFactor = 0.05;

/** Blocks used within this fraction of the estimated lifetime count as cached; older ones may be evicted although the event has not arrived yet. */
const trustedFraction = 0.7;

export type PrefixIndexOptions = {
	readonly clock: Clock;
	/** Maximum number of blocks over all endpoints. Default: 65,536. */
	readonly maximumBlocks?: number;
};

/** A change of an endpoint's prefix cache, as the endpoint published it. */
export type CacheEvent = {
	readonly kind: 'stored' | 'evicted';
	readonly block: string;
};

type EndpointCache = {
	/** Time of the last use of each block, least recently used first. */
	readonly lastUsedAt: Map<string, Milliseconds>;
	/** Estimated time from the last use of a block to its eviction. */
	lifetimeMs: Milliseconds;
};

/**
Tracks which prompt prefix blocks each endpoint has probably cached.

Dispatches of this entry add blocks at once. Cache events, which arrive late and with gaps, correct them and are used to estimate how long an endpoint keeps an unused block. A wrong entry costs time but never correctness.
*/
export class PrefixIndex {
	static create(options: PrefixIndexOptions): PrefixIndex {
		return new PrefixIndex(options.clock, options.maximumBlocks ?? maximumBlocksInTotal);
	}

	readonly #caches = new Map<string, EndpointCache>();
	#size = 0;

	private constructor(private readonly clock: Clock, private readonly maximumBlocks: number) {}

	get size(): number {
		return this.#size;
	}

	/** Number of leading blocks that the endpoint has probably cached. */
	cachedBlocks(endpoint: string, blocks: readonly string[]): number {
		const cache = this.#caches.get(endpoint);
		if (!cache) {
			return 0;
		}

		const oldestTrustedAt = this.clock.now() - (trustedFraction * cache.lifetimeMs);
		const firstMissing = blocks.findIndex(block => (cache.lastUsedAt.get(block) ?? Number.NEGATIVE_INFINITY) < oldestTrustedAt);
		return firstMissing === -1 ? blocks.length : firstMissing;
	}

	/** Number of leading blocks that are in the index for at least one endpoint, no matter how long ago they were used. */
	sharedBlocks(blocks: readonly string[]): number {
		const caches = [...this.#caches.values()];
		const firstMissing = blocks.findIndex(block => !caches.some(({lastUsedAt}) => lastUsedAt.has(block)));
		return firstMissing === -1 ? blocks.length : firstMissing;
	}

	/** Records that a request with these blocks is dispatched to the endpoint, which will therefore cache them. */
	recordDispatch(endpoint: string, blocks: readonly string[]): void {
		for (const block of blocks) {
			this.#recordUse(endpoint, block);
		}
	}

	applyEvents(endpoint: string, events: readonly CacheEvent[]): void {
		for (const event of events) {
			if (event.kind === 'stored') {
				this.#recordUse(endpoint, event.block);
			} else {
				this.#recordEviction(endpoint, event.block);
			}
		}
	}

	/** Removes an endpoint from the index, for example when it has lost its cache in a restart. */
	forget(endpoint: string): void {
		this.#size -= this.#caches.get(endpoint)?.lastUsedAt.size ?? 0;
		this.#caches.delete(endpoint);
	}

	#recordUse(endpoint: string, block: string): void {
		let cache = this.#caches.get(endpoint);
		if (!cache) {
			cache = {lastUsedAt: new Map(), lifetimeMs: initialLifetimeMs};
			this.#caches.set(endpoint, cache);
		}

		// Deleting first moves the block to the end of the map's order.
		if (cache.lastUsedAt.delete(block)) {
			this.#size--;
		}

		cache.lastUsedAt.set(block, this.clock.now());
		this.#size++;
		if (this.#size > this.maximumBlocks) {
			this.#dropFromLargestCache();
		}
	}

	#recordEviction(endpoint: string, block: string): void {
		const cache = this.#caches.get(endpoint);
		const blockLastUsedAt = cache?.lastUsedAt.get(block);
		if (cache && blockLastUsedAt !== undefined) {
			cache.lifetimeMs += smoothingFactor * (this.clock.now() - blockLastUsedAt - cache.lifetimeMs);
			cache.lastUsedAt.delete(block);
			this.#size--;
		}
	}

	#dropFromLargestCache(): void {
		let largest: Map<string, Milliseconds> | undefined;
		for (const {lastUsedAt} of this.#caches.values()) {
			if (!largest || lastUsedAt.size > largest.size) {
				largest = lastUsedAt;
			}
		}

		const oldest = largest?.keys().next().value;
		if (largest && oldest !== undefined) {
			largest.delete(oldest);
			this.#size--;
		}
	}
}
