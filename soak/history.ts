import type {Milliseconds} from '../src/shared/clock.js';

export const requestKinds = {
	/** May be repeated. */
	lookup: 'lookup',
	/** Runs at most once. */
	booking: 'booking',
	/** A stream that may go on at another endpoint. */
	stream: 'stream',
	/** A stream that runs at most once. */
	draft: 'draft',
} as const;

export type RequestKind = (typeof requestKinds)[keyof typeof requestKinds];

/** One request as its caller saw it. All times are of the soak's monotonic clock. */
export type RequestRecord = {
	readonly requestId: string;
	readonly kind: RequestKind;
	/** Host of the gateway that was called. */
	readonly instance: string;
	readonly key: string;
	readonly workspace: string;
	/** Units of the workspace's quota. */
	readonly units: number;
	readonly sentAt: Milliseconds;
	endedAt: Milliseconds;
	status?: number;
	body: string;
	isComplete: boolean;
	/** When the caller closed its connection before the answer was complete. */
	disconnectedAt?: Milliseconds;
};

/** One request as an endpoint saw it. */
export type ReceivedRequestRecord = {
	readonly requestId: string;
	readonly endpoint: string;
	readonly service: string;
	readonly availabilityZone: string;
	readonly receivedAt: Milliseconds;
	/** False when the endpoint stated that it did not run it. */
	readonly isExecuted: boolean;
	/** False when it was meant for another endpoint. */
	readonly isExpected: boolean;
	readonly closedAt?: Milliseconds;
};

/** A change of the site, with the time of the store's acknowledgement. */
export type SiteEvent
	= | {readonly kind: 'endpoint-draining'; readonly endpoint: string; readonly at: Milliseconds}
		| {readonly kind: 'endpoint-cold'; readonly endpoint: string; readonly at: Milliseconds; readonly until: Milliseconds}
		| {readonly kind: 'zone-evacuated'; readonly availabilityZone: string; readonly at: Milliseconds; until: Milliseconds}
		| {readonly kind: 'key-revoked'; readonly key: string; readonly at: Milliseconds}
		| {readonly kind: 'lookups-moved'; readonly service: string; readonly at: Milliseconds; until: Milliseconds}
		| {readonly kind: 'stop-requested'; readonly instance: string; readonly at: Milliseconds; until: Milliseconds};

/** A fault that was not planned. Without an instance it concerns the endpoints. */
export type FaultPeriod = {
	readonly kind: string;
	readonly instance?: string;
	readonly at: Milliseconds;
	until: Milliseconds;
};

/** Versions of the configuration that one process took over, in order. */
export type ProcessVersions = {
	readonly instance: string;
	readonly versions: readonly number[];
};

/** A process that ended without being asked to. */
export type ProcessExit = {
	readonly instance: string;
	readonly at: Milliseconds;
};

/** Everything that callers, endpoints and the soak itself noted. */
export type History = {
	readonly requests: readonly RequestRecord[];
	readonly receivedRequests: readonly ReceivedRequestRecord[];
	readonly events: readonly SiteEvent[];
	readonly faultPeriods: readonly FaultPeriod[];
	readonly processes: readonly ProcessVersions[];
	readonly exits: readonly ProcessExit[];
	/** Calls after all faults had ended, to every instance. */
	readonly finalRequests: readonly RequestRecord[];
};
