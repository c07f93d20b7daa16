/** Durations and sizes of the measurements of the bench. */
import {baselineNames, type BaselineName} from './baselines.js';
import type {Window} from './goodput.js';
import {disturbanceNames, type DisturbanceName, type ZoneTimes} from './zone-change.js';

/** In the order of a run: overhead follows goodput, because the code of the entries is compiled by then, and memory is last, because it changes the configuration. */
export const scenarioNames = ['goodput', 'overhead', 'zone', 'memory'] as const;

export type ScenarioName = (typeof scenarioNames)[number];

export type Profile = {
	/** Scenarios that are measured unless the command line names others. */
	readonly scenarios: readonly ScenarioName[];
	readonly capacityMs: number;
	/** Time limit for the warm-up of the engines. */
	readonly warmUpTimeoutMs: number;
	readonly loadMs: number;
	readonly window: Window;
	/** Multiples of the capacity. */
	readonly loadFactors: readonly number[];
	readonly topTierAloneFactors: readonly number[];
	readonly baselines: readonly BaselineName[];
	/** Multiple of the capacity during zone changes. */
	readonly zoneLoadFactor: number;
	readonly zoneTimes: ZoneTimes;
	readonly disturbances: readonly DisturbanceName[];
	readonly overhead: {readonly samples: number; readonly idleMs: number; readonly closedLoadMs: number};
	readonly memory: {readonly waitingRequests: number; readonly openStreams: number};
};

/** Times at the start and at the end of a load whose arrivals are not counted. */
const windowMarginsMs = {start: 1000, end: 2000} as const;

export function createWindow(loadMs: number): Window {
	return {fromMs: windowMarginsMs.start, toMs: loadMs - windowMarginsMs.end};
}

export const profiles = {
	full: {
		capacityMs: 6500,
		warmUpTimeoutMs: 8000,
		loadMs: 6500,
		window: createWindow(6500),
		loadFactors: [0.7, 1, 1.5, 2.5],
		topTierAloneFactors: [1.5, 2.5],
		baselines: baselineNames,
		zoneLoadFactor: 0.7,
		zoneTimes: {out: 3000, back: 6500, end: 10_000},
		disturbances: disturbanceNames,
		overhead: {samples: 150, idleMs: 2000, closedLoadMs: 2000},
		memory: {waitingRequests: 450, openStreams: 300},
		scenarios: scenarioNames,
	},
	quick: {
		capacityMs: 3500,
		warmUpTimeoutMs: 500,
		loadMs: 4000,
		window: createWindow(4000),
		loadFactors: [2.5],
		topTierAloneFactors: [2.5],
		baselines: ['least outstanding'],
		zoneLoadFactor: 0.7,
		zoneTimes: {out: 2000, back: 3500, end: 5000},
		disturbances: ['none'],
		overhead: {samples: 30, idleMs: 500, closedLoadMs: 500},
		memory: {waitingRequests: 200, openStreams: 100},
		scenarios: ['goodput', 'overhead', 'zone'],
	},
} as const satisfies Record<string, Profile>;
