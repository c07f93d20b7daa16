/** The deployments that the bench measures, with their loads. */
import {
	createClachan, createKaroo, availableServicesOf, type Deployment,
} from '../standins/fleet/index.js';
import type {LoadPlanOptions, PlannedWorkspace} from './load-plan.js';
import type {TierTargets} from './summary.js';

/** The options of a load except its seed, duration and rate. */
export type LoadShape = Omit<LoadPlanOptions, 'seed' | 'durationMs' | 'requestsPerSecond'>;

export type BenchSite = {
	readonly name: SiteName;
	readonly deployment: Deployment;
	readonly shape: LoadShape;
	/** Highest first. */
	readonly tiers: Readonly<Record<string, TierTargets>>;
	readonly topTier: string;
	/** The zone that is taken out of service and returned. It has a fast engine, so its absence affects the load. */
	readonly changedZone: string;
};

const creators = {clachan: createClachan, karoo: createKaroo} as const;

export type SiteName = keyof typeof creators;

export const siteNames = Object.keys(creators) as readonly SiteName[];

/**
Times of the tiers, highest first. They are shorter than those of the deployments, so that a run of a few seconds reaches a steady state.

A caller gives up after the longest `answerMilliseconds`.
*/
const tierTimes = [
	{firstTokenMilliseconds: 1000, answerMilliseconds: 4000, queueTimeoutMilliseconds: 2000},
	{firstTokenMilliseconds: 2000, answerMilliseconds: 4500, queueTimeoutMilliseconds: 2000},
	{firstTokenMilliseconds: 3000, answerMilliseconds: 5000, queueTimeoutMilliseconds: 2000},
] as const;

/** Time after which callers give up. */
export const callerTimeoutMs = 5000;

/** Longer than the longest `answerMilliseconds`. Quarantines last for this time plus the loan duration. */
const requestTimeoutMilliseconds = 6000;

/** Weights of the workspaces in the order of the deployment: two large ones and three small ones. */
const workspaceWeights = [45, 30, 12, 8, 5] as const;

/** Weights of the tiers that a workspace may use, highest first. */
const tierWeights = [1, 2, 2] as const;

/**
Settings of the stand-in engines that differ from their defaults.

One event for every four tokens keeps the processor time of stand-ins and callers low. The cache is too small for all prefixes. The default overload slowdown would halve the speed of an engine that has one request too many, which would make every router without a queue look worse than it is.
*/
const engineSettings = {
	tokensPerEvent: 4, cacheTokens: 12_288, retentionMilliseconds: 3000, overloadSlowdown: 0.1,
} as const;

type Workspaces = Readonly<Record<string, {readonly highestTier: string}>>;

function planWorkspaces(workspaces: Workspaces, tiers: readonly string[]): Record<string, PlannedWorkspace> {
	return Object.fromEntries(Object.entries(workspaces).map(([name, {highestTier}], index) => {
		const allowed = tiers.slice(tiers.indexOf(highestTier));
		const weights = Object.fromEntries(allowed.map(tier => [tier, tierWeights[tiers.indexOf(tier)] ?? 1]));
		return [name, {weight: workspaceWeights[index] ?? 5, tiers: weights}];
	}));
}

function adaptDeployment(deployment: Deployment): Deployment {
	const tiers = Object.keys(deployment.base.tiers as Record<string, unknown>);
	const endpoints = Object.entries(deployment.overlay.endpoints).map(([name, endpoint]) =>
		[name, deployment.engines[name] ? {...endpoint, requestTimeoutMilliseconds} : endpoint] as const);
	return {
		...deployment,
		base: {...deployment.base, tiers: Object.fromEntries(tiers.map((tier, rank) => [tier, {rank, ...tierTimes[rank]}]))},
		overlay: {...deployment.overlay, endpoints: Object.fromEntries(endpoints)},
		engines: Object.fromEntries(Object.entries(deployment.engines).map(([name, settings]) => [name, {...settings, ...engineSettings}])),
	};
}

export function createSite(name: SiteName): BenchSite {
	const deployment = adaptDeployment(creators[name]());
	const {model, plainService, collection} = availableServicesOf(deployment);
	const tiers = deployment.base.tiers as Record<string, TierTargets>;
	return {
		name,
		deployment,
		tiers,
		topTier: Object.keys(tiers)[0]!,
		changedZone: Object.keys(deployment.overlay.availabilityZones)[1]!,
		shape: {
			bursts: {periodMs: 2500, durationMs: 500, factor: 2.5},
			workspaces: planWorkspaces(deployment.overlay.workspaces as Workspaces, Object.keys(tiers)),
			engine: {
				model,
				promptCharacters: {minimum: 100, maximum: 8000},
				outputTokens: {minimum: 40, maximum: 200},
				prefixCharacters: 2560,
				prefixesPerWorkspace: 4,
			},
			plain: {service: plainService, collection, ratio: 0.2},
		},
	};
}
