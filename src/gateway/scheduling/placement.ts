import type {Milliseconds} from '../../shared/clock.js';

/** An endpoint that a request may be dispatched to. */
export type Candidate = {
	readonly endpointId: string;
	readonly slots: number;
	/** Requests of all instances in flight at the endpoint. */
	readonly inFlight: number;
	readonly isFailing: boolean;
	/** Average time between two events of a stream. */
	readonly eventIntervalMs: Milliseconds;
	readonly isSameZone: boolean;
};

/** The properties of a request that its placement depends on. */
export type PlacementRequest = {
	readonly expectedEvents: number;
	/** Prompt tokens that the endpoint has to process. */
	readonly promptTokens: number;
	/** Time until the caller gives up. */
	readonly remainingMs: Milliseconds;
};

/** Relative slowdown of a full endpoint compared with an idle one: its requests share each step and wait for each other's prompts. */
const fullEndpointSlowdown = 1;

/** Delay of a request at a full endpoint, regardless of its length: it waits for the prompts of the others. */
const fullEndpointDelayMs: Milliseconds = 150;

/** Prompt tokens that an engine processes in one event interval. The known engines process 157 tokens per millisecond and take 25 to 43 ms for an event. */
const promptTokensPerEvent = 5000;

/** Delay of the first event, in event intervals: a request waits for a step, and its prompt is processed in turns with others. Under low load, short requests took three to four event intervals. */
const firstEventDelayInEvents = 3;

/** Factor by which a request may take longer than expected. The lengths that callers expect are right only at the median. */
const durationSafetyFactor = 1.3;

/** Cost discount of an endpoint in the same availability zone: traffic between zones is paid for. */
const sameZoneDiscountRatio = 0.02;

/** Returns the expected duration of a request at an endpoint with this event interval. */
export function expectedDurationMs({expectedEvents, promptTokens}: PlacementRequest, eventIntervalMs: Milliseconds): Milliseconds {
	return (firstEventDelayInEvents + expectedEvents + (promptTokens / promptTokensPerEvent)) * eventIntervalMs;
}

/** Returns the cost of dispatching a request to an endpoint; the lowest cost wins. Long requests go to fast endpoints, short ones to those with the lowest load. */
export function placementCost(candidate: Candidate, request: PlacementRequest): Milliseconds {
	const loadRatio = candidate.inFlight / candidate.slots;
	const durationMs = expectedDurationMs(request, candidate.eventIntervalMs) * (1 + (fullEndpointSlowdown * loadRatio));
	return (durationMs + (fullEndpointDelayMs * loadRatio)) * (candidate.isSameZone ? 1 - sameZoneDiscountRatio : 1);
}

/** Returns whether a request is expected to complete at an endpoint before its caller gives up. */
export function canFinish(request: PlacementRequest, eventIntervalMs: Milliseconds): boolean {
	return durationSafetyFactor * expectedDurationMs(request, eventIntervalMs) <= request.remainingMs;
}

/** Selects the endpoint with the lowest cost. Failing endpoints are selected only when there is no other. */
export function selectEndpoint(candidates: Iterable<Candidate>, request: PlacementRequest): Candidate | undefined {
	let best: Candidate | undefined;
	let bestCost = Infinity;
	for (const candidate of candidates) {
		const cost = placementCost(candidate, request);
		if (best === undefined
			|| (best.isFailing && !candidate.isFailing)
			|| (best.isFailing === candidate.isFailing && cost < bestCost)) {
			best = candidate;
			bestCost = cost;
		}
	}

	return best;
}

/**
Selects an endpoint at random, in proportion to its slots and to its speed for the request under its load. Failing endpoints are selected only when there is no other.

It answers a load that many instances place with late knowledge of each other: if each selected the endpoint with the lowest cost, all would select the same one until its load is known, and it would reject most of their requests. The load only reduces the share of an endpoint: with a share in proportion to free slots, those that are known to be full get nothing, and the others too much, until that is known.

@param random from 0 (inclusive) to 1 (exclusive)
*/
export function selectByCapacity(candidates: readonly Candidate[], request: PlacementRequest, random: number): Candidate | undefined {
	const sound = candidates.filter(({isFailing}) => !isFailing);
	const eligible = (sound.length > 0 ? sound : candidates).map(candidate => ({
		candidate, weight: candidate.slots / placementCost(candidate, request),
	}));
	let remaining = random * eligible.reduce((sum, {weight}) => sum + weight, 0);
	for (const {candidate, weight} of eligible) {
		remaining -= weight;
		if (remaining < 0) {
			return candidate;
		}
	}

	return eligible.at(-1)?.candidate;
}
