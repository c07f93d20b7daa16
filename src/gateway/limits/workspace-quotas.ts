import type {Milliseconds} from '../../shared/clock.js';
import type {WorkspaceUsage} from '../membership/types.js';
import type {Bounds} from '../settings.js';
import {quotaUnits, type Quota, type Workspace} from '../site/types.js';

/** Part of the tolerated overage that is given out; the rest covers what peers used since their last beats, and cuts between instances. */
const usedOverageRatio = 0.45;

/** Part of the tolerated slack that goes to the burst; the rest refills the bucket within each window. */
const burstSlackRatio = 0.5;

/** Units that may be missing by rounding. */
const roundingToleranceUnits = 1e-3;

/** Part of the burst that must be there for a request that is larger than the burst; it would never run otherwise. */
const largeRequestBurstRatio = 0.9;

/** Weight of the newest interval in a peer's rate, for each second that it lasted. Instances that compete for the last units use them in turns of about a second, so a shorter memory would depend on the moment. */
const rateWeightPerSecond = 0.4;

/** Silence after which a peer counts with at least its even part of each quota: it may be cut off and serve a workspace that asks for more than before. One that was killed is mostly back by then. */
const assumeEqualUseAfterMs: Milliseconds = 2000;

/** Refill of a process that hears no peer, as a part of the rate: peers that it can't hear may use the same quota. An even part of seven instances is 0.14. */
const unconfirmedRefillRatio = 0.2;

/** Time after the start from which a process that hears no peer takes itself to be the only one. */
const assumeSoleInstanceAfterMs: Milliseconds = 15_000;

/** Time after the start in which the levels of peers are taken over. A new process hears all of them within one or two beats. */
const levelAdoptionMs: Milliseconds = 3000;

type PeerUsage = {
	incarnation: number;
	lastHeardAt: Milliseconds;
	/** Units since the peer's start, as of its last beat. */
	units: Map<string, number>;
	perSecond: Map<string, number>;
	/** Units taken for the peer since `heardAt` without having heard of it. */
	estimated: Map<string, number>;
	estimatedAt: Milliseconds;
};

type Bucket = {
	/** The quota's rate and burst with the part of the tolerated overage. */
	readonly perSecond: number;
	readonly burst: number;
	level: number;
	updatedAt: Milliseconds;
	/** Whether the level came from a peer. */
	isAdopted: boolean;
};

export type WorkspaceQuotasOptions = {
	readonly bounds: Bounds;
	readonly now: Milliseconds;
};

/**
Token buckets for the quotas of workspaces, which all instances use together.

Every instance keeps the whole bucket of each workspace and takes from it what itself and, by their beats, the others use. Between beats it goes on taking at each peer's last rate. With a rate of r units a second and a burst of b, both with a part of the tolerated overage, at most w * r + b + e units run in a window of w seconds, where e is what the peers' rates grew by within the age of their beats. A bucket is empty when the process starts, because the use before is unknown, until a peer tells what is left.
*/
export class WorkspaceQuotas {
	static create(options: WorkspaceQuotasOptions): WorkspaceQuotas {
		return new WorkspaceQuotas(options.bounds, options.now);
	}

	readonly #buckets = new Map<string, Bucket>();
	readonly #ownUnits = new Map<string, number>();
	readonly #peers = new Map<string, PeerUsage>();
	#refillRatio = unconfirmedRefillRatio;

	private constructor(private readonly bounds: Bounds, private readonly startedAt: Milliseconds) {}

	configure(workspaces: Iterable<Workspace>, now: Milliseconds): void {
		const names = new Set<string>();
		for (const {name, quota} of workspaces) {
			if (quota === undefined) {
				continue;
			}

			names.add(name);
			const bucket = this.#buckets.get(name);
			if (bucket !== undefined) {
				this.#refill(bucket, now);
			}

			const limits = this.#limits(quota);
			this.#buckets.set(name, {
				...limits, level: Math.min(bucket?.level ?? 0, limits.burst), updatedAt: bucket?.updatedAt ?? this.startedAt, isAdopted: bucket?.isAdopted ?? false,
			});
		}

		for (const name of this.#buckets.keys()) {
			if (!names.has(name)) {
				this.#buckets.delete(name);
			}
		}
	}

	/** Takes units, or answers how long it takes until they are there. */
	tryTake(workspace: string, units: number, now: Milliseconds): {readonly isTaken: true} | {readonly isTaken: false; readonly waitMs: Milliseconds} {
		const bucket = this.#buckets.get(workspace);
		if (bucket === undefined) {
			return {isTaken: true};
		}

		this.#refill(bucket, now);
		const missing = Math.min(units, largeRequestBurstRatio * bucket.burst) - bucket.level;
		if (missing > roundingToleranceUnits) {
			return {isTaken: false, waitMs: missing / bucket.perSecond * 1000};
		}

		bucket.level -= units;
		this.#ownUnits.set(workspace, (this.#ownUnits.get(workspace) ?? 0) + units);
		return {isTaken: true};
	}

	/** Gives back the units of a request that did not run. */
	refund(workspace: string, units: number): void {
		const bucket = this.#buckets.get(workspace);
		if (bucket !== undefined) {
			bucket.level = Math.min(bucket.level + units, bucket.burst);
			this.#ownUnits.set(workspace, Math.max(0, (this.#ownUnits.get(workspace) ?? 0) - units));
		}
	}

	/** Units that this process has used since its start, and what it believes is left. */
	usage(now: Milliseconds): WorkspaceUsage[] {
		return [...this.#buckets].map(([workspace, bucket]) => {
			this.#refill(bucket, now);
			return [workspace, this.#ownUnits.get(workspace) ?? 0, bucket.level];
		});
	}

	/** Takes what a peer has used since its last beat. */
	applyPeerUsage(host: string, incarnation: number, usage: readonly WorkspaceUsage[], now: Milliseconds): void {
		this.#adoptLevels(usage, now);
		const known = this.#peers.get(host);
		const units = new Map(usage.map(([workspace, total]) => [workspace, total]));
		if (known === undefined) {
			this.#peers.set(host, {
				incarnation, lastHeardAt: now, units, perSecond: new Map(), estimated: new Map(), estimatedAt: now,
			});
			return;
		}

		const isSameIncarnation = known.incarnation === incarnation;
		const seconds = Math.max((now - known.lastHeardAt) / 1000, 0.001);
		const weight = Math.min(1, rateWeightPerSecond * seconds);
		for (const workspace of this.#buckets.keys()) {
			const used = Math.max(0, (units.get(workspace) ?? 0) - (isSameIncarnation ? known.units.get(workspace) ?? 0 : 0));
			this.#consume(workspace, used - (known.estimated.get(workspace) ?? 0), now);
			const rate = known.perSecond.get(workspace) ?? 0;
			known.perSecond.set(workspace, rate + (weight * ((used / seconds) - rate)));
		}

		known.incarnation = incarnation;
		known.lastHeardAt = now;
		known.units = units;
		known.estimated.clear();
		known.estimatedAt = now;
	}

	forgetPeer(host: string): void {
		this.#peers.delete(host);
	}

	/** Takes what the peers have probably used since their last beats, which corrects it. A peer that is silent may still serve. */
	estimatePeerUsage(now: Milliseconds): void {
		this.#refillRatio = this.#peers.size > 0 || now - this.startedAt > assumeSoleInstanceAfterMs ? 1 : unconfirmedRefillRatio;
		for (const peer of this.#peers.values()) {
			const seconds = (now - peer.estimatedAt) / 1000;
			const isSilent = now - peer.lastHeardAt > assumeEqualUseAfterMs;
			peer.estimatedAt = now;
			for (const [workspace, {perSecond}] of this.#buckets) {
				const minimumRate = isSilent ? perSecond / (this.#peers.size + 1) : 0;
				const units = Math.max(peer.perSecond.get(workspace) ?? 0, minimumRate) * seconds;
				this.#consume(workspace, units, now);
				peer.estimated.set(workspace, (peer.estimated.get(workspace) ?? 0) + units);
			}
		}
	}

	/** A process that has just started takes over what the first peer that it hears believes is left. */
	#adoptLevels(usage: readonly WorkspaceUsage[], now: Milliseconds): void {
		for (const [workspace, , level] of now - this.startedAt > levelAdoptionMs ? [] : usage) {
			const bucket = this.#buckets.get(workspace);
			if (bucket?.isAdopted === false) {
				this.#refill(bucket, now);
				bucket.level = Math.min(Math.max(bucket.level, level), bucket.burst);
				bucket.isAdopted = true;
			}
		}
	}

	#consume(workspace: string, units: number, now: Milliseconds): void {
		const bucket = this.#buckets.get(workspace);
		if (bucket !== undefined) {
			this.#refill(bucket, now);
			bucket.level = Math.min(bucket.level - units, bucket.burst);
		}
	}

	#refill(bucket: Bucket, now: Milliseconds): void {
		const seconds = Math.max(0, now - bucket.updatedAt) / 1000;
		bucket.level = Math.min(bucket.level + (bucket.perSecond * this.#refillRatio * seconds), bucket.burst);
		bucket.updatedAt = Math.max(now, bucket.updatedAt);
	}

	/** Spreads the tolerated overage over the window: a workspace that always asks for more than its quota may use it all the time. */
	#limits(quota: Quota): {perSecond: number; burst: number} {
		const overage = 1 + (usedOverageRatio * this.bounds.quotaOverageRatio);
		const slack = quota.unit === quotaUnits.tokens ? usedOverageRatio * this.bounds.quotaSlackTokens : 0;
		return {
			perSecond: (quota.perSecond * overage) + (slack * (1 - burstSlackRatio) * 1000 / this.bounds.quotaWindowMs),
			burst: (quota.burst * overage) + (slack * burstSlackRatio),
		};
	}
}
