import type {Milliseconds} from '../../shared/clock.js';
import {startKey, type EndpointStart} from '../site/endpoint-start.js';
import type {PermitGrant, PermitRequest} from './types.js';

const millisecondsPerSecond = 1000;

/** Time over which unused permits accrue, beyond the first one. */
const accrualMs: Milliseconds = 250;

/** Rate for an endpoint that names a lower limit, also 0: only the response to a request shows when it takes more. */
const minimumPerSecond = 0.25;

/** Factor on the share of a limit that the heard instances have by their number. Above 1, the whole limit stays in use when a few instances are lost; the parts of a divided fleet together exceed it by this factor. */
const presentShareFactor = 1.2;

export type PermitArbiterOptions = {
	/** Requests a second that an endpoint takes; undefined when it names no limit. */
	readonly findLimit: (start: EndpointStart) => number | undefined;
	/** Whether this instance gives the permits for an endpoint. */
	readonly isArbiterOf: (start: EndpointStart) => boolean;
	/** Instances that are heard, as a fraction of the members. */
	readonly presentRatio: () => number;
	/** Time for which a request for permits is kept. */
	readonly waitMs: () => Milliseconds;
};

type WaitingRequest = {readonly request: PermitRequest; readonly until: Milliseconds};

type Bucket = {
	readonly start: EndpointStart;
	/** Permits that can be given. */
	level: number;
	updatedAt: Milliseconds;
	/** By host; the first one is served first. A repeated request keeps its place. */
	readonly waiting: Map<string, WaitingRequest>;
};

export type AddressedGrant = {readonly host: string; readonly grant: PermitGrant};

/**
Gives permits to send requests to endpoints that limit them, at the rate of each limit.

A limit is one sum for all instances, so one of them gives the permits for an endpoint. It begins without any, because another one may have given some a moment before.
*/
export class PermitArbiter {
	static create(options: PermitArbiterOptions): PermitArbiter {
		return new PermitArbiter(options);
	}

	readonly #buckets = new Map<string, Bucket>();

	private constructor(private readonly options: PermitArbiterOptions) {}

	/** Adds a request to those that wait. Returns the grants that are due, which may be for others that came before. */
	receive(request: PermitRequest, host: string, now: Milliseconds): AddressedGrant[] {
		const {start, count} = request;
		if (!this.options.isArbiterOf(start)) {
			return [];
		}

		const limit = this.options.findLimit(start);
		if (limit === undefined) {
			return [{host, grant: {start, sequence: request.sequence, count}}];
		}

		const bucket = this.#refill(start, limit, now);
		bucket.waiting.set(host, {request, until: now + this.options.waitMs()});
		return this.#grantWaiting(bucket, now);
	}

	/** Returns the grants for requests that have waited. Called periodically. */
	tick(now: Milliseconds): AddressedGrant[] {
		const grants: AddressedGrant[] = [];
		for (const [key, {start}] of this.#buckets) {
			const limit = this.options.findLimit(start);
			if (limit === undefined || !this.options.isArbiterOf(start)) {
				this.#buckets.delete(key);
			} else {
				grants.push(...this.#grantWaiting(this.#refill(start, limit, now), now));
			}
		}

		return grants;
	}

	#refill(start: EndpointStart, limit: number, now: Milliseconds): Bucket {
		const key = startKey(start);
		let bucket = this.#buckets.get(key);
		if (bucket === undefined) {
			bucket = {
				start, level: 0, updatedAt: now, waiting: new Map(),
			};
			this.#buckets.set(key, bucket);
		}

		const perSecond = Math.max(limit, minimumPerSecond) * Math.min(1, presentShareFactor * this.options.presentRatio());
		const perMs = perSecond / millisecondsPerSecond;
		bucket.level = Math.min(1 + (accrualMs * perMs), bucket.level + ((now - bucket.updatedAt) * perMs));
		bucket.updatedAt = now;
		return bucket;
	}

	#grantWaiting(bucket: Bucket, now: Milliseconds): AddressedGrant[] {
		const grants: AddressedGrant[] = [];
		for (const [host, {request, until}] of bucket.waiting) {
			if (now > until) {
				bucket.waiting.delete(host);
			} else if (bucket.level >= 1) {
				const count = Math.min(request.count, Math.floor(bucket.level));
				bucket.level -= count;
				bucket.waiting.delete(host);
				grants.push({host, grant: {start: request.start, sequence: request.sequence, count}});
			}
		}

		return grants;
	}
}
