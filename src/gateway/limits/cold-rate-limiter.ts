import type {Milliseconds} from '../../shared/clock.js';
import {hashText} from '../../shared/hash.js';
import type {Bounds} from '../settings.js';

/** Fraction of the bound that is used; the rest allows for instances whose member lists differ. */
const usedBoundRatio = 0.7;

/** Slightly longer than the second over which arrivals at the endpoint are counted, because the transit times of requests differ. */
const windowMs: Milliseconds = 1150;

export type ColdRateLimiterOptions = {
	readonly bounds: Bounds;
	readonly ownHost: string;
};

/** Limits the requests per second that this instance sends to cold endpoints. The rate that an endpoint bears is divided among all instances. */
export class ColdRateLimiter {
	static create({bounds, ownHost}: ColdRateLimiterOptions): ColdRateLimiter {
		return new ColdRateLimiter(bounds, ownHost);
	}

	/** Times of the requests to each endpoint within the window, by endpoint. */
	readonly #requestTimes = new Map<string, Milliseconds[]>();
	/** Rank of this instance among the members, by endpoint. */
	#ranks = new Map<string, number>();
	#rankedMembers: readonly string[] = [];

	private constructor(private readonly bounds: Bounds, private readonly ownHost: string) {}

	/**
	Returns the requests that this instance may send to an endpoint in one window. The remainder of the division goes to the members that rank first, in an order that differs by endpoint, so that the limits sum up to the used bound for any number of members.

	@param members hosts of all instances that may send, including this one; the same array until they change
	*/
	ownLimit(endpointId: string, coldRequestsPerSecond: number, members: readonly string[]): number {
		const total = Math.floor(usedBoundRatio * ((coldRequestsPerSecond * this.bounds.coldRateFactor) + this.bounds.coldSlackPerSecond));
		const quotient = Math.floor(total / members.length);
		return quotient + (this.#rank(endpointId, members) < total % members.length ? 1 : 0);
	}

	permits(endpointId: string, limit: number, now: Milliseconds): boolean {
		return this.#recentRequestTimes(endpointId, now).length < limit;
	}

	/** Records a request to an endpoint, cold or not: when an endpoint turns cold, its requests of the last second count too. */
	recordRequest(endpointId: string, now: Milliseconds): void {
		this.#recentRequestTimes(endpointId, now).push(now);
	}

	forget(endpointId: string): void {
		this.#requestTimes.delete(endpointId);
		this.#ranks.delete(endpointId);
	}

	#recentRequestTimes(endpointId: string, now: Milliseconds): Milliseconds[] {
		const times = (this.#requestTimes.get(endpointId) ?? []).filter(time => now - time < windowMs);
		this.#requestTimes.set(endpointId, times);
		return times;
	}

	/** Cached until the members change, because it is needed for each candidate of each request. */
	#rank(endpointId: string, members: readonly string[]): number {
		if (members !== this.#rankedMembers) {
			this.#rankedMembers = members;
			this.#ranks = new Map();
		}

		let rank = this.#ranks.get(endpointId);
		if (rank === undefined) {
			const ownHash = hashText(`${endpointId} ${this.ownHost}`);
			rank = members.filter(host => host !== this.ownHost && hashText(`${endpointId} ${host}`) < ownHash).length;
			this.#ranks.set(endpointId, rank);
		}

		return rank;
	}
}
