import type {Milliseconds} from '../../shared/clock.js';

/** What placement knows of an endpoint that may get a request. */
export type Candidate = {
	readonly endpointId: string;
	readonly slots: number;
	/** Requests of all instances under way there. */
	readonly inFlight: number;
	readonly isFailing: boolean;
	/** Learnt time between two events of a stream. */
	readonly eventIntervalMs: Milliseconds;
	readonly isSameZone: boolean;
};

/** What placement knows of a request. */
export type PlacementRequest = {
	readonly expectedEvents: number;
	/** Prompt tokens that the endpoint has to read. */
	readonly promptTokens: number;
	/** Time until nobody waits for the answer. */
	readonly remainingMs: Milliseconds;
};

/** Part by which a full endpoint counts as slower than an empty one, because its requests share each step and wait for each other's prompts. */
const fullEndpointSlowdown = 1;

/** Time that a request loses at a full endpoint, whatever its length: it waits for the prompts of the others. */
const fullEndpointDelayMs: Milliseconds = 150;

/** Prompt tokens that an engine reads in the time of one event. The known engines read 157 tokens in a millisecond and take 25 to 43 ms for an event. */
const promptTokensPerEvent = 5000;

/** Time until the first event, in events: a request waits for a step and reads its prompt in turns with the others. Short requests on a calm day took three to four times their engine's event time. */
const firstEventDelayInEvents = 3;

/** Part by which a request may take longer than expected. Announced lengths are right only at the median. */
const durationSafetyFactor = 1.3;

/** Advantage of an endpoint in the same availability zone: traffic between zones is paid for. */
const sameZoneDiscountRatio = 0.02;

/** Expected time of a request at an endpoint with this time between events. */
export function expectedDurationMs({expectedEvents, promptTokens}: PlacementRequest, eventIntervalMs: Milliseconds): Milliseconds {
	return (firstEventDelayInEvents + expectedEvents + (promptTokens / promptTokensPerEvent)) * eventIntervalMs;
}

/** Cost of a place at an endpoint; the lowest gets the request. Long requests go to fast endpoints, short ones to those with the most room. */
export function placementCost(candidate: Candidate, request: PlacementRequest): Milliseconds {
	const loadRatio = candidate.inFlight / candidate.slots;
	const durationMs = expectedDurationMs(request, candidate.eventIntervalMs) * (1 + (fullEndpointSlowdown * loadRatio));
	return (durationMs + (fullEndpointDelayMs * loadRatio)) * (candidate.isSameZone ? 1 - sameZoneDiscountRatio : 1);
}

/** Whether a request is expected to end at an endpoint before its caller gives up. */
export function canFinish(request: PlacementRequest, eventIntervalMs: Milliseconds): boolean {
	return durationSafetyFactor * expectedDurationMs(request, eventIntervalMs) <= request.remainingMs;
}

/** Chooses the endpoint for a request among those that have room. Endpoints that fail requests come last. */
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
