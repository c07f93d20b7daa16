import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import type {Milliseconds} from '../src/shared/clock.js';
import {RandomSource} from '../standins/random-source.js';
import {disconnectPercents, sendOneOfEachKind, runCaller} from './callers.js';
import {findViolations, type Violation} from './checks.js';
import {plannedFaults, unplannedFaults} from './faults.js';
import {SoakSite} from './site.js';

/** Maximum pause between the starts of two faults. Faults last longer, so they overlap. */
const maximumPauseMs: Milliseconds = 1800;

/** Length of a phase. Phases with only planned changes alternate with phases that have all faults. */
const phaseMs: Milliseconds = 12_000;

/** Time after the last fault within which every instance must serve again. */
const recoveryMs: Milliseconds = 4000;

/** Time before the first fault in which callers fill the first windows of the limits. */
const initialLoadMs: Milliseconds = 1500;

/** Each caller of this number is impatient. */
const impatientCallerInterval = 3;

/** Interval of the checks for processes that have exited on their own. */
const supervisionIntervalMs: Milliseconds = 200;

export type SoakOptions = {
	readonly seed: number;
	readonly durationMs: Milliseconds;
	readonly instances: number;
	readonly callers: number;
	/** Folder for settings and logs. */
	readonly directory: string;
};

export type SoakResult = {
	readonly violations: readonly Violation[];
	/** Requests by status; 0 stands for no response. */
	readonly statuses: Readonly<Record<string, number>>;
	/** Number of faults by kind. */
	readonly faults: Readonly<Record<string, number>>;
};

function countBy(keys: Iterable<string | number>): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const key of keys) {
		counts[key] = (counts[key] ?? 0) + 1;
	}

	return counts;
}

/** Starts faults at random times until the end, and resolves when all have ended. */
async function runFaults(site: SoakSite, random: RandomSource, durationMs: Milliseconds): Promise<string[]> {
	const kinds: string[] = [];
	const startedFaults: Array<Promise<void>> = [];
	const startedAt = performance.now();
	for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs = performance.now() - startedAt) {
		const isPlannedPhase = Math.floor(elapsedMs / phaseMs) % 2 === 0;
		const faults = isPlannedPhase ? plannedFaults : {...plannedFaults, ...unplannedFaults};
		const [kind, applyFault] = random.pick(Object.entries(faults))!;
		kinds.push(kind);
		startedFaults.push(applyFault(site, random));
		// eslint-disable-next-line no-await-in-loop -- faults start one after another
		await delay(random.integer(50, maximumPauseMs));
	}

	await Promise.all(startedFaults);
	return kinds;
}

/**
Runs the real programs under random load and faults, and checks the guarantees.

@throws {DeadlineError} when an instance is not ready in time after a start
*/
export async function runSoak({seed, durationMs, instances, callers, directory}: SoakOptions): Promise<SoakResult> {
	const random = RandomSource.create(seed);
	const promptRandom = RandomSource.create(seed - 1);
	const site = await SoakSite.start(instances, directory);
	const callersAbortController = new AbortController();
	const {requests} = site;
	const supervisionTimer = setInterval(() => {
		site.restartExitedInstances();
	}, supervisionIntervalMs);
	try {
		await site.waitUntilReady();
		const callerRuns = Array.from({length: callers}, async (_, index) => runCaller({
			random: RandomSource.create(seed + index + 1),
			nextPromptParts: () => site.prompts.nextParts(promptRandom),
			instances: site.instances.map(({host}) => host),
			keys: () => site.configuration.callerKeys(),
			disconnectPercent: index % impatientCallerInterval === 0 ? disconnectPercents.impatient : disconnectPercents.usual,
			onRecord(record) {
				requests.push(record);
			},
		}, callersAbortController.signal));
		await delay(initialLoadMs);
		const faults = await runFaults(site, random, durationMs);
		await delay(recoveryMs);
		callersAbortController.abort();
		await Promise.all(callerRuns);
		const finalRequests = await Promise.all(site.instances.map(async ({host}) => sendOneOfEachKind(host, site.configuration.callerKeys()[0]!)));
		const violations = findViolations({
			requests,
			receivedRequests: site.endpoints.receivedRequests(),
			events: site.events,
			faultPeriods: site.faultPeriods,
			exits: site.exits,
			processes: await site.readProcessRecords(),
			finalRequests: finalRequests.flat(),
		});
		return {violations, statuses: countBy(requests.map(({status}) => status ?? 0)), faults: countBy(faults)};
	} finally {
		clearInterval(supervisionTimer);
		callersAbortController.abort();
		await site.dispose();
	}
}
