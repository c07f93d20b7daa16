import type {Milliseconds} from '../../shared/clock.js';
import {hashText} from '../../shared/hash.js';
import type {Bounds} from '../settings.js';

/** Part of the bound that is used; the rest covers instances that differ in whom they count as members. */
const usedBoundRatio = 0.7;

/** A little longer than the second in which arrivals are counted, because two requests may take different times on the way. */
const windowMs: Milliseconds = 1150;

export type ColdRateLimiterOptions = {
	readonly bounds: Bounds;
	readonly ownHost: string;
};

/** Requests a second that cold endpoints may get from this instance: its part of what each bears from all instances together. */
export class ColdRateLimiter {
	static create({bounds, ownHost}: ColdRateLimiterOptions): ColdRateLimiter {
		return new ColdRateLimiter(bounds, ownHost);
	}

	/** Times of the requests to each endpoint within the window. */
	readonly #requestTimes = new Map<string, Milliseconds[]>();
	/** This instance's place in the order of members that holds for each endpoint. */
	#ranks = new Map<string, number>();
	#rankedMembers: readonly string[] = [];

	private constructor(private readonly bounds: Bounds, private readonly ownHost: string) {}

	/**
	Requests that this instance may send to an endpoint in one window. Whole requests are dealt to the members in an order that differs for each endpoint, so that the parts sum up to the bound whatever the number of members is.

	@param members hosts of all instances that may send, this one among them; the same array until they change
	*/
	ownLimit(endpointId: string, coldRequestsPerSecond: number, members: readonly string[]): number {
		const total = Math.floor(usedBoundRatio * ((coldRequestsPerSecond * this.bounds.coldRateFactor) + this.bounds.coldSlackPerSecond));
		const whole = Math.floor(total / members.length);
		return whole + (this.#rank(endpointId, members) < total % members.length ? 1 : 0);
	}

	permits(endpointId: string, limit: number, now: Milliseconds): boolean {
		return this.#recentRequestTimes(endpointId, now).length < limit;
	}

	/** Notes a request to an endpoint, cold or not: one that turns cold has had its last requests within the same second. */
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

	/** Kept until the members change, because it is asked for each candidate of each request. */
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
