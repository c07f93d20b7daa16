import type {Milliseconds} from '../../shared/clock.js';
import type {WorkspaceUsage} from '../membership/types.js';
import type {Bounds} from '../settings.js';
import {quotaUnits, type Quota, type Workspace} from '../site/types.js';

/** Fraction of the tolerated overage that is granted; the rest covers what peers have used since their last heartbeats, and network partitions between instances. */
const usedOverageRatio = 0.45;

/** Fraction of the tolerated slack that is added to the burst; the rest is added to the refill of each window. */
const burstSlackRatio = 0.5;

/** Units that may be missing because of rounding. */
const roundingToleranceUnits = 1e-3;

/** Fraction of the burst that must be available for a request larger than the burst, which could never run otherwise. */
const largeRequestBurstRatio = 0.9;

/** Weight of the newest interval between heartbeats in the moving average of a peer's rate, for each second of the interval. Instances that compete for the last units use them in turns of about a second, so an average over less time would fluctuate. */
const rateSmoothingFactorPerSecond = 0.4;

/** Silence after which a peer is assumed to use at least an equal share of each quota: it may be partitioned and serve a workspace whose demand has grown. A killed peer has usually restarted by then. */
const assumeEqualUseAfterMs: Milliseconds = 2000;

/** Refill of a process that hears no peer, as a fraction of the rate: peers that it can't hear may use the same quota. An equal share of seven instances is 0.14. */
const unconfirmedRefillRatio = 0.2;

/** Time after the start from which a process that hears no peer takes itself for the only one, if the fleet is known. */
const assumeSoleInstanceAfterMs: Milliseconds = 15_000;

/** Time after the start in which bucket levels are adopted from peers. A new process hears all of them within one or two heartbeats. */
const levelAdoptionMs: Milliseconds = 3000;

/** Time without a summary after which a zone is forgotten; its instances are forgotten by then. */
const zoneForgottenAfterMs: Milliseconds = 30_000;

/** A report of the units that an instance, or all instances of a zone, have used. */
export type UsageReport = {
	/** Identifies the instance or the zone. */
	readonly id: string;
	/** Identifies the run of the process that counts the units. */
	readonly incarnation: number;
	readonly usage: readonly WorkspaceUsage[];
	/** Number of instances of a zone; undefined when the report is that of one instance. */
	readonly instances?: number;
	/** Whether it is an instance of this instance's zone, whose use belongs to the summary of the zone. Default: false. */
	readonly isOwnZone?: boolean;
};

type PeerUsage = {
	incarnation: number;
	/** Number of instances that it stands for. */
	instances: number;
	readonly isZone: boolean;
	lastHeardAt: Milliseconds;
	/** Units used since the peer's start, as of its last heartbeat. */
	units: Map<string, number>;
	perSecond: Map<string, number>;
	/** Estimated units that were deducted for the peer since its last heartbeat. */
	estimated: Map<string, number>;
	estimatedAt: Milliseconds;
};

type Bucket = {
	/** The quota's rate and burst, including the granted overage. */
	readonly perSecond: number;
	readonly burst: number;
	level: number;
	updatedAt: Milliseconds;
	/** Whether the level was adopted from a peer. */
	isAdopted: boolean;
};

export type WorkspaceQuotasOptions = {
	readonly bounds: Bounds;
	readonly now: Milliseconds;
};

/**
Token buckets for the quotas of workspaces, which all instances share.

Every instance keeps the whole bucket of each workspace and deducts its own use and the use that the peers report in their heartbeats. Between heartbeats it deducts an estimate from each peer's average rate. With a rate of r units per second and a burst of b, both including the granted overage, at most w * r + b + e units are used in a window of w seconds, where e is what the peers have used beyond these estimates since their last heartbeats. When the process starts, the earlier use is unknown, so a bucket is empty until a peer reports its level.
*/
export class WorkspaceQuotas {
	static create(options: WorkspaceQuotasOptions): WorkspaceQuotas {
		return new WorkspaceQuotas(options.bounds, options.now);
	}

	readonly #buckets = new Map<string, Bucket>();
	readonly #ownUnits = new Map<string, number>();
	readonly #peers = new Map<string, PeerUsage>();
	/** Units that the peers of the own zone have used since this process first heard them. */
	readonly #zoneUnits = new Map<string, number>();
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

	/** Takes units, or returns the time until they are available. */
	tryTake(workspace: string, units: number, now: Milliseconds): {readonly isTaken: true} | {readonly isTaken: false; readonly waitMs: Milliseconds} {
		const bucket = this.#buckets.get(workspace);
		if (bucket === undefined) {
			return {isTaken: true};
		}

		const waitMs = this.waitMs(workspace, units, now);
		if (waitMs > 0) {
			return {isTaken: false, waitMs};
		}

		bucket.level -= units;
		this.#ownUnits.set(workspace, (this.#ownUnits.get(workspace) ?? 0) + units);
		return {isTaken: true};
	}

	/** Returns the time until units are available, without taking them. */
	waitMs(workspace: string, units: number, now: Milliseconds): Milliseconds {
		const bucket = this.#buckets.get(workspace);
		if (bucket === undefined) {
			return 0;
		}

		this.#refill(bucket, now);
		const missing = Math.min(units, largeRequestBurstRatio * bucket.burst) - bucket.level;
		return missing > roundingToleranceUnits ? missing / bucket.perSecond * 1000 : 0;
	}

	/** Puts back the units of a request that did not run. */
	refund(workspace: string, units: number): void {
		const bucket = this.#buckets.get(workspace);
		if (bucket !== undefined) {
			bucket.level = Math.min(bucket.level + units, bucket.burst);
			this.#ownUnits.set(workspace, Math.max(0, (this.#ownUnits.get(workspace) ?? 0) - units));
		}
	}

	/** Returns the units that this process has used since its start and its bucket level, by workspace. */
	usage(now: Milliseconds): WorkspaceUsage[] {
		return [...this.#buckets].map(([workspace, bucket]) => {
			this.#refill(bucket, now);
			return [workspace, this.#ownUnits.get(workspace) ?? 0, bucket.level];
		});
	}

	/** Returns the units that this process and the peers of its zone have used, as far as it knows, and its bucket level, by workspace. */
	zoneUsage(now: Milliseconds): WorkspaceUsage[] {
		return this.usage(now).map(([workspace, units, level]) => [workspace, units + (this.#zoneUnits.get(workspace) ?? 0), level]);
	}

	/** Deducts what a peer or a zone has used since its previous report. */
	applyPeerUsage({id, incarnation, usage, instances, isOwnZone = false}: UsageReport, now: Milliseconds): void {
		this.#adoptLevels(usage, now);
		const known = this.#peers.get(id);
		const isZone = instances !== undefined;
		const units = new Map(usage.map(([workspace, total]) => [workspace, total]));
		if (known === undefined) {
			this.#peers.set(id, {
				incarnation, instances: instances ?? 1, isZone, lastHeardAt: now, units, perSecond: new Map(), estimated: new Map(), estimatedAt: now,
			});
			return;
		}

		known.instances = instances ?? 1;
		const isSameIncarnation = known.incarnation === incarnation;
		if (isZone && !isSameIncarnation) {
			// Another relay counts from another start. What the zone used between the two is estimated from its rates.
			known.incarnation = incarnation;
			known.units = units;
			known.lastHeardAt = now;
			known.estimated.clear();
			return;
		}

		const seconds = Math.max((now - known.lastHeardAt) / 1000, 0.001);
		const smoothingFactor = Math.min(1, rateSmoothingFactorPerSecond * seconds);
		for (const workspace of this.#buckets.keys()) {
			const used = Math.max(0, (units.get(workspace) ?? 0) - (isSameIncarnation ? known.units.get(workspace) ?? 0 : 0));
			this.#consume(workspace, used - (known.estimated.get(workspace) ?? 0), now);
			if (isOwnZone && used > 0) {
				this.#zoneUnits.set(workspace, (this.#zoneUnits.get(workspace) ?? 0) + used);
			}

			const rate = known.perSecond.get(workspace) ?? 0;
			known.perSecond.set(workspace, rate + (smoothingFactor * ((used / seconds) - rate)));
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

	/**
	Deducts the estimated use of the peers since the last estimate; their next heartbeats correct it. A silent peer may still serve.

	@param isFleetKnown whether the peers are all other instances that run
	*/
	estimatePeerUsage(now: Milliseconds, isFleetKnown: boolean): void {
		const isSole = isFleetKnown && now - this.startedAt > assumeSoleInstanceAfterMs;
		this.#refillRatio = this.#peers.size > 0 || isSole ? 1 : unconfirmedRefillRatio;
		let instances = 1;
		for (const [id, peer] of this.#peers) {
			instances += peer.instances;
			if (peer.isZone && now - peer.lastHeardAt > zoneForgottenAfterMs) {
				this.#peers.delete(id);
			}
		}

		for (const peer of this.#peers.values()) {
			const seconds = (now - peer.estimatedAt) / 1000;
			const isSilent = now - peer.lastHeardAt > assumeEqualUseAfterMs;
			peer.estimatedAt = now;
			for (const [workspace, {perSecond}] of this.#buckets) {
				const minimumRate = isSilent ? perSecond * peer.instances / instances : 0;
				const units = Math.max(peer.perSecond.get(workspace) ?? 0, minimumRate) * seconds;
				this.#consume(workspace, units, now);
				peer.estimated.set(workspace, (peer.estimated.get(workspace) ?? 0) + units);
			}
		}
	}

	/** A process that has just started adopts the bucket levels of the first peer that it hears. */
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

	/** Spreads the tolerated overage over the window, because a workspace that always exceeds its quota uses the overage all the time. */
	#limits(quota: Quota): {perSecond: number; burst: number} {
		const overage = 1 + (usedOverageRatio * this.bounds.quotaOverageRatio);
		const slack = quota.unit === quotaUnits.tokens ? usedOverageRatio * this.bounds.quotaSlackTokens : 0;
		return {
			perSecond: (quota.perSecond * overage) + (slack * (1 - burstSlackRatio) * 1000 / this.bounds.quotaWindowMs),
			burst: (quota.burst * overage) + (slack * burstSlackRatio),
		};
	}
}
