import type {Milliseconds} from '../../shared/clock.js';

/** What may be repeated of a request on a route. */
export const requestKinds = {
	idempotent: 'idempotent',
	nonIdempotent: 'non-idempotent',
	streaming: 'streaming',
} as const;

export type RequestKind = (typeof requestKinds)[keyof typeof requestKinds];

export type RouteTarget = {
	readonly service: string;
	/** Relative share of the route's requests. */
	readonly weight: number;
};

export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: RequestKind;
	readonly timeoutMs: Milliseconds;
	/** Time to the response, or to the first event of a stream, that earns full credit. */
	readonly targetLatencyMs: Milliseconds;
	/** 0 is served first. */
	readonly tier: number;
	readonly targets: readonly RouteTarget[];
	/** Most endpoints to which one attempt of a caller may be sent. */
	readonly maximumEndpoints: number;
	readonly allowsAnonymous: boolean;
	/** Longest pause between events for which a stream is in time; 0 when it has none. */
	readonly eventGapTargetMs: Milliseconds;
	/** Whether a stream may go on at another endpoint after its last whole event. */
	readonly isResumable: boolean;
};

export type Service = {
	readonly name: string;
	/** Connections that one endpoint accepts from all instances together. */
	readonly maximumConnections: number;
	readonly coldStartMs: Milliseconds;
	/** Requests a second that a cold endpoint bears; 0 when the service has no cold start. */
	readonly coldRequestsPerSecond: number;
};

export const quotaUnits = {
	tokens: 'tokens',
	requests: 'requests',
} as const;

export type QuotaUnit = (typeof quotaUnits)[keyof typeof quotaUnits];

export type Quota = {
	readonly unit: QuotaUnit;
	readonly perSecond: number;
	readonly burst: number;
	/** Tokens that a request without token counts uses. */
	readonly defaultTokens: number;
};

export type Workspace = {
	readonly name: string;
	readonly keys: readonly string[];
	/** Overrides the tier of the route. */
	readonly tier?: number;
	readonly quota?: Quota;
};

/** What callers may send, and how long they may take. */
export type CallerLimits = {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	readonly headerTimeoutMs: Milliseconds;
	readonly idleTimeoutMs: Milliseconds;
};

export type SiteConfiguration = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly Service[];
	readonly workspaces: readonly Workspace[];
	readonly limits: CallerLimits;
};

/** What an endpoint says of itself. */
export type EndpointRecord = {
	/** Names one endpoint; it may be used again by a later start. */
	readonly id: string;
	/** Distinguishes starts under one id: the wall-clock time of the start in milliseconds. */
	readonly startedAt: number;
	readonly service: string;
	/** Host and port. */
	readonly address: string;
	readonly availabilityZone: string;
	/** Requests that it runs at once. */
	readonly slots: number;
	readonly isLeaving: boolean;
	/** Time that it stays cold, as of its writing. */
	readonly coldRemainingMs: Milliseconds;
};

/** A record that names no usable endpoint. */
export type RejectedRecord = {
	readonly key: string;
	readonly reason: string;
};

/** One complete reading of the platform's store. */
export type SiteSnapshot = {
	/** Undefined before the operator has written the first one. */
	readonly configuration?: SiteConfiguration;
	readonly endpoints: readonly EndpointRecord[];
	readonly evacuatedZones: ReadonlySet<string>;
	readonly rejected: readonly RejectedRecord[];
	/** The store's revision at the first page. */
	readonly revision: number;
};
