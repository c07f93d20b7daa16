/** Measures the capacity of the stand-in engines with a closed-loop load that keeps all their units in use. */
import {performance} from 'node:perf_hooks';
import {countPromptTokens, promptText} from '../standins/completion.js';
import type {BenchFleet} from './bench-fleet.js';
import {DirectClient} from './direct-client.js';
import {createEngineBody, type PlannedEngineRequest} from './load-plan.js';

/** Prompt and output tokens of one unit, as in the configuration's default. */
const unitTokens = 2048;

/** Time until the completion rate is steady. */
const settleMs = 1500;

export type CapacityOptions = {
	readonly seed: number;
	readonly durationMs: number;
};

export type Capacity = {
	/** Completed engine requests with all units in use. */
	readonly engineRequestsPerSecond: number;
	/** Rate of a load, including plain services, that uses the capacity of the engines. */
	readonly requestsPerSecond: number;
};

function countUnits(planned: PlannedEngineRequest): number {
	return Math.ceil((countPromptTokens(promptText(createEngineBody(planned))) + planned.outputTokens) / unitTokens);
}

/** Limits the units in use at one engine. */
class UnitSemaphore {
	static create(free: number): UnitSemaphore {
		return new UnitSemaphore(free);
	}

	#resolveWaiting: (() => void) | undefined;

	private constructor(private availableUnits: number) {}

	/** Waits until enough units are available and takes them. Only one caller may wait at a time. */
	async acquire(count: number): Promise<void> {
		while (this.availableUnits < count) {
			// eslint-disable-next-line no-await-in-loop
			await new Promise<void>(resolve => {
				this.#resolveWaiting = resolve;
			});
		}

		this.availableUnits -= count;
	}

	release(count: number): void {
		this.availableUnits += count;
		this.#resolveWaiting?.();
	}
}

type EngineRun = {
	readonly address: string;
	readonly units: number;
	readonly plan: readonly PlannedEngineRequest[];
	readonly endsAt: number;
};

/** Keeps all units of one engine in use until the end. @returns the times of completions */
async function saturateEngine(client: DirectClient, {address, units, plan, endsAt}: EngineRun): Promise<number[]> {
	const availableUnits = UnitSemaphore.create(units);
	const completions: number[] = [];
	const pending: Array<Promise<void>> = [];
	const send = async (planned: PlannedEngineRequest, count: number) => {
		const {isCorrect} = await client.send(planned, address);
		availableUnits.release(count);
		if (isCorrect) {
			completions.push(performance.now());
		}
	};

	for (const planned of plan) {
		const count = Math.min(units, countUnits(planned));
		// eslint-disable-next-line no-await-in-loop
		await availableUnits.acquire(count);
		if (performance.now() >= endsAt) {
			break;
		}

		pending.push(send(planned, count));
	}

	await Promise.all(pending);
	return completions;
}

/** Measures with requests of the site's load. Each engine has its own plan. */
export async function measureCapacity(benchFleet: BenchFleet, {seed, durationMs}: CapacityOptions): Promise<Capacity> {
	const {engines, site} = benchFleet;
	const client = DirectClient.create({timeoutMs: 30_000});
	const startedAt = performance.now();
	const endsAt = startedAt + durationMs;
	const completions = await Promise.all(engines.map(async ({name, address}, index) => {
		const plan = benchFleet.planLoad({seed: seed + index, durationMs, requestsPerSecond: 200});
		return saturateEngine(client, {
			address, units: site.deployment.engines[name]!.units ?? 1, endsAt, plan: plan.filter(planned => planned.kind === 'engine'),
		});
	}));
	await client.dispose();
	await benchFleet.waitUntilIdle();
	const counted = completions.flat().filter(time => time >= startedAt + settleMs && time < endsAt);
	const engineRequestsPerSecond = counted.length / (durationMs - settleMs) * 1000;
	return {engineRequestsPerSecond, requestsPerSecond: engineRequestsPerSecond / (1 - (site.shape.plain?.ratio ?? 0))};
}
