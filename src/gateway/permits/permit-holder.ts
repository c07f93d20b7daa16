import {randomInt} from 'node:crypto';
import type {Milliseconds} from '../../shared/clock.js';
import {startKey, type EndpointStart} from '../site/endpoint-start.js';
import type {PermitGrant} from './types.js';

/** Time for which a permit is valid beyond the time in which it is expected. It counts from the request, so that a grant that is read late permits nothing. */
const validityMs: Milliseconds = 300;

/** Endpoints for which requests for permits may wait at a time. */
const maximumOpenRequests = 8;

/** Time after which a request is repeated, as a ratio of the time in which its grant is expected. */
const repeatRatio = 1.1;

/** Numbers from which the first one of a process is chosen. */
const firstSequenceCount = 2 ** 31;

type OpenRequest = {readonly sequence: number; readonly sentAt: Milliseconds};

type Holding = {
	readonly start: EndpointStart;
	permits: Array<{count: number; readonly expiresAt: Milliseconds}>;
	/** Requests that may still be answered in time, oldest first. */
	openRequests: OpenRequest[];
	/** Time before which no further request is made, so that those for other endpoints have their turn. */
	nextRequestAt: Milliseconds;
};

/** The permits that this instance holds, and its requests for more. */
export class PermitHolder {
	static create(): PermitHolder {
		return new PermitHolder();
	}

	readonly #holdings = new Map<string, Holding>();
	/** Starts at random, so that no grant to a process that ran here before matches a request of this one. */
	#sequence = randomInt(firstSequenceCount);

	private constructor() {}

	has(start: EndpointStart, now: Milliseconds): boolean {
		return this.#valid(start, now).length > 0;
	}

	/** Uses one permit. Returns false when there is none. */
	take(start: EndpointStart, now: Milliseconds): boolean {
		const [permit] = this.#valid(start, now);
		if (permit === undefined) {
			return false;
		}

		permit.count--;
		return true;
	}

	/** Opens a request for permits. Returns its sequence number, or undefined while one waits or too many do. */
	open(start: EndpointStart, waitMs: Milliseconds, now: Milliseconds): number | undefined {
		const holding = this.#holding(start);
		if (now < holding.nextRequestAt || this.#waitingCount(waitMs, now) >= maximumOpenRequests) {
			return undefined;
		}

		this.#sequence++;
		holding.openRequests = holding.openRequests.filter(({sentAt}) => now - sentAt < waitMs + validityMs);
		holding.openRequests.push({sequence: this.#sequence, sentAt: now});
		// Requests for all other endpoints have their turn before this one is repeated.
		holding.nextRequestAt = now + (waitMs * repeatRatio * Math.ceil(this.#holdings.size / maximumOpenRequests));
		return this.#sequence;
	}

	/** Applies a grant. Returns false when no request is open that it answers. */
	receive({start, sequence, count}: PermitGrant, waitMs: Milliseconds, now: Milliseconds): boolean {
		const holding = this.#holdings.get(startKey(start));
		const request = holding?.openRequests.find(open => open.sequence === sequence && now - open.sentAt < waitMs + validityMs);
		if (holding === undefined || request === undefined) {
			return false;
		}

		holding.openRequests = holding.openRequests.filter(open => open !== request);
		holding.nextRequestAt = now;
		holding.permits.push({count, expiresAt: request.sentAt + waitMs + validityMs});
		return true;
	}

	/** Forgets what concerns endpoints without a limit. */
	retain(isLimited: (start: EndpointStart) => boolean): void {
		for (const [key, {start}] of this.#holdings) {
			if (!isLimited(start)) {
				this.#holdings.delete(key);
			}
		}
	}

	/** Number of endpoints for which a request waits. */
	#waitingCount(waitMs: Milliseconds, now: Milliseconds): number {
		return [...this.#holdings.values()].filter(({openRequests}) => openRequests.some(({sentAt}) => now - sentAt < waitMs)).length;
	}

	#valid(start: EndpointStart, now: Milliseconds): Holding['permits'] {
		const holding = this.#holdings.get(startKey(start));
		if (holding === undefined) {
			return [];
		}

		holding.permits = holding.permits.filter(({count, expiresAt}) => count > 0 && now < expiresAt);
		return holding.permits;
	}

	#holding(start: EndpointStart): Holding {
		const key = startKey(start);
		let holding = this.#holdings.get(key);
		if (holding === undefined) {
			holding = {
				start, permits: [], openRequests: [], nextRequestAt: -Infinity,
			};
			this.#holdings.set(key, holding);
		}

		return holding;
	}
}
