import type {Milliseconds} from '../../shared/clock.js';

/** Why a request was not given to an endpoint. It has not run. */
export const refusalReasons = {
	/** The service has no endpoint that may get requests. */
	noEndpoint: 'no-endpoint',
	/** Those who wait already need all the time that this request has. */
	overloaded: 'overloaded',
	/** Its time ended while it waited. */
	waitedTooLong: 'waited-too-long',
} as const;

export type RefusalReason = (typeof refusalReasons)[keyof typeof refusalReasons];

/** A refusal with the figures that decided it. */
export type Refusal = {
	readonly reason: RefusalReason;
	/** When the caller may come back. */
	readonly retryAfterMs: Milliseconds;
	/** Expected time until a place, when that was the reason. */
	readonly expectedWaitMs?: Milliseconds;
	/** Requests that waited at this instance. */
	readonly waiting: number;
};

/** A request that waits for an endpoint. */
export type WaitingRequest = {
	/** 0 is served first. */
	readonly tier: number;
	/** Until then the first event, or the response, earns full credit. */
	readonly targetAt: Milliseconds;
	/** After that a start is of no use, because the caller leaves before the first event. */
	readonly latestDispatchAt: Milliseconds;
	/** After that nobody waits for the response. */
	readonly deadlineAt: Milliseconds;
	readonly promptTokens: number;
	/** Output tokens that the caller expects, if it says so. */
	readonly expectedOutputTokens?: number;
	/** Endpoints that are not to be tried (again). */
	readonly excluded: ReadonlySet<string>;
	/** @param inFlight requests of all instances under way at the endpoint, as far as known, before this one */
	readonly dispatch: (endpointId: string, inFlight: number) => void;
	readonly refuse: (refusal: Refusal) => void;
};
