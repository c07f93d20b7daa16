/** Measures the memory of an entry for each waiting request and each open stream, as growth of its resident memory. */
import {setTimeout as delay} from 'node:timers/promises';
import type {StatusReport} from '../src/shared/status.js';
import type {EntryProcess} from '../standins/fleet/index.js';
import type {BenchFleet} from './bench-fleet.js';
import {readEntryMetrics} from './entry-metrics.js';
import {LoadClient, sendPlan} from './load.js';
import type {PlannedEngineRequest} from './load-plan.js';

/** Memory while an entry holds many requests of one kind. */
export type HeldMemory = {
	/** Maximum number of held requests. */
	readonly held: number;
	readonly residentBytesBefore: number;
	readonly residentBytesPeak: number;
	/** Growth for each held request, without memory that the process already had and reuses. */
	readonly bytesPerRequest: number;
};

export type Memory = {
	readonly slot: string;
	readonly waiting: HeldMemory;
	readonly streams: HeldMemory;
};

export type MemoryOptions = {
	readonly seed: number;
	readonly slot: string;
	readonly waitingRequests: number;
	readonly openStreams: number;
};

/** Interval and durations of the sampling of resident memory. Waiting requests are refused after 2 s. */
const sampling = {intervalMs: 200, waitingMs: 1800, streamsMs: 4000} as const;

/** Units of every engine while many streams are open. */
const raisedUnits = 64;

/** Time after which callers of open streams give up. */
const timeoutMs = 5000;

type HeldMemoryOptions = {
	readonly entry: EntryProcess;
	readonly plan: readonly PlannedEngineRequest[];
	readonly durationMs: number;
	readonly countHeld: CountHeld;
};

type Sample = {readonly residentBytes: number; readonly held: number};
type CountHeld = (entry: EntryProcess) => Promise<number>;

async function countWaiting(entry: EntryProcess): Promise<number> {
	const {tiers} = await entry.status() as StatusReport;
	return tiers.reduce((sum, {waiting}) => sum + waiting, 0);
}

async function countInFlight(entry: EntryProcess): Promise<number> {
	const {tiers} = await entry.status() as StatusReport;
	return tiers.reduce((sum, {running}) => sum + running, 0);
}

async function sampleMemory(entry: EntryProcess, durationMs: number, countHeld: CountHeld): Promise<Sample[]> {
	const samples: Sample[] = [];
	for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += sampling.intervalMs) {
		// eslint-disable-next-line no-await-in-loop
		await delay(sampling.intervalMs);
		// eslint-disable-next-line no-await-in-loop
		const [{residentBytes}, held] = await Promise.all([readEntryMetrics(entry), countHeld(entry)]);
		samples.push({residentBytes, held});
	}

	return samples;
}

function summariseHeld(residentBytesBefore: number, samples: readonly Sample[]): HeldMemory {
	const held = Math.max(...samples.map(item => item.held));
	// Only samples with nearly all requests held count, because later ones contain garbage of completed requests.
	const residentBytesPeak = Math.max(...samples.filter(item => item.held >= held * 0.9).map(({residentBytes}) => residentBytes));
	return {
		held, residentBytesBefore, residentBytesPeak, bytesPerRequest: (residentBytesPeak - residentBytesBefore) / Math.max(held, 1),
	};
}

async function measureHeldMemory(benchFleet: BenchFleet, {entry, plan, durationMs, countHeld}: HeldMemoryOptions): Promise<HeldMemory> {
	const client = LoadClient.create({targets: () => [entry.callersUrl], timeoutMs, maximumOtherEntries: 0});
	const {residentBytes} = await readEntryMetrics(entry);
	const running = sendPlan(plan, client);
	const samples = await sampleMemory(entry, durationMs, countHeld);
	benchFleet.records.push(...await running);
	await client.dispose();
	await benchFleet.waitUntilIdle();
	return summariseHeld(residentBytes, samples);
}

/** Raises the units of all engines, so that many streams can be open; the engines become slow. */
async function raiseUnits({fleet, engines}: BenchFleet): Promise<void> {
	const names = new Set(engines.map(({name}) => name));
	fleet.changeOverlay(overlay => ({
		...overlay,
		endpoints: Object.fromEntries(Object.entries(overlay.endpoints).map(([name, endpoint]) =>
			[name, names.has(name) ? {...endpoint, limit: {...endpoint.limit as Record<string, unknown>, units: raisedUnits}} : endpoint] as const)),
	}));
	await delay(1500);
}

/** Must be the last measurement of a fleet, because it changes the configuration. */
export async function measureMemory(benchFleet: BenchFleet, {seed, slot, waitingRequests, openStreams}: MemoryOptions): Promise<Memory> {
	const entry = benchFleet.fleet.entry(slot);
	const workspaces = Object.keys(benchFleet.site.shape.workspaces);
	const plan = benchFleet.planLoad({seed, durationMs: 60_000, requestsPerSecond: 50})
		.filter(planned => planned.kind === 'engine')
		.map((planned, index): PlannedEngineRequest => ({
			...planned, at: 0, promptCharacters: 400, outputTokens: 240, isStream: true, workspace: workspaces[index % workspaces.length]!, tier: Object.keys(benchFleet.site.tiers).at(-1)!,
		}));
	const waiting = await measureHeldMemory(benchFleet, {
		entry, plan: plan.slice(0, waitingRequests), durationMs: sampling.waitingMs, countHeld: countWaiting,
	});
	await raiseUnits(benchFleet);
	const streams = await measureHeldMemory(benchFleet, {
		entry, plan: plan.slice(0, openStreams), durationMs: sampling.streamsMs, countHeld: countInFlight,
	});
	return {slot, waiting, streams};
}
