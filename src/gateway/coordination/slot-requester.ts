import {randomInt} from 'node:crypto';
import type {Clock, Milliseconds} from '../../shared/clock.js';
import {attemptOutcomes, type AttemptOutcome} from '../scheduling/endpoint-load.js';
import type {
	SlotDecision, SlotGroup, SlotMeasurements, SlotPlace, SlotSource, WaitingRequest,
} from '../scheduling/types.js';
import {startKey, type EndpointStart} from '../site/endpoint-start.js';
import {maximumExcluded, maximumReleases, maximumSequences} from './coordination-codec.js';
import {groupKey} from './slot-groups.js';
import type {CoordinatorMessage, RequesterMessage, SlotRelease} from './types.js';

/** Time in which a coordinator answers a request. */
const answerMs: Milliseconds = 60;

/** Time without a confirmation after which a request that waits at a coordinator is placed without it. The coordinator confirms every 150 ms, so one lost confirmation changes nothing. */
const confirmedMs: Milliseconds = 350;

/** Time for which a silent coordinator is not asked again; it doubles with each unanswered request. */
const initialSilenceMs: Milliseconds = 1000;
const maximumSilenceMs: Milliseconds = 4000;

/** Time for which a request is placed as without coordination after it got no answer or no slot. */
const placedMs: Milliseconds = 1000;

/** Interval at which a waiting request asks other zones. */
const spillIntervalMs: Milliseconds = 100;

/** Other groups that are asked before a request is refused. */
const maximumOtherGroups = 2;

/** Interval of the renewals of grants in use. */
const renewalIntervalMs: Milliseconds = 1000;

/** Grants that can't be used after which a request is placed without coordination. */
const maximumDeclines = 3;

/** Time for which the free slots that a coordinator has named count: a zone that had none may have some soon. */
const freeSlotsKnownMs: Milliseconds = 100;

/** Numbers from which the first sequence of a process is chosen, so that no message to a process that ran here before matches a request of this one. */
const firstSequenceCount = 2 ** 31;

export type RequesterEvents = {
	/** Called when a coordinator has not answered and is not asked for a time. */
	onSilent(host: string, silenceMs: Milliseconds): void;
	/** Called for a request that is placed without an answer. */
	onUnanswered(): void;
};

export type SlotRequesterOptions = {
	readonly clock: Clock;
	/** Returns the coordinator of a group, without the hosts for which `isSilent` is true if there are others. */
	readonly findCoordinator: (group: SlotGroup, isSilent: (host: string) => boolean) => string | undefined;
	/** @param isUrgent whether the message must not wait for the next tick */
	readonly send: (host: string, message: CoordinatorMessage, isUrgent: boolean) => void;
	readonly events: RequesterEvents;
};

/** A request at one coordinator. */
type Ask = {
	readonly sequence: number;
	readonly host: string;
	readonly group: SlotGroup;
	readonly isImmediate: boolean;
	sentAt: Milliseconds;
	/** When the coordinator last confirmed that the request waits. */
	confirmedAt: Milliseconds | undefined;
};

type Pending = {
	readonly request: WaitingRequest;
	readonly expectedEvents: number;
	/** At the home group, or undefined once that has denied a slot. */
	home: Ask | undefined;
	/** At another group, for an immediate answer. */
	other: Ask | undefined;
	otherSentAt: Milliseconds;
	/** Keys of the groups that were asked after the home group denied. */
	readonly askedGroups: Set<string>;
	/** Expected wait at the home group, once that has denied a slot. */
	deniedWaitMs: Milliseconds | undefined;
	grant: {readonly ask: Ask; readonly start: EndpointStart} | undefined;
	readonly declined: Set<string>;
	/** Until when the request is placed without coordination. */
	placedUntil: Milliseconds;
};

type Silence = {readonly until: Milliseconds; readonly durationMs: Milliseconds};

type HeldGrant = {readonly sequence: number; readonly host: string};

/** Asks coordinators for slots on behalf of this instance's requests, and holds the slots it gets, without network or timers. */
export class SlotRequester implements SlotSource {
	static create(options: SlotRequesterOptions): SlotRequester {
		return new SlotRequester(options);
	}

	readonly #pending = new Map<WaitingRequest, Pending>();
	readonly #asks = new Map<number, {readonly pending: Pending; readonly ask: Ask}>();
	/** By start of the endpoint, oldest first. */
	readonly #held = new Map<string, HeldGrant[]>();
	/** Sequences of the grants that are not released. */
	readonly #granted = new Set<number>();
	readonly #silences = new Map<string, Silence>();
	readonly #heardAt = new Map<string, Milliseconds>();
	readonly #freeSlots = new Map<string, {readonly count: number; readonly at: Milliseconds}>();
	#releases = new Map<string, SlotRelease[]>();
	#sequence = randomInt(firstSequenceCount);
	#renewedAt: Milliseconds = -Infinity;

	private constructor(private readonly options: SlotRequesterOptions) {}

	/** Grants of requests that are in flight. */
	get heldCount(): number {
		return [...this.#held.values()].reduce((sum, grants) => sum + grants.length, 0);
	}

	get pendingCount(): number {
		return this.#pending.size;
	}

	decide(request: WaitingRequest, expectedEvents: number, findPlaces: () => readonly SlotPlace[]): SlotDecision {
		const now = this.options.clock.now();
		const pending = this.#pending.get(request) ?? this.#open(request, expectedEvents);
		if (pending.grant !== undefined) {
			return {kind: 'granted', start: pending.grant.start};
		}

		if (now < pending.placedUntil) {
			return {kind: 'place'};
		}

		if (pending.home === undefined && pending.deniedWaitMs === undefined && pending.other === undefined) {
			const places = findPlaces();
			if (places.length === 0) {
				return {kind: 'place'};
			}

			if (!this.#askHome(pending, places, now)) {
				this.#placeWithout(pending, now);
				return {kind: 'place'};
			}
		}

		if (pending.other === undefined && this.#mayAskOther(pending, now)) {
			this.#askOther(pending, findPlaces(), now);
		}

		return this.#conclude(pending, now);
	}

	isPending(request: WaitingRequest): boolean {
		const pending = this.#pending.get(request);
		return pending !== undefined && (pending.home !== undefined || pending.other !== undefined || pending.grant !== undefined);
	}

	hasFreeSlots(group: SlotGroup): boolean {
		const named = this.#freeSlots.get(groupKey(group));
		return named !== undefined && this.options.clock.now() - named.at < freeSlotsKnownMs && named.count > 0;
	}

	accept(request: WaitingRequest): void {
		const pending = this.#pending.get(request);
		if (pending?.grant === undefined) {
			return;
		}

		const {ask, start} = pending.grant;
		const key = startKey(start);
		const held = this.#held.get(key);
		const grant: HeldGrant = {sequence: ask.sequence, host: ask.host};
		if (held === undefined) {
			this.#held.set(key, [grant]);
		} else {
			held.push(grant);
		}

		pending.grant = undefined;
		this.forget(request);
	}

	decline(request: WaitingRequest): void {
		const pending = this.#pending.get(request);
		if (pending?.grant === undefined) {
			return;
		}

		const {ask, start} = pending.grant;
		pending.grant = undefined;
		this.#release(ask.host, {sequence: ask.sequence, outcome: attemptOutcomes.cancelled});
		pending.declined.add(start.id);
		pending.deniedWaitMs = undefined;
		pending.askedGroups.clear();
		if (pending.declined.size >= maximumDeclines) {
			this.#placeWithout(pending, this.options.clock.now());
		}
	}

	forget(request: WaitingRequest): void {
		const pending = this.#pending.get(request);
		if (pending === undefined) {
			return;
		}

		this.#pending.delete(request);
		this.#withdrawAsks(pending);
		if (pending.grant !== undefined) {
			this.#release(pending.grant.ask.host, {sequence: pending.grant.ask.sequence, outcome: attemptOutcomes.cancelled});
		}
	}

	recordEnd(start: EndpointStart, inFlight: number, outcome: AttemptOutcome, measurements: SlotMeasurements): void {
		const key = startKey(start);
		const held = this.#held.get(key);
		if (held === undefined) {
			return;
		}

		for (const {sequence, host} of held.splice(0, Math.max(0, held.length - inFlight))) {
			this.#release(host, {sequence, outcome, ...measurements});
		}

		if (held.length === 0) {
			this.#held.delete(key);
		}

		this.#sendReleases(true);
	}

	/** Processes a coordinator's message. Returns whether requests are to be dispatched or asked for again. */
	receive(message: RequesterMessage, host: string): boolean {
		const now = this.options.clock.now();
		this.#heardAt.set(host, now);
		switch (message.kind) {
			case 'slot-grant': {
				return this.#receiveGrant(message.sequence, message.start, message.freeSlots, host, now);
			}

			case 'slot-denied': {
				return this.#receiveDenial(message.sequence, message.expectedWaitMs, message.freeSlots, host, now);
			}

			case 'slot-queued': {
				return this.#receiveQueued(message.sequences, message.isComplete, host, now);
			}
		}
	}

	/** Gives up what was not answered, renews grants and sends releases. Returns whether requests are to be dispatched or asked for again. */
	tick(): boolean {
		const now = this.options.clock.now();
		let hasChanged = false;
		for (const pending of this.#pending.values()) {
			const {home, other} = pending;
			if (other !== undefined && now - other.sentAt >= answerMs) {
				this.#recordUnanswered(other, now);
				this.#withdraw(other);
				pending.other = undefined;
				hasChanged = true;
			}

			if (home !== undefined && now - (home.confirmedAt ?? home.sentAt) >= (home.confirmedAt === undefined ? answerMs : confirmedMs)) {
				this.#recordUnanswered(home, now);
				this.#withdrawAsks(pending);
				this.#placeWithout(pending, now);
				this.options.events.onUnanswered();
				hasChanged = true;
			}
		}

		if (now - this.#renewedAt >= renewalIntervalMs) {
			this.#renewedAt = now;
			this.#renew();
			this.#expire(now);
		}

		this.#sendReleases(false);
		return hasChanged;
	}

	#open(request: WaitingRequest, expectedEvents: number): Pending {
		const pending: Pending = {
			request, expectedEvents, home: undefined, other: undefined, otherSentAt: -Infinity, askedGroups: new Set(), deniedWaitMs: undefined, grant: undefined, declined: new Set(), placedUntil: -Infinity,
		};
		this.#pending.set(request, pending);
		return pending;
	}

	/** Asks the group of the own zone with the most free slots, or without one the best of the other zones. Returns false if there is none whose coordinator answers. */
	#askHome(pending: Pending, places: readonly SlotPlace[], now: Milliseconds): boolean {
		const usable = this.#rank(places, now);
		const own = usable.filter(({isSameZone}) => isSameZone);
		for (const place of own.length > 0 ? own : usable) {
			const host = this.#findCoordinator(place, now);
			if (host !== undefined) {
				pending.home = this.#ask(pending, place, host, false, now);
				return true;
			}
		}

		return false;
	}

	/** Whether another group is to be asked: now and then while the request waits, and after the home group has denied a slot. */
	#mayAskOther({home, deniedWaitMs, askedGroups, otherSentAt, grant}: Pending, now: Milliseconds): boolean {
		if (grant !== undefined) {
			return false;
		}

		return deniedWaitMs === undefined ? home?.confirmedAt !== undefined && now - otherSentAt >= spillIntervalMs : askedGroups.size <= maximumOtherGroups;
	}

	/** Asks the other group with the most free slots for an immediate answer, before a refusal also one that may have none. */
	#askOther(pending: Pending, places: readonly SlotPlace[], now: Milliseconds): void {
		for (const place of this.#rank(places, now)) {
			const key = groupKey(place.group);
			if (key === this.#homeKey(pending) || pending.askedGroups.has(key) || (pending.deniedWaitMs === undefined && this.#freeSlotsOf(place, now) <= 0)) {
				continue;
			}

			const host = this.#findCoordinator(place, now);
			if (host !== undefined) {
				if (pending.deniedWaitMs !== undefined) {
					pending.askedGroups.add(key);
				}

				pending.otherSentAt = now;
				pending.other = this.#ask(pending, place, host, true, now);
				return;
			}
		}
	}

	/** Returns what follows from the answers so far. */
	#conclude(pending: Pending, now: Milliseconds): SlotDecision {
		if (pending.grant !== undefined) {
			return {kind: 'granted', start: pending.grant.start};
		}

		if (pending.home !== undefined || pending.other !== undefined || pending.deniedWaitMs === undefined) {
			return {kind: 'wait'};
		}

		if (now + pending.deniedWaitMs > pending.request.latestDispatchAt) {
			return {kind: 'refused', expectedWaitMs: pending.deniedWaitMs};
		}

		this.#placeWithout(pending, now);
		return {kind: 'place'};
	}

	#homeKey({home}: Pending): string | undefined {
		return home === undefined ? undefined : groupKey(home.group);
	}

	/** Returns the groups with the most free slots first. */
	#rank(places: readonly SlotPlace[], now: Milliseconds): SlotPlace[] {
		return places
			.map(place => ({place, freeSlots: this.#freeSlotsOf(place, now)}))
			.toSorted((a, b) => b.freeSlots - a.freeSlots)
			.map(({place}) => place);
	}

	/** Returns the free slots of a group: what its coordinator has named lately, or else what this instance knows. */
	#freeSlotsOf({group, freeSlots}: SlotPlace, now: Milliseconds): number {
		const named = this.#freeSlots.get(groupKey(group));
		return named !== undefined && now - named.at < freeSlotsKnownMs ? named.count : freeSlots;
	}

	/** The coordinator of the own zone has to answer; in other zones, where a host that has ended is known for longer, the next one is asked. */
	#findCoordinator({group, isSameZone}: SlotPlace, now: Milliseconds): string | undefined {
		const isSilent = (host: string) => now < (this.#silences.get(host)?.until ?? -Infinity);
		const host = this.options.findCoordinator(group, isSameZone ? () => false : isSilent);
		return host === undefined || isSilent(host) ? undefined : host;
	}

	#ask(pending: Pending, {group, unusable}: SlotPlace, host: string, isImmediate: boolean, now: Milliseconds): Ask | undefined {
		this.#sequence++;
		const ask: Ask = {
			sequence: this.#sequence, host, group, isImmediate, sentAt: now, confirmedAt: undefined,
		};
		this.#asks.set(ask.sequence, {pending, ask});
		this.#sendRequest(pending, ask, unusable, now);
		// A coordinator in this process has answered already.
		return this.#asks.has(ask.sequence) ? ask : undefined;
	}

	#sendRequest({request, expectedEvents, declined}: Pending, {sequence, host, group, isImmediate}: Ask, unusable: readonly string[], now: Milliseconds): void {
		const {tier, workspace, workspaceWeight, promptTokens, targetAt, latestDispatchAt, deadlineAt, excluded} = request;
		this.options.send(host, {
			kind: 'slot-request',
			sequence,
			group,
			tier,
			...(workspace !== undefined && {workspace}),
			...(workspaceWeight !== undefined && {workspaceWeight}),
			targetMs: targetAt - now,
			latestDispatchMs: latestDispatchAt - now,
			deadlineMs: deadlineAt - now,
			promptTokens,
			expectedEvents,
			excluded: [...new Set([...excluded, ...declined, ...unusable])].slice(0, maximumExcluded),
			isImmediate,
		}, true);
	}

	#receiveGrant(sequence: number, start: EndpointStart, freeSlots: number, host: string, now: Milliseconds): boolean {
		const known = this.#asks.get(sequence);
		if (known?.ask.host !== host) {
			// The request was dispatched elsewhere, unless this is a second answer to a repeated request.
			if (!this.#granted.has(sequence)) {
				this.#release(host, {sequence, outcome: attemptOutcomes.cancelled});
			}

			return false;
		}

		const {pending, ask} = known;
		this.#recordAnswer(ask, freeSlots, now);
		this.#asks.delete(sequence);
		pending.home = pending.home === ask ? undefined : pending.home;
		pending.other = pending.other === ask ? undefined : pending.other;
		this.#withdrawAsks(pending);
		if (pending.grant === undefined) {
			this.#granted.add(sequence);
			pending.grant = {ask, start};
		} else {
			this.#release(host, {sequence, outcome: attemptOutcomes.cancelled});
		}

		return true;
	}

	#receiveDenial(sequence: number, expectedWaitMs: Milliseconds, freeSlots: number, host: string, now: Milliseconds): boolean {
		const known = this.#asks.get(sequence);
		if (known?.ask.host !== host) {
			return false;
		}

		const {pending, ask} = known;
		this.#recordAnswer(ask, freeSlots, now);
		this.#asks.delete(sequence);
		if (ask.isImmediate) {
			pending.other = undefined;
		} else {
			pending.home = undefined;
			pending.deniedWaitMs = expectedWaitMs;
			pending.askedGroups.clear();
			pending.askedGroups.add(groupKey(ask.group));
		}

		return true;
	}

	#receiveQueued(sequences: readonly number[], isComplete: boolean, host: string, now: Milliseconds): boolean {
		let isFirst = false;
		for (const sequence of sequences) {
			const known = this.#asks.get(sequence);
			if (known?.ask.host === host && !known.ask.isImmediate) {
				isFirst ||= known.ask.confirmedAt === undefined;
				this.#recordAnswer(known.ask, 0, now);
				known.ask.confirmedAt = now;
			} else if (!this.#granted.has(sequence)) {
				// The message may have overtaken the grant; otherwise the request does not wait any more.
				this.options.send(host, {kind: 'slot-withdraw', sequences: [sequence]}, false);
			}
		}

		return (isComplete && this.#repeatMissing(new Set(sequences), host, now)) || isFirst;
	}

	/** Asks again for requests that do not wait at a coordinator any more, although their grant or denial has not arrived. */
	#repeatMissing(sequences: ReadonlySet<number>, host: string, now: Milliseconds): boolean {
		for (const {pending, ask} of this.#asks.values()) {
			if (ask.host === host && ask.confirmedAt !== undefined && !sequences.has(ask.sequence)) {
				ask.confirmedAt = undefined;
				ask.sentAt = now;
				this.#sendRequest(pending, ask, [], now);
			}
		}

		return false;
	}

	#recordAnswer({group, host, sentAt, confirmedAt}: Ask, freeSlots: number, now: Milliseconds): void {
		this.#freeSlots.set(groupKey(group), {count: freeSlots, at: now});
		if (confirmedAt === undefined && now - sentAt < answerMs) {
			this.#silences.delete(host);
		}
	}

	/** A coordinator that was heard since the request was sent has only lost that request or its answer. */
	#recordUnanswered({host, sentAt, confirmedAt}: Ask, now: Milliseconds): void {
		const silence = this.#silences.get(host);
		if ((this.#heardAt.get(host) ?? -Infinity) > (confirmedAt ?? sentAt) || now < (silence?.until ?? -Infinity)) {
			return;
		}

		const durationMs = silence === undefined ? initialSilenceMs : Math.min(maximumSilenceMs, 2 * silence.durationMs);
		this.#silences.set(host, {until: now + durationMs, durationMs});
		this.options.events.onSilent(host, durationMs);
	}

	#placeWithout(pending: Pending, now: Milliseconds): void {
		pending.home = undefined;
		pending.other = undefined;
		pending.deniedWaitMs = undefined;
		pending.askedGroups.clear();
		pending.placedUntil = now + placedMs;
	}

	#withdrawAsks(pending: Pending): void {
		for (const ask of [pending.home, pending.other]) {
			if (ask !== undefined) {
				this.#withdraw(ask);
			}
		}

		pending.home = undefined;
		pending.other = undefined;
	}

	#withdraw({sequence, host}: Ask): void {
		if (this.#asks.delete(sequence)) {
			this.options.send(host, {kind: 'slot-withdraw', sequences: [sequence]}, false);
		}
	}

	#release(host: string, release: SlotRelease): void {
		this.#granted.delete(release.sequence);
		const releases = this.#releases.get(host);
		if (releases === undefined) {
			this.#releases.set(host, [release]);
		} else {
			releases.push(release);
		}
	}

	#sendReleases(isUrgent: boolean): void {
		const byHost = this.#releases;
		this.#releases = new Map();
		for (const [host, releases] of byHost) {
			for (let index = 0; index < releases.length; index += maximumReleases) {
				this.options.send(host, {kind: 'slot-release', releases: releases.slice(index, index + maximumReleases)}, isUrgent);
			}
		}
	}

	#renew(): void {
		const byHost = new Map<string, number[]>();
		const grants = [
			...[...this.#held.values()].flat(),
			...[...this.#pending.values()].flatMap(({grant}) => grant === undefined ? [] : [grant.ask]),
		];
		for (const {host, sequence} of grants) {
			byHost.set(host, [...byHost.get(host) ?? [], sequence]);
		}

		for (const [host, sequences] of byHost) {
			for (let index = 0; index < sequences.length; index += maximumSequences) {
				this.options.send(host, {kind: 'slot-renew', sequences: sequences.slice(index, index + maximumSequences)}, false);
			}
		}
	}

	/** Forgets hosts and groups that were not heard of for a while. */
	#expire(now: Milliseconds): void {
		for (const [host, {until}] of this.#silences) {
			if (now - until > 4 * maximumSilenceMs) {
				this.#silences.delete(host);
			}
		}

		for (const [host, at] of this.#heardAt) {
			if (now - at > 4 * maximumSilenceMs) {
				this.#heardAt.delete(host);
			}
		}

		for (const [key, {at}] of this.#freeSlots) {
			if (now - at > 4 * maximumSilenceMs) {
				this.#freeSlots.delete(key);
			}
		}
	}
}
