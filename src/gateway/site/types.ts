import type {Milliseconds} from '../../shared/clock.js';

/** Whether and how a request on a route may be retried. */
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
	/** Target for the time to the response, or to the first event of a stream. Up to this time a response earns full credit. */
	readonly targetLatencyMs: Milliseconds;
	/** Tier 0 is served first. */
	readonly tier: number;
	readonly targets: readonly RouteTarget[];
	/** Maximum number of endpoints to which one attempt of a caller may be sent. */
	readonly maximumEndpoints: number;
	readonly allowsAnonymous: boolean;
	/** Longest pause between events with which a stream is on time; 0 when there is no target. */
	readonly eventGapTargetMs: Milliseconds;
	/** Whether a stream may be resumed at another endpoint after its last complete event. */
	readonly isResumable: boolean;
};

export type Service = {
	readonly name: string;
	/** Maximum number of connections that one endpoint accepts from all instances together. */
	readonly maximumConnections: number;
	readonly coldStartMs: Milliseconds;
	/** Requests per second that a cold endpoint can handle; 0 when the service has no cold start. */
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
	/** Tokens charged for a request without token counts. */
	readonly defaultTokens: number;
};

export type Workspace = {
	readonly name: string;
	readonly keys: readonly string[];
	/** Overrides the tier of the route. */
	readonly tier?: number;
	readonly quota?: Quota;
};

/** Limits on the size of callers' requests and on the time that callers may take. */
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
	/** Undefined where keys have no meaning. */
	readonly workspaces?: readonly Workspace[];
	readonly limits: CallerLimits;
};

/** The record that an endpoint writes about itself. */
export type EndpointRecord = {
	/** Identifies one endpoint; a later start may use it again. */
	readonly id: string;
	/** Distinguishes starts with the same id: the wall-clock time of the start in milliseconds. */
	readonly startedAt: number;
	readonly service: string;
	/** Host and port. */
	readonly address: string;
	readonly availabilityZone: string;
	/** Maximum number of requests that it runs concurrently. */
	readonly slots: number;
	readonly isLeaving: boolean;
	/** How long the endpoint stays cold, counted from when the record was written. */
	readonly coldRemainingMs: Milliseconds;
};

/** A record that can't be decoded. */
export type RejectedRecord = {
	readonly key: string;
	readonly reason: string;
};

/** Result of one complete read of the platform's store. */
export type SiteSnapshot = {
	/** Undefined before the operator has written the first one. */
	readonly configuration?: SiteConfiguration;
	readonly endpoints: readonly EndpointRecord[];
	readonly evacuatedZones: ReadonlySet<string>;
	readonly rejected: readonly RejectedRecord[];
	/** The store's revision when the first page was read. */
	readonly revision: number;
	/** Number of the store's restores from older copies. Revisions are comparable within one era only. Undefined when the store does not state it. */
	readonly era?: number;
	/** Revision of each endpoint's record. */
	readonly endpointRevisions?: ReadonlyMap<string, number>;
	/** Equal for reads with the same content, at whichever instance. */
	readonly digest: string;
	/** The same for the configuration alone. */
	readonly configurationDigest: string;
};

/** What an instance knows of the site, in a few bytes: another instance whose state has the same digest can take over its date. */
export type SiteConfirmation = {
	readonly digest: string;
	readonly configurationDigest: string;
	/** Time since the read that confirmed the state was sent. */
	readonly ageMs: Milliseconds;
	/** Time for which records of live endpoints may still be missing in the store, as far as this instance knows; 0 when it has read the store without a gap. */
	readonly recordGraceMs: Milliseconds;
	/** Era of the store in the read that confirmed the state; undefined when the store does not state it. */
	readonly era?: number;
	/** Longest time for which this instance keeps something in force that a restore of the store has lost; 0 when it keeps nothing. */
	readonly heldMs: Milliseconds;
};
