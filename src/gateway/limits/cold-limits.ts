import type {Milliseconds} from '../../shared/clock.js';
import {hashText} from '../../shared/hash.js';
import type {Bounds} from '../settings.js';

/** Part of the bound that is used; the rest covers instances that differ in whom they count as members. */
const usedPart = 0.7;

/** A little longer than the second in which arrivals are counted, because two requests may take different times on the way. */
const windowMs: Milliseconds = 1150;

export type ColdLimitsOptions = {
	readonly bounds: Bounds;
	readonly ownHost: string;
};

/** Requests a second that cold endpoints may get from this instance: its part of what each bears from all instances together. */
export class ColdLimits {
	static create({bounds, ownHost}: ColdLimitsOptions): ColdLimits {
		return new ColdLimits(bounds, ownHost);
	}

	/** Times of the requests to each endpoint within the window. */
	readonly #sent = new Map<string, Milliseconds[]>();
	/** This instance's place in the order of members that holds for each endpoint. */
	#positions = new Map<string, number>();
	#rankedMembers: readonly string[] = [];

	private constructor(private readonly bounds: Bounds, private readonly ownHost: string) {}

	/**
	Requests that this instance may send to an endpoint in one window. Whole requests are dealt to the members in an order that differs for each endpoint, so that the parts sum up to the bound whatever the number of members is.

	@param members hosts of all instances that may send, this one among them; the same array until they change
	*/
	part(endpointId: string, coldRequestsPerSecond: number, members: readonly string[]): number {
		const total = Math.floor(usedPart * ((coldRequestsPerSecond * this.bounds.coldOverage) + this.bounds.coldSlack));
		const whole = Math.floor(total / members.length);
		return whole + (this.#position(endpointId, members) < total % members.length ? 1 : 0);
	}

	hasRoom(endpointId: string, part: number, now: Milliseconds): boolean {
		return this.#recent(endpointId, now).length < part;
	}

	/** Notes a request to an endpoint, cold or not: one that turns cold has had its last requests within the same second. */
	note(endpointId: string, now: Milliseconds): void {
		this.#recent(endpointId, now).push(now);
	}

	forget(endpointId: string): void {
		this.#sent.delete(endpointId);
		this.#positions.delete(endpointId);
	}

	#recent(endpointId: string, now: Milliseconds): Milliseconds[] {
		const times = (this.#sent.get(endpointId) ?? []).filter(time => now - time < windowMs);
		this.#sent.set(endpointId, times);
		return times;
	}

	/** Kept until the members change, because it is asked for each candidate of each request. */
	#position(endpointId: string, members: readonly string[]): number {
		if (members !== this.#rankedMembers) {
			this.#rankedMembers = members;
			this.#positions = new Map();
		}

		let position = this.#positions.get(endpointId);
		if (position === undefined) {
			const ownRank = hashText(`${endpointId} ${this.ownHost}`);
			position = members.filter(host => host !== this.ownHost && hashText(`${endpointId} ${host}`) < ownRank).length;
			this.#positions.set(endpointId, position);
		}

		return position;
	}
}
