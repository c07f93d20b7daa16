import type {Milliseconds} from '../../shared/clock.js';
import {BinaryHeap} from './binary-heap.js';
import type {FlowNode} from './flow.js';

/** Entries of removed items that the index may hold, beyond the number of waiting items, before it is rebuilt. */
const maximumRemovedEntries = 64;

function compareDeadlines(left: FlowNode, right: FlowNode): number {
	return left.item.deadlineAt - right.item.deadlineAt || left.sequence - right.sequence;
}

/** Index of the waiting items by deadline. Entries of removed items are deleted lazily. */
export class DeadlineIndex {
	static create(): DeadlineIndex {
		return new DeadlineIndex();
	}

	#heap = BinaryHeap.create(compareDeadlines);

	private constructor() {}

	add(node: FlowNode): void {
		this.#heap.push(node);
	}

	/** The earliest item whose deadline has passed, or `undefined`. The caller removes it from the queue. */
	nextExpired(now: Milliseconds): FlowNode | undefined {
		for (let node = this.#heap.peek(); node !== undefined; node = this.#heap.peek()) {
			if (node.isQueued && node.item.deadlineAt > now) {
				return undefined;
			}

			this.#heap.pop();
			if (node.isQueued) {
				return node;
			}
		}

		return undefined;
	}

	/** Rebuilds the index if most of its entries belong to removed items. */
	compact(queued: Iterable<FlowNode>, count: number): void {
		if (this.#heap.size > (2 * count) + maximumRemovedEntries) {
			this.#heap = BinaryHeap.create(compareDeadlines, queued);
		}
	}
}
