import type {Milliseconds} from '../../shared/clock.js';
import {
	expectedFirstEventMs, expectedRestMs, fullEndpointDelayMs, fullEndpointSlowdown, type SpeedEstimate,
} from './endpoint-speed.js';

/** An endpoint that a request may be dispatched to. */
export type Candidate = {
	readonly endpointId: string;
	readonly slots: number;
	/** Requests of all instances in flight at the endpoint. */
	readonly inFlight: number;
	readonly isFailing: boolean;
	/** Average time between two events of a stream. */
	readonly eventIntervalMs: Milliseconds;
	/** Measured speed, if endpoints are selected by it. */
	readonly speed?: SpeedEstimate;
	readonly isSameZone: boolean;
};

/** The properties of a request that its placement depends on. */
export type PlacementRequest = {
	readonly expectedEvents: number;
	/** Prompt tokens that the endpoint has to process. */
	readonly promptTokens: number;
	/** Time until the caller gives up. */
	readonly remainingMs: Milliseconds;
	/** Time until the target of its first event; not positive if it is late. Default: no target. */
	readonly targetMs?: Milliseconds;
};

/** The parts of a candidate that the expected duration depends on. */
type DurationBasis = Pick<Candidate, 'eventIntervalMs' | 'speed'>;

/** Prompt tokens that an engine processes in one event interval. The known engines process 157 tokens per millisecond and take 25 to 43 ms for an event. */
const promptTokensPerEvent = 5000;

/** Delay of the first event, in event intervals: a request waits for a step, and its prompt is processed in turns with others. Under low load, short requests took three to four event intervals. */
const firstEventDelayInEvents = 3;

/** Factor by which a request may take longer than expected. The lengths that callers expect are right only at the median. */
const durationSafetyFactor = 1.3;

/** Cost of a first event after its target, as a multiple of the time by which it is late. A late response is worth a quarter to a half of one on time. */
const lateFirstEventCost = 3;

/** Cost discount of an endpoint in the same availability zone: traffic between zones is paid for. */
const sameZoneDiscountRatio = 0.02;

/** Returns the expected duration of a request at an idle endpoint. */
export function expectedDurationMs({expectedEvents, promptTokens}: PlacementRequest, {eventIntervalMs, speed}: DurationBasis): Milliseconds {
	return speed === undefined
		? (firstEventDelayInEvents + expectedEvents + (promptTokens / promptTokensPerEvent)) * eventIntervalMs
		: expectedFirstEventMs(speed, promptTokens, 0) + expectedRestMs(speed, expectedEvents, 0);
}

/** Returns the cost of dispatching a request to an endpoint; the lowest cost wins. Long requests go to fast endpoints, short ones to those with the lowest load. */
export function placementCost(candidate: Candidate, request: PlacementRequest): Milliseconds {
	const loadRatio = candidate.inFlight / candidate.slots;
	const zoneRatio = candidate.isSameZone ? 1 - sameZoneDiscountRatio : 1;
	const {speed} = candidate;
	if (speed === undefined) {
		const durationMs = expectedDurationMs(request, candidate) * (1 + (fullEndpointSlowdown * loadRatio));
		return (durationMs + (fullEndpointDelayMs * loadRatio)) * zoneRatio;
	}

	// Requests beyond its slots wait at the endpoint until others have completed.
	const queueMs = Math.max(0, loadRatio - 1) * expectedDurationMs(request, candidate) * (1 + fullEndpointSlowdown);
	const firstEventMs = queueMs + (expectedFirstEventMs(speed, request.promptTokens, loadRatio) * speed.slowdown);
	const restMs = expectedRestMs(speed, request.expectedEvents, loadRatio) * speed.slowdown;
	const {targetMs = Infinity} = request;
	const overTargetMs = targetMs > 0 ? Math.max(0, firstEventMs - targetMs) : 0;
	// A request delays the others at a loaded endpoint as they delay it.
	const interferenceMs = Math.max(0, fullEndpointDelayMs - speed.fullDelayMs) * loadRatio;
	return (firstEventMs + restMs + interferenceMs + (lateFirstEventCost * overTargetMs)) * zoneRatio;
}

/** Returns whether a request is expected to complete at an endpoint before its caller gives up. */
export function canFinish(request: PlacementRequest, basis: DurationBasis): boolean {
	return durationSafetyFactor * expectedDurationMs(request, basis) <= request.remainingMs;
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
