/** Processor time of single operations of an entry, measured in this process. */
import process from 'node:process';
import {setImmediate} from 'node:timers/promises';
import {
	checkDocument, differenceBetween, mergeOverlay,
} from '../../src/shared/configuration/index.js';
import {SystemClock} from '../../src/shared/clock.js';
import {Invariants, invariantMode} from '../../src/shared/invariants.js';
import {ConfigurationInForce} from '../../src/entry/configuration/configuration-in-force.js';
import {decodeMessage, encodeMessage} from '../../src/entry/membership/messages.js';
import {createDocuments, targetSize, type DocumentSize} from './documents.js';
import {createHarness, type SchedulerHarness} from './scheduler-harness.js';
import {createSeries, median, type Series} from './series.js';

export type AggregateProfile = {
	/** Processor time of one window. */
	readonly windowMs: number;
	readonly windows: number;
	readonly endpoints: readonly number[];
	readonly slots: readonly number[];
	readonly waiting: readonly number[];
	readonly workspaces: readonly number[];
	readonly services: readonly number[];
};

type Operation = () => unknown;

const readCpuTimeMs = () => {
	const {user, system} = process.cpuUsage();
	return (user + system) / 1000;
};

async function measureWindow(operation: Operation, windowMs: number): Promise<number> {
	const startedAt = readCpuTimeMs();
	let count = 0;
	let usedMs = 0;
	do {
		// eslint-disable-next-line no-await-in-loop
		await operation();
		count++;
		usedMs = readCpuTimeMs() - startedAt;
	} while (usedMs < windowMs);

	return usedMs / count;
}

/** Processor time of one operation in milliseconds: the median of several windows, after a longer window in which the code gets compiled. */
async function measureOperation(operation: Operation, {windows, windowMs}: AggregateProfile): Promise<number> {
	await measureWindow(operation, windowMs * 4);
	const results: number[] = [];
	for (let window = 0; window < windows; window++) {
		// eslint-disable-next-line no-await-in-loop
		results.push(await measureWindow(operation, windowMs));
		// eslint-disable-next-line no-await-in-loop
		await setImmediate();
	}

	return median(results);
}

/** The measured operations. Each sweep varies one size and keeps the others fixed. */
const operations = {
	schedulerTick: harness => async () => harness.tick(),
	heartbeatContent: harness => () => harness.scheduler.heartbeatContent(),
	'encodeHeartbeat'(harness) {
		const heartbeat = harness.createHeartbeat();
		return () => encodeMessage(heartbeat);
	},
	'decodeHeartbeat'(harness) {
		const bytes = encodeMessage(harness.createHeartbeat());
		return () => decodeMessage(bytes);
	},
	'receiveHeartbeat'(harness) {
		const message = harness.createHeartbeat();
		return async () => {
			harness.scheduler.post({kind: 'peer-message', from: {slot: harness.slots.at(-1)!, incarnation: 'other'}, message});
			await harness.settle();
		};
	},
	ledgerTick: harness => () => harness.context.ledger.tick(),
	ledgerSnapshot: harness => () => harness.context.ledger.snapshot(),
	allPhases: harness => () => harness.context.phases.toMessages(),
	peerContacts: harness => () => harness.context.peers.contacts(),
	status: harness => () => JSON.stringify(harness.status.build()),
	metrics: harness => async () => {
		harness.metrics.setEndpointUnits(harness.context.ledger.snapshot().map(({endpoint, started, reserved, limit}) => ({
			endpoint, unitsInUse: started + reserved, limit,
		})));
		return harness.metrics.text();
	},
} satisfies Record<string, (harness: SchedulerHarness) => Operation>;

type OperationName = keyof typeof operations;

type Sweep = {
	readonly against: string;
	readonly values: readonly number[];
	readonly size: (value: number) => DocumentSize;
	/** Number of waiting requests. Default: none. */
	readonly waiting?: (value: number) => number;
	readonly names: readonly OperationName[];
};

async function measureSweep(sweep: Sweep, profile: AggregateProfile): Promise<Series[]> {
	const points = new Map<OperationName, Array<{x: number; y: number}>>(sweep.names.map(name => [name, []]));
	const heartbeatBytes: Array<{x: number; y: number}> = [];
	for (const value of sweep.values) {
		// eslint-disable-next-line no-await-in-loop
		const harness = await createHarness(sweep.size(value));
		const waiting = sweep.waiting?.(value) ?? 0;
		if (waiting > 0) {
			harness.addWaitingRequests(waiting);
		}

		heartbeatBytes.push({x: value, y: encodeMessage(harness.createHeartbeat()).length});
		for (const name of sweep.names) {
			// eslint-disable-next-line no-await-in-loop
			points.get(name)!.push({x: value, y: await measureOperation(operations[name](harness), profile)});
		}

		harness.scheduler.dispose();
	}

	return [
		createSeries({
			name: 'size of a heartbeat', against: sweep.against, unit: 'bytes', points: heartbeatBytes,
		}),
		...sweep.names.map(name => createSeries({
			name, against: sweep.against, unit: 'ms of processor time', points: points.get(name)!,
		})),
	];
}

export async function measureAggregates(profile: AggregateProfile): Promise<Series[]> {
	const all = Object.keys(operations) as OperationName[];
	const defaultSize = {entries: 7, endpoints: 14, workspaces: 20};
	const sweeps: Sweep[] = [
		{
			against: 'endpoints of the region; 7 slots',
			values: profile.endpoints,
			size: endpoints => ({...defaultSize, endpoints}),
			names: all,
		},
		{
			against: 'endpoints of the region; 200 slots',
			values: profile.endpoints,
			size: endpoints => ({...defaultSize, endpoints, entries: 200}),
			names: ['schedulerTick', 'heartbeatContent', 'receiveHeartbeat'],
		},
		{
			against: 'slots of the region; 14 endpoints',
			values: profile.slots,
			size: entries => ({...defaultSize, entries}),
			names: ['schedulerTick', 'heartbeatContent', 'peerContacts', 'status'],
		},
		{
			against: 'services; 7 slots, 14 endpoints',
			values: profile.services,
			size: services => ({...defaultSize, services}),
			names: ['schedulerTick', 'heartbeatContent'],
		},
		{
			against: 'workspaces; 7 slots, 14 endpoints, 1,000 waiting requests',
			values: profile.workspaces,
			size: workspaces => ({...defaultSize, workspaces}),
			waiting: () => 1000,
			names: ['schedulerTick', 'status', 'metrics'],
		},
		{
			against: 'waiting requests; 7 slots, 14 endpoints',
			values: profile.waiting,
			size: () => defaultSize,
			waiting: value => value,
			names: ['schedulerTick', 'heartbeatContent', 'status', 'metrics'],
		},
		{
			against: 'slots of the region; 425 endpoints, 100 waiting requests',
			values: profile.slots,
			size: entries => ({...defaultSize, entries, endpoints: 425}),
			waiting: () => 100,
			names: ['schedulerTick'],
		},
		{
			against: 'endpoints of the region; 200 slots, 100 waiting requests',
			values: profile.endpoints,
			size: endpoints => ({...defaultSize, entries: 200, endpoints}),
			waiting: () => 100,
			names: ['schedulerTick'],
		},
	];
	const series: Series[] = [];
	for (const sweep of sweeps) {
		// eslint-disable-next-line no-await-in-loop
		series.push(...await measureSweep(sweep, profile));
	}

	return series;
}

export type DocumentBytes = {
	readonly baseBytes: number;
	readonly overlayBytes: number;
};

/** Sizes of the two documents of the target size as JSON. The configuration service allows 1 MB for each value. */
export function measureDocumentBytes(): DocumentBytes {
	const {base, overlay} = createDocuments(targetSize);
	return {baseBytes: JSON.stringify(base).length, overlayBytes: JSON.stringify(overlay).length};
}

/** Processor time to adopt a changed document, against the fraction of the target size, where 1 is the full size. */
export async function measureAdoption(profile: AggregateProfile): Promise<Series[]> {
	const fractions = [0.25, 0.5, 1];
	const rows: Array<{x: number; bytes: number; check: number; apply: number}> = [];
	for (const fraction of fractions) {
		const size = {
			...targetSize, entries: targetSize.entries * fraction, endpoints: Math.round(targetSize.endpoints * fraction), workspaces: targetSize.workspaces * fraction,
		};
		const {base, overlay} = createDocuments(size);
		const text = JSON.stringify({base, overlay});
		const inForce = ConfigurationInForce.create({
			site: 'capacity', clock: SystemClock.create(), invariants: Invariants.create(invariantMode.throw), mergeOverlay, checkDocument, differenceBetween,
		});
		let version = 0;
		// eslint-disable-next-line no-await-in-loop
		const check = await measureOperation(() => {
			version++;
			const parsed = JSON.parse(text) as {base: unknown; overlay: unknown};
			inForce.offer({version, source: 'service', ...parsed});
		}, profile);
		// eslint-disable-next-line no-await-in-loop
		const harness = await createHarness(size);
		let applied = 1;
		// eslint-disable-next-line no-await-in-loop
		const apply = await measureOperation(async () => {
			applied++;
			harness.scheduler.post({kind: 'configuration-changed', current: {...inForce.current()!, version: applied}});
			await harness.settle();
		}, profile);
		rows.push({
			x: fraction, bytes: text.length, check, apply,
		});
	}

	const series = (name: string, unit: string, value: (row: (typeof rows)[number]) => number) => createSeries({
		name, against: 'share of the target size', unit, points: rows.map(row => ({x: row.x, y: value(row)})),
	});
	return [
		series('size of base and overlay', 'bytes of JSON', ({bytes}) => bytes),
		series('parsing, checking and adopting a document', 'ms of processor time', ({check}) => check),
		series('applying it to the aggregates', 'ms of processor time', ({apply}) => apply),
	];
}
