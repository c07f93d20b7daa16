/** Measures an availability zone that is taken out of service and returned under load, alone and together with another failure. */
import {setTimeout as delay} from 'node:timers/promises';
import {availabilities} from '../standins/availability.js';
import type {BenchFleet} from './bench-fleet.js';
import {results, type RequestRecord} from './records.js';
import {isInTime} from './summary.js';

/** A failure in addition to the zone change. */
type Disturbance = {
	/** Duration of the fault, which begins half a second after the zone was taken out. Default: from the order to take the zone out until a second after its return. */
	readonly durationMs?: number;
	/** The entry that loses its requests in flight. */
	readonly lostEntry?: string;
	beginFault?(benchFleet: BenchFleet): void | Promise<void>;
	endFault?(benchFleet: BenchFleet): void | Promise<void>;
};

const suspendedEntry = 'entry-3';
const killedEntry = 'entry-4';

const disturbances = {
	none: {},
	'configuration service down for all but one entry': {
		beginFault({entries, fleet}) {
			for (const {slot} of entries) {
				if (slot !== 'entry-1') {
					fleet.configurationService.setBehaviour({availability: availabilities.down}, slot);
				}
			}
		},
		endFault({fleet}) {
			fleet.configurationService.resetBehaviours();
		},
	},
	'one entry frozen for 3 s': {
		beginFault({fleet}) {
			fleet.entry(suspendedEntry).suspend();
		},
		durationMs: 3000,
		endFault({fleet}) {
			fleet.entry(suspendedEntry).resume();
		},
	},
	'one entry killed': {
		async beginFault({fleet}) {
			await fleet.killEntry(killedEntry);
		},
		durationMs: 1000,
		endFault({fleet}) {
			fleet.startEntry(killedEntry);
		},
		lostEntry: killedEntry,
	},
} as const satisfies Record<string, Disturbance>;

export type DisturbanceName = keyof typeof disturbances;

export const disturbanceNames = Object.keys(disturbances) as readonly DisturbanceName[];

/** Times of one zone change, in milliseconds after the start of its load. */
export type ZoneTimes = {
	/** Until this time the service is undisturbed, which gives the steady state. */
	readonly out: number;
	readonly back: number;
	readonly end: number;
};

export type TierSecond = {
	readonly offered: number;
	readonly good: number;
};

export type ZoneChange = {
	readonly disturbance: DisturbanceName;
	readonly times: ZoneTimes;
	/** Goodput of the requests that arrived in each second, by tier. */
	readonly seconds: ReadonlyArray<Readonly<Record<string, TierSecond>>>;
	/** From the order to take the zone out until the last dispatch into it; undefined when there was none. */
	readonly lastDispatchSeconds: number | undefined;
	/** From the order to return the zone until its share of the dispatches is at least 80 % of its earlier share; undefined when that did not happen in time. */
	readonly shareReturnedSeconds: number | undefined;
	/** The zone's share of the dispatches before the change. */
	readonly shareBefore: number;
	/** Requests whose response was interrupted or whose outcome their caller does not know. */
	readonly cut: number;
	/** Interrupted requests that were in flight at the killed entry. */
	readonly cutInKilledEntry: number;
	readonly refused: number;
	/** Ratio of good responses to requests of the highest tier before the change. */
	readonly steadyTopShare: number;
	/** The lowest ratio of the highest tier in any second from the change to the end, relative to the steady state. */
	readonly lowestTopRatio: number;
	/** The same for the highest tier over all these seconds together. */
	readonly meanTopRatio: number;
	readonly failures: Readonly<Record<string, number>>;
};

export type ZoneOptions = {
	readonly seed: number;
	readonly requestsPerSecond: number;
	readonly times: ZoneTimes;
	readonly disturbances: readonly DisturbanceName[];
	readonly onChange: (change: ZoneChange) => void;
};

/** Length of the buckets in which the zone's share of the dispatches is calculated. */
const shareBucketMs = 500;

/** Share at which a zone counts as returned, relative to its earlier share. */
const returnedRatio = 0.8;

/** Time after which callers give up. It is long enough that a suspended entry appears slow and not lost. */
const timeoutMs = 12_000;

type Dispatch = {readonly time: number; readonly isInZone: boolean};

async function readDispatches({fleet, site, engines}: BenchFleet, since: number): Promise<Dispatch[]> {
	const logs = await Promise.all(engines.map(async engine => {
		const isInZone = fleet.overlay.endpoints[engine.name]!.availabilityZone === site.changedZone;
		const dispatches = await engine.dispatches();
		return dispatches.filter(({time}) => time >= since).map(({time}) => ({time, isInZone}));
	}));
	return logs.flat();
}

async function readZoneDispatches({fleet, site}: BenchFleet, since: number): Promise<number[]> {
	const inZone = fleet.endpoints.filter(({name}) => fleet.overlay.endpoints[name]!.availabilityZone === site.changedZone);
	const logs = await Promise.all(inZone.map(async endpoint => endpoint.dispatches()));
	return logs.flat().map(({time}) => time).filter(time => time >= since);
}

function zoneShareBetween(dispatches: readonly Dispatch[], from: number, to: number): number {
	const counted = dispatches.filter(({time}) => time >= from && time < to);
	return counted.length === 0 ? 0 : counted.filter(({isInZone}) => isInZone).length / counted.length;
}

/** Finds the end of the first bucket after the return from which the zone has its share for two buckets. */
function findShareReturn(dispatches: readonly Dispatch[], shareBefore: number, returnedAt: number, endsAt: number): number | undefined {
	for (let from = returnedAt; from + (2 * shareBucketMs) <= endsAt; from += 100) {
		if (zoneShareBetween(dispatches, from, from + (2 * shareBucketMs)) >= shareBefore * returnedRatio) {
			return (from + shareBucketMs - returnedAt) / 1000;
		}
	}

	return undefined;
}

function summariseSeconds(records: readonly RequestRecord[], {site}: BenchFleet, end: number): Array<Record<string, TierSecond>> {
	return Array.from({length: Math.floor(end / 1000)}, (_, second) => {
		const arrived = records.filter(({at}) => Math.floor(at / 1000) === second);
		return Object.fromEntries(Object.entries(site.tiers).map(([tier, promise]) => {
			const ofTier = arrived.filter(record => record.tier === tier);
			return [tier, {offered: ofTier.length, good: ofTier.filter(record => isInTime(record, promise)).length}];
		}));
	});
}

function goodShareOf(seconds: readonly TierSecond[]): number {
	const offered = seconds.reduce((sum, second) => sum + second.offered, 0);
	return offered === 0 ? 1 : seconds.reduce((sum, second) => sum + second.good, 0) / offered;
}

function summariseTopTier(seconds: ReadonlyArray<Record<string, TierSecond>>, tier: string, {out}: ZoneTimes) {
	const top = seconds.map(second => second[tier]!);
	// The first second is omitted, because the load starts in it.
	const steadyTopShare = goodShareOf(top.slice(1, Math.floor(out / 1000)));
	const changed = top.slice(Math.floor(out / 1000));
	const ratio = (share: number) => steadyTopShare === 0 ? 0 : share / steadyTopShare;
	return {
		steadyTopShare,
		lowestTopRatio: Math.min(...changed.map(second => ratio(goodShareOf([second])))),
		meanTopRatio: ratio(goodShareOf(changed)),
	};
}

function countFailures(records: readonly RequestRecord[]): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const {result, failureType} of records) {
		if (failureType !== undefined) {
			const key = `${result} ${failureType}`;
			counts[key] = (counts[key] ?? 0) + 1;
		}
	}

	return counts;
}

async function waitUntilOffset(startedAt: number, offsetMs: number): Promise<void> {
	await delay(Math.max(0, startedAt + offsetMs - Date.now()));
}

/** Makes the changes at their times. @returns the wall-clock times at which the zone was taken out and returned */
async function makeChanges(benchFleet: BenchFleet, startedAt: number, disturbance: Disturbance, {out, back}: ZoneTimes): Promise<{zoneOutAt: number; zoneInAt: number}> {
	const {fleet, site} = benchFleet;
	await waitUntilOffset(startedAt, out);
	const zoneOutAt = Date.now();
	// The disturbance of the configuration service must precede the change that it keeps entries from reading.
	const startsBeforeChange = disturbance.durationMs === undefined;
	if (startsBeforeChange) {
		await disturbance.beginFault?.(benchFleet);
	}

	fleet.setAvailabilityZoneState(site.changedZone, 'out');
	if (!startsBeforeChange) {
		await waitUntilOffset(zoneOutAt, 500);
		await disturbance.beginFault?.(benchFleet);
		await delay(disturbance.durationMs);
		await disturbance.endFault?.(benchFleet);
	}

	await waitUntilOffset(startedAt, back);
	const zoneInAt = Date.now();
	fleet.setAvailabilityZoneState(site.changedZone, 'in');
	if (startsBeforeChange) {
		await delay(1000);
		await disturbance.endFault?.(benchFleet);
	}

	return {zoneOutAt, zoneInAt};
}

async function measureChange(benchFleet: BenchFleet, name: DisturbanceName, options: ZoneOptions, seed: number): Promise<ZoneChange> {
	const {times, requestsPerSecond} = options;
	const {site, fleet} = benchFleet;
	const disturbance: Disturbance = disturbances[name];
	const plan = benchFleet.planLoad({seed, requestsPerSecond, durationMs: times.end}).map(planned => ({...planned, isKeyed: planned.index % 3 === 0}));
	const startedAt = Date.now();
	const running = benchFleet.runThroughEntries(plan, {timeoutMs});
	const {zoneOutAt, zoneInAt} = await makeChanges(benchFleet, startedAt, disturbance, times);
	const records = await running;
	const dispatches = await readDispatches(benchFleet, startedAt);
	const shareBefore = zoneShareBetween(dispatches, startedAt + 1000, zoneOutAt);
	const zoneDispatches = await readZoneDispatches(benchFleet, zoneOutAt);
	const whileOut = zoneDispatches.filter(time => time < zoneInAt);
	const seconds = summariseSeconds(records, benchFleet, times.end);
	const lostUrl = disturbance.lostEntry === undefined ? undefined : fleet.entry(disturbance.lostEntry).callersUrl;
	const cut = records.filter(({result}) => result === results.unknown);
	return {
		disturbance: name,
		times,
		seconds,
		shareBefore,
		lastDispatchSeconds: whileOut.length === 0 ? undefined : (Math.max(...whileOut) - zoneOutAt) / 1000,
		shareReturnedSeconds: findShareReturn(dispatches, shareBefore, zoneInAt, startedAt + times.end),
		cut: cut.length,
		cutInKilledEntry: cut.filter(({target}) => lostUrl !== undefined && target === lostUrl).length,
		refused: records.filter(({result}) => result === results.refused).length,
		...summariseTopTier(seconds, site.topTier, times),
		failures: countFailures(records),
	};
}

/** Runs one zone change for each disturbance, one after another. */
export async function measureZoneChanges(benchFleet: BenchFleet, options: ZoneOptions): Promise<ZoneChange[]> {
	const changes: ZoneChange[] = [];
	for (const [index, name] of options.disturbances.entries()) {
		// eslint-disable-next-line no-await-in-loop
		const change = await measureChange(benchFleet, name, options, options.seed + 100 + index);
		changes.push(change);
		options.onChange(change);
	}

	return changes;
}
