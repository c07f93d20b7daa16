import {hashText} from '../../shared/hash.js';

/**
Orders the slots for one endpoint by rendezvous hashing.

The order depends only on the names, so every entry computes the same order, and adding a slot does not reorder the others.
*/
export function slotOrder(endpoint: string, slots: readonly string[]): readonly string[] {
	return [...new Set(slots)]
		.map(slot => ({slot, score: hashText(`${endpoint}\n${slot}`)}))
		.toSorted((left, right) => compare(right.score, left.score) || compare(left.slot, right.slot))
		.map(({slot}) => slot);
}

/** The slot that owns a unit, or `undefined` when there are no slots. */
export function ownerOf(order: readonly string[], unit: number): string | undefined {
	return order[unit % order.length];
}

function compare<Value extends bigint | string>(left: Value, right: Value): number {
	if (left === right) {
		return 0;
	}

	return left < right ? -1 : 1;
}
