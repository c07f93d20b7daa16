/**
Runs the two example deployments with real entry processes on this machine under a mixed load, while an availability zone is taken out of service and returned and an entry is killed and replaced.

The demo ends within 40 seconds. The exit code is 1 when an invariant was broken, 2 when the demo could not run, 130 after SIGINT.
*/
import process from 'node:process';
import {Command} from 'commander';
import {countViolations} from '../bench/audit.js';
import {demoSites} from './sites.js';
import {SiteRun, type SiteReport} from './site-run.js';
import {formatTable} from './table.js';

const exitCodes = {
	passed: 0, broken: 1, failed: 2, interrupted: 130,
} as const;

/** No request is sent after this time. */
const loadEndMs = 28_000;

/** The demo is stopped as failed after this time. */
const timeoutMs = 37_000;

const header = ['tier', 'sent', 'completed in full', 'completed in time', 'refused as not run', 'outcome unknown', 'dispatched twice', 'first token p50 ms', 'first token p95 ms'];
const violationTexts = {
	dispatchedTwice: 'dispatched twice',
	ranAfterRefusal: 'ran although refused as not run',
	wrongResponses: 'wrong or partial response accepted as whole',
	responsesWithoutDispatch: 'response without a dispatch',
	coldOverloads: 'overload of a cold endpoint',
} as const;

const {keepLogs: keepsLogs} = new Command('demo')
	.option('--keep-logs', 'keep settings and logs of all processes', false)
	.parse()
	.opts<{keepLogs: boolean}>();

const startedAt = performance.now();
const abortController = new AbortController();
const loadSignal = AbortSignal.any([abortController.signal, AbortSignal.timeout(loadEndMs)]);
const runs: SiteRun[] = [];

function print(text: string): void {
	process.stdout.write(`${text}\n`);
}

function formatElapsed(): string {
	return `${String(Math.round((performance.now() - startedAt) / 1000)).padStart(2)} s`;
}

function printReport(name: string, {tiers, failures, violations}: SiteReport): boolean {
	print(`\n${name}`);
	print(formatTable(header, tiers.map(tier => [
		tier.tier, tier.sent, tier.completed, tier.inTime, tier.refused, tier.unknown, tier.dispatchedTwice, Math.round(tier.firstToken.median), Math.round(tier.firstToken.percentile95),
	])));
	print(`told to callers: ${failures.map(([type, count]) => `${type} ${count}`).join(', ') || 'no failure'}`);
	const broken = Object.entries(countViolations(violations)).filter(([, count]) => count > 0) as Array<[keyof typeof violationTexts, number]>;
	for (const [kind, count] of broken) {
		print(`BROKEN: ${violationTexts[kind]}: ${count}, for example ${JSON.stringify(violations[kind][0])}`);
	}

	return broken.length === 0;
}

async function startSites(): Promise<void> {
	const started = await Promise.allSettled(demoSites.map(async site => SiteRun.start({
		site,
		signal: loadSignal,
		keepsLogs,
		onEvent(text) {
			print(`${formatElapsed()}  ${text}`);
		},
	})));
	runs.push(...started.flatMap(result => result.status === 'fulfilled' ? [result.value] : []));
	const failure = started.find(result => result.status === 'rejected');
	if (failure) {
		throw failure.reason as Error;
	}
}

async function runDemo(): Promise<number> {
	print(`${formatElapsed()}  starting ${demoSites.map(({site, deployment}) => `${site} with ${deployment.entries} entries`).join(' and ')}`);
	await startSites();
	if (keepsLogs) {
		print(`logs: ${runs.map(({directory}) => directory).join(' ')}`);
	}

	const progress = setInterval(() => {
		print(`${formatElapsed()}  ${runs.map(run => `${run.name}: ${run.progress}`).join(' | ')}`);
	}, 1000);
	try {
		await Promise.all(runs.map(async run => run.run()));
	} finally {
		clearInterval(progress);
	}

	if (abortController.signal.aborted) {
		return exitCodes.interrupted;
	}

	const reports = await Promise.all(runs.map(async run => ({name: run.name, report: await run.createReport()})));
	const areIntact = reports.map(({name, report}) => printReport(name, report));
	return areIntact.every(Boolean) ? exitCodes.passed : exitCodes.broken;
}

async function disposeAll(): Promise<void> {
	await Promise.all(runs.map(async run => run.dispose()));
}

for (const signal of ['SIGINT', 'SIGTERM'] as const) {
	process.once(signal, () => {
		print(`${formatElapsed()}  stopped by ${signal}`);
		process.exitCode = exitCodes.interrupted;
		abortController.abort();
		void disposeAll();
	});
}

const timeoutTimer = setTimeout(() => {
	print(`${formatElapsed()}  the demo exceeded its time limit`);
	process.exitCode = exitCodes.failed;
	abortController.abort();
	void disposeAll();
}, timeoutMs);

try {
	const exitCode = await runDemo();
	process.exitCode ??= exitCode;
} catch (error) {
	if (!abortController.signal.aborted) {
		print(`${formatElapsed()}  ${String(error)}`);
	}

	process.exitCode ??= exitCodes.failed;
} finally {
	clearTimeout(timeoutTimer);
	await disposeAll();
	print(`\n${formatElapsed()}  ended with exit code ${process.exitCode}`);
}
