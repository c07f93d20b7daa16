import type {Milliseconds} from '../../shared/clock.js';
import {hashText} from '../../shared/hash.js';
import type {Bounds} from '../settings.js';

/** Fraction of the bound that is used; the rest allows for instances whose member lists differ. */
const usedBoundRatio = 0.7;

/** Slightly longer than the second over which arrivals at the endpoint are counted, because the transit times of requests differ. */
const windowMs: Milliseconds = 1150;

/** Fraction of the used bound that instances with less than a request each use: their windows are spread at random, and some meet. */
const unrankedRatio = 0.5;

/** Number of parts of a period among which the windows of instances are spread. */
const hashParts = 4096n;

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
	Returns the requests that this instance may send to an endpoint in one window; a fraction of one means that it may send one in as many windows as it takes to make one. The remainder of the division goes to the members that rank first, in an order that differs by endpoint, so that the limits sum up to the used bound for any number of members. If there may be more instances than the members, nobody knows who ranks first, and the remainder is left.

	@param members hosts of the instances that are known, including this one; the same array until they change
	@param sharingCount number of instances that may send, at least that of the members
	*/
	ownLimit(endpointId: string, coldRequestsPerSecond: number, members: readonly string[], sharingCount = members.length): number {
		const total = Math.floor(usedBoundRatio * ((coldRequestsPerSecond * this.bounds.coldRateFactor) + this.bounds.coldSlackPerSecond));
		if (sharingCount > members.length) {
			return total < sharingCount ? unrankedRatio * total / sharingCount : Math.floor(total / sharingCount);
		}

		const quotient = Math.floor(total / members.length);
		return quotient + (this.#rank(endpointId, members) < total % members.length ? 1 : 0);
	}

	/** @param limit as returned by `ownLimit` */
	permits(endpointId: string, limit: number, now: Milliseconds): boolean {
		const isOwnTurn = limit === 0 || limit >= 1 || this.#isOwnTurn(endpointId, windowMs / limit, now);
		return isOwnTurn && this.#recentRequestTimes(endpointId, now).length < limit;
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

	/** Whether this instance's window of each period has come. The hash spreads the windows of instances that have started together over the period. */
	#isOwnTurn(endpointId: string, periodMs: Milliseconds, now: Milliseconds): boolean {
		const offsetMs = Number(hashText(`${endpointId} ${this.ownHost}`) % hashParts) / Number(hashParts) * periodMs;
		return (now + offsetMs) % periodMs < windowMs;
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
