import type {Milliseconds} from '../../shared/clock.js';
import type {Failure} from '../../shared/failure.js';

/** The states of a request. `refused`, `completed`, `failed` and `unknown` are final. */
export const requestStates = {
	reserved: 'reserved',
	waiting: 'waiting',
	dispatching: 'dispatching',
	streaming: 'streaming',
	completed: 'completed',
	failed: 'failed',
	unknown: 'unknown',
	refused: 'refused',
} as const;

export type RequestState = (typeof requestStates)[keyof typeof requestStates];

/** How a request is forwarded to its endpoint. */
export const requestKinds = {
	engine: 'engine',
	plain: 'plain',
} as const;

export type RequestKind = (typeof requestKinds)[keyof typeof requestKinds];

/** A validated request from a caller, as the scheduler receives it. */
export type Submission = {
	readonly requestId: string;
	readonly kind: RequestKind;
	/** Whether the caller sent an issued idempotency key; then the request continues after its caller disconnects. */
	readonly isKeyed: boolean;
	readonly isIdempotent: boolean;
	readonly workspace: string;
	readonly tier: string;
	readonly service: string;
	/** Prompt tokens, estimated for engines; 0 for plain services. */
	readonly promptTokens: number;
	/** Maximum number of output tokens that the request may produce; 0 for plain services. */
	readonly outputTokens: number;
	/** Hashes of the prompt's prefix blocks, shortest prefix first; empty for plain services. */
	readonly prefixBlocks: readonly string[];
	readonly receivedAt: Milliseconds;
	/** When the request leaves the queue with the failure `queue-timeout`. */
	readonly queueDeadlineAt: Milliseconds;
	readonly http: {
		readonly method: string;
		/** Path and query at the endpoint. */
		readonly path: string;
		readonly headers: Readonly<Record<string, string>>;
		readonly body: Uint8Array;
		/** Whether the caller asked for server-sent events. */
		readonly wantsStream: boolean;
	};
};

/** The head of a response, known before its first chunk. */
export type ResponseHead = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
};

/** How a response ended. */
export type ResponseEnd
	= | {readonly kind: 'complete'}
		| {readonly kind: 'failure'; readonly failure: Failure};

/**
Receives the response of one request from the scheduler and the dispatch tasks.

`fail` before `start` becomes a problem document; after `start` it becomes an `event: error` for streams and a destroyed connection otherwise.
*/
export type ResponseSink = {
	start(head: ResponseHead): void;
	write(chunk: Uint8Array): void;
	complete(): void;
	fail(failure: Failure): void;
	/** Resolves when the readers have consumed enough for more to be written. */
	ready(): Promise<void>;
};
