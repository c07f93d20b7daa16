/** The two sites of the demo and their loads. */
import type {LoadPlanOptions} from '../bench/load.js';
import type {ExampleDeploymentOptions, ExampleSite} from '../standins/fleet/index.js';

export type DemoSite = {
	readonly site: ExampleSite;
	readonly deployment: ExampleDeploymentOptions;
	readonly load: LoadPlanOptions;
	/** The availability zone that is taken out of service and returned. */
	readonly changedZone: string;
	/** The entry that is killed and started again. */
	readonly killedEntry: string;
};

/** Duration of the load. */
export const loadMs = 16_000;

const bursts = {periodMs: 6000, durationMs: 1500, factor: 3};
const lengths = {
	promptCharacters: {minimum: 200, maximum: 20_000}, outputTokens: {minimum: 8, maximum: 800}, prefixCharacters: 4096,
};
const common = {
	durationMs: loadMs, bursts, keyedRatio: 0.2, retriedRatio: 0.3,
};

/** Timeouts that let the demo end in time, because those of the examples are minutes, and engines small enough that bursts overload them. */
const bounds = {engineUnitsDivisor: 8, maximumQueueTimeoutMs: 5000, requestTimeoutMilliseconds: 10_000};

export const demoSites: readonly DemoSite[] = [
	{
		site: 'clachan',
		deployment: {...bounds, entries: 4},
		changedZone: 'scotland-b',
		killedEntry: 'entry-4',
		load: {
			...common,
			seed: 11,
			requestsPerSecond: 60,
			workspaces: {
				glasgow: {weight: 4, tiers: {interview: 3, plan: 1}},
				edinburgh: {weight: 3, tiers: {interview: 2, plan: 2}},
				highlands: {weight: 1, tiers: {plan: 1, letters: 1}},
				fife: {weight: 1, tiers: {plan: 1, letters: 1}},
				'head-office': {weight: 2, tiers: {letters: 1}, callsPlain: false},
			},
			engine: {...lengths, model: 'casefile-assistant'},
			plain: {
				service: 'diary', collection: 'bookings', ratio: 0.2, tier: 'booking',
			},
		},
	},
	{
		site: 'karoo',
		deployment: {...bounds, entries: 3},
		changedZone: 'gauteng-c',
		killedEntry: 'entry-2',
		load: {
			...common,
			seed: 12,
			requestsPerSecond: 60,
			workspaces: {
				vereeniging: {weight: 4, tiers: {pattern: 3, workshop: 1}},
				benoni: {weight: 4, tiers: {pattern: 2, workshop: 2}},
				springs: {weight: 2, tiers: {workshop: 1, returns: 1}},
				boksburg: {weight: 1, tiers: {returns: 1, archive: 1}},
				'kit-exchange': {weight: 1, tiers: {archive: 1}, callsPlain: false},
			},
			engine: {...lengths, model: 'pattern-writer'},
			plain: {
				service: 'orders', collection: 'orders', ratio: 0.2, tier: 'order',
			},
		},
	},
];
