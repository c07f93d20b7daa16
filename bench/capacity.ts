/** Measures the capacity of the stand-in engines: a closed load keeps all units of all engines in use. */
import {performance} from 'node:perf_hooks';
import {countPromptTokens, promptText} from '../standins/completion.js';
import type {BenchFleet} from './bench-fleet.js';
import {DirectClient} from './direct-client.js';
import {engineBody, type PlannedEngineRequest} from './load-plan.js';

/** Prompt and output tokens of one unit; the default of the configuration. */
const unitTokens = 2048;

/** Time until the completion rate is steady, in milliseconds. */
const settleMilliseconds = 1500;

export type CapacityOptions = {
	readonly seed: number;
	readonly durationMilliseconds: number;
};

export type Capacity = {
	/** Engine requests that the engines complete with all units in use. */
	readonly engineRequestsPerSecond: number;
	/** The rate of a whole load, plain services included, that brings the engines to their capacity. */
	readonly requestsPerSecond: number;
};

function unitsOf(planned: PlannedEngineRequest): number {
	return Math.ceil((countPromptTokens(promptText(engineBody(planned))) + planned.outputTokens) / unitTokens);
}

/** Units of one engine. */
class Units {
	static create(free: number): Units {
		return new Units(free);
	}

	#wake: (() => void) | undefined;

	private constructor(private free: number) {}

	/** Waits until the units are free and takes them. Only one caller may wait at a time. */
	async take(count: number): Promise<void> {
		while (this.free < count) {
			// eslint-disable-next-line no-await-in-loop
			await new Promise<void>(resolve => {
				this.#wake = resolve;
			});
		}

		this.free -= count;
	}

	release(count: number): void {
		this.free += count;
		this.#wake?.();
	}
}

type EngineRun = {
	readonly address: string;
	readonly units: number;
	readonly plan: readonly PlannedEngineRequest[];
	readonly endsAt: number;
};

/** Keeps one engine at its units until the end. @returns the times of completions */
async function saturate(client: DirectClient, {address, units, plan, endsAt}: EngineRun): Promise<number[]> {
	const free = Units.create(units);
	const completions: number[] = [];
	const pending: Array<Promise<void>> = [];
	const send = async (planned: PlannedEngineRequest, count: number) => {
		const {isCorrect} = await client.send(planned, address);
		free.release(count);
		if (isCorrect) {
			completions.push(performance.now());
		}
	};

	for (const planned of plan) {
		const count = Math.min(units, unitsOf(planned));
		// eslint-disable-next-line no-await-in-loop
		await free.take(count);
		if (performance.now() >= endsAt) {
			break;
		}

		pending.push(send(planned, count));
	}

	await Promise.all(pending);
	return completions;
}

/** Measures with requests of the site's load, each engine with a plan of its own. */
export async function measureCapacity(benchFleet: BenchFleet, {seed, durationMilliseconds}: CapacityOptions): Promise<Capacity> {
	const {engines, site} = benchFleet;
	const client = DirectClient.create({timeoutMilliseconds: 30_000});
	const startedAt = performance.now();
	const endsAt = startedAt + durationMilliseconds;
	const completions = await Promise.all(engines.map(async ({name, address}, index) => {
		const plan = benchFleet.plan({seed: seed + index, durationMilliseconds, requestsPerSecond: 200});
		return saturate(client, {
			address, units: site.deployment.engines[name]!.units ?? 1, endsAt, plan: plan.filter(planned => planned.kind === 'engine'),
		});
	}));
	await client.dispose();
	await benchFleet.waitUntilIdle();
	const counted = completions.flat().filter(time => time >= startedAt + settleMilliseconds && time < endsAt);
	const engineRequestsPerSecond = counted.length / (durationMilliseconds - settleMilliseconds) * 1000;
	return {engineRequestsPerSecond, requestsPerSecond: engineRequestsPerSecond / (1 - (site.shape.plain?.ratio ?? 0))};
}
