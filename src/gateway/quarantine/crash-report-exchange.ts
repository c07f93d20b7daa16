import {pack} from 'msgpackr';
import type {Milliseconds} from '../../shared/clock.js';
import type {OutgoingDatagram} from '../membership/heartbeat-exchange.js';
import type {PeerGroup} from '../membership/peer-group.js';
import {encodeCrashReport} from './crash-report-codec.js';
import type {
	CrashReport, EndpointCrash, Evidence, PartSurvival, Suspect,
} from './types.js';

/** Largest content of a report in bytes, so that its datagram fits into one packet. */
const maximumReportBytes = 1100;

/** Largest part of a report that the suspects of one crash take. */
const maximumSuspectBytes = 900;

/** Number of times that new evidence is sent, and the time between them: datagrams are lost. */
const sendsPerItem = 4;
const resendIntervalMs: Milliseconds = 200;

/** Interval at which an instance sends evidence that it holds to another one at random, for those that missed it. */
const repairIntervalMs: Milliseconds = 1000;

/** Crashes and survivals in one repair; the next one goes on after them. */
const itemsPerRepair = 6;

/** Number of instances that send all evidence to one that has joined. */
const greetingInstances = 4;

/** Items that wait to be sent; the oldest are dropped. All are repaired later. */
const maximumPending = 256;

type Item
	= | {readonly kind: 'crash'; readonly crash: EndpointCrash}
		| {readonly kind: 'survival'; readonly survival: PartSurvival}
		| {readonly kind: 'conviction'; readonly parts: readonly string[]};

type PendingItem = {
	readonly item: Item;
	/** Evidence from another zone is sent within this zone only. */
	readonly isFromOtherZone: boolean;
	sendsLeft: number;
	nextAt: Milliseconds;
};

export type CrashReportExchangeOptions = {
	readonly peers: PeerGroup;
	readonly ownHost: string;
	/** All evidence that this instance holds. */
	readonly evidence: () => Evidence;
	/** Applies evidence of another instance and returns what was new. */
	readonly receive: (evidence: Evidence) => Evidence;
	/** Returns a random number from 0 to below 1. */
	readonly random: () => number;
};

/** Splits a crash with many suspects into several with some each, which the receivers merge again. */
function splitCrash(crash: EndpointCrash): EndpointCrash[] {
	const groups: Suspect[][] = [];
	let bytes = Infinity;
	for (const suspect of crash.suspects) {
		const suspectBytes = pack(suspect).byteLength;
		if (bytes + suspectBytes > maximumSuspectBytes) {
			groups.push([]);
			bytes = 0;
		}

		groups.at(-1)!.push(suspect);
		bytes += suspectBytes;
	}

	return groups.map(suspects => ({...crash, suspects}));
}

/** Survivals come first: an instance that knows only the crashes could convict a sound part. */
function toItems({crashes, survivals, convictions}: Evidence): Item[] {
	return [
		...survivals.map(survival => ({kind: 'survival' as const, survival})),
		...crashes.flatMap(crash => splitCrash(crash)).map(crash => ({kind: 'crash' as const, crash})),
		...convictions.map(parts => ({kind: 'conviction' as const, parts})),
	];
}

function toReport(items: readonly Item[], now: Milliseconds): CrashReport {
	return {
		crashes: items.flatMap(item => item.kind === 'crash' ? [{...item.crash, ageMs: now - item.crash.at}] : []),
		survivals: items.flatMap(item => item.kind === 'survival' ? [{part: item.survival.part, ageMs: now - item.survival.at}] : []),
		convictions: items.flatMap(item => item.kind === 'conviction' ? [item.parts] : []),
	};
}

/** Encodes items as datagrams that each fit into one packet. */
function encodeItems(items: readonly Item[], now: Milliseconds): Uint8Array[] {
	const datagrams: Uint8Array[] = [];
	let batch: Item[] = [];
	let bytes = 0;
	for (const item of items) {
		const itemBytes = pack(item).byteLength;
		if (batch.length > 0 && bytes + itemBytes > maximumReportBytes) {
			datagrams.push(encodeCrashReport(toReport(batch, now)));
			batch = [];
			bytes = 0;
		}

		batch.push(item);
		bytes += itemBytes;
	}

	return batch.length === 0 ? datagrams : [...datagrams, encodeCrashReport(toReport(batch, now))];
}

/**
Decides which evidence of crashes is sent to whom, without network or timers.

An instance sends what it has seen to its peers and, in a large fleet, to a few instances of each other zone, which pass it on within theirs. So the datagrams for a crash grow with the zone and the number of zones, not with the fleet.
*/
export class CrashReportExchange {
	static create(options: CrashReportExchangeOptions): CrashReportExchange {
		return new CrashReportExchange(options);
	}

	#pending: PendingItem[] = [];
	#lastRepairAt: Milliseconds = -Infinity;
	#repairedItems = 0;

	private constructor(private readonly options: CrashReportExchangeOptions) {}

	/** Returns what is to be sent of new evidence of this instance. */
	publish(evidence: Evidence, now: Milliseconds): OutgoingDatagram[] {
		this.#queue(evidence, false, now);
		return this.#sendDue(now);
	}

	/** Returns what is to be sent now. */
	tick(now: Milliseconds): OutgoingDatagram[] {
		return [...this.#sendDue(now), ...this.#repair(now)];
	}

	/**
	Applies a report. Returns what is to be sent in response.

	@param sender host that sent it
	*/
	receive({crashes, survivals, convictions}: CrashReport, sender: string, now: Milliseconds): OutgoingDatagram[] {
		const news = this.options.receive({
			crashes: crashes.map(({ageMs, ...crash}) => ({...crash, at: now - ageMs})),
			survivals: survivals.map(({ageMs, part}) => ({part, at: now - ageMs})),
			convictions,
		});
		const {peers} = this.options;
		if (!peers.isZoned || peers.isZonePeer(sender)) {
			return [];
		}

		this.#queue(news, true, now);
		return this.#sendDue(now);
	}

	/** Returns all evidence for an instance that has started or was out of touch. Only some of the others send it. */
	greet(host: string, now: Milliseconds): OutgoingDatagram[] {
		const {peers, random, evidence} = this.options;
		if (random() * peers.presentHosts().length >= greetingInstances) {
			return [];
		}

		return encodeItems(toItems(evidence()), now).map(datagram => ({datagram, targets: [host]}));
	}

	#queue(evidence: Evidence, isFromOtherZone: boolean, now: Milliseconds): void {
		const added = toItems(evidence).map(item => ({
			item, isFromOtherZone, sendsLeft: sendsPerItem, nextAt: now,
		}));
		this.#pending = [...this.#pending, ...added].slice(-maximumPending);
	}

	#sendDue(now: Milliseconds): OutgoingDatagram[] {
		const {peers} = this.options;
		const due = this.#pending.filter(({nextAt}) => nextAt <= now);
		for (const pending of due) {
			pending.sendsLeft--;
			pending.nextAt = now + resendIntervalMs;
		}

		this.#pending = this.#pending.filter(({sendsLeft}) => sendsLeft > 0);
		return [true, false].flatMap(isFromOtherZone => {
			const items = due.filter(pending => pending.isFromOtherZone === isFromOtherZone).map(({item}) => item);
			const targets = new Set([...peers.presentHosts(), ...(isFromOtherZone ? [] : peers.summaryTargets())]);
			return encodeItems(items, now).map(datagram => ({datagram, targets}));
		});
	}

	#repair(now: Milliseconds): OutgoingDatagram[] {
		const {peers, ownHost, random, evidence} = this.options;
		if (now - this.#lastRepairAt < repairIntervalMs) {
			return [];
		}

		this.#lastRepairAt = now;
		const hosts = peers.members().filter(host => host !== ownHost);
		const target = hosts[Math.floor(random() * hosts.length)];
		if (target === undefined) {
			return [];
		}

		const {crashes, survivals, convictions} = evidence();
		const repaired = {crashes: this.#selectForRepair(crashes), survivals: this.#selectForRepair(survivals), convictions};
		this.#repairedItems += itemsPerRepair;
		return encodeItems(toItems(repaired), now).map(datagram => ({datagram, targets: [target]}));
	}

	/** Selects items in rotation, so that all are repaired in turn. */
	#selectForRepair<RepairedItem>(items: readonly RepairedItem[]): RepairedItem[] {
		return Array.from({length: Math.min(itemsPerRepair, items.length)}, (_, index) => items[(this.#repairedItems + index) % items.length]!);
	}
}
