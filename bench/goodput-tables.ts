/** Tables of goodput and wasted prefill. */
import {formatTable, type Cell} from '../src/operator/table.js';
import type {GoodputRun} from './goodput.js';

function percent(ratio: number): string {
	return `${(ratio * 100).toFixed(1)} %`;
}

/** Formats the name of a run for tables. */
export function formatRunName({contestant, isTopTierAlone}: GoodputRun): string {
	return isTopTierAlone ? `${contestant}, top tier alone` : contestant;
}

function createGoodputRow(run: GoodputRun): Cell[] {
	return [
		`${run.loadFactor}`,
		formatRunName(run),
		...run.tiers.map(({offered, perSecond, share}) => offered === 0 ? '-' : `${perSecond.toFixed(1)} (${percent(share)})`),
		`${run.total.perSecond.toFixed(1)} (${percent(run.total.share)})`,
		run.enginePerSecond.toFixed(1),
		`${(run.tiers[0]?.firstToken.percentile95 ?? 0).toFixed(0)}`,
		percent(run.prefill.wastedShare),
		run.failures.slice(0, 2).map(([type, count]) => `${type} ${count}`).join(', '),
	];
}

/** Formats good responses per second and as a fraction of the requests, by run and tier. */
export function formatGoodput(runs: readonly GoodputRun[]): string {
	const tiers = runs[0]?.tiers.map(({tier}) => tier) ?? [];
	return formatTable(['load', 'router', ...tiers, 'total', 'engines', 'top p95 first token ms', 'wasted prefill', 'failures'], runs.map(run => createGoodputRow(run)));
}
