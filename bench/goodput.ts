/** Goodput by tier: responses that are complete, correct and within the times of their tier. */
import type {BaselineName} from './baselines.js';
import type {BenchFleet} from './bench-fleet.js';
import type {PlannedRequest} from './load-plan.js';
import {summarisePrefill, type Prefill} from './prefill.js';
import type {RequestRecord} from './records.js';
import {
	countFailures, isInTime, summarise, type Latencies, type TierTargets,
} from './summary.js';

/** Name of the system in results, next to the names of the baselines. */
export const systemName = 'jackdawfork';

export type Contestant = typeof systemName | BaselineName;

/** The period of a run whose arrivals are counted. The load continues after it, so that the last counted requests compete with as many others as the first. */
export type Window = {
	readonly fromMs: number;
	readonly toMs: number;
};

export type TierGoodput = {
	readonly tier: string;
	readonly offered: number;
	readonly good: number;
	/** Good responses per second of the window. */
	readonly perSecond: number;
	/** Ratio of good responses to requests, 0 to 1. */
	readonly share: number;
	readonly firstToken: Latencies;
	readonly total: Latencies;
};

export type GoodputRun = {
	readonly contestant: Contestant;
	/** Only the requests of the highest tier, with their planned arrivals. */
	readonly isTopTierAlone: boolean;
	readonly loadFactor: number;
	readonly tiers: readonly TierGoodput[];
	readonly total: Omit<TierGoodput, 'tier' | 'firstToken' | 'total'>;
	/** Good responses of engines per second of the window, without those of plain services. */
	readonly enginePerSecond: number;
	readonly prefill: Prefill;
	readonly failures: ReadonlyArray<readonly [type: string, count: number]>;
	/** Processor seconds of all entries during the run. */
	readonly entryCpuSeconds: number;
	readonly sent: number;
};

export type GoodputOptions = {
	readonly seed: number;
	readonly loadMs: number;
	readonly window: Window;
	readonly capacityPerSecond: number;
	readonly loadFactors: readonly number[];
	readonly baselines: readonly BaselineName[];
	/** Load factors at which the highest tier also runs alone. */
	readonly topTierAloneFactors: readonly number[];
	readonly onRun: (run: GoodputRun) => void;
};

type RunOptions = Pick<GoodputOptions, 'seed' | 'window'> & Pick<GoodputRun, 'contestant' | 'isTopTierAlone' | 'loadFactor'> & {
	readonly plan: readonly PlannedRequest[];
};

function createRate(offered: number, good: number, {fromMs, toMs}: Window) {
	return {
		offered, good, perSecond: good / (toMs - fromMs) * 1000, share: offered === 0 ? 0 : good / offered,
	};
}

/** Counts the requests that arrived in the window. */
export function summariseGoodput(records: readonly RequestRecord[], tiers: Readonly<Record<string, TierTargets>>, window: Window): Pick<GoodputRun, 'tiers' | 'total' | 'enginePerSecond'> {
	const counted = records.filter(({at}) => at >= window.fromMs && at < window.toMs);
	const summaries = summarise(counted, tiers);
	const good = counted.filter(record => isInTime(record, tiers[record.tier]!));
	const goodOfEngines = good.filter(({kind}) => kind === 'engine').length;
	return {
		tiers: summaries.map(({tier, sent, inTime, firstToken, total}) => ({
			tier, ...createRate(sent, inTime, window), firstToken, total,
		})),
		total: createRate(counted.length, good.length, window),
		enginePerSecond: createRate(counted.length, goodOfEngines, window).perSecond,
	};
}

async function readCpuSeconds(benchFleet: BenchFleet): Promise<number> {
	const metrics = await benchFleet.readEntryMetrics();
	return metrics.reduce((sum, entry) => sum + entry.cpuSeconds, 0);
}

async function sendPlanTo(benchFleet: BenchFleet, {contestant, plan, seed}: RunOptions): Promise<RequestRecord[]> {
	return contestant === systemName ? benchFleet.runThroughEntries(plan) : benchFleet.runThroughBaseline(contestant, plan, seed);
}

async function measureRun(benchFleet: BenchFleet, options: RunOptions): Promise<GoodputRun> {
	const {contestant, isTopTierAlone, loadFactor, plan, window} = options;
	const tokensBefore = await benchFleet.readPromptTokens();
	const cpuBefore = await readCpuSeconds(benchFleet);
	const records = await sendPlanTo(benchFleet, options);
	const tokensAfter = await benchFleet.readPromptTokens();
	return {
		contestant,
		isTopTierAlone,
		loadFactor,
		...summariseGoodput(records, benchFleet.site.tiers, window),
		prefill: summarisePrefill(plan, records, tokensAfter.computed - tokensBefore.computed),
		failures: countFailures(records),
		entryCpuSeconds: await readCpuSeconds(benchFleet) - cpuBefore,
		sent: records.length,
	};
}

/** Measures every contestant at every load factor, with the same arrivals for all of them. */
export async function measureGoodput(benchFleet: BenchFleet, options: GoodputOptions): Promise<GoodputRun[]> {
	const {seed, window, loadFactors, capacityPerSecond, loadMs, baselines, topTierAloneFactors, onRun} = options;
	const runs: GoodputRun[] = [];
	const run = async (details: Pick<RunOptions, 'contestant' | 'isTopTierAlone' | 'loadFactor' | 'plan'>) => {
		const result = await measureRun(benchFleet, {seed, window, ...details});
		runs.push(result);
		onRun(result);
	};

	for (const loadFactor of loadFactors) {
		const plan = benchFleet.planLoad({seed, durationMs: loadMs, requestsPerSecond: capacityPerSecond * loadFactor});
		for (const contestant of [systemName, ...baselines] as const) {
			// Runs use the same engines, so they can't overlap.
			// eslint-disable-next-line no-await-in-loop
			await run({
				contestant, isTopTierAlone: false, loadFactor, plan,
			});
		}

		if (topTierAloneFactors.includes(loadFactor)) {
			const topTierPlan = plan.filter(({tier}) => tier === benchFleet.site.topTier);
			// eslint-disable-next-line no-await-in-loop
			await run({
				contestant: systemName, isTopTierAlone: true, loadFactor, plan: topTierPlan,
			});
		}
	}

	return runs;
}

