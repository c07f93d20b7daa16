import type {Submission} from '../requests/types.js';

/** Messages from the caller server to the scheduler. */
export type CallerMessage
	/** A new request; its id is in state `waiting`. */
	= | {readonly kind: 'submit'; readonly submission: Submission}
	/** The caller of a request disconnected before the response was complete. */
		| {readonly kind: 'caller-gone'; readonly requestId: string};

/** Whether this entry accepts new requests. */
export const readinessStates = {
	ready: 'ready',
	notReady: 'not-ready',
	shuttingDown: 'shutting-down',
} as const;

export type ReadinessState = (typeof readinessStates)[keyof typeof readinessStates];

/** Returns the host and port at which an incarnation serves callers, or undefined if it is gone or unknown. */
export type FindOwnerAddress = (slot: string, incarnation: string) => string | undefined;
