import type {Clock, Milliseconds} from '../../shared/clock.js';
import {placementObstacles, type PlacementExplanation, type PlacementObstacle} from '../../shared/explanation.js';
import type {ReadingProgress} from '../../shared/reading-progress.js';
import type {ColdRateLimiter} from '../limits/cold-rate-limiter.js';
import {groupEndpoints} from '../coordination/slot-groups.js';
import {startKey, type EndpointStart} from '../site/endpoint-start.js';
import type {EndpointRecord, Service} from '../site/types.js';
import {EndpointLoad, attemptOutcomes, type AttemptOutcome} from './endpoint-load.js';
import {
	ServiceSpeed, expectedRestMs, type FirstEventMeasurement, type RunKey,
} from './endpoint-speed.js';
import {EventCountEstimator} from './event-count-estimator.js';
import {withheldReasons, type ExtraAttemptSlot, type WithheldReason} from './extra-attempts.js';
import {
	canFinish, placementCost, selectByCapacity, selectEndpoint, type Candidate, type PlacementRequest,
} from './placement.js';
import {lateRank, DispatchRate} from './dispatch-rate.js';
import {RunDurationEstimator} from './run-duration-estimator.js';
import type {SchedulingFeatures} from './scheduling-features.js';
import {
	refusalReasons, type EndpointRestrictions, type RefusalReason, type RequestNeed, type SlotGroup, type SlotPlace, type SlotSource, type WaitingRequest,
} from './types.js';
import {WaitingQueue} from './waiting-queue.js';

/** Number of requests in flight for each slot of an endpoint above which further requests wait in the queue. */
const requestsPerSlot = 1;

/** Limit in place of `requestsPerSlot` while the requests of the peers are known late: an endpoint that is known to be full has completed some since. */
const lateRequestsPerSlot = 2;

/** Maximum fraction of an endpoint's connections that all instances together use; the rest allows for instances whose member lists differ. */
const usedConnectionRatio = 0.8;

/** Minimum time from dispatch to a response or first event. A request with less time left until its target is late. */
export const minimumResponseMs: Milliseconds = 60;

/** Time after which a caller may retry a request that all endpoints have rejected. */
const rejectedRetryAfterMs: Milliseconds = 1000;

/** Largest ratio by which the time until an endpoint takes requests again is extended for a refused caller, so that not all return at once. */
const returnSpreadRatio = 0.25;

/**
Range of the fraction of a refused caller's remaining time after which it may retry. Bursts last for seconds, callers obey a retry time of at most a third of their remaining time, and the spread prevents simultaneous retries.
*/
const retryAfterRatio = {minimum: 0.2, maximum: 0.33} as const;

export type ServiceSchedulerOptions = {
	readonly service: Service;
	readonly clock: Clock;
	readonly readingProgress: Pick<ReadingProgress, 'isLate' | 'afterRound'>;
	readonly coldRateLimiter: ColdRateLimiter;
	readonly availabilityZone: string;
	readonly restrictions: EndpointRestrictions;
	/** The optional parts of the scheduling that act now. */
	readonly features: () => SchedulingFeatures;
	/** Requests of the peers in flight at an endpoint. */
	readonly peerInFlightAt: (endpointId: string) => number;
	/** Whether the requests of the peers are known so late that many instances would select the same endpoint. */
	readonly isPeerLoadLate: () => boolean;
	/** Hosts of all instances, including this one. */
	readonly members: () => readonly string[];
	readonly memberCount: () => number;
	/** Number of instances that the limits of all are divided among. Default: that of the members. */
	readonly sharingCount?: () => number;
	/** Whether this process has listened for peers long enough to know its own limit at a cold endpoint. */
	readonly knowsMembers: () => boolean;
	/** Whether this process goes on for long enough to dispatch a request that is expected to run for this time. */
	readonly mayDispatch: (expectedRunMs: Milliseconds) => boolean;
	/** Returns a random number from 0 to below 1. */
	readonly random: () => number;
	/** Slots that are coordinated between the instances. Default: this instance selects endpoints itself. */
	readonly slots?: SlotSource;
	/** Whether requests of this service are coordinated, if the feature acts. */
	readonly isCoordinated?: (service: string) => boolean;
	/** Called for each dispatch and refusal. */
	readonly onDecision?: (decision: SchedulingDecision) => void;
};

/** What was decided about a waiting request, for the metrics. */
export type SchedulingDecision = {
	readonly request: WaitingRequest;
} & ({
	readonly kind: 'dispatched';
	readonly waitedMs: Milliseconds;
	/** Expected time in a slot. */
	readonly slotMs: Milliseconds;
} | {
	readonly kind: 'refused';
	readonly reason: RefusalReason;
});

/** Measurements of a run that has ended. */
export type RunMeasurements = {
	/** Start of the endpoint that the request was dispatched to. Default: the current one. */
	readonly startedAt?: number;
	/** Time from its dispatch, unless it continued a stream. */
	readonly durationMs?: Milliseconds;
	/** Average time between its events, if it had enough of them. */
	readonly eventIntervalMs?: Milliseconds;
	/** Of a run that has begun to respond, unless it continued a stream. */
	readonly firstEvent?: FirstEventMeasurement;
	/** The object that `recordStart` was called with. */
	readonly run?: RunKey;
	/** Events of the whole stream. */
	readonly events?: number;
	readonly expectedOutputTokens?: number;
};

/** What one pass over the queue needs to know about coordinated endpoints. */
type DispatchRun = {
	/** Whether there are endpoints with a free slot that are not coordinated. */
	readonly hasUncoordinated: boolean;
	/** Groups for requests that exclude no endpoint, once they are needed. */
	places: readonly SlotPlace[] | undefined;
};

type Selection = {
	readonly selected?: Candidate;
	/** Candidates that were not passed over for lack of a permit. */
	readonly others: readonly Candidate[];
};

/** Queues the requests of one service and dispatches them to its endpoints. */
export class ServiceScheduler {
	static create(options: ServiceSchedulerOptions): ServiceScheduler {
		return new ServiceScheduler(options);
	}

	readonly #queue = WaitingQueue.create(request => this.#need(request));
	readonly #dispatchRate = DispatchRate.create();
	readonly #eventCountEstimator = EventCountEstimator.create();
	readonly #runDurationEstimator = RunDurationEstimator.create();
	readonly #serviceSpeed = ServiceSpeed.create();
	readonly #loads = new Map<string, EndpointLoad>();
	/** By start: endpoints that were removed or started again while requests of this instance were in flight there. */
	readonly #removedLoads = new Map<string, EndpointLoad>();
	/** Requests that were submitted while dispatching was postponed, and the on-time requests ahead of each. */
	readonly #postponed = new Map<WaitingRequest, number>();
	#isPostponed = false;
	/** Groups of the endpoints whose slots are coordinated, by id. */
	#groups: ReadonlyMap<string, SlotGroup> = new Map();
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

	/** Whether a request can be dispatched before the process ends. Of a stream that has begun, the rest may be short. */
	accepts(request: WaitingRequest): boolean {
		return this.options.mayDispatch(request.hasBegun() ? 0 : this.#runDurationEstimator.expectedMs);
	}

	setService(service: Service): void {
		this.#service = service;
	}

	/** Sets the endpoints of the service and the availability zones that get no new requests. */
	setEndpoints(records: Iterable<EndpointRecord>, evacuatedZones: ReadonlySet<string>): void {
		const now = this.options.clock.now();
		this.#evacuatedZones = evacuatedZones;
		const ids = new Set<string>();
		for (const record of records) {
			ids.add(record.id);
			const load = this.#loads.get(record.id);
			if (load?.record.startedAt === record.startedAt) {
				load.update(record, now);
			} else {
				this.#keepWhileInFlight(load);
				this.#loads.set(record.id, this.#takeRemoved(record, now) ?? EndpointLoad.create(record, now, this.#serviceSpeed));
			}
		}

		for (const [id, load] of this.#loads) {
			if (!ids.has(id)) {
				this.#loads.delete(id);
				this.options.coldRateLimiter.forget(id);
				this.#keepWhileInFlight(load);
			}
		}

		this.#groups = groupEndpoints([...this.#loads.values()].map(({record}) => record));
		this.dispatchWaiting();
	}

	/** Returns the endpoints of a group that take requests now and whose slots are coordinated. Cold and limited ones have limits of their own. */
	coordinatedLoads({availabilityZone, part}: SlotGroup): EndpointLoad[] {
		const now = this.options.clock.now();
		return [...this.#loads.values()].filter(load => {
			const group = this.#groups.get(load.record.id);
			return group?.availabilityZone === availabilityZone && group.part === part && this.#isCoordinatedAt(load, now);
		});
	}

	/** Dispatches a request, queues it, or refuses it when its expected wait exceeds the time that it has. */
	submit(request: WaitingRequest): void {
		const now = this.options.clock.now();
		this.#queue.setFair(this.options.features().fairOrder);
		const ahead = this.#queue.onTimeAhead(request.tier, request);
		this.#queue.add(request, now);
		this.dispatchWaiting();
		if (this.#isPostponed) {
			this.#postponed.set(request, ahead);
		} else if (this.#queue.has(request)) {
			this.#refuseIfTooLate(request, this.#expectedWaitMs(request, ahead, now), now);
		}
	}

	isWaiting(request: WaitingRequest): boolean {
		return this.#queue.has(request);
	}

	/** Removes a request whose caller has disconnected or whose deadline has passed. */
	withdraw(request: WaitingRequest): boolean {
		this.#postponed.delete(request);
		return this.#dequeue(request);
	}

	/**
	Records that a request is sent to an endpoint, so that its first event is expected.

	@param run stands for the attempt until `recordOutcome`
	*/
	recordStart(endpointId: string, run: RunKey, promptTokens: number, loadRatio: number): void {
		this.#loads.get(endpointId)?.speed.recordStart(run, promptTokens, loadRatio, this.options.clock.now());
	}

	/**
	Records that an endpoint has sent a response head or an event.

	@param run the attempt, if it was an event that the caller waits for
	*/
	recordHeard(endpointId: string, run?: RunKey): void {
		const load = this.#loads.get(endpointId);
		const now = this.options.clock.now();
		load?.recordHeard(now);
		if (run !== undefined) {
			load?.speed.recordEvent(run, now);
		}
	}

	/** Takes a slot for a second attempt beside a slow one. Returns why there is none: it must not delay or displace any other request. */
	selectForExtraAttempt(request: WaitingRequest): ExtraAttemptSlot | WithheldReason {
		if (this.#queue.size > 0) {
			return withheldReasons.waiting;
		}

		if (this.options.readingProgress.isLate()) {
			return withheldReasons.unread;
		}

		if (!this.accepts(request)) {
			return withheldReasons.stopping;
		}

		const now = this.options.clock.now();
		const candidates = this.#candidates(request, now).filter(({endpointId, inFlight, slots, isFailing}) => {
			const load = this.#loads.get(endpointId)!;
			return inFlight < slots && !isFailing && this.#hasNamedFreeSlots(endpointId) && !load.isCold(now) && !load.isBrieflySilent(now) && load.speed.slowdown(now) === 1 && !this.options.restrictions.isLimited(load.record);
		});
		const selected = this.#selectEndpoint(candidates, request, now);
		if (selected === undefined) {
			return withheldReasons.noEndpoint;
		}

		const {endpointId, inFlight} = selected;
		this.#loads.get(endpointId)!.recordDispatch(now);
		this.options.coldRateLimiter.recordRequest(endpointId, now);
		return {endpointId, inFlight};
	}

	/** Tells where a request would go now and why, by the functions that decide it. Changes nothing, and asks for no permit. */
	explain(request: WaitingRequest): PlacementExplanation {
		const {restrictions, isPeerLoadLate} = this.options;
		const now = this.options.clock.now();
		const isPermitted = (record: EndpointRecord) => !restrictions.isLimited(record) || restrictions.hasPermit(record);
		const leftOut: Array<{endpoint: string; reason: PlacementObstacle}> = [];
		for (const load of this.#loads.values()) {
			const {record} = load;
			const reason = this.#findObstacle(load, request, now) ?? (isPermitted(record) ? undefined : placementObstacles.limited);
			if (reason !== undefined) {
				leftOut.push({endpoint: record.id, reason});
			}
		}

		const left = new Set(leftOut.map(({endpoint}) => endpoint));
		const withSlot = this.#candidates(request, now);
		const candidates = withSlot.filter(({endpointId}) => !left.has(endpointId));
		const {selected, others} = now > request.latestDispatchAt || !this.accepts(request) ? {selected: undefined, others: withSlot} : this.#selectPermitted(withSlot, request, now, isPermitted);
		const ahead = this.#requestsAhead(request);
		const isLate = this.#queue.isLate(request);
		const waitMs = isLate ? this.#dispatchRate.expectedWaitMs(lateRank, ahead, now) : this.#expectedWaitMs(request, ahead, now);
		const expectedWaitMs = selected === undefined ? waitMs : 0;
		const placementRequest = this.#placementRequest(request, now);
		return {
			selected: selected?.endpointId,
			isCoordinated: this.#isCoordinating(),
			isRandom: isPeerLoadLate() && candidates.length > 1,
			candidates: candidates.map(candidate => ({
				endpoint: candidate.endpointId,
				costMs: placementCost(candidate, placementRequest),
				inFlight: candidate.inFlight,
				slots: candidate.slots,
				isFailing: candidate.isFailing,
				isSameZone: candidate.isSameZone,
				canFinish: canFinish(placementRequest, candidate),
			})),
			leftOut,
			waiting: this.#queue.size,
			ahead,
			isLate,
			// JSON has no infinity.
			expectedWaitMs: expectedWaitMs === Infinity ? undefined : expectedWaitMs,
			refusal: selected === undefined ? this.#findRefusal(request, others.length > 0 || this.#isBehindWaiting(ahead, isPermitted, now), expectedWaitMs, now) : undefined,
		};
	}

	/** Requests that this instance may send to an endpoint within the window of the cold rate; undefined when the endpoint is not cold. */
	findColdLimit(endpointId: string): number | undefined {
		const load = this.#loads.get(endpointId);
		return load && this.#findColdLimit(load, this.options.clock.now());
	}

	/** Records the end of a request at an endpoint and dispatches waiting requests to the free slot. */
	recordOutcome(endpointId: string, outcome: AttemptOutcome, measurements: RunMeasurements = {}): void {
		const now = this.options.clock.now();
		const {startedAt, durationMs, eventIntervalMs, firstEvent, run, events, expectedOutputTokens} = measurements;
		if (outcome === attemptOutcomes.completed && durationMs !== undefined) {
			this.#runDurationEstimator.recordRun(durationMs);
		}

		if (outcome === attemptOutcomes.completed && events !== undefined && expectedOutputTokens !== undefined) {
			this.#eventCountEstimator.recordStream(expectedOutputTokens, events);
		}

		const load = this.#findLoad(endpointId, startedAt);
		if (run !== undefined) {
			load?.speed.recordEnd(run);
		}

		if (firstEvent !== undefined) {
			load?.speed.recordFirstEvent(firstEvent);
		}

		if (load?.recordOutcome(outcome, now, eventIntervalMs) === true && this.#service.coldRequestsPerSecond > 0) {
			load.assumeColdUntil(now + this.#service.coldStartMs);
		}

		if (load !== undefined) {
			this.options.slots?.recordEnd(load.record, load.inFlight, outcome, {
				firstEventMs: firstEvent?.firstEventMs, eventIntervalMs, durationMs, promptTokens: firstEvent?.promptTokens,
			});
		}

		if (load?.inFlight === 0) {
			this.#removedLoads.delete(startKey(load.record));
		}

		this.dispatchWaiting();
	}

	/** Dispatches waiting requests as long as there are free slots. Refuses those that the process can't dispatch before it ends. When callers may have left unnoticed, it does so at the end of the round, which reads that. */
	dispatchWaiting(): void {
		const {readingProgress} = this.options;
		if (this.#queue.size === 0 || this.#isPostponed) {
			return;
		}

		if (!readingProgress.isLate()) {
			this.#dispatchNow();
			return;
		}

		this.#isPostponed = true;
		readingProgress.afterRound(() => {
			this.#isPostponed = false;
			this.#dispatchPostponed();
		});
	}

	#keepWhileInFlight(load: EndpointLoad | undefined): void {
		if (load !== undefined && load.inFlight > 0) {
			this.#removedLoads.set(startKey(load.record), load);
		}
	}

	/** Returns the load of a start whose record was missing for a moment. */
	#takeRemoved(record: EndpointRecord, now: Milliseconds): EndpointLoad | undefined {
		const key = startKey(record);
		const load = this.#removedLoads.get(key);
		this.#removedLoads.delete(key);
		load?.update(record, now);
		return load;
	}

	#findLoad(endpointId: string, startedAt: number | undefined): EndpointLoad | undefined {
		const load = this.#loads.get(endpointId);
		if (load !== undefined && (startedAt === undefined || load.record.startedAt === startedAt)) {
			return load;
		}

		return [...this.#removedLoads.values()].find(({record}) => record.id === endpointId && (startedAt === undefined || record.startedAt === startedAt));
	}

	#dispatchNow(): void {
		this.#queue.setFair(this.options.features().fairOrder);
		this.#refuseUnacceptable();
		const now = this.options.clock.now();
		for (const request of this.#queue.takeExpired(now)) {
			this.options.slots?.forget(request);
			this.#refuse(request, refusalReasons.waitedTooLong, this.#retryAfterMs(request, now));
		}

		if (this.#areAllBrieflySilent(now)) {
			this.#dispatchRate.restart(now);
		}

		this.#moveLate(now);
		this.#dispatchInOrder(now);
		this.#dispatchRate.recordQueueState(!this.#isAnyPlacedHere(), now);
	}

	/** Dispatches even if the reading took long: a process that always gets too little processor time has to go on. */
	#dispatchPostponed(): void {
		const postponed = [...this.#postponed];
		this.#postponed.clear();
		this.#dispatchNow();
		const now = this.options.clock.now();
		for (const [request, ahead] of postponed) {
			if (this.#queue.has(request)) {
				this.#refuseIfTooLate(request, this.#expectedWaitMs(request, ahead, now), now);
			}
		}
	}

	/** Other instances dispatch to the same endpoints, so callers may return at once. */
	#refuseUnacceptable(): void {
		if (this.options.mayDispatch(this.#runDurationEstimator.expectedMs)) {
			return;
		}

		for (const request of this.#queue.inOrder()) {
			if (!this.accepts(request)) {
				this.#dequeue(request);
				this.#refuse(request, refusalReasons.stopping, 0);
			}
		}
	}

	/** Moves requests that have become late behind the others, and refuses those that can't expect a slot before their latest dispatch time. */
	#moveLate(now: Milliseconds): void {
		for (const request of this.#queue.moveLate(now, minimumResponseMs)) {
			this.#refuseIfTooLate(request, this.#dispatchRate.expectedWaitMs(lateRank, this.#queue.lateAhead(request.tier, request) - 1, now), now);
		}
	}

	/**
	Returns the expected time until a new request gets a slot. A request that will become late comes after all that are on time. If it can't be served as a late one either, it is refused at once instead of after a useless wait.
	*/
	#expectedWaitMs(request: WaitingRequest, onTimeAhead: number, now: Milliseconds): Milliseconds | undefined {
		const {tier} = request;
		const waitMs = this.#dispatchRate.expectedWaitMs(tier, onTimeAhead, now);
		if (waitMs === undefined || now + waitMs <= this.#queue.latestOnTimeDispatch(request, minimumResponseMs)) {
			return waitMs;
		}

		return Math.max(waitMs, this.#dispatchRate.expectedWaitMs(lateRank, this.#queue.lateAhead(tier, request), now) ?? 0);
	}

	#isTooLate(request: WaitingRequest, expectedWaitMs: Milliseconds | undefined, now: Milliseconds): expectedWaitMs is Milliseconds {
		return expectedWaitMs !== undefined && now + expectedWaitMs > request.latestDispatchAt && !this.#areAllBrieflySilent(now);
	}

	#refuseIfTooLate(request: WaitingRequest, expectedWaitMs: Milliseconds | undefined, now: Milliseconds): void {
		// The rate of this instance's own dispatches says nothing about requests that a coordinator orders.
		if (this.#isTooLate(request, expectedWaitMs, now) && this.options.slots?.isPending(request) !== true && this.#dequeue(request)) {
			this.#refuse(request, refusalReasons.overloaded, this.#retryAfterMs(request, now), expectedWaitMs);
		}
	}

	/** Returns the refusal that a request without an endpoint would get now. */
	#findRefusal(request: WaitingRequest, isKeptWaiting: boolean, expectedWaitMs: Milliseconds | undefined, now: Milliseconds): PlacementExplanation['refusal'] {
		if (!this.accepts(request)) {
			return {reason: refusalReasons.stopping, retryAfterMs: 0};
		}

		if (now > request.latestDispatchAt) {
			return {reason: refusalReasons.waitedTooLong, retryAfterMs: this.#retryAfterMs(request, now)};
		}

		const unavailableMs = isKeptWaiting ? undefined : this.#unavailableRetryAfterMs(request, now);
		if (unavailableMs !== undefined) {
			return {reason: refusalReasons.noEndpoint, retryAfterMs: unavailableMs};
		}

		if (!isKeptWaiting && request.excluded.size > 0 && this.#hasTriedAll(request)) {
			return {reason: refusalReasons.noEndpoint, retryAfterMs: rejectedRetryAfterMs};
		}

		return this.#isTooLate(request, expectedWaitMs, now) ? {reason: refusalReasons.overloaded, retryAfterMs: this.#retryAfterMs(request, now)} : undefined;
	}

	/** Whether a request ahead waits for any endpoint. Those behind it are not looked at until then. */
	#isBehindWaiting(ahead: number, isPermitted: (record: EndpointRecord) => boolean, now: Milliseconds): boolean {
		for (const other of this.#queue.inOrder()) {
			if (ahead-- <= 0) {
				return false;
			}

			if (other.excluded.size === 0 && this.#selectPermitted(this.#candidates(other, now), other, now, isPermitted).others.length === 0) {
				return true;
			}
		}

		return false;
	}

	/** Returns how many requests come before one that waits, or would wait. */
	#requestsAhead(request: WaitingRequest): number {
		if (!this.#queue.has(request)) {
			return this.#queue.onTimeAhead(request.tier, request);
		}

		let ahead = 0;
		for (const other of this.#queue.inOrder()) {
			if (other === request) {
				break;
			}

			ahead++;
		}

		return ahead;
	}

	#refuse(request: WaitingRequest, reason: RefusalReason, retryAfterMs: Milliseconds, expectedWaitMs?: Milliseconds): void {
		this.options.onDecision?.({kind: 'refused', request, reason});
		request.refuse({
			reason, retryAfterMs, expectedWaitMs, waiting: this.#queue.size,
		});
	}

	#need({promptTokens, expectedOutputTokens}: WaitingRequest): RequestNeed {
		const firstEventMs = this.#serviceSpeed.averageFirstEventMs(promptTokens);
		return {firstEventMs, slotMs: firstEventMs + expectedRestMs(this.#serviceSpeed.speed, this.#eventCountEstimator.estimate(expectedOutputTokens), 1)};
	}

	#retryAfterMs({deadlineAt}: WaitingRequest, now: Milliseconds): Milliseconds {
		const {minimum, maximum} = retryAfterRatio;
		return Math.max(0, deadlineAt - now) * (minimum + ((maximum - minimum) * this.options.random()));
	}

	#dispatchInOrder(now: Milliseconds): void {
		const run = this.#isCoordinating() ? this.#createRun(now) : undefined;
		let isFull = false;
		for (const request of this.#queue.inOrder()) {
			if (now > request.latestDispatchAt) {
				this.#dequeue(request);
				this.#refuse(request, refusalReasons.waitedTooLong, this.#retryAfterMs(request, now));
				continue;
			}

			if (this.#decideSlot(request, run, now) || isFull) {
				continue;
			}

			const {selected, others} = this.#selectPermitted(this.#candidates(request, now), request, now, record => this.#ensurePermission(record));
			if (selected === undefined) {
				if (others.length > 0 || this.#refuseIfUnavailable(request, now)) {
					continue;
				}

				if (request.excluded.size === 0) {
					if (run === undefined) {
						return;
					}

					isFull = true;
					continue;
				}

				if (this.#hasTriedAll(request)) {
					this.#dequeue(request);
					this.#refuse(request, refusalReasons.noEndpoint, rejectedRetryAfterMs);
				}

				continue;
			}

			this.#dispatchTo(selected.endpointId, selected.inFlight, request, now);
		}
	}

	#dispatchTo(endpointId: string, inFlight: number, request: WaitingRequest, now: Milliseconds): void {
		this.#dispatchRate.recordDispatch(this.#queue.isLate(request) ? lateRank : request.tier, now);
		this.options.onDecision?.({
			kind: 'dispatched', request, waitedMs: this.#queue.waitedMs(request, now), slotMs: this.#need(request).slotMs,
		});
		this.options.slots?.forget(request);
		this.#queue.remove(request, true);
		const load = this.#loads.get(endpointId)!;
		load.recordDispatch(now);
		if (this.options.restrictions.isLimited(load.record)) {
			this.options.restrictions.takePermit(load.record);
		}

		this.options.coldRateLimiter.recordRequest(endpointId, now);
		request.dispatch(endpointId, inFlight);
	}

	#dequeue(request: WaitingRequest): boolean {
		this.options.slots?.forget(request);
		return this.#queue.remove(request);
	}

	/** Whether requests of this service ask for slots. In a small fleet, where the load of the others is known in time, they don't. */
	#isCoordinating(): boolean {
		const {slots, features, isPeerLoadLate, isCoordinated} = this.options;
		return slots !== undefined && isCoordinated?.(this.#service.name) === true && features().slotCoordination && isPeerLoadLate();
	}

	/** Whether a free slot of an endpoint is not one that requests of other instances wait for, as far as its coordinator has told. */
	#hasNamedFreeSlots(endpointId: string): boolean {
		return !this.#isCoordinating() || this.options.slots!.hasFreeSlots(this.#groups.get(endpointId)!);
	}

	/** Whether a request waits for which this instance selects the endpoint. */
	#isAnyPlacedHere(): boolean {
		const {slots} = this.options;
		if (slots === undefined || !this.#isCoordinating()) {
			return this.#queue.size > 0;
		}

		for (const request of this.#queue.inOrder()) {
			if (!slots.isPending(request)) {
				return true;
			}
		}

		return false;
	}

	/**
	Lets a coordinator decide about a request. Returns false if this instance is to select an endpoint itself.

	A move of a started stream is not coordinated: it needs an endpoint that this instance has heard from.
	*/
	#decideSlot(request: WaitingRequest, run: DispatchRun | undefined, now: Milliseconds): boolean {
		const {slots} = this.options;
		if (slots === undefined) {
			return false;
		}

		if (run === undefined || request.answeredSince !== undefined) {
			slots.forget(request);
			return false;
		}

		const isNew = !slots.isPending(request);
		if (isNew && run.hasUncoordinated && this.#dispatchUncoordinated(request, now, true)) {
			return true;
		}

		for (;;) {
			const decision = slots.decide(request, this.#eventCountEstimator.estimate(request.expectedOutputTokens), () => this.#slotPlaces(request, run, now));
			switch (decision.kind) {
				case 'wait': {
					if (!isNew && run.hasUncoordinated) {
						this.#dispatchUncoordinated(request, now, false);
					}

					return true;
				}

				case 'place': {
					return false;
				}

				case 'refused': {
					this.#dequeue(request);
					this.#refuse(request, refusalReasons.overloaded, this.#retryAfterMs(request, now), decision.expectedWaitMs);
					return true;
				}

				case 'granted': {
					const load = this.#findUsable(decision.start, request, now);
					if (load !== undefined) {
						slots.accept(request);
						this.#dispatchTo(load.record.id, load.inFlight + this.options.peerInFlightAt(load.record.id), request, now);
						return true;
					}

					slots.decline(request);
				}
			}
		}
	}

	/** Returns the load of a granted endpoint if the request may be dispatched there now. */
	#findUsable({id, startedAt}: EndpointStart, request: WaitingRequest, now: Milliseconds): EndpointLoad | undefined {
		const load = this.#loads.get(id);
		return load?.record.startedAt === startedAt && !request.excluded.has(id) && this.#isCoordinatedAt(load, now) && this.#canDispatchTo(load, now) ? load : undefined;
	}

	/** Whether the slots of an endpoint that takes requests now are coordinated. */
	#isCoordinatedAt(load: EndpointLoad, now: Milliseconds): boolean {
		return this.#acceptsRequests(load, now) && !this.options.restrictions.isLimited(load.record) && (this.#service.coldRequestsPerSecond === 0 || !load.isCold(now));
	}

	#createRun(now: Milliseconds): DispatchRun {
		return {hasUncoordinated: [...this.#loads.values()].some(load => this.#canDispatchTo(load, now) && !this.#isCoordinatedAt(load, now) && this.#hasFreeSlot(load)), places: undefined};
	}

	/**
	Dispatches a request to a cold or limited endpoint with a free slot, as without coordination.

	@param amongAll whether such an endpoint gets the request only if it is selected among all
	*/
	#dispatchUncoordinated(request: WaitingRequest, now: Milliseconds, amongAll: boolean): boolean {
		const candidates = this.#candidates(request, now);
		const uncoordinated = candidates.filter(({endpointId}) => !this.#isCoordinatedAt(this.#loads.get(endpointId)!, now));
		if (uncoordinated.length === 0) {
			return false;
		}

		const {selected} = this.#selectPermitted(amongAll ? candidates : uncoordinated, request, now, record => this.#ensurePermission(record));
		if (selected === undefined || !uncoordinated.includes(selected)) {
			return false;
		}

		this.#dispatchTo(selected.endpointId, selected.inFlight, request, now);
		return true;
	}

	/** Returns the groups that have an endpoint to which this instance may dispatch the request. */
	#slotPlaces({excluded}: WaitingRequest, run: DispatchRun, now: Milliseconds): readonly SlotPlace[] {
		if (excluded.size > 0) {
			return this.#findSlotPlaces(excluded, now);
		}

		run.places ??= this.#findSlotPlaces(excluded, now);
		return run.places;
	}

	#findSlotPlaces(excluded: ReadonlySet<string>, now: Milliseconds): SlotPlace[] {
		const places = new Map<SlotGroup, {freeSlots: number; isUsable: boolean; readonly unusable: string[]}>();
		for (const load of this.#loads.values()) {
			const {id, slots} = load.record;
			const group = this.#groups.get(id)!;
			let place = places.get(group);
			if (place === undefined) {
				place = {freeSlots: 0, isUsable: false, unusable: []};
				places.set(group, place);
			}

			if (excluded.has(id) || !this.#isCoordinatedAt(load, now)) {
				continue;
			}

			if (this.#canDispatchTo(load, now)) {
				place.isUsable = true;
				place.freeSlots += Math.max(0, slots - load.inFlight - this.options.peerInFlightAt(id));
			} else {
				place.unusable.push(id);
			}
		}

		return [...places].filter(([, {isUsable}]) => isUsable).map(([group, {freeSlots, unusable}]) => ({
			group, isSameZone: group.availabilityZone === this.options.availabilityZone, freeSlots, unusable,
		}));
	}

	/**
	Selects the best endpoint that may get a request now.

	@param isPermitted asks for permission for the limited endpoints that would be better, because the next request is likely to prefer them, too
	*/
	#selectPermitted(candidates: readonly Candidate[], request: WaitingRequest, now: Milliseconds, isPermitted: (record: EndpointRecord) => boolean): Selection {
		let others = candidates;
		for (;;) {
			const selected = this.#selectEndpoint(others, request, now);
			if (selected === undefined || isPermitted(this.#loads.get(selected.endpointId)!.record)) {
				return {selected, others};
			}

			others = others.filter(candidate => candidate !== selected);
		}
	}

	/** A request waits for an endpoint that is expected to complete it in time, if there is one: an attempt that is cut off at the caller's deadline wastes a slot. */
	#selectEndpoint(candidates: readonly Candidate[], waitingRequest: WaitingRequest, now: Milliseconds): Candidate | undefined {
		const request = this.#placementRequest(waitingRequest, now);
		const suitable = candidates.filter(candidate => canFinish(request, candidate));
		if (suitable.length > 0 || this.#canAnyFinish(request, waitingRequest.excluded, now)) {
			return this.#select(suitable, request);
		}

		return this.#select(candidates, request);
	}

	#placementRequest({expectedOutputTokens, promptTokens, targetAt, deadlineAt}: WaitingRequest, now: Milliseconds): PlacementRequest {
		return {
			expectedEvents: this.#eventCountEstimator.estimate(expectedOutputTokens), promptTokens, remainingMs: deadlineAt - now, targetMs: targetAt - now,
		};
	}

	#select(candidates: readonly Candidate[], request: PlacementRequest): Candidate | undefined {
		return this.options.isPeerLoadLate() ? selectByCapacity(candidates, request, this.options.random()) : selectEndpoint(candidates, request);
	}

	#durationBasis(load: EndpointLoad, now: Milliseconds): Pick<Candidate, 'eventIntervalMs' | 'speed'> {
		return {eventIntervalMs: load.eventIntervalMs, speed: this.options.features().learnedSpeeds ? load.speed.estimate(now) : undefined};
	}

	/** Whether any endpoint, including those without a free slot, could complete a request in time. Requests don't wait for permission of a limited one. */
	#canAnyFinish(request: PlacementRequest, excluded: ReadonlySet<string>, now: Milliseconds): boolean {
		for (const load of this.#loads.values()) {
			const isUsable = !excluded.has(load.record.id) && this.#acceptsRequests(load, now) && !load.isFailing && !this.options.restrictions.isLimited(load.record);
			if (isUsable && canFinish(request, this.#durationBasis(load, now))) {
				return true;
			}
		}

		return false;
	}

	/** Refuses a request if no endpoint takes requests of this instance again before its latest dispatch time. Returns whether it was refused. */
	#refuseIfUnavailable(request: WaitingRequest, now: Milliseconds): boolean {
		const retryAfterMs = this.#unavailableRetryAfterMs(request, now);
		if (retryAfterMs === undefined) {
			return false;
		}

		this.#dequeue(request);
		this.#refuse(request, refusalReasons.noEndpoint, retryAfterMs);
		return true;
	}

	/** Returns when the caller may retry a request that no endpoint takes before its latest dispatch time. */
	#unavailableRetryAfterMs(request: WaitingRequest, now: Milliseconds): Milliseconds | undefined {
		let availableAt = Infinity;
		for (const {record} of this.#loads.values()) {
			if (!this.#isLeaving(record) && !this.#evacuatedZones.has(record.availabilityZone) && !request.excluded.has(record.id)) {
				availableAt = Math.min(availableAt, this.options.restrictions.retryAt(record));
			}
		}

		return availableAt === Infinity || availableAt <= request.latestDispatchAt ? undefined : (availableAt - now) * (1 + (returnSpreadRatio * this.options.random()));
	}

	/** Whether no endpoint is left that the request could be dispatched to later. */
	#hasTriedAll(request: WaitingRequest): boolean {
		for (const {record} of this.#loads.values()) {
			if (!this.#isLeaving(record) && !request.excluded.has(record.id)) {
				return false;
			}
		}

		return true;
	}

	/** Returns the endpoints with a free slot for a request. */
	#candidates(request: WaitingRequest, now: Milliseconds): Candidate[] {
		const candidates: Candidate[] = [];
		for (const load of this.#loads.values()) {
			if (this.#findObstacle(load, request, now) === undefined) {
				const {record} = load;
				candidates.push({
					endpointId: record.id,
					slots: record.slots,
					inFlight: this.#inFlightAt(load),
					isFailing: load.isFailing,
					...this.#durationBasis(load, now),
					isSameZone: record.availabilityZone === this.options.availabilityZone,
				});
			}
		}

		return candidates;
	}

	/** Returns what keeps a request from being dispatched to an endpoint now, apart from a missing permit. */
	#findObstacle(load: EndpointLoad, request: WaitingRequest, now: Milliseconds): PlacementObstacle | undefined {
		const {record} = load;
		if (request.excluded.has(record.id)) {
			return placementObstacles.excluded;
		}

		const obstacle = this.#findAvailabilityObstacle(load, now) ?? this.#findRateObstacle(load, now);
		if (obstacle !== undefined) {
			return obstacle;
		}

		if (request.answeredSince !== undefined && !(load.hasAnsweredSince(request.answeredSince, now) ?? this.#hasAnyAnsweredSince(request.answeredSince, request.excluded, now))) {
			return placementObstacles.notAnswering;
		}

		return this.#hasFreeSlot(load) ? undefined : placementObstacles.full;
	}

	#hasFreeSlot(load: EndpointLoad): boolean {
		const maximumPerSlot = this.options.isPeerLoadLate() ? lateRequestsPerSlot : requestsPerSlot;
		return this.#inFlightAt(load) < load.record.slots * maximumPerSlot;
	}

	/** Known requests of all instances in flight at an endpoint. */
	#inFlightAt({record, inFlight}: EndpointLoad): number {
		return inFlight + this.options.peerInFlightAt(record.id);
	}

	/** Whether any of the endpoints that have something to answer has sent something since; also when there is none. */
	#hasAnyAnsweredSince(at: Milliseconds, excluded: ReadonlySet<string>, now: Milliseconds): boolean {
		const answers = [...this.#loads.values()].filter(({record}) => !excluded.has(record.id)).map(load => load.hasAnsweredSince(at, now)).filter(answer => answer !== undefined);
		return answers.length === 0 || answers.includes(true);
	}

	/** Whether all endpoints are silent, as sound ones are for a moment. Requests that wait for them don't show a low rate of service. */
	#areAllBrieflySilent(now: Milliseconds): boolean {
		let isAnySilent = false;
		for (const load of this.#loads.values()) {
			const isSilent = load.isBrieflySilent(now);
			if (!isSilent && !this.#isLeaving(load.record)) {
				return false;
			}

			isAnySilent ||= isSilent && !this.#isLeaving(load.record);
		}

		return isAnySilent;
	}

	#ensurePermission(record: EndpointRecord): boolean {
		const {restrictions} = this.options;
		return !restrictions.isLimited(record) || restrictions.ensurePermit(record);
	}

	/** Whether an endpoint accepts new requests, apart from limits and free slots. */
	#acceptsRequests(load: EndpointLoad, now: Milliseconds): boolean {
		return this.#findAvailabilityObstacle(load, now) === undefined;
	}

	/** Whether an endpoint accepts a request of this instance, apart from permits and free slots. */
	#canDispatchTo(load: EndpointLoad, now: Milliseconds): boolean {
		return this.#findAvailabilityObstacle(load, now) === undefined && this.#findRateObstacle(load, now) === undefined;
	}

	#findAvailabilityObstacle(load: EndpointLoad, now: Milliseconds): PlacementObstacle | undefined {
		if (this.#isLeaving(load.record)) {
			return placementObstacles.leaving;
		}

		if (this.#evacuatedZones.has(load.record.availabilityZone)) {
			return placementObstacles.evacuated;
		}

		if (load.isPaused(now)) {
			return placementObstacles.failing;
		}

		return now >= this.options.restrictions.retryAt(load.record) ? undefined : placementObstacles.retryTime;
	}

	#isLeaving(record: EndpointRecord): boolean {
		return record.isLeaving || this.options.restrictions.isLeaving(record);
	}

	/** Own limit at an endpoint that is cold now, of a service that limits the requests to those. */
	#findColdLimit(load: EndpointLoad, now: Milliseconds): number | undefined {
		const {coldRequestsPerSecond} = this.#service;
		const {coldRateLimiter, members, sharingCount} = this.options;
		return coldRequestsPerSecond > 0 && load.isCold(now) ? coldRateLimiter.ownLimit(load.record.id, coldRequestsPerSecond, members(), sharingCount?.()) : undefined;
	}

	#findRateObstacle(load: EndpointLoad, now: Milliseconds): PlacementObstacle | undefined {
		if (load.inFlight >= Math.max(1, Math.floor(usedConnectionRatio * this.#service.maximumConnections / this.options.memberCount()))) {
			return placementObstacles.connections;
		}

		const coldLimit = this.#findColdLimit(load, now);
		if (coldLimit === undefined) {
			return undefined;
		}

		const {coldRateLimiter, knowsMembers} = this.options;
		return knowsMembers() && coldRateLimiter.permits(load.record.id, coldLimit, now) ? undefined : placementObstacles.cold;
	}
}
