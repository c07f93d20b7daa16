import type {WaitingItem} from './types.js';

/** Linked-list node of one waiting item in its flow. */
export type FlowNode = {
	readonly item: WaitingItem;
	readonly flow: Flow;
	/** Position in the arrival order of the whole queue. */
	readonly sequence: number;
	isQueued: boolean;
	previous: FlowNode | undefined;
	/** Kept after removal, so that an iteration at this node can continue. */
	next: FlowNode | undefined;
};

/** Cost of one item: tokens divided by the weight of its workspace. */
export function normalisedCost(item: WaitingItem): number {
	return Math.max(item.tokens, 1) / item.weight;
}

/** The waiting items of one workspace in one tier of one service, in order of arrival. */
export class Flow {
	static create(key: string): Flow {
		return new Flow(key);
	}

	/** Virtual start tag of the first item. */
	virtualStart = 0;
	#head: FlowNode | undefined;
	#tail: FlowNode | undefined;
	/** Sum of the normalised costs of all waiting items. */
	#totalCost = 0;

	private constructor(readonly key: string) {}

	get head(): FlowNode | undefined {
		return this.#head;
	}

	get tail(): FlowNode | undefined {
		return this.#tail;
	}

	/** Virtual start tag of the last item. */
	get tailVirtualStart(): number {
		return this.#tail === undefined ? this.virtualStart : this.virtualStart + this.#totalCost - normalisedCost(this.#tail.item);
	}

	/** Inserts an item by arrival time. An item that returns after a failed dispatch gets its previous position. */
	insert(item: WaitingItem, sequence: number): FlowNode {
		let previous = this.#tail;
		while (previous !== undefined && previous.item.enqueuedAt > item.enqueuedAt) {
			previous = previous.previous;
		}

		const node: FlowNode = {
			item, flow: this, sequence, isQueued: true, previous, next: previous === undefined ? this.#head : previous.next,
		};
		this.#link(node);
		this.#totalCost += normalisedCost(item);
		return node;
	}

	remove(node: FlowNode): void {
		node.isQueued = false;
		if (node.previous === undefined) {
			this.#head = node.next;
		} else {
			node.previous.next = node.next;
		}

		if (node.next === undefined) {
			this.#tail = node.previous;
		} else {
			node.next.previous = node.previous;
		}

		// The sum is reset when the flow is empty, so that rounding errors do not accumulate.
		this.#totalCost = this.#head === undefined ? 0 : this.#totalCost - normalisedCost(node.item);
	}

	#link(node: FlowNode): void {
		if (node.previous === undefined) {
			this.#head = node;
		} else {
			node.previous.next = node;
		}

		if (node.next === undefined) {
			this.#tail = node;
		} else {
			node.next.previous = node;
		}
	}
}

/** The next queued node at or after the given one. */
export function nextQueued(node: FlowNode | undefined): FlowNode | undefined {
	let candidate = node;
	while (candidate !== undefined && !candidate.isQueued) {
		candidate = candidate.next;
	}

	return candidate;
}
