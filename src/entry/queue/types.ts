import type {Milliseconds} from '../../shared/clock.js';

/** Kinds of waiting items. */
export const waitingKinds = {
	/** A caller's request that this entry dispatches. */
	request: 'request',
	/** A peer's request to borrow units of one endpoint. It does not count towards the capacity of the queue. */
	borrow: 'borrow',
} as const;

export type WaitingKind = (typeof waitingKinds)[keyof typeof waitingKinds];

/** An item that waits for units in the order of its tier. */
export type WaitingItem = {
	readonly id: string;
	readonly kind: WaitingKind;
	/** 0 is the highest tier. */
	readonly tierRank: number;
	readonly service: string;
	readonly workspace: string;
	/** Weight of the workspace within its tier; 1 is the normal weight. */
	readonly weight: number;
	/** Prompt and output tokens, the cost that fair queueing is based on. */
	readonly tokens: number;
	readonly enqueuedAt: Milliseconds;
	/** When the item expires and leaves the queue. */
	readonly deadlineAt: Milliseconds;
	/** The endpoint whose units the peer requests; only for kind `borrow`, like the fields below. */
	readonly endpoint?: string;
	/** Number of units that the peer requests. */
	readonly units?: number;
	/** Slot of the peer. */
	readonly peer?: string;
	/** Id of the peer's borrow request. */
	readonly borrowId?: string;
};
