import {BinaryHeap} from './binary-heap.js';
import {
	normalisedCost, Flow, nextQueued, type FlowNode,
} from './flow.js';
import {waitingKinds, type WaitingItem} from './types.js';

type Position = {
	readonly tag: number;
	readonly node: FlowNode;
};

/** Idle flows that the queue may hold, beyond the number of active flows, before it removes those that are no longer needed. */
const maximumIdleFlows = 64;

function comparePositions(left: Position, right: Position): number {
	return left.tag - right.tag || left.node.sequence - right.node.sequence;
}

function flowKey(item: WaitingItem): string {
	return `${item.kind}\n${item.workspace}`;
}

/**
The waiting items of one service and tier.

Start-time fair queueing: the workspace whose next item has the lowest virtual start tag is served first, and each served item advances the tag by tokens divided by weight. A workspace that becomes active starts at the current virtual time, so it gains no credit while it is idle.
*/
export class FairQueue {
	static create(service: string, tierRank: number): FairQueue {
		return new FairQueue(service, tierRank);
	}

	readonly #flows = new Map<string, Flow>();
	/** Flows with waiting items, by start tag, then by arrival of the first item. */
	readonly #orderedFlows: Flow[] = [];
	#virtualTime = 0;
	#highestFinishTag = 0;
	#requestCount = 0;

	private constructor(readonly service: string, readonly tierRank: number) {}

	/** Waiting items of kind `request`. */
	get requestCount(): number {
		return this.#requestCount;
	}

	get isEmpty(): boolean {
		return this.#orderedFlows.length === 0;
	}

	insert(item: WaitingItem, sequence: number): FlowNode {
		const flow = this.#flowOf(item);
		if (flow.head === undefined) {
			flow.virtualStart = Math.max(flow.virtualStart, this.#virtualTime);
		} else {
			this.#removeFromOrder(flow);
		}

		const node = flow.insert(item, sequence);
		this.#insertIntoOrder(flow);
		this.#requestCount += item.kind === waitingKinds.request ? 1 : 0;
		return node;
	}

	remove(node: FlowNode): void {
		this.#removeFromOrder(node.flow);
		node.flow.remove(node);
		this.#insertIntoOrder(node.flow);
		this.#requestCount -= node.item.kind === waitingKinds.request ? 1 : 0;
		this.#resetWhenEmpty();
	}

	/** Charges the cost of the item to its workspace. The item must have been removed before. */
	charge(item: WaitingItem): void {
		const flow = this.#flowOf(item);
		const start = flow.head === undefined ? Math.max(flow.virtualStart, this.#virtualTime) : flow.virtualStart;
		this.#removeFromOrder(flow);
		flow.virtualStart = start + normalisedCost(item);
		this.#insertIntoOrder(flow);
		this.#virtualTime = Math.max(this.#virtualTime, start);
		this.#highestFinishTag = Math.max(this.#highestFinishTag, flow.virtualStart);
		this.#resetWhenEmpty();
	}

	/** The request that would be dispatched last, or `undefined` if none is waiting. */
	lastRequest(): FlowNode | undefined {
		let last: Position | undefined;
		for (const flow of this.#orderedFlows) {
			const node = flow.tail!;
			const position = {tag: flow.tailVirtualStart, node};
			if (node.item.kind === waitingKinds.request && (last === undefined || comparePositions(position, last) > 0)) {
				last = position;
			}
		}

		return last?.node;
	}

	/**
	Iterates in dispatch order, as if each item were served when it is reached.

	Items may be removed or served during the iteration; items added during it are not guaranteed to appear.
	*/
	* inOrder(): Generator<FlowNode, void, undefined> {
		const initialPositions = this.#orderedFlows.map(flow => ({tag: flow.virtualStart, node: flow.head!}));
		const nextPositions = BinaryHeap.create(comparePositions);
		let index = 0;
		for (;;) {
			const initial = initialPositions[index];
			const following = nextPositions.peek();
			const isFollowing = following !== undefined && (initial === undefined || comparePositions(following, initial) < 0);
			const position = isFollowing ? nextPositions.pop() : initial;
			if (position === undefined) {
				return;
			}

			index += isFollowing ? 0 : 1;
			const {node} = position;
			if (node.isQueued) {
				yield node;
			}

			const next = nextQueued(node.next);
			if (next !== undefined) {
				nextPositions.push({tag: position.tag + normalisedCost(node.item), node: next});
			}
		}
	}

	#flowOf(item: WaitingItem): Flow {
		const key = flowKey(item);
		let flow = this.#flows.get(key);
		if (flow === undefined) {
			flow = Flow.create(key);
			flow.virtualStart = this.#virtualTime;
			this.#flows.set(key, flow);
			this.#removeIdleFlows(flow);
		}

		return flow;
	}

	/** Must be called before the tag or the first item of the flow changes. */
	#removeFromOrder(flow: Flow): void {
		if (flow.head !== undefined) {
			this.#orderedFlows.splice(this.#indexOf(flow), 1);
		}
	}

	#insertIntoOrder(flow: Flow): void {
		if (flow.head !== undefined) {
			this.#orderedFlows.splice(this.#indexOf(flow), 0, flow);
		}
	}

	/** Index of the first flow that does not come before the given one. */
	#indexOf(flow: Flow): number {
		const position = {tag: flow.virtualStart, node: flow.head!};
		let low = 0;
		let high = this.#orderedFlows.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			const other = this.#orderedFlows[middle]!;
			if (comparePositions({tag: other.virtualStart, node: other.head!}, position) < 0) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low;
	}

	/** When nothing is waiting there is no contention, so earlier charges no longer count. */
	#resetWhenEmpty(): void {
		if (this.isEmpty) {
			this.#virtualTime = Math.max(this.#virtualTime, this.#highestFinishTag);
		}
	}

	#removeIdleFlows(except: Flow): void {
		if (this.#flows.size <= (2 * this.#orderedFlows.length) + maximumIdleFlows) {
			return;
		}

		for (const flow of this.#flows.values()) {
			if (flow !== except && flow.head === undefined && flow.virtualStart <= this.#virtualTime) {
				this.#flows.delete(flow.key);
			}
		}
	}
}
