/**
Two deployments for tests, with the sizes of the design page, section 1.1.

Their names and times are fixed here, so that a change of the examples does not change tests; see example-deployment.ts for the examples.
*/
import type {EngineOptions} from '../engine-settings.js';
import type {Deployment, Document, SiteOverlay} from './deployment.js';

type TierOptions = {
	readonly firstTokenMilliseconds: number;
	readonly answerMilliseconds: number;
	readonly queueTimeoutMilliseconds: number;
};

type WorkspaceOptions = {
	readonly highestTier: string;
	readonly defaultTier: string;
	readonly weight?: number;
};

/** Speeds of the hardware generations, in tokens per second. */
const hardware = {
	fast: {
		prefillTokensPerSecond: 20_000, decodeTokensPerSecond: 240, units: 8, coldUnits: 2,
	},
	standard: {
		prefillTokensPerSecond: 12_000, decodeTokensPerSecond: 160, units: 8, coldUnits: 2,
	},
	slow: {
		prefillTokensPerSecond: 6000, decodeTokensPerSecond: 80, units: 4, coldUnits: 1,
	},
} as const satisfies Record<string, Omit<EngineOptions, 'name'>>;

type Hardware = keyof typeof hardware;

type DeploymentPlan = {
	readonly site: string;
	readonly region: string;
	/** Names from highest to lowest. */
	readonly tiers: Readonly<Record<string, TierOptions>>;
	readonly model: string;
	readonly plainService: {readonly name: string; readonly collection: string; readonly prefix: string; readonly count: number};
	readonly availabilityZones: readonly string[];
	/** The hardware of each engine; engines and entries are assigned to the zones in round-robin order. */
	readonly engines: readonly Hardware[];
	readonly entries: number;
	readonly workspaces: Readonly<Record<string, WorkspaceOptions>>;
};

const plainServiceSettings = {units: 16, coldUnits: 4, serviceMilliseconds: 20} as const;
const engineService = 'assistant';
const entryCount = 7;

function roundRobin(availabilityZones: readonly string[], index: number): string {
	return availabilityZones[index % availabilityZones.length]!;
}

function engineNames(plan: DeploymentPlan): string[] {
	return plan.engines.map((_, index) => `engine-${index + 1}`);
}

function plainServiceNames({plainService}: DeploymentPlan): string[] {
	return Array.from({length: plainService.count}, (_, index) => `${plainService.prefix}-${index + 1}`);
}

function createBase(plan: DeploymentPlan): Document {
	const {collection, name} = plan.plainService;
	return {
		tiers: Object.fromEntries(Object.entries(plan.tiers).map(([tier, options], rank) => [tier, {rank, ...options}])),
		services: {
			[engineService]: {kind: 'engine', models: [plan.model]},
			[name]: {
				kind: 'plain',
				operations: [
					{method: 'POST', pathPrefix: `/${collection}`, idempotent: false},
					{method: 'GET', pathPrefix: `/${collection}`, idempotent: true},
				],
			},
		},
		policy: {},
	};
}

function createEndpoints(plan: DeploymentPlan): SiteOverlay['endpoints'] {
	const engines = engineNames(plan).map((name, index) => {
		const generation = plan.engines[index]!;
		const {units, coldUnits} = hardware[generation];
		return [name, {
			service: engineService, availabilityZone: roundRobin(plan.availabilityZones, index), hardware: generation, limit: {units, coldUnits},
		}] as const;
	});
	const plainServices = plainServiceNames(plan).map((name, index) => {
		const {units, coldUnits} = plainServiceSettings;
		return [name, {
			service: plan.plainService.name, availabilityZone: roundRobin(plan.availabilityZones, index), limit: {units, coldUnits}, requestTimeoutMilliseconds: 5000,
		}] as const;
	});
	return Object.fromEntries<SiteOverlay['endpoints'][string]>([...engines, ...plainServices]);
}

function createOverlay(plan: DeploymentPlan): SiteOverlay {
	const slots = Array.from({length: plan.entries}, (_, index) => [`entry-${index + 1}`, {availabilityZone: roundRobin(plan.availabilityZones, index)}] as const);
	return {
		site: plan.site,
		regions: [plan.region],
		availabilityZones: Object.fromEntries(plan.availabilityZones.map(name => [name, {region: plan.region}])),
		endpoints: createEndpoints(plan),
		entrySlots: Object.fromEntries(slots),
		workspaces: plan.workspaces,
	};
}

function createDeployment(plan: DeploymentPlan): Deployment {
	return {
		site: plan.site,
		base: createBase(plan),
		overlay: createOverlay(plan),
		engines: Object.fromEntries(engineNames(plan).map((name, index) => [name, hardware[plan.engines[index]!]])),
		plainServices: Object.fromEntries(plainServiceNames(plan).map(name => [name, {...plainServiceSettings, collection: plan.plainService.collection}])),
	};
}

export type TestDeploymentOptions = {
	/** Number of entry slots. Default: 7. */
	readonly entries?: number;
};

/** Clachan Workways: four availability zones, 8 engines, 4 diaries, 5 workspaces. */
export function createClachan({entries = entryCount}: TestDeploymentOptions = {}): Deployment {
	return createDeployment({
		site: 'clachan',
		region: 'scotland',
		tiers: {
			interview: {firstTokenMilliseconds: 1000, answerMilliseconds: 8000, queueTimeoutMilliseconds: 8000},
			plan: {firstTokenMilliseconds: 3000, answerMilliseconds: 15_000, queueTimeoutMilliseconds: 8000},
			letters: {firstTokenMilliseconds: 8000, answerMilliseconds: 20_000, queueTimeoutMilliseconds: 8000},
		},
		model: 'caseworker',
		plainService: {
			name: 'diary', collection: 'bookings', prefix: 'diary', count: 4,
		},
		availabilityZones: ['scotland-a', 'scotland-b', 'scotland-c', 'scotland-d'],
		engines: ['fast', 'fast', 'standard', 'standard', 'standard', 'standard', 'slow', 'slow'],
		entries,
		workspaces: {
			glasgow: {highestTier: 'interview', defaultTier: 'plan', weight: 4},
			dundee: {highestTier: 'interview', defaultTier: 'plan', weight: 3},
			oban: {highestTier: 'interview', defaultTier: 'plan'},
			lerwick: {highestTier: 'interview', defaultTier: 'letters'},
			portree: {highestTier: 'plan', defaultTier: 'letters'},
		},
	});
}

/** Karoo Castworks Consortium: three availability zones, 13 engines, 3 order desks, 5 workspaces. */
export function createKaroo({entries = entryCount}: TestDeploymentOptions = {}): Deployment {
	return createDeployment({
		site: 'karoo',
		region: 'gauteng',
		tiers: {
			draft: {firstTokenMilliseconds: 1000, answerMilliseconds: 8000, queueTimeoutMilliseconds: 8000},
			workshop: {firstTokenMilliseconds: 3000, answerMilliseconds: 15_000, queueTimeoutMilliseconds: 8000},
			returns: {firstTokenMilliseconds: 8000, answerMilliseconds: 20_000, queueTimeoutMilliseconds: 8000},
		},
		model: 'patternmaker',
		plainService: {
			name: 'orders', collection: 'orders', prefix: 'order-desk', count: 3,
		},
		availabilityZones: ['gauteng-a', 'gauteng-b', 'gauteng-c'],
		engines: ['fast', 'fast', 'fast', 'fast', 'standard', 'standard', 'standard', 'standard', 'standard', 'standard', 'slow', 'slow', 'slow'],
		entries,
		workspaces: {
			springbok: {highestTier: 'draft', defaultTier: 'workshop', weight: 4},
			protea: {highestTier: 'draft', defaultTier: 'workshop', weight: 3},
			baobab: {highestTier: 'draft', defaultTier: 'workshop'},
			aloe: {highestTier: 'draft', defaultTier: 'returns'},
			marula: {highestTier: 'workshop', defaultTier: 'returns'},
		},
	});
}
