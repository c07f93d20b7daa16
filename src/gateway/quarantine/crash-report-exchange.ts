import {pack} from 'msgpackr';
import type {Milliseconds} from '../../shared/clock.js';
import {
	GossipExchange, selectInRotation, splitBySize,
} from '../membership/gossip-exchange.js';
import type {OutgoingDatagram} from '../membership/heartbeat-exchange.js';
import type {PeerGroup} from '../membership/peer-group.js';
import {joinCrashes} from './crash-evidence.js';
import {encodeCrashReport} from './crash-report-codec.js';
import {
	crashKey, type CrashReport, type EndpointCrash, type Evidence, type PartSurvival,
} from './types.js';

/** Largest part of a report that the suspects of one crash take, and most comparisons beside them, so that both fit into one packet. */
const maximumSuspectBytes = 600;
const maximumComparisons = 16;

/** Crashes and survivals in one repair; the next one goes on after them. */
const itemsPerRepair = 6;

type Item
	= | {readonly kind: 'crash'; readonly crash: EndpointCrash}
		| {readonly kind: 'survival'; readonly survival: PartSurvival}
		| {readonly kind: 'conviction'; readonly parts: readonly string[]};

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

/** Splits a crash with many suspects or comparisons into several with some each, which the receivers merge again. */
function splitCrash(crash: EndpointCrash): EndpointCrash[] {
	const suspects = splitBySize(crash.suspects, maximumSuspectBytes);
	const comparisons = Object.entries(crash.comparisons);
	const count = Math.max(1, suspects.length, Math.ceil(comparisons.length / maximumComparisons));
	return Array.from({length: count}, (_, index) => ({
		...crash,
		suspects: suspects[index] ?? [],
		comparisons: Object.fromEntries(comparisons.slice(index * maximumComparisons, (index + 1) * maximumComparisons)),
	}));
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

/** An instance that knows only the crashes could convict a sound part, so they come last. */
const ranks: Readonly<Record<Item['kind'], number>> = {survival: 0, conviction: 1, crash: 2};

/** Joins what two instances saw of one crash. */
function joinItems(first: Item, second: Item): Item | undefined {
	if (first.kind !== 'crash' || second.kind !== 'crash' || crashKey(first.crash) !== crashKey(second.crash)) {
		return undefined;
	}

	const crash = joinCrashes(first.crash, second.crash);
	const isTooLarge = pack(crash.suspects).byteLength > maximumSuspectBytes || Object.keys(crash.comparisons).length > maximumComparisons;
	return isTooLarge ? undefined : {kind: 'crash', crash};
}

/** Exchanges evidence of crashes with the other instances. */
export class CrashReportExchange {
	static create(options: CrashReportExchangeOptions): CrashReportExchange {
		return new CrashReportExchange(options);
	}

	readonly #gossip: GossipExchange<Item>;
	#repairedItems = 0;

	private constructor(private readonly options: CrashReportExchangeOptions) {
		const {peers, ownHost, evidence, random} = options;
		this.#gossip = GossipExchange.create({
			peers, ownHost, random,
			encode: (items, now) => encodeCrashReport(toReport(items, now)),
			join: joinItems,
			rank: ({kind}) => ranks[kind],
			allItems: () => toItems(evidence()),
			repairItems: () => this.#repairItems(),
		});
	}

	/** Number of reports that wait to be sent. */
	get pendingCount(): number {
		return this.#gossip.pendingCount;
	}

	/** Returns what is to be sent of new evidence of this instance. */
	publish(evidence: Evidence, now: Milliseconds): OutgoingDatagram[] {
		return this.#gossip.publish(toItems(evidence), now);
	}

	/** Returns what is to be sent now. */
	tick(now: Milliseconds): OutgoingDatagram[] {
		return this.#gossip.tick(now);
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
		return this.#gossip.passOn(toItems(news), sender, now);
	}

	/** Returns all evidence for an instance that has started or was out of touch. Only some of the others send it. */
	greet(host: string, now: Milliseconds): OutgoingDatagram[] {
		return this.#gossip.greet(host, now);
	}

	#repairItems(): Item[] {
		const {crashes, survivals, convictions} = this.options.evidence();
		const repaired = {
			crashes: selectInRotation(crashes, this.#repairedItems, itemsPerRepair),
			survivals: selectInRotation(survivals, this.#repairedItems, itemsPerRepair),
			convictions,
		};
		this.#repairedItems += itemsPerRepair;
		return toItems(repaired);
	}
}
