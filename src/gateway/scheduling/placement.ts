import type {Milliseconds} from '../../shared/clock.js';

/** What placement knows of an endpoint that may get a request. */
export type Candidate = {
	readonly endpointId: string;
	readonly slots: number;
	/** Requests of all instances under way there. */
	readonly running: number;
	readonly isFailing: boolean;
	/** Learnt time between two events of a stream. */
	readonly eventMs: Milliseconds;
	readonly isSameZone: boolean;
};

/** Part by which a full endpoint counts as slower than an empty one, because its requests share each step and wait for each other's prompts. */
const fullEndpointSlowdown = 1;

/** Advantage of an endpoint in the same availability zone: traffic between zones is paid for. */
const sameZoneAdvantage = 0.02;

/** Cost of a place at an endpoint; the lowest gets the request. */
export function placementCost(candidate: Candidate): number {
	const share = candidate.running / candidate.slots;
	const speed = candidate.eventMs * (1 + (fullEndpointSlowdown * share));
	return speed * (candidate.isSameZone ? 1 - sameZoneAdvantage : 1);
}

/** Chooses the endpoint for a request among those that have room. Endpoints that fail requests come last. */
export function choosePlace(candidates: Iterable<Candidate>): Candidate | undefined {
	let best: Candidate | undefined;
	let bestCost = Infinity;
	for (const candidate of candidates) {
		const cost = placementCost(candidate);
		if (best === undefined
			|| (best.isFailing && !candidate.isFailing)
			|| (best.isFailing === candidate.isFailing && cost < bestCost)) {
			best = candidate;
			bestCost = cost;
		}
	}

	return best;
}
