import type {Clock} from '../../shared/clock.js';
import type {Invariants} from '../../shared/invariants.js';
import {FairQueue} from './fair-queue.js';
import {DeadlineIndex} from './deadline-index.js';
import type {FlowNode} from './flow.js';
import {waitingKinds, type WaitingItem} from './types.js';

export type TierQueueOptions = {
	readonly clock: Clock;
	readonly invariants: Invariants;
	/** Maximum number of waiting requests. Borrow items are not counted. */
	readonly capacity: number;
};

export type EnqueueOptions = {
	/**
	Admits the item even if the queue is full: for an item that returns because its dispatch was not sent, and for an item for which a peer has shed a request.

	The limit on each workspace's waiting requests still bounds the queue.

	Default: `false`.
	*/
	readonly mayExceedCapacity?: boolean;
};

/** Result of `enqueue`. If the queue is full, a peer may displace a request whose tier rank is higher than `displaceBelowRank`. */
export type EnqueueResult
	= | {readonly kind: 'admitted'; readonly evicted?: WaitingItem}
		| {readonly kind: 'full'; readonly displaceBelowRank: number};

export type DisplaceOptions = {
	readonly service: string;
	/** Only requests of lower tiers, which have higher ranks, may be displaced. */
	readonly belowRank: number;
};

/**
Queue of the waiting requests and borrow requests of one entry.

Tiers have strict priority. Within a tier and service, workspaces share by tokens and weight. Each item leaves exactly once: by `remove` or `markServed`, by `expire`, as `evicted`, or by `displaceLowest`.
*/
export class TierQueue {
	static create(options: TierQueueOptions): TierQueue {
		return new TierQueue(options);
	}

	readonly #clock: Clock;
	readonly #invariants: Invariants;
	readonly #nodes = new Map<string, FlowNode>();
	/** Fair queues of each service by tier rank, highest tier first. */
	readonly #queuesByService = new Map<string, FairQueue[]>();
	readonly #waitingByWorkspace = new Map<string, number>();
	readonly #deadlines = DeadlineIndex.create();
	#capacity: number;
	#requestCount = 0;
	#nextSequence = 0;

	private constructor({clock, invariants, capacity}: TierQueueOptions) {
		this.#clock = clock;
		this.#invariants = invariants;
		this.#capacity = capacity;
	}

	/** The number of waiting items of both kinds. */
	get size(): number {
		return this.#nodes.size;
	}

	/** Changes the capacity. Requests that are already waiting stay in the queue. */
	setCapacity(capacity: number): void {
		this.#capacity = capacity;
	}

	/**
	Adds an item. If the queue is full, the lowest-tier request of the same service is evicted if its tier is lower than the item's; otherwise the item is not admitted.

	@throws {RangeError} if an item with the same id is already waiting, or if the weight is not positive
	*/
	enqueue(item: WaitingItem, options: EnqueueOptions = {}): EnqueueResult {
		if (this.#nodes.has(item.id)) {
			throw new RangeError(`item ${item.id} is already in the queue`);
		}

		if (!(item.weight > 0)) {
			throw new RangeError(`item ${item.id} has weight ${item.weight}, expected a positive number`);
		}

		if (item.kind === waitingKinds.borrow || this.#hasCapacity(options)) {
			this.#insert(item);
			return {kind: 'admitted'};
		}

		const evicted = this.displaceLowest({service: item.service, belowRank: item.tierRank});
		if (evicted === undefined) {
			return {kind: 'full', displaceBelowRank: item.tierRank};
		}

		this.#insert(item);
		return {kind: 'admitted', evicted};
	}

	/**
	Iterates in dispatch order: by tier, then by fair share. Without a service, the services of a tier are merged by arrival.

	Items may be removed or served during the iteration; items added during it are not guaranteed to appear.
	*/
	* inOrder(service?: string): Generator<WaitingItem, void, undefined> {
		if (service !== undefined) {
			for (const queue of this.#queuesByService.get(service) ?? []) {
				for (const node of queue.inOrder()) {
					yield node.item;
				}
			}

			return;
		}

		for (const rank of this.#ranks()) {
			yield * this.#mergedByArrival(rank);
		}
	}

	/** The waiting item with this id. */
	get(id: string): WaitingItem | undefined {
		return this.#nodes.get(id)?.item;
	}

	/** Removes an item without charging its workspace. Returns `undefined` if it is not waiting. */
	remove(id: string): WaitingItem | undefined {
		const node = this.#nodes.get(id);
		return node === undefined ? undefined : this.#removeNode(node);
	}

	/**
	Charges the item's tokens to its workspace, and removes the item if it is still waiting.

	Must be called in the step that decides the dispatch, so that the next decision takes the charge into account.
	*/
	markServed(item: WaitingItem): void {
		this.remove(item.id);
		this.#queueOf(item).charge(item);
	}

	/** Removes and returns all items whose deadline has passed, earliest deadline first. */
	expire(): WaitingItem[] {
		const now = this.#clock.now();
		const expired: WaitingItem[] = [];
		for (let node = this.#deadlines.nextExpired(now); node !== undefined; node = this.#deadlines.nextExpired(now)) {
			expired.push(this.#removeNode(node));
		}

		return expired;
	}

	/** Number of waiting requests by tier rank, without borrow items and without empty tiers. */
	waitingByTier(service?: string): Record<number, number> {
		const counts: Record<number, number> = {};
		for (const queue of this.#queuesOf(service)) {
			if (queue.requestCount > 0) {
				counts[queue.tierRank] = (counts[queue.tierRank] ?? 0) + queue.requestCount;
			}
		}

		return counts;
	}

	/** Number of waiting requests of one workspace over all tiers and services. */
	waitingCountOf(workspace: string): number {
		return this.#waitingByWorkspace.get(workspace) ?? 0;
	}

	/** Removes and returns, from the lowest tier with waiting requests, the request that would be dispatched last. Returns `undefined` if that tier is not below the given one. */
	displaceLowest({service, belowRank}: DisplaceOptions): WaitingItem | undefined {
		const queue = this.#queuesByService.get(service)?.findLast(({requestCount}) => requestCount > 0);
		if (queue === undefined || queue.tierRank <= belowRank) {
			return undefined;
		}

		const item = this.#removeNode(queue.lastRequest()!);
		this.#checkShedOrder(item);
		return item;
	}

	#hasCapacity({mayExceedCapacity = false}: EnqueueOptions): boolean {
		return mayExceedCapacity || this.#requestCount < this.#capacity;
	}

	#insert(item: WaitingItem): void {
		const node = this.#queueOf(item).insert(item, this.#nextSequence++);
		this.#nodes.set(item.id, node);
		this.#deadlines.add(node);
		this.#updateCounts(item, 1);
	}

	#removeNode(node: FlowNode): WaitingItem {
		const {item} = node;
		this.#nodes.delete(item.id);
		this.#queueOf(item).remove(node);
		this.#deadlines.compact(this.#nodes.values(), this.#nodes.size);
		this.#updateCounts(item, -1);
		return item;
	}

	#updateCounts(item: WaitingItem, change: 1 | -1): void {
		if (item.kind !== waitingKinds.request) {
			return;
		}

		this.#requestCount += change;
		const waiting = this.waitingCountOf(item.workspace) + change;
		if (waiting === 0) {
			this.#waitingByWorkspace.delete(item.workspace);
		} else {
			this.#waitingByWorkspace.set(item.workspace, waiting);
		}
	}

	#queueOf({service, tierRank}: WaitingItem): FairQueue {
		const queues = this.#queuesByService.get(service) ?? [];
		this.#queuesByService.set(service, queues);
		let index = queues.findIndex(queue => queue.tierRank >= tierRank);
		index = index === -1 ? queues.length : index;
		if (queues[index]?.tierRank !== tierRank) {
			queues.splice(index, 0, FairQueue.create(service, tierRank));
		}

		return queues[index]!;
	}

	#queuesOf(service?: string): readonly FairQueue[] {
		return service === undefined ? [...this.#queuesByService.values()].flat() : this.#queuesByService.get(service) ?? [];
	}

	#ranks(): number[] {
		return [...new Set(this.#queuesOf().map(({tierRank}) => tierRank))].toSorted((left, right) => left - right);
	}

	* #mergedByArrival(rank: number): Generator<WaitingItem, void, undefined> {
		const cursors = this.#queuesOf()
			.filter(({tierRank, isEmpty}) => tierRank === rank && !isEmpty)
			.map(queue => {
				const iterator = queue.inOrder();
				return {iterator, result: iterator.next()};
			});
		for (;;) {
			let earliest: (typeof cursors)[number] | undefined;
			for (const cursor of cursors) {
				if (!cursor.result.done && (earliest === undefined || cursor.result.value.sequence < earliest.result.value!.sequence)) {
					earliest = cursor;
				}
			}

			if (earliest === undefined) {
				return;
			}

			const {isQueued, item} = earliest.result.value!;
			if (isQueued) {
				yield item;
			}

			earliest.result = earliest.iterator.next();
		}
	}

	#checkShedOrder(shed: WaitingItem): void {
		this.#invariants.check(
			'G2',
			Object.keys(this.waitingByTier(shed.service)).every(rank => Number(rank) <= shed.tierRank),
			() => `request ${shed.id} of tier rank ${shed.tierRank} was shed while a lower tier is waiting for ${shed.service}`,
		);
	}
}
