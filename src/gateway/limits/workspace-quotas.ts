import type {Milliseconds} from '../../shared/clock.js';
import type {WorkspaceUsage} from '../membership/types.js';
import type {Bounds} from '../settings.js';
import type {Quota, Workspace} from '../site/types.js';

/** Part of the tolerated overage that a bucket may go below empty; the rest covers what peers used since their last beat. */
const overdraftPart = 0.4;

/** Silence after which a peer's use is estimated from what it used before. Longer than two lost beats of a group of 69. */
const estimateAfterMs: Milliseconds = 1200;

/** Weight of the newest interval in a peer's rate, for each second that it lasted. */
const rateWeightForEachSecond = 0.5;

/** Refill of a process that hears no peer, as a part of the rate: peers that it can't hear may use the same quota. */
const aloneRefillPart = 0.34;

/** Time after the start from which a process that hears no peer takes itself to be the only one. */
const aloneForMs: Milliseconds = 15_000;

type PeerUse = {
	incarnation: number;
	heardAt: Milliseconds;
	/** Units since the peer's start, as of its last beat. */
	units: Map<string, number>;
	perSecond: Map<string, number>;
	/** Units taken for the peer since `heardAt` without having heard of it. */
	estimated: Map<string, number>;
	estimatedAt: Milliseconds;
};

type Bucket = {
	quota: Quota;
	level: number;
	updatedAt: Milliseconds;
};

export type WorkspaceQuotasOptions = {
	readonly bounds: Bounds;
	readonly now: Milliseconds;
};

/**
Token buckets for the quotas of workspaces, which all instances use together.

Every instance keeps the whole bucket of each workspace and takes from it what itself and, by their beats, the others use. With n instances, a rate of r units a second, a burst of b and beats that are d seconds old, at most w * r + b + overdraft + n * d * (rate of one instance) units run in a window of w seconds. A bucket is empty when the process starts, because the use before is unknown.
*/
export class WorkspaceQuotas {
	static create(options: WorkspaceQuotasOptions): WorkspaceQuotas {
		return new WorkspaceQuotas(options.bounds, options.now);
	}

	readonly #buckets = new Map<string, Bucket>();
	readonly #ownUnits = new Map<string, number>();
	readonly #peers = new Map<string, PeerUse>();
	#refillPart = aloneRefillPart;

	private constructor(private readonly bounds: Bounds, private readonly startedAt: Milliseconds) {}

	configure(workspaces: Iterable<Workspace>, now: Milliseconds): void {
		const names = new Set<string>();
		for (const {name, quota} of workspaces) {
			if (quota === undefined) {
				continue;
			}

			names.add(name);
			const bucket = this.#buckets.get(name);
			if (bucket === undefined) {
				this.#buckets.set(name, {quota, level: 0, updatedAt: this.startedAt});
			} else {
				this.#refill(bucket, now);
				bucket.quota = quota;
				bucket.level = Math.min(bucket.level, quota.burst);
			}
		}

		for (const name of this.#buckets.keys()) {
			if (!names.has(name)) {
				this.#buckets.delete(name);
			}
		}
	}

	/** Takes units, or answers how long it takes until they are there. */
	take(workspace: string, units: number, now: Milliseconds): {readonly isTaken: true} | {readonly isTaken: false; readonly waitMs: Milliseconds} {
		const bucket = this.#buckets.get(workspace);
		if (bucket === undefined) {
			return {isTaken: true};
		}

		this.#refill(bucket, now);
		const missing = units - (bucket.level + this.#overdraft(bucket.quota));
		if (missing > 0) {
			return {isTaken: false, waitMs: missing / bucket.quota.perSecond * 1000};
		}

		bucket.level -= units;
		this.#ownUnits.set(workspace, (this.#ownUnits.get(workspace) ?? 0) + units);
		return {isTaken: true};
	}

	/** Gives back the units of a request that did not run. */
	giveBack(workspace: string, units: number): void {
		const bucket = this.#buckets.get(workspace);
		if (bucket !== undefined) {
			bucket.level = Math.min(bucket.level + units, bucket.quota.burst);
			this.#ownUnits.set(workspace, Math.max(0, (this.#ownUnits.get(workspace) ?? 0) - units));
		}
	}

	/** Units that this process has used since its start. */
	usage(): WorkspaceUsage[] {
		return [...this.#ownUnits];
	}

	/** Takes what a peer has used since its last beat. */
	applyPeer(host: string, incarnation: number, usage: readonly WorkspaceUsage[], now: Milliseconds): void {
		const known = this.#peers.get(host);
		const units = new Map(usage);
		if (known === undefined) {
			// What a peer used before it was known went before this process's own start, or is part of the empty bucket at it.
			this.#peers.set(host, {
				incarnation, heardAt: now, units, perSecond: new Map(), estimated: new Map(), estimatedAt: now,
			});
			return;
		}

		const isSameRun = known.incarnation === incarnation;
		const seconds = Math.max((now - known.heardAt) / 1000, 0.001);
		const weight = Math.min(1, rateWeightForEachSecond * seconds);
		for (const [workspace, total] of units) {
			const used = Math.max(0, total - (isSameRun ? known.units.get(workspace) ?? 0 : 0));
			this.#consume(workspace, used - (known.estimated.get(workspace) ?? 0), now);
			const rate = known.perSecond.get(workspace) ?? 0;
			known.perSecond.set(workspace, rate + (weight * ((used / seconds) - rate)));
		}

		known.incarnation = incarnation;
		known.heardAt = now;
		known.units = units;
		known.estimated.clear();
		known.estimatedAt = now;
	}

	forgetPeer(host: string): void {
		this.#peers.delete(host);
	}

	/** Takes an estimate for peers that are silent: they may still serve. */
	estimateSilentPeers(now: Milliseconds): void {
		this.#refillPart = this.#peers.size > 0 || now - this.startedAt > aloneForMs ? 1 : aloneRefillPart;
		for (const peer of this.#peers.values()) {
			if (now - peer.heardAt <= estimateAfterMs) {
				continue;
			}

			const seconds = (now - peer.estimatedAt) / 1000;
			peer.estimatedAt = now;
			for (const [workspace, rate] of peer.perSecond) {
				this.#consume(workspace, rate * seconds, now);
				peer.estimated.set(workspace, (peer.estimated.get(workspace) ?? 0) + (rate * seconds));
			}
		}
	}

	#consume(workspace: string, units: number, now: Milliseconds): void {
		const bucket = this.#buckets.get(workspace);
		if (bucket !== undefined) {
			this.#refill(bucket, now);
			bucket.level = Math.min(bucket.level - units, bucket.quota.burst);
		}
	}

	#refill(bucket: Bucket, now: Milliseconds): void {
		const seconds = Math.max(0, now - bucket.updatedAt) / 1000;
		bucket.level = Math.min(bucket.level + (bucket.quota.perSecond * this.#refillPart * seconds), bucket.quota.burst);
		bucket.updatedAt = Math.max(now, bucket.updatedAt);
	}

	#overdraft(quota: Quota): number {
		const window = (quota.perSecond * this.bounds.quotaWindowMs / 1000) + quota.burst;
		const slack = quota.unit === 'tokens' ? this.bounds.quotaSlack : 0;
		return overdraftPart * ((window * this.bounds.quotaOverage) + slack);
	}
}
