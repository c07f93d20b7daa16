import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import type {Milliseconds} from '../src/shared/clock.js';
import {RandomSource} from '../standins/random-source.js';
import {callOnce, runCaller} from './callers.js';
import {findViolations, type Violation} from './checks.js';
import {plannedFaults, unplannedFaults} from './faults.js';
import type {CallRecord} from './history.js';
import {SoakSite} from './site.js';

/** Longest pause between the starts of two faults; faults last longer, so they overlap. */
const longestPauseMs: Milliseconds = 1800;

/** Length of the phases that hold only planned work and of those that hold everything, by turns. */
const phaseMs: Milliseconds = 12_000;

/** Time after the last fault in which everything must serve again. */
const recoveryMs: Milliseconds = 4000;

/** Time that callers get to fill the first windows before the first fault. */
const calmMs: Milliseconds = 1500;

/** Time between two looks for processes that have ended by themselves. */
const supervisionMs: Milliseconds = 200;

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
	/** Calls by status; 0 stands for none. */
	readonly statuses: Readonly<Record<string, number>>;
	/** Faults by kind. */
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
async function playFaults(site: SoakSite, random: RandomSource, durationMs: Milliseconds): Promise<string[]> {
	const kinds: string[] = [];
	const running: Array<Promise<void>> = [];
	const startedAt = performance.now();
	for (let elapsed = 0; elapsed < durationMs; elapsed = performance.now() - startedAt) {
		const isPlannedPhase = Math.floor(elapsed / phaseMs) % 2 === 0;
		const faults = isPlannedPhase ? plannedFaults : {...plannedFaults, ...unplannedFaults};
		const [kind, play] = random.pick(Object.entries(faults))!;
		kinds.push(kind);
		running.push(play(site, random));
		// eslint-disable-next-line no-await-in-loop -- the pause between two faults
		await delay(random.integer(50, longestPauseMs));
	}

	await Promise.all(running);
	return kinds;
}

/**
Plays one random run against the real programs.

@throws {DeadlineError} when an instance is not ready in time after a start
*/
export async function soak({seed, durationMs, instances, callers, directory}: SoakOptions): Promise<SoakResult> {
	const random = RandomSource.create(seed);
	const site = await SoakSite.start(instances, directory);
	const stopCallers = new AbortController();
	const calls: CallRecord[] = [];
	const supervisor = setInterval(() => {
		site.superviseInstances();
	}, supervisionMs);
	try {
		await site.whenReady();
		const running = Array.from({length: callers}, async (_, index) => runCaller({
			random: RandomSource.create(seed + index + 1),
			instances: site.instances.map(({host}) => host),
			keys: () => site.keys(),
			onCall(call) {
				calls.push(call);
			},
		}, stopCallers.signal));
		await delay(calmMs);
		const faults = await playFaults(site, random, durationMs);
		await delay(recoveryMs);
		stopCallers.abort();
		await Promise.all(running);
		const finalCalls = await Promise.all(site.instances.map(async ({host}) => callOnce(host, site.keys()[0]!)));
		const violations = findViolations({
			calls,
			runs: site.runs(),
			events: site.events,
			disturbances: site.disturbances,
			exits: site.exits,
			processes: await site.versions(),
			finalCalls: finalCalls.flat(),
		});
		return {violations, statuses: countBy(calls.map(({status}) => status ?? 0)), faults: countBy(faults)};
	} finally {
		clearInterval(supervisor);
		stopCallers.abort();
		await site.dispose();
	}
}
