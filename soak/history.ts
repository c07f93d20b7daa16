import type {Milliseconds} from '../src/shared/clock.js';

export const requestKinds = {
	/** May be retried. */
	lookup: 'lookup',
	/** Runs at most once. */
	booking: 'booking',
	/** A stream that may be resumed at another endpoint. */
	stream: 'stream',
	/** A stream that runs at most once. */
	draft: 'draft',
} as const;

export type RequestKind = (typeof requestKinds)[keyof typeof requestKinds];

/** One request as recorded by its caller. All times are of the soak's monotonic clock. */
export type RequestRecord = {
	readonly requestId: string;
	readonly kind: RequestKind;
	/** Host of the gateway that received the request. */
	readonly instance: string;
	readonly key: string;
	readonly workspace: string;
	/** Shared parts of its prompt. */
	readonly promptParts: readonly string[];
	/** Units that the request uses of the workspace's quota. */
	readonly units: number;
	/** Time after which its caller gives up. */
	readonly deadlineMs: Milliseconds;
	readonly sentAt: Milliseconds;
	endedAt: Milliseconds;
	status?: number;
	body: string;
	isComplete: boolean;
	/** Code of the error with which the request ended before a response. */
	failureCode?: string;
	/** What the endpoint that responded stated about itself. */
	statement?: {readonly endpoint: string; readonly hasLimit: boolean; readonly isLeaving: boolean};
	/** When the caller closed its connection before the response was complete. */
	disconnectedAt?: Milliseconds;
};

/** One request as recorded by an endpoint. */
export type ReceivedRequestRecord = {
	readonly requestId: string;
	readonly endpoint: string;
	/** Number of the endpoint's start among all starts. */
	readonly start: number;
	readonly service: string;
	readonly availabilityZone: string;
	readonly receivedAt: Milliseconds;
	/** False when the endpoint stated that it did not run the request. */
	readonly isExecuted: boolean;
	/** False when the request was meant for another endpoint. */
	readonly isExpected: boolean;
	/** Time after which the endpoint takes requests of the sender again, if it turned this one away and said so. */
	readonly retryAfterMs?: Milliseconds;
	readonly closedAt?: Milliseconds;
};

/** A change of the site, with the time at which the store acknowledged it. */
export type SiteEvent
	= | {readonly kind: 'endpoint-draining'; readonly endpoint: string; readonly at: Milliseconds}
		/** The endpoint closes its connections, also those of requests that it works on. */
		| {readonly kind: 'endpoint-ended'; readonly endpoint: string; readonly at: Milliseconds}
		| {readonly kind: 'configuration-published'; readonly at: Milliseconds}
		| {readonly kind: 'store-restored'; readonly at: Milliseconds}
		| {readonly kind: 'hang-up'; readonly instance: string; readonly at: Milliseconds}
		| {readonly kind: 'endpoint-cold'; readonly endpoint: string; readonly at: Milliseconds; readonly until: Milliseconds}
		| {readonly kind: 'endpoint-limited'; readonly endpoint: string; readonly perSecond: number; readonly at: Milliseconds; until: Milliseconds}
		| {readonly kind: 'endpoint-states-leaving'; readonly endpoint: string; readonly at: Milliseconds; until: Milliseconds}
		| {readonly kind: 'engine-crashed'; readonly endpoint: string; readonly part: string; readonly at: Milliseconds}
		| {readonly kind: 'zone-evacuated'; readonly availabilityZone: string; readonly at: Milliseconds; until: Milliseconds}
		| {readonly kind: 'key-revoked'; readonly key: string; readonly at: Milliseconds}
		| {readonly kind: 'lookups-moved'; readonly service: string; readonly at: Milliseconds; until: Milliseconds}
		| {readonly kind: 'stop-requested'; readonly instance: string; readonly at: Milliseconds; until: Milliseconds};

/** The period of an unplanned fault. Without an instance it concerns the endpoints. */
export type FaultPeriod = {
	readonly kind: string;
	readonly instance?: string;
	/** Set when it concerns the connections to one endpoint. */
	readonly endpoint?: string;
	readonly at: Milliseconds;
	until: Milliseconds;
};

/** What one process logged. */
export type ProcessRecord = {
	readonly instance: string;
	/** Configuration versions that it adopted, in order. */
	readonly versions: readonly number[];
	/** Requests that were neither waiting nor in an attempt, or both. */
	readonly invalidRequestIds: readonly string[];
};

/** A process that ended without being asked to. */
export type ProcessExit = {
	readonly instance: string;
	readonly at: Milliseconds;
};

/** Everything that callers, endpoints and the soak itself recorded. */
export type History = {
	readonly requests: readonly RequestRecord[];
	readonly receivedRequests: readonly ReceivedRequestRecord[];
	readonly events: readonly SiteEvent[];
	readonly faultPeriods: readonly FaultPeriod[];
	readonly processes: readonly ProcessRecord[];
	readonly exits: readonly ProcessExit[];
	/** Requests to every instance, sent after all faults had ended. */
	readonly finalRequests: readonly RequestRecord[];
};
