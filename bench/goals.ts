/** Compares the measured values with the goals of the design page, section 1.3. */
import {formatTable} from '../src/operator/table.js';
import {systemName, type GoodputRun} from './goodput.js';
import type {Overhead} from './overhead.js';
import type {ZoneChange} from './zone-change.js';

export type Verdict = {
	readonly goal: string;
	readonly bound: string;
	readonly measured: string;
	readonly verdict: 'met' | 'missed';
};

/** Measurements of a run. Goals without a measurement are omitted. */
export type Measurements = {
	readonly goodput?: readonly GoodputRun[];
	readonly zoneChanges?: readonly ZoneChange[];
	readonly overhead?: Overhead;
};

/** Goals as given on the design page. */
const goals = {
	topTierLoss: 0.02,
	topTierLoadFactor: 2.5,
	totalOfBest: 0.95,
	wastedPrefillOfLeastOutstanding: 0.5,
	lastDispatchSeconds: 3,
	zoneTopTierRatio: 0.95,
	addedMedianMs: 2,
} as const;

function percent(ratio: number): string {
	return `${(ratio * 100).toFixed(1)} %`;
}

function createVerdict(goal: string, bound: string, measured: string, isMet: boolean): Verdict {
	return {
		goal, bound, measured, verdict: isMet ? 'met' : 'missed',
	};
}

function ratio(value: number, reference: number): number {
	return reference === 0 ? Number.POSITIVE_INFINITY : value / reference;
}

function judgeTopTier(runs: readonly GoodputRun[]): Verdict[] {
	const systemRuns = runs.filter(run => run.contestant === systemName && run.loadFactor === goals.topTierLoadFactor);
	const findRun = (isTopTierAlone: boolean) => systemRuns.find(run => run.isTopTierAlone === isTopTierAlone)?.tiers[0];
	const together = findRun(false);
	const alone = findRun(true);
	if (!together || !alone) {
		return [];
	}

	const value = ratio(together.perSecond, alone.perSecond);
	return [createVerdict(
		`top tier at ${goals.topTierLoadFactor} times capacity, relative to running alone`,
		`at least ${percent(1 - goals.topTierLoss)}`,
		`${percent(value)} (${together.perSecond.toFixed(1)}/s, alone ${alone.perSecond.toFixed(1)}/s)`,
		value >= 1 - goals.topTierLoss,
	)];
}

function judgeLoad(runs: readonly GoodputRun[], loadFactor: number): Verdict[] {
	const ofLoad = runs.filter(run => run.loadFactor === loadFactor && !run.isTopTierAlone);
	const system = ofLoad.find(({contestant}) => contestant === systemName);
	const [best] = ofLoad.filter(({contestant}) => contestant !== systemName).toSorted((left, right) => right.total.perSecond - left.total.perSecond);
	const leastOutstanding = ofLoad.find(({contestant}) => contestant === 'least outstanding');
	if (!system || !best) {
		return [];
	}

	const isBeyondCapacity = loadFactor > 1;
	const value = ratio(system.total.perSecond, best.total.perSecond);
	const total = createVerdict(
		`total goodput at ${loadFactor} times capacity, relative to the best baseline`,
		isBeyondCapacity ? 'above 100 %' : `at least ${percent(goals.totalOfBest)}`,
		`${percent(value)} (${system.total.perSecond.toFixed(1)}/s, ${best.contestant} ${best.total.perSecond.toFixed(1)}/s)`,
		isBeyondCapacity ? value > 1 : value >= goals.totalOfBest,
	);
	return leastOutstanding ? [total, judgePrefill(system, leastOutstanding)] : [total];
}

function judgePrefill(system: GoodputRun, leastOutstanding: GoodputRun): Verdict {
	const value = ratio(system.prefill.wastedShare, leastOutstanding.prefill.wastedShare);
	return createVerdict(
		`wasted prefill at ${system.loadFactor} times capacity, relative to least outstanding`,
		`at most ${percent(goals.wastedPrefillOfLeastOutstanding)}`,
		`${percent(value)} (${percent(system.prefill.wastedShare)}, least outstanding ${percent(leastOutstanding.prefill.wastedShare)})`,
		value <= goals.wastedPrefillOfLeastOutstanding,
	);
}

function judgeZoneChange({disturbance, lastDispatchSeconds, lowestTopRatio, cut, cutInKilledEntry}: ZoneChange): Verdict[] {
	const last = lastDispatchSeconds ?? 0;
	const bound = `at least ${percent(goals.zoneTopTierRatio)} of steady state`;
	const suffix = `disturbance: ${disturbance}`;
	return [
		createVerdict(
			`last dispatch into the zone, ${suffix}`,
			`under ${goals.lastDispatchSeconds} s`,
			lastDispatchSeconds === undefined ? 'none after the order' : `${last.toFixed(2)} s`,
			last < goals.lastDispatchSeconds,
		),
		createVerdict(`top tier in the worst second, ${suffix}`, bound, percent(lowestTopRatio), lowestTopRatio >= goals.zoneTopTierRatio),
		createVerdict(`requests cut outside a killed entry, ${suffix}`, '0', `${cut - cutInKilledEntry}`, cut === cutInKilledEntry),
	];
}

function judgeOverhead({latencies}: Overhead): Verdict[] {
	const bound = goals.addedMedianMs;
	return latencies.map(({kind, addedMedian}) =>
		createVerdict(`added median latency, ${kind}`, `under ${bound} ms`, `${addedMedian.toFixed(2)} ms`, addedMedian < bound));
}

/** Gives a verdict for each goal that the measurements cover. The verdicts do not affect the exit code. */
export function judgeMeasurements({goodput = [], zoneChanges = [], overhead}: Measurements): Verdict[] {
	const loadFactors = [...new Set(goodput.map(({loadFactor}) => loadFactor))];
	return [
		...judgeTopTier(goodput),
		...loadFactors.flatMap(loadFactor => judgeLoad(goodput, loadFactor)),
		...zoneChanges.flatMap(change => judgeZoneChange(change)),
		...overhead ? judgeOverhead(overhead) : [],
	];
}

export function formatVerdicts(verdicts: readonly Verdict[]): string {
	return formatTable(['goal', 'bound', 'measured', 'verdict'], verdicts.map(({goal, bound, measured, verdict}) => [goal, bound, measured, verdict]));
}
