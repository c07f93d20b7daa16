/** Measures memory and processor time of one entry process against its open streams and its waiting requests. */
import {setMaxListeners} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {Agent, request} from 'undici';
import {
	Fleet, waitFor, type Deployment, type EntryProcess,
} from '../../standins/fleet/index.js';
import {createDocuments} from './documents.js';
import type {FleetProfile} from './fleet-runs.js';
import {calculateRates, readResidentMegabytes, sampleProcess} from './process-sample.js';
import {createSeries, type Series} from './series.js';

/** Output tokens of each stream per second. It is low, so that no stream ends during the measurement. */
const tokensPerSecond = 2;

const promptCharacters = 4000;
const settleMs = 2000;

type LoadMeasurement = {
	readonly count: number;
	readonly residentMegabytes: number;
	readonly cpuMs: number;
};

/** One engine with as many units as streams are opened. */
function createDeployment(units: number): Deployment {
	const {base, overlay, ...rest} = createDocuments({
		entries: 1, endpoints: 1, workspaces: 20, services: 1, kind: 'engine', units,
	});
	return {
		...rest,
		base,
		overlay,
		engines: {
			'worker-1': {
				units, coldUnits: units, decodeTokensPerSecond: tokensPerSecond, batchSlowdown: 0, prefillTokensPerSecond: 10_000_000,
			},
		},
	};
}

/** Requests that stay open until the end of the measurement. */
class OpenRequests {
	static create(entry: EntryProcess): OpenRequests {
		return new OpenRequests(entry);
	}

	readonly #agent = new Agent({connections: 4096, headersTimeout: 0, bodyTimeout: 0});
	readonly #abortController = new AbortController();
	#count = 0;

	private constructor(private readonly entry: EntryProcess) {
		setMaxListeners(0, this.#abortController.signal);
	}

	openUpTo(count: number): void {
		for (; this.#count < count; this.#count++) {
			void this.#open(this.#count);
		}
	}

	async dispose(): Promise<void> {
		this.#abortController.abort();
		await this.#agent.destroy();
	}

	async #open(index: number): Promise<void> {
		try {
			const response = await request(`${this.entry.callersUrl}/v1/chat/completions`, {
				method: 'POST',
				dispatcher: this.#agent,
				signal: this.#abortController.signal,
				headers: {'content-type': 'application/json', 'x-workspace': `workspace-${(index % 20) + 1}`},
				body: JSON.stringify({
					model: 'model-1', stream: true, max_tokens: 1000, messages: [{role: 'user', content: `${index} `.padEnd(promptCharacters, 'Summarise the case file. ')}], // eslint-disable-line @typescript-eslint/naming-convention -- the engines' name
				}),
			});
			await response.body.dump({limit: Number.POSITIVE_INFINITY});
		} catch {
			// The requests are aborted at the end of the measurement.
		}
	}
}

type Tiers = ReadonlyArray<{readonly waiting: number; readonly running: number}>;

async function readTiers(entry: EntryProcess): Promise<Tiers> {
	const {tiers} = await entry.status() as {tiers: Tiers};
	return tiers;
}

async function countInFlight(entry: EntryProcess): Promise<number> {
	const tiers = await readTiers(entry);
	return tiers.reduce((sum, {running}) => sum + running, 0);
}

async function countWaiting(entry: EntryProcess): Promise<number> {
	const tiers = await readTiers(entry);
	return tiers.reduce((sum, {waiting}) => sum + waiting, 0);
}

async function measureLoad(entry: EntryProcess, count: number, windowMs: number): Promise<LoadMeasurement> {
	await sleep(settleMs);
	const before = sampleProcess(entry.pid!);
	await sleep(windowMs);
	const {cpuMs} = calculateRates(before, sampleProcess(entry.pid!));
	return {count, residentMegabytes: readResidentMegabytes(entry.pid!), cpuMs};
}

function createLoadSeries(loads: readonly LoadMeasurement[], what: string): Series[] {
	return [
		createSeries({
			name: 'resident memory of an entry', against: what, unit: 'MB', points: loads.map(({count, residentMegabytes: y}) => ({x: count, y})),
		}),
		createSeries({
			name: 'processor time of an entry', against: what, unit: 'ms/s', points: loads.map(({count, cpuMs: y}) => ({x: count, y})),
		}),
	];
}

/** Opens streams up to the units of the engine, and then adds requests that have to wait. */
export async function measureRequests({requestCounts, windowMs}: FleetProfile): Promise<Series[]> {
	const units = requestCounts.at(-1)!;
	const fleet = await Fleet.start({deployment: createDeployment(units), logLevel: 'warn', endpointsPerProcess: 1});
	const entry = fleet.entry('entry-1');
	const requests = OpenRequests.create(entry);
	try {
		await fleet.waitUntilReady();
		const streams: LoadMeasurement[] = [];
		for (const count of requestCounts) {
			requests.openUpTo(count);
			// eslint-disable-next-line no-await-in-loop
			await waitFor(async () => await countInFlight(entry) === count, {what: `${count} streams run`, timeoutMs: 20_000});
			// eslint-disable-next-line no-await-in-loop
			streams.push(await measureLoad(entry, count, windowMs));
		}

		const waiting: LoadMeasurement[] = [{...streams.at(-1)!, count: 0}];
		for (const count of requestCounts.slice(1)) {
			requests.openUpTo(units + count);
			// eslint-disable-next-line no-await-in-loop
			await waitFor(async () => await countWaiting(entry) === count, {what: `${count} requests wait`, timeoutMs: 20_000});
			// eslint-disable-next-line no-await-in-loop
			waiting.push(await measureLoad(entry, count, windowMs));
		}

		return [
			...createLoadSeries(streams, `open streams of ${tokensPerSecond} tokens/s each, prompts of ${promptCharacters} characters`),
			...createLoadSeries(waiting, `waiting requests, besides ${units} open streams`),
		];
	} finally {
		await requests.dispose();
		await fleet.dispose();
	}
}
