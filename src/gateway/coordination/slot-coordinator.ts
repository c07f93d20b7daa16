import type {Milliseconds} from '../../shared/clock.js';
import type {EndpointInFlight} from '../membership/types.js';
import {lateRank, DispatchRate} from '../scheduling/dispatch-rate.js';
import {attemptOutcomes, EndpointLoad} from '../scheduling/endpoint-load.js';
import {expectedRestMs, ServiceSpeed} from '../scheduling/endpoint-speed.js';
import {
	canFinish, selectEndpoint, type Candidate, type PlacementRequest,
} from '../scheduling/placement.js';
import type {SchedulingFeatures} from '../scheduling/scheduling-features.js';
import {minimumResponseMs} from '../scheduling/service-scheduler.js';
import type {RequestNeed, SlotGroup, WaitingRequest} from '../scheduling/types.js';
import {WaitingQueue} from '../scheduling/waiting-queue.js';
import {startKey} from '../site/endpoint-start.js';
import {maximumSequences} from './coordination-codec.js';
import {GrantWindow} from './grant-window.js';
import {groupKey} from './slot-groups.js';
import type {
	AddressedMessage, CoordinatorMessage, RequesterMessage, SlotRelease, SlotRequest,
} from './types.js';

/** Time after a grant or its last renewal after which the slot is free again. Holders renew every 1,000 ms, so two lost renewals free nothing. */
const leaseMs: Milliseconds = 3000;

/** Interval at which holders learn which of their requests wait here. */
const queuedIntervalMs: Milliseconds = 150;

/** Time for which the counts of the other instances may lack this coordinator's grants: heartbeats and summaries are up to this late. Until it has passed, a new coordinator adds its grants to these counts. */
const takeoverMs: Milliseconds = 2000;

/** Part of an endpoint's slots by which the known count may exceed the most grants without showing requests that have none: the counts of near and far holders are of different times, so a slot that has passed from one to another is counted twice. */
const countTolerance = 0.2;

/** Time without a tick after which the process counts as paused: waiting requests have been placed elsewhere meanwhile, as their senders get no answer within 60 ms, or within 350 ms for those that wait. */
const pauseMs: Milliseconds = 500;

/** Time after a pause in which requests are dropped: what arrived during the pause is read first, and its senders wait no longer. */
const settleMs: Milliseconds = 50;

/** Minimum lease after a pause, until renewals that arrived in the meantime have been read. */
const leaseAfterPauseMs: Milliseconds = 1000;

/** Time after a grant until the holder's heartbeats show it: the grant's way, the dispatch, and the interval of heartbeats. */
const shownAfterMs: Milliseconds = 1000;

/** Interval at which endpoints and groups that are not used any more are forgotten. */
const forgetIntervalMs: Milliseconds = 1000;

/** Requests that may wait here at once, of all groups. Further ones are denied, and their senders place them. */
const maximumWaiting = 4096;

/** Time without a request after which a group is forgotten. */
const groupUnusedMs: Milliseconds = 60_000;

export type CoordinatorEvents = {
	onGrant(group: SlotGroup, waitedMs: Milliseconds): void;
	onDenial(group: SlotGroup): void;
	onExpiry(): void;
};

function expectedNeed({promptTokens, expectedEvents}: QueuedRequest, serviceSpeed: ServiceSpeed): RequestNeed {
	const firstEventMs = serviceSpeed.averageFirstEventMs(promptTokens);
	return {firstEventMs, slotMs: firstEventMs + expectedRestMs(serviceSpeed.speed, expectedEvents, 1)};
}

export type SlotCoordinatorOptions = {
	/** The endpoints of a group that take requests now and whose slots are coordinated, with their load as seen by this instance. */
	readonly findEndpoints: (group: SlotGroup) => readonly EndpointLoad[];
	/** Requests of all instances in flight at an endpoint, as known from heartbeats and summaries. */
	readonly knownInFlight: (endpointId: string) => number;
	/** The optional parts of the scheduling that act now. */
	readonly features: () => SchedulingFeatures;
	readonly events: CoordinatorEvents;
	readonly now: Milliseconds;
};

/** The queue orders these; the answers to their senders are messages. */
type QueuedRequest = WaitingRequest & {
	readonly host: string;
	readonly sequence: number;
	readonly receivedAt: Milliseconds;
	readonly expectedEvents: number;
};

type Member = {
	/** Load by grants; health and speed by what was released. */
	readonly load: EndpointLoad;
	readonly window: GrantWindow;
	/** Most requests that were placed before this instance coordinated the group and may still be in flight. */
	earlier: number;
};

type Group = {
	readonly group: SlotGroup;
	readonly queue: WaitingQueue;
	readonly dispatchRate: DispatchRate;
	/** Average speed of the endpoints, by the measurements of all holders. */
	readonly serviceSpeed: ServiceSpeed;
	/** By start. */
	readonly members: Map<string, Member>;
	/** Since when this instance coordinates the group without a pause. */
	since: Milliseconds;
	usedAt: Milliseconds;
};

type Grant = {
	readonly group: Group;
	readonly member: Member;
	readonly freeSlots: number;
	/** Requests in flight at the endpoint before it, in relation to its slots. */
	readonly loadRatio: number;
	readonly grantedAt: Milliseconds;
	/** Whether the holder's last heartbeat did not show the request. */
	isMissing: boolean;
	expiresAt: Milliseconds;
};

type Answer = AddressedMessage<RequesterMessage>;

/** Outcomes after which an endpoint is paused. */
const pausingOutcomes: ReadonlySet<string> = new Set([attemptOutcomes.broken, attemptOutcomes.unreachable, attemptOutcomes.misdirected]);

function ignore(): void {
	// The coordinator answers with messages instead.
}

/** Assigns the slots of groups of endpoints to the requests of all instances, without network or timers. */
export class SlotCoordinator {
	static create(options: SlotCoordinatorOptions): SlotCoordinator {
		return new SlotCoordinator(options);
	}

	readonly #groups = new Map<string, Group>();
	/** By host and sequence. */
	readonly #grants = new Map<string, Map<number, Grant>>();
	readonly #waiting = new Map<string, Map<number, {readonly group: Group; readonly request: QueuedRequest}>>();
	#tickedAt: Milliseconds;
	#queuedSentAt: Milliseconds = -Infinity;
	#forgotAt: Milliseconds = -Infinity;
	#ignoresRequestsUntil: Milliseconds = -Infinity;

	private constructor(private readonly options: SlotCoordinatorOptions) {
		this.#tickedAt = options.now;
	}

	get grantCount(): number {
		return [...this.#grants.values()].reduce((sum, grants) => sum + grants.size, 0);
	}

	get waitingCount(): number {
		return [...this.#waiting.values()].reduce((sum, requests) => sum + requests.size, 0);
	}

	/** Processes a message. Returns the answers that are due, also to other instances. */
	receive(message: CoordinatorMessage, host: string, now: Milliseconds): Answer[] {
		this.#detectPause(now);
		switch (message.kind) {
			case 'slot-request': {
				return this.#receiveRequest(message, host, now);
			}

			case 'slot-withdraw': {
				return this.#assign(message.sequences.flatMap(sequence => this.#withdraw(host, sequence, now)), now);
			}

			case 'slot-release': {
				return this.#assign(message.releases.flatMap(release => this.#release(host, release, now)), now);
			}

			case 'slot-renew': {
				for (const sequence of message.sequences) {
					const grant = this.#grants.get(host)?.get(sequence);
					if (grant !== undefined) {
						grant.expiresAt = now + leaseMs;
					}
				}

				return [];
			}
		}
	}

	/** Frees the slots of expired grants, and assigns free slots. Called periodically. */
	tick(now: Milliseconds): Answer[] {
		this.#detectPause(now);
		this.#tickedAt = now;
		for (const [host, grants] of this.#grants) {
			for (const [sequence, grant] of grants) {
				if (now > grant.expiresAt) {
					this.#free(host, sequence, grant, now);
					this.options.events.onExpiry();
				}
			}
		}

		if (now - this.#forgotAt >= forgetIntervalMs) {
			this.#forgotAt = now;
			this.#forgetUnused(now);
		}

		const answers = this.#assign([...this.#groups.values()].filter(({queue}) => queue.size > 0), now);
		if (now - this.#queuedSentAt >= queuedIntervalMs) {
			this.#queuedSentAt = now;
			this.#dropLate(now);
			for (const [host, requests] of this.#waiting) {
				const sequences = [...requests.keys()];
				for (let index = 0; index < sequences.length; index += maximumSequences) {
					answers.push({host, message: {kind: 'slot-queued', sequences: sequences.slice(index, index + maximumSequences), isComplete: sequences.length <= maximumSequences}});
				}
			}
		}

		return answers;
	}

	/** Frees grants of a holder that has fewer requests in flight at an endpoint, by two of its heartbeats, than it was granted long enough ago. */
	reconcile(host: string, inFlight: readonly EndpointInFlight[], now: Milliseconds): Answer[] {
		const grants = this.#grants.get(host);
		if (grants === undefined || now < this.#ignoresRequestsUntil) {
			return [];
		}

		const counts = new Map(inFlight);
		const changed = new Set<Group>();
		for (const [sequence, grant] of grants) {
			if (now - grant.grantedAt > shownAfterMs) {
				const {id} = grant.member.load.record;
				const left = counts.get(id) ?? 0;
				counts.set(id, left - 1);
				const wasMissing = grant.isMissing;
				grant.isMissing = left <= 0;
				// A release may follow the first heartbeat that lacks the request.
				if (grant.isMissing && wasMissing) {
					this.#free(host, sequence, grant, now);
					this.options.events.onExpiry();
					changed.add(grant.group);
				}
			}
		}

		return this.#assign([...changed], now);
	}

	/** Forgets everything while nothing is coordinated, so that it begins like a new coordinator. */
	reset(now: Milliseconds): void {
		this.#tickedAt = now;
		this.#groups.clear();
		this.#grants.clear();
		this.#waiting.clear();
	}

	/** Forgets all requests that wait. Their senders place them when they hear nothing. */
	#dropWaiting(): void {
		for (const requests of this.#waiting.values()) {
			for (const {group, request} of requests.values()) {
				group.queue.remove(request);
			}
		}

		this.#waiting.clear();
	}

	/** Forgets requests that are of no use any more; a holder that has ended does not withdraw its own. */
	#dropLate(now: Milliseconds): void {
		for (const requests of this.#waiting.values()) {
			for (const {group, request} of requests.values()) {
				if (now > request.latestDispatchAt) {
					this.#removeWaiting(group, request);
				}
			}
		}
	}

	/** After a pause, nothing is granted from what was known before: requests were placed elsewhere, and renewals and releases are still to be read. */
	#detectPause(now: Milliseconds): void {
		if (now - this.#tickedAt <= pauseMs) {
			return;
		}

		this.#tickedAt = now;
		this.#ignoresRequestsUntil = now + settleMs;
		this.#dropWaiting();
		for (const group of this.#groups.values()) {
			group.since = now;
			for (const member of group.members.values()) {
				member.earlier = Infinity;
			}
		}

		for (const grants of this.#grants.values()) {
			for (const grant of grants.values()) {
				grant.expiresAt = Math.max(grant.expiresAt, now + leaseAfterPauseMs);
			}
		}
	}

	#receiveRequest(message: SlotRequest, host: string, now: Milliseconds): Answer[] {
		const {sequence} = message;
		const grant = this.#grants.get(host)?.get(sequence);
		if (grant !== undefined) {
			return [this.#grantAnswer(host, sequence, grant)];
		}

		if (this.#waiting.get(host)?.has(sequence) === true) {
			return [{host, message: {kind: 'slot-queued', sequences: [sequence], isComplete: false}}];
		}

		if (now < this.#ignoresRequestsUntil) {
			return [];
		}

		const group = this.#group(message.group, now);
		group.usedAt = now;
		if (this.waitingCount >= maximumWaiting) {
			return [this.#deny(host, sequence, group, 0, now)];
		}

		if (this.options.findEndpoints(message.group).every(({record: {id}}) => message.excluded.includes(id))) {
			// The sender may know of endpoints that this instance can't use; it places the request itself.
			return [this.#deny(host, sequence, group, 0, now)];
		}

		const request = this.#createRequest(message, host, now);
		group.queue.setFair(this.options.features().fairOrder);
		const ahead = group.queue.onTimeAhead(request.tier, request);
		group.queue.add(request, now);
		this.#waitingOf(host).set(sequence, {group, request});
		const answers = this.#assignGroup(group, now);
		if (group.queue.has(request)) {
			const waitMs = this.#expectedWaitMs(group, request, ahead, now);
			if (message.isImmediate || (waitMs !== undefined && now + waitMs > request.latestDispatchAt)) {
				this.#removeWaiting(group, request);
				answers.push(this.#deny(host, sequence, group, waitMs ?? 0, now));
			} else {
				answers.push({host, message: {kind: 'slot-queued', sequences: [sequence], isComplete: false}});
			}
		}

		return answers;
	}

	#createRequest(message: SlotRequest, host: string, now: Milliseconds): QueuedRequest {
		const {sequence, tier, workspace, workspaceWeight, promptTokens, expectedEvents, excluded} = message;
		return {
			host,
			sequence,
			receivedAt: now,
			expectedEvents,
			tier,
			workspace,
			workspaceWeight,
			promptTokens,
			targetAt: now + message.targetMs,
			latestDispatchAt: now + message.latestDispatchMs,
			deadlineAt: now + message.deadlineMs,
			excluded: new Set(excluded),
			hasBegun: () => false,
			dispatch: ignore,
			refuse: ignore,
		};
	}

	#withdraw(host: string, sequence: number, now: Milliseconds): Group[] {
		const grant = this.#grants.get(host)?.get(sequence);
		if (grant !== undefined) {
			this.#free(host, sequence, grant, now);
			return [grant.group];
		}

		const waiting = this.#waiting.get(host)?.get(sequence);
		if (waiting !== undefined) {
			this.#removeWaiting(waiting.group, waiting.request);
		}

		return [];
	}

	#release(host: string, {sequence, outcome, eventIntervalMs, firstEventMs, promptTokens}: SlotRelease, now: Milliseconds): Group[] {
		const grant = this.#grants.get(host)?.get(sequence);
		if (grant === undefined) {
			return this.#withdraw(host, sequence, now);
		}

		const {load} = grant.member;
		if (outcome === attemptOutcomes.completed || outcome === attemptOutcomes.failed) {
			load.recordHeard(now);
		}

		if (firstEventMs !== undefined && promptTokens !== undefined) {
			load.speed.recordFirstEvent({firstEventMs, promptTokens, loadRatio: grant.loadRatio});
		}

		// Many requests that a crash has broken are one failure.
		const isRepeated = pausingOutcomes.has(outcome) && load.isPaused(now);
		this.#free(host, sequence, grant, now, isRepeated ? attemptOutcomes.cancelled : outcome, eventIntervalMs);
		return [grant.group];
	}

	#free(host: string, sequence: number, {member}: Grant, now: Milliseconds, outcome: SlotRelease['outcome'] = attemptOutcomes.cancelled, eventIntervalMs?: Milliseconds): void {
		const grants = this.#grants.get(host)!;
		grants.delete(sequence);
		if (grants.size === 0) {
			this.#grants.delete(host);
		}

		member.load.recordOutcome(outcome, now, eventIntervalMs);
		member.window.record(member.load.inFlight, now);
	}

	#assign(groups: readonly Group[], now: Milliseconds): Answer[] {
		return [...new Set(groups)].flatMap(group => group.queue.size === 0 ? [] : this.#assignGroup(group, now));
	}

	/** Grants free slots to waiting requests in their order. Returns the grants, and the denials of those that have become late and can't expect a slot in time. */
	#assignGroup(group: Group, now: Milliseconds): Answer[] {
		const {queue, dispatchRate} = group;
		const answers: Answer[] = [];
		queue.setFair(this.options.features().fairOrder);
		for (const request of queue.takeExpired(now) as QueuedRequest[]) {
			this.#removeWaiting(group, request);
		}

		const loads = this.options.findEndpoints(group.group);
		if (loads.length > 0 && loads.every(load => load.isBrieflySilent(now))) {
			dispatchRate.restart(now);
		}

		for (const request of queue.moveLate(now, minimumResponseMs) as QueuedRequest[]) {
			const waitMs = dispatchRate.expectedWaitMs(lateRank, queue.lateAhead(request.tier, request) - 1, now);
			if (waitMs !== undefined && now + waitMs > request.latestDispatchAt) {
				this.#removeWaiting(group, request);
				answers.push(this.#deny(request.host, request.sequence, group, waitMs, now));
			}
		}

		const candidates = this.#candidates(group, loads, now);
		let free = candidates.reduce((sum, {slots, inFlight}) => sum + Math.max(0, slots - inFlight), 0);
		for (const request of queue.inOrder() as Iterable<QueuedRequest>) {
			if (now > request.latestDispatchAt) {
				this.#removeWaiting(group, request);
				continue;
			}

			if (free <= 0) {
				break;
			}

			const selected = this.#select(candidates, request, now);
			if (selected !== undefined) {
				selected.inFlight++;
				free--;
				dispatchRate.recordDispatch(queue.isLate(request) ? lateRank : request.tier, now);
				queue.remove(request, true);
				this.#removeWaiting(group, request);
				answers.push(this.#grant(group, selected.member, request, free, now));
			}
		}

		dispatchRate.recordQueueState(queue.size === 0, now);
		return answers;
	}

	#candidates(group: Group, loads: readonly EndpointLoad[], now: Milliseconds): Array<Candidate & {inFlight: number; readonly member: Member}> {
		const isNew = now - group.since < takeoverMs;
		const {learnedSpeeds} = this.options.features();
		return loads.map(own => ({own, member: this.#member(group, own, now)})).filter(({member}) => !member.load.isPaused(now)).map(({own, member}) => ({
			member,
			endpointId: member.load.record.id,
			slots: member.load.record.slots,
			inFlight: this.#loadOf(member, isNew, now),
			isFailing: member.load.isFailing,
			eventIntervalMs: member.load.eventIntervalMs,
			// Only this instance's own requests show that an endpoint is slow now: releases come too late for that.
			speed: learnedSpeeds ? {...member.load.speed.estimate(now), slowdown: own.speed.slowdown(now)} : undefined,
			isSameZone: true,
		}));
	}

	/**
	Returns the requests at an endpoint: the grants, and those that were placed without one.

	The known count is late, so it still includes grants that were released since, and a count above the most grants of the last seconds shows requests without a grant. That misses those placed before a new coordinator's grants, which it takes for the part of the count above the fewest grants. They only become fewer.
	*/
	#loadOf(member: Member, isNew: boolean, now: Milliseconds): number {
		const {load, window} = member;
		const known = this.options.knownInFlight(load.record.id);
		member.earlier = Math.min(member.earlier, known);
		const earlier = isNew ? Math.min(member.earlier, known - window.minimum(now)) : 0;
		return load.inFlight + Math.max(0, earlier, known - window.maximum(now) - Math.ceil(countTolerance * load.record.slots));
	}

	#select<T extends Candidate>(candidates: readonly T[], {expectedEvents, promptTokens, targetAt, deadlineAt, excluded}: QueuedRequest, now: Milliseconds): T | undefined {
		const request: PlacementRequest = {
			expectedEvents, promptTokens, remainingMs: deadlineAt - now, targetMs: targetAt - now,
		};
		const usable = candidates.filter(({endpointId}) => !excluded.has(endpointId));
		const suitable = usable.filter(candidate => canFinish(request, candidate));
		return selectEndpoint((suitable.length > 0 ? suitable : usable).filter(({inFlight, slots}) => inFlight < slots), request) as T | undefined;
	}

	#grant(group: Group, member: Member, {host, sequence, receivedAt}: QueuedRequest, freeSlots: number, now: Milliseconds): Answer {
		const loadRatio = member.load.inFlight / member.load.record.slots;
		member.load.recordDispatch(now);
		member.window.record(member.load.inFlight, now);
		const grant: Grant = {
			group, member, freeSlots, loadRatio, grantedAt: now, isMissing: false, expiresAt: now + leaseMs,
		};
		let grants = this.#grants.get(host);
		if (grants === undefined) {
			grants = new Map();
			this.#grants.set(host, grants);
		}

		grants.set(sequence, grant);
		this.options.events.onGrant(group.group, now - receivedAt);
		return this.#grantAnswer(host, sequence, grant);
	}

	#grantAnswer(host: string, sequence: number, {member: {load: {record: {id, startedAt}}}, freeSlots}: Grant): Answer {
		return {
			host, message: {
				kind: 'slot-grant', sequence, start: {id, startedAt}, freeSlots,
			},
		};
	}

	#deny(host: string, sequence: number, group: Group, expectedWaitMs: Milliseconds, now: Milliseconds): Answer {
		this.options.events.onDenial(group.group);
		const candidates = this.#candidates(group, this.options.findEndpoints(group.group), now);
		const freeSlots = candidates.reduce((sum, {slots, inFlight}) => sum + Math.max(0, slots - inFlight), 0);
		return {
			host, message: {
				kind: 'slot-denied', sequence, expectedWaitMs, freeSlots,
			},
		};
	}

	/** Returns the expected time until a new request gets a slot. One that will become late comes after all that are on time. */
	#expectedWaitMs({dispatchRate, queue}: Group, request: QueuedRequest, onTimeAhead: number, now: Milliseconds): Milliseconds | undefined {
		const {tier} = request;
		const waitMs = dispatchRate.expectedWaitMs(tier, onTimeAhead, now);
		if (waitMs === undefined || now + waitMs <= queue.latestOnTimeDispatch(request, minimumResponseMs)) {
			return waitMs;
		}

		return Math.max(waitMs, dispatchRate.expectedWaitMs(lateRank, queue.lateAhead(tier, request), now) ?? 0);
	}

	#removeWaiting(group: Group, request: QueuedRequest): void {
		group.queue.remove(request);
		const requests = this.#waiting.get(request.host);
		requests?.delete(request.sequence);
		if (requests?.size === 0) {
			this.#waiting.delete(request.host);
		}
	}

	#waitingOf(host: string): Map<number, {readonly group: Group; readonly request: QueuedRequest}> {
		let requests = this.#waiting.get(host);
		if (requests === undefined) {
			requests = new Map();
			this.#waiting.set(host, requests);
		}

		return requests;
	}

	#group(group: SlotGroup, now: Milliseconds): Group {
		const key = groupKey(group);
		let known = this.#groups.get(key);
		if (known === undefined) {
			const serviceSpeed = ServiceSpeed.create();
			known = {
				group, queue: WaitingQueue.create(request => expectedNeed(request as QueuedRequest, serviceSpeed)), dispatchRate: DispatchRate.create(), serviceSpeed, members: new Map(), since: now, usedAt: now,
			};
			this.#groups.set(key, known);
		}

		return known;
	}

	/** Returns the member of a group for an endpoint. A new one has the speed that this instance has measured itself. */
	#member(group: Group, own: EndpointLoad, now: Milliseconds): Member {
		const key = startKey(own.record);
		let member = group.members.get(key);
		if (member === undefined) {
			member = {load: EndpointLoad.create(own.record, now, group.serviceSpeed), window: GrantWindow.create(now), earlier: Infinity};
			// Only a measured interval is taken over, so that the first measurement replaces the assumed one.
			if (own.eventIntervalMs !== member.load.eventIntervalMs) {
				member.load.recordDispatch(now);
				member.load.recordOutcome(attemptOutcomes.cancelled, now, own.eventIntervalMs);
			}

			group.members.set(key, member);
		} else if (member.load.record !== own.record) {
			member.load.update(own.record, now);
		}

		return member;
	}

	#forgetUnused(now: Milliseconds): void {
		for (const [key, group] of this.#groups) {
			this.#forgetGone(group);
			if (group.queue.size === 0 && group.members.size === 0 && now - group.usedAt > groupUnusedMs) {
				this.#groups.delete(key);
			}
		}
	}

	/** Forgets endpoints without grants that are not used any more. */
	#forgetGone({group, members}: Group): void {
		const usable = new Set(this.options.findEndpoints(group).map(({record}) => startKey(record)));
		for (const [key, {load}] of members) {
			if (load.inFlight === 0 && !usable.has(key)) {
				members.delete(key);
			}
		}
	}
}
