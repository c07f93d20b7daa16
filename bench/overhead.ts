/** Measures the added latency and the processor time of the path through an entry. */
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {createRecord} from './attempts.js';
import type {BenchFleet} from './bench-fleet.js';
import {DirectClient} from './direct-client.js';
import {LoadClient} from './load.js';
import type {PlannedRequest} from './load-plan.js';
import type {RequestRecord} from './records.js';
import {summariseLatencies, type Latencies} from './summary.js';

export type PathLatency = {
	readonly kind: PlannedRequest['kind'];
	readonly direct: Latencies;
	readonly throughEntry: Latencies;
	readonly addedMedian: number;
	readonly addedPercentile99: number;
};

export type Overhead = {
	readonly latencies: readonly PathLatency[];
	/** Fraction of a core that an entry without requests uses, mean over all entries. */
	readonly idleCoreShare: number;
	/** Short requests per processor second of the entries. */
	readonly shortRequestsPerCoreSecond: number;
	/** Resident memory of an entry after start and warm-up, mean over all entries. */
	readonly residentBytes: number;
};

export type OverheadOptions = {
	readonly seed: number;
	/** Requests of each kind on each path. */
	readonly samples: number;
	readonly idleMs: number;
	readonly closedLoadMs: number;
};

/** Callers of the closed-loop load, each with one request at a time. */
const closedLoadCallers = 14;

const timeoutMs = 5000;

/** A prompt of a few tokens and one output token, for which every engine needs one simulation step. */
const shortRequest = {
	prefixCharacters: 20, promptCharacters: 40, outputTokens: 1, isStream: true, isKeyed: false, isRetried: false,
} as const;

function shorten(planned: PlannedRequest): PlannedRequest {
	return planned.kind === 'engine'
		? {...planned, ...shortRequest, at: 0}
		: {
			...planned, isKeyed: false, isRetried: false, at: 0,
		};
}

/** Sends the same requests alternately on both paths, one at a time. */
async function measureLatency(benchFleet: BenchFleet, kind: PlannedRequest['kind'], plan: readonly PlannedRequest[]): Promise<PathLatency> {
	const endpoints = benchFleet.fleet.endpoints.filter(endpoint => endpoint.kind === kind);
	const direct = DirectClient.create({timeoutMs});
	const client = LoadClient.create({targets: () => benchFleet.entries.map(({callersUrl}) => callersUrl), timeoutMs, maximumOtherEntries: 0});
	const latenciesMs: Record<'direct' | 'throughEntry', number[]> = {direct: [], throughEntry: []};
	const recordLatency = (path: keyof typeof latenciesMs, record: RequestRecord) => {
		benchFleet.records.push(record);
		if (record.isCorrect) {
			latenciesMs[path].push(record.totalMilliseconds);
		}
	};

	for (const [index, planned] of plan.entries()) {
		const startedAt = performance.now();
		// One request at a time, so that no request waits for another.
		// eslint-disable-next-line no-await-in-loop
		const attempt = await direct.send(planned, endpoints[index % endpoints.length]!.address);
		recordLatency('direct', createRecord(planned, startedAt, attempt, []));
		// eslint-disable-next-line no-await-in-loop
		for (const record of await client.send(planned, performance.now())) {
			recordLatency('throughEntry', record);
		}
	}

	await Promise.all([direct.dispose(), client.dispose()]);
	const summaries = {direct: summariseLatencies(latenciesMs.direct), throughEntry: summariseLatencies(latenciesMs.throughEntry)};
	return {
		kind,
		...summaries,
		addedMedian: summaries.throughEntry.median - summaries.direct.median,
		addedPercentile99: summaries.throughEntry.percentile99 - summaries.direct.percentile99,
	};
}

async function readCpuSeconds(benchFleet: BenchFleet): Promise<number> {
	const metrics = await benchFleet.readEntryMetrics();
	return metrics.reduce((sum, entry) => sum + entry.cpuSeconds, 0);
}

async function measureIdle(benchFleet: BenchFleet, durationMs: number): Promise<number> {
	const before = await readCpuSeconds(benchFleet);
	const startedAt = performance.now();
	await delay(durationMs);
	const used = await readCpuSeconds(benchFleet) - before;
	return used / ((performance.now() - startedAt) / 1000) / benchFleet.entries.length;
}

/** Runs callers that each send short requests one after another. @returns requests per processor second */
async function measureClosedLoad(benchFleet: BenchFleet, plan: readonly PlannedRequest[], durationMs: number): Promise<number> {
	const client = LoadClient.create({targets: () => benchFleet.entries.map(({callersUrl}) => callersUrl), timeoutMs, maximumOtherEntries: 0});
	const before = await readCpuSeconds(benchFleet);
	const endsAt = performance.now() + durationMs;
	let completed = 0;
	const sendRequests = async (offset: number) => {
		for (let index = offset; performance.now() < endsAt; index += closedLoadCallers) {
			// eslint-disable-next-line no-await-in-loop
			const records = await client.send(plan[index % plan.length]!, performance.now());
			benchFleet.records.push(...records);
			completed += records.filter(({isCorrect}) => isCorrect).length;
		}
	};

	await Promise.all(Array.from({length: closedLoadCallers}, async (_, offset) => sendRequests(offset)));
	await client.dispose();
	return completed / (await readCpuSeconds(benchFleet) - before);
}

export async function measureOverhead(benchFleet: BenchFleet, options: OverheadOptions): Promise<Overhead> {
	const {seed, samples, idleMs, closedLoadMs} = options;
	const plan = benchFleet.planLoad({seed, durationMs: 60_000, requestsPerSecond: 30}).map(planned => shorten(planned));
	const engineRequests = plan.filter(({kind}) => kind === 'engine');
	const plainRequests = plan.filter(({kind}) => kind === 'plain');
	const metrics = await benchFleet.readEntryMetrics();
	const idleCoreShare = await measureIdle(benchFleet, idleMs);
	return {
		idleCoreShare,
		residentBytes: metrics.reduce((sum, entry) => sum + entry.residentBytes, 0) / metrics.length,
		latencies: [
			await measureLatency(benchFleet, 'engine', engineRequests.slice(0, samples)),
			await measureLatency(benchFleet, 'plain', plainRequests.slice(0, Math.ceil(samples / 2))),
		],
		shortRequestsPerCoreSecond: await measureClosedLoad(benchFleet, engineRequests, closedLoadMs),
	};
}
