import type {Clock, Milliseconds} from '../../shared/clock.js';
import type {ColdLimits} from '../limits/cold-limits.js';
import type {EndpointRecord, Service} from '../site/types.js';
import {EndpointLoad, runOutcomes, type RunOutcome} from './endpoint-load.js';
import {LengthEstimate} from './length-estimate.js';
import {
	canFinish, choosePlace, type Candidate, type PlacedRequest,
} from './placement.js';
import {lateRank, StartRate} from './start-rate.js';
import {refusalReasons, type RefusalReason, type WaitingRequest} from './types.js';
import {WaitingLine} from './waiting-line.js';

/** Requests that an endpoint gets for each of its slots before the others wait here. */
const loadForEachSlot = 1;

/** Part of an endpoint's connections that all instances together use at most; the rest covers instances that count their members differently. */
const connectionPart = 0.8;

/** Least time that a request needs at an endpoint to be worth a start, in milliseconds. */
const startMs: Milliseconds = 60;

/** Time after which a caller may come back whose request all endpoints have rejected. */
const rejectedRetryAfterMs: Milliseconds = 1000;

/**
Part of a refused caller's remaining time after which it may come back, least and most. Bursts last for seconds, callers heed at most a third, and the spread keeps them from coming back together.
*/
const retryAfterPart = {least: 0.2, most: 0.33} as const;

export type ServiceSchedulerOptions = {
	readonly service: Service;
	readonly clock: Clock;
	readonly coldLimits: ColdLimits;
	readonly availabilityZone: string;
	/** Requests of the other instances under way at an endpoint. */
	readonly peerRunsAt: (endpointId: string) => number;
	/** Hosts of all instances, this one among them. */
	readonly members: () => readonly string[];
	readonly memberCount: () => number;
	/** Whether this process has looked for the others long enough to know its part of a cold endpoint's rate. */
	readonly knowsMembers: () => boolean;
	/** Draws from 0 to below 1. */
	readonly draw: () => number;
};

/** What an ended stream tells of lengths and speeds. */
export type StreamMeasures = {
	/** Mean time between its events, if it had enough of them. */
	readonly eventMs?: Milliseconds;
	/** Events of the whole stream. */
	readonly events?: number;
	readonly announcedTokens?: number;
};

/** Gives the requests of one service to its endpoints: who is next, and where. */
export class ServiceScheduler {
	static create(options: ServiceSchedulerOptions): ServiceScheduler {
		return new ServiceScheduler(options);
	}

	readonly #line = WaitingLine.create();
	readonly #startRate = StartRate.create();
	readonly #lengths = LengthEstimate.create();
	readonly #loads = new Map<string, EndpointLoad>();
	/** Endpoints that left while requests of this instance were under way there. */
	readonly #leaving = new Map<string, EndpointLoad>();
	#evacuatedZones: ReadonlySet<string> = new Set();
	#service: Service;

	private constructor(private readonly options: ServiceSchedulerOptions) {
		this.#service = options.service;
	}

	get waiting(): number {
		return this.#line.size;
	}

	get loads(): ReadonlyMap<string, EndpointLoad> {
		return this.#loads;
	}

	useService(service: Service): void {
		this.#service = service;
	}

	/** Takes over the endpoints of the service and the zones that may get no new request. */
	useEndpoints(records: Iterable<EndpointRecord>, evacuatedZones: ReadonlySet<string>): void {
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
				this.options.coldLimits.forget(id);
				if (load.running > 0) {
					this.#leaving.set(id, load);
				}
			}
		}

		this.pump();
	}

	/** Starts a request, lets it wait, or refuses it when those before it need more time than it has. */
	submit(request: WaitingRequest): void {
		const now = this.options.clock.now();
		const ahead = this.#line.timelyAhead(request.tier);
		this.#line.add(request);
		this.pump();
		if (this.#line.has(request)) {
			this.#refuseHopeless(request, this.#expectedWait(request, ahead, now), now);
		}
	}

	/** Takes a request back whose caller has left or whose time has ended. */
	withdraw(request: WaitingRequest): boolean {
		return this.#line.remove(request);
	}

	/** Records that a request at an endpoint has ended. */
	ended(endpointId: string, outcome: RunOutcome, {eventMs, events, announcedTokens}: StreamMeasures = {}): void {
		const now = this.options.clock.now();
		if (outcome === runOutcomes.completed && events !== undefined && announcedTokens !== undefined) {
			this.#lengths.note(announcedTokens, events);
		}

		const load = this.#loads.get(endpointId) ?? this.#leaving.get(endpointId);
		if (load?.ended(outcome, now, eventMs) === true && this.#service.coldRequestsPerSecond > 0) {
			load.suspectCold(now + this.#service.coldStartMs);
		}

		if (load?.running === 0) {
			this.#leaving.delete(endpointId);
		}

		this.pump();
	}

	/** Gives out all places that are free. */
	pump(): void {
		if (this.#line.size > 0) {
			const now = this.options.clock.now();
			this.#reviewLate(now);
			this.#startWaiting(now);
			this.#startRate.noteLine(this.#line.size === 0, now);
		}
	}

	/** A request that has become late waits on only if a place is expected in time for its caller. */
	#reviewLate(now: Milliseconds): void {
		for (const request of this.#line.moveLate(now, startMs)) {
			this.#refuseHopeless(request, this.#startRate.expectedWait(lateRank, this.#line.lateAhead(request.tier) - 1, now), now);
		}
	}

	/**
	Expected time until a new request gets a place. One that is expected to be late will stand behind all that are in time, so a caller who can't be served late either hears so at once.
	*/
	#expectedWait({tier, targetAt}: WaitingRequest, timelyAhead: number, now: Milliseconds): Milliseconds | undefined {
		const waitMs = this.#startRate.expectedWait(tier, timelyAhead, now);
		if (waitMs === undefined || now + waitMs + startMs <= targetAt) {
			return waitMs;
		}

		return Math.max(waitMs, this.#startRate.expectedWait(lateRank, this.#line.lateAhead(tier), now) ?? 0);
	}

	#refuseHopeless(request: WaitingRequest, expectedWaitMs: Milliseconds | undefined, now: Milliseconds): void {
		if (expectedWaitMs !== undefined && now + expectedWaitMs > request.startBy && this.#line.remove(request)) {
			this.#refuse(request, refusalReasons.overloaded, this.#retryAfter(request, now), expectedWaitMs);
		}
	}

	#refuse(request: WaitingRequest, reason: RefusalReason, retryAfterMs: Milliseconds, expectedWaitMs?: Milliseconds): void {
		request.refuse({
			reason, retryAfterMs, expectedWaitMs, waiting: this.#line.size,
		});
	}

	#retryAfter({giveUpAt}: WaitingRequest, now: Milliseconds): Milliseconds {
		const {least, most} = retryAfterPart;
		return Math.max(0, giveUpAt - now) * (least + ((most - least) * this.options.draw()));
	}

	#startWaiting(now: Milliseconds): void {
		for (const request of this.#line.inOrder()) {
			if (now > request.startBy) {
				this.#line.remove(request);
				this.#refuse(request, refusalReasons.waitedTooLong, this.#retryAfter(request, now));
				continue;
			}

			const candidates = this.#candidates(request, now);
			const place = this.#choosePlace(candidates, request, now);
			if (place === undefined) {
				if (candidates.length > 0) {
					continue;
				}

				if (request.excluded.size === 0) {
					return;
				}

				if (this.#hasTriedAll(request)) {
					this.#line.remove(request);
					this.#refuse(request, refusalReasons.noEndpoint, rejectedRetryAfterMs);
				}

				continue;
			}

			this.#startRate.noteStart(this.#line.isLate(request) ? lateRank : request.tier, now);
			this.#line.remove(request);
			this.#loads.get(place.endpointId)!.began();
			this.options.coldLimits.note(place.endpointId, now);
			request.start(place.endpointId, place.running);
		}
	}

	/** A request waits for an endpoint that is expected to finish it in time, if there is one; a run that is cut off at the caller's deadline takes a place for nothing. */
	#choosePlace(candidates: readonly Candidate[], {announcedTokens, promptTokens, giveUpAt, excluded}: WaitingRequest, now: Milliseconds): Candidate | undefined {
		const request: PlacedRequest = {expectedEvents: this.#lengths.events(announcedTokens), promptTokens, remainingMs: giveUpAt - now};
		const suitable = candidates.filter(({eventMs}) => canFinish(request, eventMs));
		if (suitable.length > 0 || this.#canBeFinished(request, excluded, now)) {
			return choosePlace(suitable, request);
		}

		return choosePlace(candidates, request);
	}

	/** Whether an endpoint that may have no room at present could finish a request in time. */
	#canBeFinished(request: PlacedRequest, excluded: ReadonlySet<string>, now: Milliseconds): boolean {
		for (const load of this.#loads.values()) {
			if (!excluded.has(load.record.id) && this.#isOpen(load, now) && !load.isFailing && canFinish(request, load.eventMs)) {
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
			if (request.excluded.has(record.id) || !this.#mayUse(load, now)) {
				continue;
			}

			const running = load.running + this.options.peerRunsAt(record.id);
			if (running < record.slots * loadForEachSlot) {
				candidates.push({
					endpointId: record.id,
					slots: record.slots,
					running,
					isFailing: load.isFailing,
					eventMs: load.eventMs,
					isSameZone: record.availabilityZone === this.options.availabilityZone,
				});
			}
		}

		return candidates;
	}

	/** Whether an endpoint takes new requests at all. */
	#isOpen(load: EndpointLoad, now: Milliseconds): boolean {
		const {isLeaving, availabilityZone} = load.record;
		return !isLeaving && !this.#evacuatedZones.has(availabilityZone) && !load.isPaused(now);
	}

	#mayUse(load: EndpointLoad, now: Milliseconds): boolean {
		if (!this.#isOpen(load, now)) {
			return false;
		}

		if (load.running >= Math.max(1, Math.floor(connectionPart * this.#service.maximumConnections / this.options.memberCount()))) {
			return false;
		}

		const {coldRequestsPerSecond} = this.#service;
		if (coldRequestsPerSecond === 0 || !load.isCold(now)) {
			return true;
		}

		const {coldLimits, members, knowsMembers} = this.options;
		return knowsMembers() && coldLimits.hasRoom(load.record.id, coldLimits.part(load.record.id, coldRequestsPerSecond, members()), now);
	}
}
