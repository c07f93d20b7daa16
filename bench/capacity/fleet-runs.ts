/** Measurements on real entry processes on the loopback interface. */
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {statusReportSchema} from '../../src/shared/status.js';
import {Fleet, type Deployment} from '../../standins/fleet/index.js';
import {createDocuments, type DocumentSize} from './documents.js';
import {
	calculateRates, readResidentMegabytes, sampleProcess, type ProcessRates, type ProcessSample,
} from './process-sample.js';
import {createSeries, median, type Series} from './series.js';

export type FleetProfile = {
	readonly entryCounts: readonly number[];
	readonly endpointCounts: readonly number[];
	readonly memoryEndpointCounts: readonly number[];
	readonly memoryWorkspaceCounts: readonly number[];
	readonly requestCounts: readonly number[];
	readonly engineCounts: readonly number[];
	readonly windows: number;
	readonly windowMs: number;
	readonly changes: number;
};

/** Time within which quarantines and the first exchange of documents end. */
const settleMs = 5000;

/** Time within which a change is in force on every entry, and over which its bytes are counted. */
const changeWindowMs = 1000;

const readyTimeoutMs = 60_000;

type IdleRates = ProcessRates & {
	/** Pending watches of the configuration service, per entry. */
	readonly waitingWatches: number;
	/** Reads of the configuration service per second and entry, except watches that are pending for the whole time. */
	readonly configurationReads: number;
	readonly instanceListReads: number;
	readonly residentMegabytes: number;
};

function pidsOf(fleet: Fleet): number[] {
	return [...fleet.entries.values()].map(({pid}) => pid!);
}

function medianRates(rates: readonly ProcessRates[]): ProcessRates {
	return {
		cpuMs: median(rates.map(({cpuMs}) => cpuMs)),
		sentBytes: median(rates.map(({sentBytes}) => sentBytes)),
		receivedBytes: median(rates.map(({receivedBytes}) => receivedBytes)),
	};
}

async function sampleWindow(pids: readonly number[], durationMs: number): Promise<ProcessRates> {
	const before = pids.map(pid => sampleProcess(pid));
	await sleep(durationMs);
	return medianRates(pids.map((pid, index) => calculateRates(before[index]!, sampleProcess(pid))));
}

/** Takes the median over the entries in each window, and then over the windows. */
async function measureIdle(fleet: Fleet, {windows, windowMs}: FleetProfile): Promise<IdleRates> {
	const pids = pidsOf(fleet);
	const rates: ProcessRates[] = [];
	const configurationReads = fleet.configurationService.counters.reads;
	const instanceListReads = fleet.instanceList.reads;
	for (let window = 0; window < windows; window++) {
		// eslint-disable-next-line no-await-in-loop
		rates.push(await sampleWindow(pids, windowMs));
	}

	const seconds = windows * windowMs / 1000 * pids.length;
	return {
		...medianRates(rates),
		waitingWatches: fleet.configurationService.counters.waitingWatches / pids.length,
		configurationReads: (fleet.configurationService.counters.reads - configurationReads) / seconds,
		instanceListReads: (fleet.instanceList.reads - instanceListReads) / seconds,
		residentMegabytes: median(pids.map(pid => readResidentMegabytes(pid))),
	};
}

async function withFleet<Result>(deployment: Deployment, measure: (fleet: Fleet) => Promise<Result>): Promise<Result> {
	const fleet = await Fleet.start({deployment, logLevel: 'warn', endpointsPerProcess: 100});
	try {
		await fleet.waitUntilReady(undefined, readyTimeoutMs);
		await sleep(settleMs);
		return await measure(fleet);
	} finally {
		await fleet.dispose();
	}
}

type ChangeCost = {
	/** Wall-clock time from the publication until the version is in force on the last entry. */
	readonly rolloutMs: number;
	/** In excess of the idle traffic, median of the entries. */
	readonly sentBytes: number;
	readonly receivedBytes: number;
	readonly cpuMs: number;
};

/** @returns the wall-clock time at which the last entry adopted the version in force */
async function readLastAdoption(fleet: Fleet): Promise<number> {
	const adoptions = await Promise.all([...fleet.entries.values()].map(async ({operatorsUrl}) => {
		const response = await request(`${operatorsUrl}/v1/status`);
		const report = statusReportSchema.parse(await response.body.json());
		return report.wallTime - report.configuration!.inForceMilliseconds;
	}));
	return Math.max(...adoptions);
}

function subtractIdle(before: ProcessSample, after: ProcessSample, idle: ProcessRates): Omit<ChangeCost, 'rolloutMs'> {
	const seconds = (after.sampledAt - before.sampledAt) / 1000;
	return {
		sentBytes: after.sentBytes - before.sentBytes - (idle.sentBytes * seconds),
		receivedBytes: after.receivedBytes - before.receivedBytes - (idle.receivedBytes * seconds),
		cpuMs: after.cpuMs - before.cpuMs - (idle.cpuMs * seconds),
	};
}

async function measureChange(fleet: Fleet, weight: number, idle: ProcessRates): Promise<ChangeCost> {
	const pids = pidsOf(fleet);
	const before = pids.map(pid => sampleProcess(pid));
	const publishedAt = Date.now();
	fleet.changeOverlay(overlay => {
		const workspaces = overlay.workspaces as Record<string, Record<string, unknown>>;
		return {...overlay, workspaces: {...workspaces, 'workspace-1': {...workspaces['workspace-1'], weight}}};
	});
	await sleep(changeWindowMs);
	const excesses = pids.map((pid, index) => subtractIdle(before[index]!, sampleProcess(pid), idle));
	const adoptedAt = await readLastAdoption(fleet);
	return {
		rolloutMs: adoptedAt - publishedAt,
		sentBytes: median(excesses.map(({sentBytes}) => sentBytes)),
		receivedBytes: median(excesses.map(({receivedBytes}) => receivedBytes)),
		cpuMs: median(excesses.map(({cpuMs}) => cpuMs)),
	};
}

async function measureChanges(fleet: Fleet, profile: FleetProfile, idle: ProcessRates): Promise<ChangeCost> {
	const changes: ChangeCost[] = [];
	for (let change = 0; change < profile.changes; change++) {
		// eslint-disable-next-line no-await-in-loop
		changes.push(await measureChange(fleet, 10 + change, idle));
	}

	return {
		rolloutMs: median(changes.map(({rolloutMs}) => rolloutMs)),
		sentBytes: median(changes.map(({sentBytes}) => sentBytes)),
		receivedBytes: median(changes.map(({receivedBytes}) => receivedBytes)),
		cpuMs: median(changes.map(({cpuMs}) => cpuMs)),
	};
}

type Row = {
	readonly x: number;
	readonly idle: IdleRates;
	readonly change?: ChangeCost;
};

function createIdleSeries(rows: readonly Row[], against: string): Series[] {
	const series = (name: string, unit: string, value: (row: Row) => number) =>
		createSeries({
			name, against, unit, points: rows.map(row => ({x: row.x, y: value(row)})),
		});
	return [
		series('control sent by an entry', 'bytes/s', ({idle}) => idle.sentBytes),
		series('control received by an entry', 'bytes/s', ({idle}) => idle.receivedBytes),
		series('idle processor time of an entry', 'ms/s', ({idle}) => idle.cpuMs),
		series('resident memory of an entry', 'MB', ({idle}) => idle.residentMegabytes),
		series('waiting watches of the configuration service per entry', 'watches', ({idle}) => idle.waitingWatches),
		series('reads of the configuration service per entry', '1/s', ({idle}) => idle.configurationReads),
		series('reads of the instance list per entry', '1/s', ({idle}) => idle.instanceListReads),
		...(rows.every(({change}) => change)
			? [
				series('time until a change is in force on all entries', 'ms of wall-clock time', ({change}) => change!.rolloutMs),
				series('sent by an entry for a change', 'bytes', ({change}) => change!.sentBytes),
				series('received by an entry for a change', 'bytes', ({change}) => change!.receivedBytes),
				series('processor time of an entry for a change', 'ms', ({change}) => change!.cpuMs),
			]
			: []),
	];
}

/** Measures idle entries and configuration changes against the number of entries, with one fleet for each point. */
export async function measureEntries(profile: FleetProfile): Promise<Series[]> {
	const rows: Row[] = [];
	for (const entries of profile.entryCounts) {
		// eslint-disable-next-line no-await-in-loop
		rows.push(await withFleet(createDocuments({entries, endpoints: 14, workspaces: 20}), async fleet => {
			const idle = await measureIdle(fleet, profile);
			return {x: entries, idle, change: await measureChanges(fleet, profile, idle)};
		}));
	}

	return createIdleSeries(rows, 'entries; 14 endpoints, 20 workspaces');
}

/** Measures one fleet of 7 entries while its documents grow. */
async function measureDocuments(profile: FleetProfile, sizes: ReadonlyArray<{x: number; size: Omit<DocumentSize, 'entries'>}>): Promise<Row[]> {
	const entries = 7;
	return withFleet(createDocuments({entries, ...sizes[0]!.size}), async fleet => {
		const rows: Row[] = [];
		for (const {x, size} of sizes) {
			const {base, overlay} = createDocuments({entries, ...size});
			fleet.publish(base, overlay);
			// eslint-disable-next-line no-await-in-loop
			await sleep(settleMs);
			// eslint-disable-next-line no-await-in-loop
			const idle = await measureIdle(fleet, profile);
			// eslint-disable-next-line no-await-in-loop
			rows.push({x, idle, change: await measureChanges(fleet, profile, idle)});
		}

		return rows;
	});
}

/** Measures idle entries and configuration changes against the number of endpoints, with 7 entries. */
export async function measureEndpoints(profile: FleetProfile): Promise<Series[]> {
	const sizes = profile.endpointCounts.map(endpoints => ({x: endpoints, size: {endpoints, workspaces: 20}}));
	return createIdleSeries(await measureDocuments(profile, sizes), 'endpoints; 7 entries, 20 workspaces');
}

type SingleEntry = {
	readonly x: number;
	readonly size: Omit<DocumentSize, 'entries'>;
};

/** Measures fleets of a single entry, all at the same time. */
async function measureSingleEntrySeries(profile: FleetProfile, entries: readonly SingleEntry[], against: string): Promise<Series[]> {
	const rows = await Promise.all(entries.map(async ({x, size}) => ({
		x, idle: await withFleet(createDocuments({entries: 1, ...size}), async fleet => measureIdle(fleet, profile)),
	})));
	return createIdleSeries(rows, against);
}

/** Measures fleets of a single new entry, so that no memory remains of earlier documents. The instance list names all endpoints. */
export async function measureSingleEntries(profile: FleetProfile): Promise<Series[]> {
	const byEndpoints = profile.memoryEndpointCounts.map(endpoints => ({x: endpoints, size: {endpoints, workspaces: 20}}));
	const byWorkspaces = profile.memoryWorkspaceCounts.map(workspaces => ({x: workspaces, size: {endpoints: 14, workspaces}}));
	return [
		...await measureSingleEntrySeries(profile, byEndpoints, 'endpoints; 1 entry, 20 workspaces'),
		...await measureSingleEntrySeries(profile, byWorkspaces, 'workspaces; 1 entry, 14 endpoints'),
	];
}

/** Measures a single entry against the number of engines that it polls. Their load reports and cache events are empty. */
export async function measurePolls(profile: FleetProfile): Promise<Series[]> {
	const rows: Row[] = [];
	for (const endpoints of profile.engineCounts) {
		const documents = createDocuments({
			entries: 1, endpoints, workspaces: 20, kind: 'engine',
		});
		const engines = Object.fromEntries(Object.keys(documents.overlay.endpoints).map(name => [name, {units: 64, coldUnits: 64}]));
		// eslint-disable-next-line no-await-in-loop
		rows.push(await withFleet({...documents, engines}, async fleet => ({x: endpoints, idle: await measureIdle(fleet, profile)})));
	}

	return createIdleSeries(rows, 'polled engines; 1 entry, 20 workspaces');
}
