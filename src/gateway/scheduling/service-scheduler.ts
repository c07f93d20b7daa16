import type {Clock, Milliseconds} from '../../shared/clock.js';
import type {ColdRateLimiter} from '../limits/cold-rate-limiter.js';
import type {EndpointRecord, Service} from '../site/types.js';
import {EndpointLoad, attemptOutcomes, type AttemptOutcome} from './endpoint-load.js';
import {EventCountEstimator} from './event-count-estimator.js';
import {
	canFinish, selectEndpoint, type Candidate, type PlacementRequest,
} from './placement.js';
import {lateRank, DispatchRate} from './dispatch-rate.js';
import {refusalReasons, type RefusalReason, type WaitingRequest} from './types.js';
import {WaitingQueue} from './waiting-queue.js';

/** Requests that an endpoint gets for each of its slots before the others wait here. */
const requestsPerSlot = 1;

/** Part of an endpoint's connections that all instances together use at most; the rest covers instances that count their members differently. */
const usedConnectionRatio = 0.8;

/** Least time that a request needs at an endpoint to be worth a start, in milliseconds. */
const minimumResponseMs: Milliseconds = 60;

/** Time after which a caller may come back whose request all endpoints have rejected. */
const rejectedRetryAfterMs: Milliseconds = 1000;

/**
Part of a refused caller's remaining time after which it may come back, least and most. Bursts last for seconds, callers heed at most a third, and the spread keeps them from coming back together.
*/
const retryAfterRatio = {minimum: 0.2, maximum: 0.33} as const;

export type ServiceSchedulerOptions = {
	readonly service: Service;
	readonly clock: Clock;
	readonly coldRateLimiter: ColdRateLimiter;
	readonly availabilityZone: string;
	/** Requests of the other instances under way at an endpoint. */
	readonly peerInFlightAt: (endpointId: string) => number;
	/** Hosts of all instances, this one among them. */
	readonly members: () => readonly string[];
	readonly memberCount: () => number;
	/** Whether this process has looked for the others long enough to know its part of a cold endpoint's rate. */
	readonly knowsMembers: () => boolean;
	/** Draws from 0 to below 1. */
	readonly random: () => number;
};

/** What an ended stream tells of lengths and speeds. */
export type StreamMeasurements = {
	/** Mean time between its events, if it had enough of them. */
	readonly eventIntervalMs?: Milliseconds;
	/** Events of the whole stream. */
	readonly events?: number;
	readonly expectedOutputTokens?: number;
};

/** Gives the requests of one service to its endpoints: who is next, and where. */
export class ServiceScheduler {
	static create(options: ServiceSchedulerOptions): ServiceScheduler {
		return new ServiceScheduler(options);
	}

	readonly #queue = WaitingQueue.create();
	readonly #dispatchRate = DispatchRate.create();
	readonly #eventCounts = EventCountEstimator.create();
	readonly #loads = new Map<string, EndpointLoad>();
	/** Endpoints that left while requests of this instance were under way there. */
	readonly #removedLoads = new Map<string, EndpointLoad>();
	#evacuatedZones: ReadonlySet<string> = new Set();
	#service: Service;

	private constructor(private readonly options: ServiceSchedulerOptions) {
		this.#service = options.service;
	}

	get waiting(): number {
		return this.#queue.size;
	}

	get loads(): ReadonlyMap<string, EndpointLoad> {
		return this.#loads;
	}

	setService(service: Service): void {
		this.#service = service;
	}

	/** Takes over the endpoints of the service and the zones that may get no new request. */
	setEndpoints(records: Iterable<EndpointRecord>, evacuatedZones: ReadonlySet<string>): void {
		const now = this.options.clock.now();
		this.#evacuatedZones = evacuatedZones;
		const ids = new Set<string>();
		for (const record of records) {
			ids.add(record.id);
			const load = this.#loads.get(record.id);
			if (load === undefined) {
				this.#loads.set(record.id, EndpointLoad.create(record, now));
			} else {
				load.update(record, now);
			}
		}

		for (const [id, load] of this.#loads) {
			if (!ids.has(id)) {
				this.#loads.delete(id);
				this.options.coldRateLimiter.forget(id);
				if (load.inFlight > 0) {
					this.#removedLoads.set(id, load);
				}
			}
		}

		this.dispatchWaiting();
	}

	/** Starts a request, lets it wait, or refuses it when those before it need more time than it has. */
	submit(request: WaitingRequest): void {
		const now = this.options.clock.now();
		const ahead = this.#queue.onTimeAhead(request.tier);
		this.#queue.add(request);
		this.dispatchWaiting();
		if (this.#queue.has(request)) {
			this.#refuseIfTooLate(request, this.#expectedWaitMs(request, ahead, now), now);
		}
	}

	/** Takes a request back whose caller has left or whose time has ended. */
	withdraw(request: WaitingRequest): boolean {
		return this.#queue.remove(request);
	}

	/** Records that a request at an endpoint has ended. */
	recordOutcome(endpointId: string, outcome: AttemptOutcome, {eventIntervalMs: eventMs, events, expectedOutputTokens: announcedTokens}: StreamMeasurements = {}): void {
		const now = this.options.clock.now();
		if (outcome === attemptOutcomes.completed && events !== undefined && announcedTokens !== undefined) {
			this.#eventCounts.recordStream(announcedTokens, events);
		}

		const load = this.#loads.get(endpointId) ?? this.#removedLoads.get(endpointId);
		if (load?.recordOutcome(outcome, now, eventMs) === true && this.#service.coldRequestsPerSecond > 0) {
			load.assumeColdUntil(now + this.#service.coldStartMs);
		}

		if (load?.inFlight === 0) {
			this.#removedLoads.delete(endpointId);
		}

		this.dispatchWaiting();
	}

	/** Gives out all places that are free. */
	dispatchWaiting(): void {
		if (this.#queue.size > 0) {
			const now = this.options.clock.now();
			this.#moveLate(now);
			this.#dispatchInOrder(now);
			this.#dispatchRate.recordQueueState(this.#queue.size === 0, now);
		}
	}

	/** A request that has become late waits on only if a place is expected in time for its caller. */
	#moveLate(now: Milliseconds): void {
		for (const request of this.#queue.moveLate(now, minimumResponseMs)) {
			this.#refuseIfTooLate(request, this.#dispatchRate.expectedWaitMs(lateRank, this.#queue.lateAhead(request.tier) - 1, now), now);
		}
	}

	/**
	Expected time until a new request gets a place. One that is expected to be late will stand behind all that are in time, so a caller who can't be served late either hears so at once.
	*/
	#expectedWaitMs({tier, targetAt}: WaitingRequest, onTimeAhead: number, now: Milliseconds): Milliseconds | undefined {
		const waitMs = this.#dispatchRate.expectedWaitMs(tier, onTimeAhead, now);
		if (waitMs === undefined || now + waitMs + minimumResponseMs <= targetAt) {
			return waitMs;
		}

		return Math.max(waitMs, this.#dispatchRate.expectedWaitMs(lateRank, this.#queue.lateAhead(tier), now) ?? 0);
	}

	#refuseIfTooLate(request: WaitingRequest, expectedWaitMs: Milliseconds | undefined, now: Milliseconds): void {
		if (expectedWaitMs !== undefined && now + expectedWaitMs > request.latestDispatchAt && this.#queue.remove(request)) {
			this.#refuse(request, refusalReasons.overloaded, this.#retryAfterMs(request, now), expectedWaitMs);
		}
	}

	#refuse(request: WaitingRequest, reason: RefusalReason, retryAfterMs: Milliseconds, expectedWaitMs?: Milliseconds): void {
		request.refuse({
			reason, retryAfterMs, expectedWaitMs, waiting: this.#queue.size,
		});
	}

	#retryAfterMs({deadlineAt: giveUpAt}: WaitingRequest, now: Milliseconds): Milliseconds {
		const {minimum: least, maximum: most} = retryAfterRatio;
		return Math.max(0, giveUpAt - now) * (least + ((most - least) * this.options.random()));
	}

	#dispatchInOrder(now: Milliseconds): void {
		for (const request of this.#queue.inOrder()) {
			if (now > request.latestDispatchAt) {
				this.#queue.remove(request);
				this.#refuse(request, refusalReasons.waitedTooLong, this.#retryAfterMs(request, now));
				continue;
			}

			const candidates = this.#candidates(request, now);
			const endpoint = this.#selectEndpoint(candidates, request, now);
			if (endpoint === undefined) {
				if (candidates.length > 0) {
					continue;
				}

				if (request.excluded.size === 0) {
					return;
				}

				if (this.#hasTriedAll(request)) {
					this.#queue.remove(request);
					this.#refuse(request, refusalReasons.noEndpoint, rejectedRetryAfterMs);
				}

				continue;
			}

			this.#dispatchRate.recordDispatch(this.#queue.isLate(request) ? lateRank : request.tier, now);
			this.#queue.remove(request);
			this.#loads.get(endpoint.endpointId)!.recordDispatch();
			this.options.coldRateLimiter.recordRequest(endpoint.endpointId, now);
			request.dispatch(endpoint.endpointId, endpoint.inFlight);
		}
	}

	/** A request waits for an endpoint that is expected to finish it in time, if there is one; a run that is cut off at the caller's deadline takes a place for nothing. */
	#selectEndpoint(candidates: readonly Candidate[], {expectedOutputTokens: announcedTokens, promptTokens, deadlineAt: giveUpAt, excluded}: WaitingRequest, now: Milliseconds): Candidate | undefined {
		const request: PlacementRequest = {expectedEvents: this.#eventCounts.estimate(announcedTokens), promptTokens, remainingMs: giveUpAt - now};
		const suitable = candidates.filter(({eventIntervalMs: eventMs}) => canFinish(request, eventMs));
		if (suitable.length > 0 || this.#canAnyFinish(request, excluded, now)) {
			return selectEndpoint(suitable, request);
		}

		return selectEndpoint(candidates, request);
	}

	/** Whether an endpoint that may have no room at present could finish a request in time. */
	#canAnyFinish(request: PlacementRequest, excluded: ReadonlySet<string>, now: Milliseconds): boolean {
		for (const load of this.#loads.values()) {
			if (!excluded.has(load.record.id) && this.#acceptsRequests(load, now) && !load.isFailing && canFinish(request, load.eventIntervalMs)) {
				return true;
			}
		}

		return false;
	}

	/** Whether no endpoint is left that could get the request later. */
	#hasTriedAll(request: WaitingRequest): boolean {
		for (const {record} of this.#loads.values()) {
			if (!record.isLeaving && !request.excluded.has(record.id)) {
				return false;
			}
		}

		return true;
	}

	/** Endpoints that have room for a request. */
	#candidates(request: WaitingRequest, now: Milliseconds): Candidate[] {
		const candidates: Candidate[] = [];
		for (const load of this.#loads.values()) {
			const {record} = load;
			if (request.excluded.has(record.id) || !this.#canDispatchTo(load, now)) {
				continue;
			}

			const running = load.inFlight + this.options.peerInFlightAt(record.id);
			if (running < record.slots * requestsPerSlot) {
				candidates.push({
					endpointId: record.id,
					slots: record.slots,
					inFlight: running,
					isFailing: load.isFailing,
					eventIntervalMs: load.eventIntervalMs,
					isSameZone: record.availabilityZone === this.options.availabilityZone,
				});
			}
		}

		return candidates;
	}

	/** Whether an endpoint takes new requests at all. */
	#acceptsRequests(load: EndpointLoad, now: Milliseconds): boolean {
		const {isLeaving, availabilityZone} = load.record;
		return !isLeaving && !this.#evacuatedZones.has(availabilityZone) && !load.isPaused(now);
	}

	#canDispatchTo(load: EndpointLoad, now: Milliseconds): boolean {
		if (!this.#acceptsRequests(load, now)) {
			return false;
		}

		if (load.inFlight >= Math.max(1, Math.floor(usedConnectionRatio * this.#service.maximumConnections / this.options.memberCount()))) {
			return false;
		}

		const {coldRequestsPerSecond} = this.#service;
		if (coldRequestsPerSecond === 0 || !load.isCold(now)) {
			return true;
		}

		const {coldRateLimiter: coldLimits, members, knowsMembers} = this.options;
		return knowsMembers() && coldLimits.permits(load.record.id, coldLimits.ownLimit(load.record.id, coldRequestsPerSecond, members()), now);
	}
}
