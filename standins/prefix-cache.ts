/** Prefix cache of the stand-in engine: an LRU cache of blocks that are keyed by chained hashes. */
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();
const maximumEvents = 4096;
/** Number of values of a 32-bit hash. */
const hashRange = 2 ** 32;

export const cacheEventKinds = {
	stored: 'stored',
	evicted: 'evicted',
} as const;

export type CacheEventKind = (typeof cacheEventKinds)[keyof typeof cacheEventKinds];

/** A published change of the cache. */
export type CacheEvent = {
	readonly sequence: number;
	readonly kind: CacheEventKind;
	readonly block: string;
};

export type PrefixCacheOptions = {
	readonly maximumBlocks: number;
	/** Delay with which events are published. */
	readonly eventLagMs: number;
	/** Fraction of events that are never published, 0 to 1. */
	readonly eventLossRatio: number;
	/** Monotonic milliseconds. */
	readonly now: () => number;
};

export class PrefixCache {
	static create(options: PrefixCacheOptions): PrefixCache {
		return new PrefixCache(options);
	}

	// A map iterates in insertion order, so the first key is the least recently used block.
	readonly #blocks = new Map<string, true>();
	readonly #events: Array<CacheEvent & {readonly changedAt: number}> = [];
	#sequence = 0;

	private constructor(private readonly options: PrefixCacheOptions) {}

	get size(): number {
		return this.#blocks.size;
	}

	/** The number of leading blocks that are cached. Marks them as used. */
	match(prefixBlocks: readonly string[]): number {
		const missing = prefixBlocks.findIndex(block => !this.#blocks.has(block));
		const matched = missing === -1 ? prefixBlocks.length : missing;
		// The last block is marked first, because a prefix must outlive the blocks that continue it.
		for (const block of prefixBlocks.slice(0, matched).toReversed()) {
			this.#blocks.delete(block);
			this.#blocks.set(block, true);
		}

		return matched;
	}

	store(prefixBlocks: readonly string[]): void {
		for (const block of prefixBlocks.toReversed()) {
			if (!this.#blocks.delete(block)) {
				this.#publish(cacheEventKinds.stored, block);
			}

			this.#blocks.set(block, true);
		}

		for (const block of this.#blocks.keys()) {
			if (this.#blocks.size <= this.options.maximumBlocks) {
				break;
			}

			this.#blocks.delete(block);
			this.#publish(cacheEventKinds.evicted, block);
		}
	}

	clear(): void {
		this.#blocks.clear();
		this.#events.length = 0;
	}

	/** Published events after a sequence number, with gaps where events were lost or have been dropped. */
	eventsAfter(sequence: number): CacheEvent[] {
		const latestChangeAt = this.options.now() - this.options.eventLagMs;
		return this.#events
			.filter(event => event.sequence > sequence && event.changedAt <= latestChangeAt)
			.map(({sequence, kind, block}) => ({sequence, kind, block}));
	}

	#publish(kind: CacheEventKind, block: string): void {
		this.#sequence++;
		const isLost = hasher.h32(String(this.#sequence)) / hashRange < this.options.eventLossRatio;
		if (isLost) {
			return;
		}

		this.#events.push({
			sequence: this.#sequence, kind, block, changedAt: this.options.now(),
		});
		if (this.#events.length > maximumEvents) {
			this.#events.splice(0, maximumEvents / 4);
		}
	}
}
