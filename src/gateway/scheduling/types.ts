import type {Milliseconds} from '../../shared/clock.js';
import type {EndpointStart} from '../site/endpoint-start.js';
import type {EndpointRecord} from '../site/types.js';
import type {AttemptOutcome} from './endpoint-load.js';

/** Why a request was not dispatched. It has not run. */
export const refusalReasons = {
	/** The service has no endpoint that accepts requests. */
	noEndpoint: 'no-endpoint',
	/** The expected wait behind the queued requests exceeds the time that the request has. */
	overloaded: 'overloaded',
	/** Its latest dispatch time passed while it waited. */
	waitedTooLong: 'waited-too-long',
	/** The process ends too soon for a response. */
	stopping: 'stopping',
} as const;

export type RefusalReason = (typeof refusalReasons)[keyof typeof refusalReasons];

/** A refusal with the values that it is based on. */
export type Refusal = {
	readonly reason: RefusalReason;
	/** Time after which the caller may retry. */
	readonly retryAfterMs: Milliseconds;
	/** Expected time until a free slot, when that was the reason. */
	readonly expectedWaitMs?: Milliseconds;
	/** Requests that were waiting at this instance. */
	readonly waiting: number;
};

/** A request that waits to be dispatched. */
export type WaitingRequest = {
	/** 0 is served first. */
	readonly tier: number;
	/** A response or first event until then earns full credit. */
	readonly targetAt: Milliseconds;
	/** A later dispatch is of no use, because the caller disconnects before the first event. */
	readonly latestDispatchAt: Milliseconds;
	/** Time at which the caller gives up. */
	readonly deadlineAt: Milliseconds;
	readonly promptTokens: number;
	/** Workspace of the caller, if the configuration has workspaces. */
	readonly workspace?: string;
	/** Share of the workspace relative to others: its quota per second. */
	readonly workspaceWeight?: number;
	/** Output tokens that the caller expects, if known. */
	readonly expectedOutputTokens?: number;
	/** Endpoints that the request must not be dispatched to (again). */
	readonly excluded: ReadonlySet<string>;
	/** Whether the caller has received a part of the response. */
	readonly hasBegun: () => boolean;
	/** If set, endpoints must have sent something since then, or must be idle while not all others are silent. */
	readonly answeredSince?: Milliseconds;
	/** @param inFlight known requests of all instances in flight at the endpoint, without this one */
	readonly dispatch: (endpointId: string, inFlight: number) => void;
	readonly refuse: (refusal: Refusal) => void;
};

/** What a request is expected to need. */
export type RequestNeed = {
	/** Time from its dispatch to its response or first event. */
	readonly firstEventMs: Milliseconds;
	/** Time in a slot. */
	readonly slotMs: Milliseconds;
};

/** An order of waiting requests. See `WaitingQueue` for the methods. */
export type RequestOrder = {
	add(request: WaitingRequest, isLate?: boolean): void;
	remove(request: WaitingRequest, isDispatched: boolean): void;
	isLate(request: WaitingRequest): boolean;
	latestOnTimeDispatch(request: WaitingRequest, minimumResponseMs: Milliseconds): Milliseconds;
	onTimeAhead(tier: number, request?: WaitingRequest): number;
	lateAhead(tier: number, request?: WaitingRequest): number;
	moveLate(now: Milliseconds, minimumResponseMs: Milliseconds): WaitingRequest[];
	inOrder(): Generator<WaitingRequest>;
};

/** How endpoints restrict their use by what they have stated in responses. */
export type EndpointRestrictions = {
	isLeaving(endpoint: EndpointRecord): boolean;
	/** When it takes requests of this instance again; in the past when it does now. */
	retryAt(endpoint: EndpointRecord): Milliseconds;
	/** Whether it limits the requests of all instances together. */
	isLimited(endpoint: EndpointRecord): boolean;
	/** Asks for permission to send a request to a limited endpoint unless this instance has it. Returns whether it has it now; when it arrives later, waiting requests are dispatched. */
	ensurePermit(endpoint: EndpointRecord): boolean;
	/** As `ensurePermit`, but asks for nothing. */
	hasPermit(endpoint: EndpointRecord): boolean;
	takePermit(endpoint: EndpointRecord): void;
};

/** Endpoints of one service in one availability zone whose slots one instance assigns for all. */
export type SlotGroup = {
	readonly service: string;
	readonly availabilityZone: string;
	/** Large groups are split; 0 otherwise. */
	readonly part: number;
};

/** A group in which this instance could use a slot for a request. */
export type SlotPlace = {
	readonly group: SlotGroup;
	readonly isSameZone: boolean;
	/** Free slots at the usable endpoints by what this instance knows, which may be late. */
	readonly freeSlots: number;
	/** Ids of endpoints of the group that this instance can't use for the request. */
	readonly unusable: readonly string[];
};

/** What is to be done with a request that needs a slot. */
export type SlotDecision
	= | {readonly kind: 'wait'}
		/** No coordinator answers: this instance selects an endpoint itself. */
		| {readonly kind: 'place'}
		| {readonly kind: 'granted'; readonly start: EndpointStart}
		| {readonly kind: 'refused'; readonly expectedWaitMs: Milliseconds};

/** Measurements of the end of a granted request. */
export type SlotMeasurements = {
	readonly firstEventMs?: Milliseconds;
	readonly eventIntervalMs?: Milliseconds;
	readonly durationMs?: Milliseconds;
	readonly promptTokens?: number;
};

/** Obtains slots at endpoints that are coordinated between the instances. */
export type SlotSource = {
	/** Asks for a slot unless the request waits for one, and returns what is to be done with the request now. */
	decide(request: WaitingRequest, expectedEvents: number, findPlaces: () => readonly SlotPlace[]): SlotDecision;
	/** Whether a coordinator decides about the request. */
	isPending(request: WaitingRequest): boolean;
	/** Whether the coordinator of a group has named free slots lately. */
	hasFreeSlots(group: SlotGroup): boolean;
	/** Records that a granted request is dispatched to the endpoint of its grant. */
	accept(request: WaitingRequest): void;
	/** Returns the slot of a grant that can't be used. The request asks again, for another endpoint. */
	decline(request: WaitingRequest): void;
	/** Records that a request does not wait for a slot any more. */
	forget(request: WaitingRequest): void;
	/** Records the end of a request at an endpoint at which this instance has `inFlight` others. Releases the grants that exceed these. */
	recordEnd(start: EndpointStart, inFlight: number, outcome: AttemptOutcome, measurements: SlotMeasurements): void;
};
