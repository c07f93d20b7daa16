import type {Milliseconds} from '../../shared/clock.js';
import {hashText} from '../../shared/hash.js';
import type {Submission} from '../requests/types.js';
import type {EndpointSpeedEstimator} from './endpoint-speed-estimator.js';
import {PrefixAffinity, type AffinityCandidate} from './prefix-affinity.js';
import type {PrefixIndex} from './prefix-index.js';

/** An endpoint that could take a request. */
export type RouteCandidate = {
	readonly endpoint: string;
	/** Characters of a prompt prefix block divided by the average characters of a token. */
	readonly tokensPerBlock: number;
	/** Units of the endpoint's full limit, which is about the number of requests in its batch under load. */
	readonly units: number;
};

/** A candidate with its estimated cost. */
export type RankedCandidate = RouteCandidate & {
	readonly uncachedPromptTokens: number;
	/** Expected time to completion, plus the time by which the prefill delays the other requests of the batch. */
	readonly costMs: Milliseconds;
	/** Differs from request to request, so that equally good endpoints share the load. */
	readonly tieBreaker: bigint;
};

/**
Fraction of the other requests in a full batch that a prefill is assumed to delay.

Without this cost, differences in decode speed outweigh any cached prefix, and prompts are computed again at whichever endpoint is free.
*/
const delayedFraction = 0.5;

function compare(left: RankedCandidate, right: RankedCandidate): number {
	return (left.costMs - right.costMs) || (left.tieBreaker < right.tieBreaker ? -1 : 1);
}

export type RouterOptions = {
	readonly speedEstimator: EndpointSpeedEstimator;
	readonly prefixIndex: PrefixIndex;
};

/** Ranks endpoints for a request by its estimated cost in time. */
export class Router {
	static create(options: RouterOptions): Router {
		return new Router(options.speedEstimator, options.prefixIndex);
	}

	readonly #affinity = PrefixAffinity.create();

	private constructor(private readonly speedEstimator: EndpointSpeedEstimator, private readonly prefixIndex: PrefixIndex) {}

	/**
	Returns the candidates, best first.

	@param serviceEndpoints all endpoints of the service that are in service, also those without free units
	*/
	rank(submission: Submission, candidates: readonly RouteCandidate[], serviceEndpoints: readonly AffinityCandidate[]): RankedCandidate[] {
		const comparedEndpoints = candidates.map(candidate => candidate.endpoint);
		const [firstBlock] = submission.prefixBlocks;
		const preferred = firstBlock === undefined ? undefined : this.#affinity.preferredEndpoints(firstBlock, serviceEndpoints);
		const sharedBlocks = preferred ? this.prefixIndex.sharedBlocks(submission.prefixBlocks) : 0;
		return candidates
			.map(candidate => this.#estimate(submission, candidate, comparedEndpoints, preferred?.has(candidate.endpoint) ? sharedBlocks : 0))
			.toSorted((left, right) => compare(left, right));
	}

	/** @param affinityBlocks number of leading blocks that the endpoint has presumably cached, because all entries prefer it for their prefix */
	#estimate(submission: Submission, candidate: RouteCandidate, comparedEndpoints: readonly string[], affinityBlocks: number): RankedCandidate {
		const speed = this.speedEstimator.speed(candidate.endpoint, comparedEndpoints);
		const cachedBlocks = Math.max(this.prefixIndex.cachedBlocks(candidate.endpoint, submission.prefixBlocks), affinityBlocks);
		const uncachedPromptTokens = Math.max(submission.promptTokens - (cachedBlocks * candidate.tokensPerBlock), 0);
		const prefillMs = uncachedPromptTokens * speed.millisecondsPerPromptToken;
		const decodeMs = submission.outputTokens * speed.millisecondsPerOutputToken;
		const delayedRequests = delayedFraction * (candidate.units - 1);
		return {
			...candidate,
			uncachedPromptTokens,
			tieBreaker: hashText(`${submission.requestId} ${candidate.endpoint}`),
			costMs: speed.baseFirstTokenMs + decodeMs + (prefillMs * (1 + delayedRequests)),
		};
	}
}
