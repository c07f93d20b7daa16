/** Plans a seeded, open-loop load: when each request is sent, for whom, and how long it is. */
import type {Milliseconds} from '../src/shared/clock.js';
import type {CompletionBody} from '../standins/completion.js';
import {Random, type Range, type Weights} from './random.js';

export type PlannedWorkspace = {
	/** Fraction of the requests, relative to the other weights. */
	readonly weight: number;
	readonly tiers: Weights;
	/** Whether it calls the plain service. Default: true. */
	readonly callsPlain?: boolean;
};

export type EngineLoad = {
	readonly model: string;
	/** Length of the part of the prompt that is unique to the request; long-tailed. */
	readonly promptCharacters: Range;
	/** The request's `max_tokens`; long-tailed. */
	readonly outputTokens: Range;
	/** Length of the prompt prefix that requests of a workspace share. */
	readonly prefixCharacters: number;
	/** Number of different prefixes in each workspace. Default: 2. */
	readonly prefixesPerWorkspace?: number;
	/** Fraction of requests that are streamed. Default: 0.8. */
	readonly streamRatio?: number;
};

export type PlainLoad = {
	readonly service: string;
	readonly collection: string;
	/** Fraction of the requests of workspaces that call the service. */
	readonly ratio: number;
	/** Default: a tier of the workspace, as for engine requests. */
	readonly tier?: string;
};

export type Bursts = {
	readonly periodMs: Milliseconds;
	readonly durationMs: Milliseconds;
	/** Rate during a burst relative to the rate between bursts. */
	readonly factor: number;
};

export type LoadPlanOptions = {
	readonly seed: number;
	readonly durationMs: Milliseconds;
	/** Mean over the whole plan, including bursts. */
	readonly requestsPerSecond: number;
	/** Default: none. */
	readonly bursts?: Bursts;
	readonly workspaces: Readonly<Record<string, PlannedWorkspace>>;
	readonly engine: EngineLoad;
	/** Default: none. */
	readonly plain?: PlainLoad;
	/** Fraction of requests with an issued idempotency key. Default: 0. */
	readonly keyedRatio?: number;
	/** Fraction of the keyed requests that are sent again through another entry while the first is in flight. Default: 0. */
	readonly retriedRatio?: number;
};

type PlannedCommon = {
	readonly index: number;
	/** Milliseconds after the start of the load. */
	readonly at: Milliseconds;
	readonly workspace: string;
	readonly tier: string;
	readonly isKeyed: boolean;
	readonly isRetried: boolean;
	/** Selects the entry, as a relative position from 0 to 1 in the list of ready entries. */
	readonly entryPosition: number;
};

export type PlannedEngineRequest = PlannedCommon & {
	readonly kind: 'engine';
	readonly model: string;
	readonly isStream: boolean;
	readonly prefixNumber: number;
	readonly prefixCharacters: number;
	readonly promptCharacters: number;
	readonly outputTokens: number;
};

export type PlannedPlainRequest = PlannedCommon & {
	readonly kind: 'plain';
	readonly service: string;
	readonly collection: string;
};

export type PlannedRequest = PlannedEngineRequest | PlannedPlainRequest;

/** Rate at a time relative to the mean rate. Its mean over a whole period is 1. */
function relativeRate(at: Milliseconds, bursts: Bursts | undefined): number {
	if (!bursts) {
		return 1;
	}

	const {periodMs, durationMs, factor} = bursts;
	const rateBetweenBursts = 1 / (1 + ((factor - 1) * durationMs / periodMs));
	// The burst is at the end of the period, so that a run starts with the rate between bursts.
	const isBurst = at % periodMs >= periodMs - durationMs;
	return isBurst ? rateBetweenBursts * factor : rateBetweenBursts;
}

function planCommon(random: Random, index: number, at: Milliseconds, options: LoadPlanOptions): PlannedCommon {
	const {workspaces, keyedRatio = 0, retriedRatio = 0} = options;
	const weights = Object.fromEntries(Object.entries(workspaces).map(([name, {weight}]) => [name, weight]));
	const workspace = random.pickWeighted(weights);
	const isKeyed = random.uniform() < keyedRatio;
	return {
		index,
		at,
		workspace,
		tier: random.pickWeighted(workspaces[workspace]!.tiers),
		isKeyed,
		isRetried: isKeyed && random.uniform() < retriedRatio,
		entryPosition: random.uniform(),
	};
}

function planRequest(random: Random, common: PlannedCommon, {engine, plain, workspaces}: LoadPlanOptions): PlannedRequest {
	const isPlain = plain && random.uniform() < plain.ratio && workspaces[common.workspace]!.callsPlain !== false;
	if (isPlain) {
		return {
			...common, tier: plain.tier ?? common.tier, kind: 'plain', service: plain.service, collection: plain.collection,
		};
	}

	return {
		...common,
		kind: 'engine',
		model: engine.model,
		isStream: random.uniform() < (engine.streamRatio ?? 0.8),
		prefixNumber: Math.floor(random.uniform() * (engine.prefixesPerWorkspace ?? 2)),
		prefixCharacters: engine.prefixCharacters,
		promptCharacters: random.boundedPareto(engine.promptCharacters),
		outputTokens: random.boundedPareto(engine.outputTokens),
	};
}

/** Plans all requests, ordered by time. The same options give the same plan. */
export function planLoad(options: LoadPlanOptions): PlannedRequest[] {
	const random = Random.create(options.seed);
	const {requestsPerSecond, durationMs, bursts} = options;
	const plan: PlannedRequest[] = [];
	let at = 0;
	for (;;) {
		at += random.exponential(1000 / (requestsPerSecond * relativeRate(at, bursts)));
		if (at >= durationMs) {
			return plan;
		}

		plan.push(planRequest(random, planCommon(random, plan.length, at, options), options));
	}
}

function repeatToLength(pattern: string, characters: number): string {
	return pattern.repeat(Math.ceil(characters / pattern.length)).slice(0, characters);
}

/** The body of a planned engine request. Requests of a workspace with the same prefix number share the system message. */
export function createEngineBody(request: PlannedEngineRequest): CompletionBody {
	const {workspace, prefixNumber, prefixCharacters, index, promptCharacters} = request;
	return {
		model: request.model,
		messages: [
			{role: 'system', content: repeatToLength(`Rules ${prefixNumber} of ${workspace}: answer from the file. `, prefixCharacters)},
			{role: 'user', content: repeatToLength(`File ${index}: summarise this note. `, promptCharacters)},
		],
		max_tokens: request.outputTokens, // eslint-disable-line @typescript-eslint/naming-convention
		stream: request.isStream,
	};
}
