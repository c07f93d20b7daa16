import type {Clock, Milliseconds} from '../../shared/clock.js';
import {EndpointUnits} from './endpoint-units.js';
import {ownerOf} from './slot-order.js';
import type {EndpointLimit, UnitLayout, UnitOwner} from './types.js';
import {UnconfirmedVersions} from './unconfirmed-versions.js';

/**
Factor applied to every duration after which units used by another process count as free.

The other process measures the loan duration and the request timeout with its own clock, which may run up to 2 % slower. The entry lease uses the same tolerance.
*/
const clockRateSafetyFactor = 1.02;

/**
Number of lease durations for which own units may be used under a version that no majority has reported.

A version between the previous one and this one, which this process has not seen, may have assigned the units to another slot.
*/
const maximumUnconfirmedLeases = 2;

/** A request that was written shortly before a load report was created may not have reached the endpoint yet. */
const networkDelayMarginMs: Milliseconds = 1000;

/**
How long the quarantine continues after a load report without requests.

Entries poll every second. Without the delay, the first entry that observes the endpoint idle would start requests there, and the other entries could no longer observe it idle.
*/
const idleQuarantineDelayMs: Milliseconds = 2500;

export type EndQuarantineOptions = {
	/** The configuration version of the predecessor when it shut down. Without it, units that may have moved between slots since then stay in quarantine. */
	readonly predecessorVersion?: number;
};

export type OwnershipOptions = {
	readonly slot: string;
	readonly clock: Clock;
};

/** Determines which units one slot owns under the configuration in force, and when it may use them. */
export class Ownership {
	static create(options: OwnershipOptions): Ownership {
		return new Ownership(options);
	}

	readonly #slot: string;
	readonly #clock: Clock;
	readonly #endpoints = new Map<string, EndpointUnits>();
	readonly #unconfirmedVersions = UnconfirmedVersions.create();
	#layout: UnitLayout | undefined;
	/** The version in force when this incarnation first held the lease. */
	#firstVersion: number | undefined;
	#heldUntil: Milliseconds = Number.NEGATIVE_INFINITY;
	#firstHeldAt: Milliseconds | undefined;
	#hasEndedQuarantine = false;
	#majorityVersion = Number.NEGATIVE_INFINITY;

	private constructor({slot, clock}: OwnershipOptions) {
		this.#slot = slot;
		this.#clock = clock;
	}

	/** Whether this process may use and lend units. */
	get isLeaseHeld(): boolean {
		return this.#clock.now() < this.#heldUntil;
	}

	/** The duration of a loan; 0 before the first layout. */
	get loanMilliseconds(): Milliseconds {
		return this.#layout?.loanMilliseconds ?? 0;
	}

	/** Whether a majority has confirmed all versions and no own unit is in quarantine. */
	get isQuarantineFree(): boolean {
		return this.#unconfirmedVersions.oldestAdoptedAt === undefined
			&& [...this.#endpoints.values()].every(units => units.ownUnits.every(unit => !this.isQuarantined(units, unit)));
	}

	applyLayout(layout: UnitLayout): void {
		const previous = this.#layout;
		if (previous !== undefined && layout.version <= previous.version) {
			return;
		}

		const hasChangedSlots = previous === undefined || !haveSameSlots(previous.slots, layout.slots);
		const hasMissedVersions = previous !== undefined && this.#clock.now() > this.#heldUntil + previous.loanMilliseconds;
		this.#layout = layout;
		if (this.#firstHeldAt === undefined) {
			this.#firstVersion = layout.version;
		}

		for (const limit of layout.endpoints) {
			const units = this.#configureEndpoint(limit, layout, hasChangedSlots);
			if (hasMissedVersions) {
				units.markAllGained(layout.version);
			}
		}

		this.#markRemovedEndpoints(layout);
		this.#unconfirmedVersions.adopt(layout.version, this.#clock.now());
		this.#confirmVersions();
	}

	setLease(heldUntil: Milliseconds | undefined, firstHeldAt: Milliseconds | undefined): void {
		this.#heldUntil = heldUntil ?? Math.min(this.#heldUntil, this.#clock.now());
		if (firstHeldAt !== undefined && firstHeldAt !== this.#firstHeldAt) {
			this.#startTenure(firstHeldAt);
		}
	}

	/** Records that the endpoint had no request in flight at some time at or after `takenAt`. */
	observeIdle(endpoint: string, takenAt: Milliseconds): void {
		const units = this.#endpoints.get(endpoint);
		if (units === undefined) {
			return;
		}

		const idleAt = takenAt - networkDelayMarginMs;
		const quarantineEndsAt = this.#clock.now() + idleQuarantineDelayMs;
		const maximumRunMs = units.maximumRequestTimeoutMs * clockRateSafetyFactor;
		units.shortenQuarantine(idleAt, maximumRunMs, quarantineEndsAt);
		if (this.#firstHeldAt !== undefined && idleAt >= this.#firstHeldAt + this.maximumUseMs(units) - maximumRunMs) {
			units.idleQuarantineEndsAt ??= quarantineEndsAt;
		}
	}

	endQuarantine({predecessorVersion}: EndQuarantineOptions): void {
		this.#hasEndedQuarantine = true;
		if (predecessorVersion !== undefined && predecessorVersion === this.#firstVersion) {
			for (const units of this.#endpoints.values()) {
				units.removeGainsUpTo(predecessorVersion);
			}
		}
	}

	observeMajorityVersion(version: number): void {
		if (version > this.#majorityVersion) {
			this.#majorityVersion = version;
			this.#confirmVersions();
		}
	}

	/** The units of an endpoint, including one that was removed from the configuration recently. */
	unitsOf(endpoint: string): EndpointUnits | undefined {
		return this.#endpoints.get(endpoint);
	}

	/** The units of all endpoints of the configuration in force. */
	configuredEndpoints(): EndpointUnits[] {
		return [...this.#endpoints.values()].filter(({removedAt}) => removedAt === undefined);
	}

	/** Whether the slot is part of the layout. */
	hasSlot(slot: string): boolean {
		return this.#layout?.slots.includes(slot) ?? false;
	}

	/** How long units may stay in use by another process after it granted its last loan or started its last request. */
	maximumUseMs(units: EndpointUnits): Milliseconds {
		return (this.loanMilliseconds + units.maximumRequestTimeoutMs) * clockRateSafetyFactor;
	}

	/** How long a renewal keeps lent units with the borrower. */
	renewalExtensionMs(): Milliseconds {
		return this.loanMilliseconds * clockRateSafetyFactor;
	}

	/** Whether an own unit counts as in use because another process may be using it. */
	isQuarantined(units: EndpointUnits, unit: number): boolean {
		return this.#areOwnUnitsBlocked(units) || units.isGainQuarantined(unit, this.#clock.now());
	}

	/** Own units within the current limit that are not reserved, lent or in quarantine. */
	freeOwnUnits(units: EndpointUnits): number[] {
		return this.#areOwnUnitsBlocked(units) ? [] : units.freeOwnUnits(this.#clock.now());
	}

	owners(endpoint: string): UnitOwner[] {
		const units = this.#endpoints.get(endpoint);
		if (units === undefined) {
			return [];
		}

		const counts = new Map(units.order.map(slot => [slot, 0]));
		for (let unit = 0; unit < units.limit; unit++) {
			const owner = ownerOf(units.order, unit);
			if (owner !== undefined) {
				counts.set(owner, counts.get(owner)! + 1);
			}
		}

		return units.order.map(slot => ({slot, units: counts.get(slot)!}));
	}

	/** Deletes expired gains, and removed endpoints once no former owner can use their units any longer. */
	removeExpired(now: Milliseconds): void {
		for (const [endpoint, units] of this.#endpoints) {
			units.removeExpiredGains(now);
			if (units.removedAt !== undefined && units.isIdle && now > units.removedAt + (2 * this.#transferDurationMs(units))) {
				this.#endpoints.delete(endpoint);
			}
		}
	}

	#configureEndpoint(limit: EndpointLimit, layout: UnitLayout, hasChangedSlots: boolean): EndpointUnits {
		const existing = this.#endpoints.get(limit.endpoint);
		if (existing !== undefined) {
			existing.configure(limit, layout.slots, layout.version);
			return existing;
		}

		const units = EndpointUnits.create(this.#slot, limit, layout.slots);
		this.#endpoints.set(limit.endpoint, units);
		// If the slots are unchanged, an endpoint that is new here was either unused or has the same owners as before.
		if (hasChangedSlots) {
			units.markAllGained(layout.version);
		}

		return units;
	}

	#markRemovedEndpoints(layout: UnitLayout): void {
		const names = new Set(layout.endpoints.map(({endpoint}) => endpoint));
		for (const [endpoint, units] of this.#endpoints) {
			if (!names.has(endpoint)) {
				units.removedAt ??= this.#clock.now();
			}
		}
	}

	/**
	How long former owners may still use units after a majority has adopted a layout.

	A former owner that skipped the version adopts a later one within a lease and a loan. It uses its units for two more leases without a majority, and then for a loan and a request. If the later version reaches its majority within these two leases, this slot learns of it one lease later, before its own wait ends.
	*/
	#transferDurationMs(units: EndpointUnits): Milliseconds {
		const leases = (maximumUnconfirmedLeases + 2) * (this.#layout?.leaseMilliseconds ?? 0);
		return ((leases + this.loanMilliseconds) * clockRateSafetyFactor) + this.maximumUseMs(units);
	}

	/** Whether the version in force or an earlier one has been without a majority for too long, so that another slot may be using the own units. */
	#areOwnUnitsSuspended(): boolean {
		const {oldestAdoptedAt} = this.#unconfirmedVersions;
		if (oldestAdoptedAt === undefined || this.#firstHeldAt === undefined) {
			return false;
		}

		// No unit was used before the first lease, so the time counts from there.
		const countedFromAt = Math.max(oldestAdoptedAt, this.#firstHeldAt);
		return this.#clock.now() >= countedFromAt + (maximumUnconfirmedLeases * (this.#layout?.leaseMilliseconds ?? 0));
	}

	/** After a suspension, other slots may have used the own units until now, so all of them count as gained. */
	#confirmVersions(): void {
		if (this.#areOwnUnitsSuspended()) {
			for (const units of this.#endpoints.values()) {
				units.markAllGained(this.#layout!.version);
			}
		}

		this.#unconfirmedVersions.confirm(this.#majorityVersion);
		const now = this.#clock.now();
		for (const units of this.#endpoints.values()) {
			units.startQuarantineCountdown(this.#majorityVersion, now + this.#transferDurationMs(units));
		}
	}

	/** Whether all own units count as in use, because of a suspension or the quarantine of a new incarnation. */
	#areOwnUnitsBlocked(units: EndpointUnits): boolean {
		if (this.#areOwnUnitsSuspended()) {
			return true;
		}

		if (this.#hasEndedQuarantine) {
			return false;
		}

		if (this.#firstHeldAt === undefined) {
			return true;
		}

		const end = Math.min(this.#firstHeldAt + this.maximumUseMs(units), units.idleQuarantineEndsAt ?? Number.POSITIVE_INFINITY);
		return this.#clock.now() < end;
	}

	/** Restarts the quarantine in a later tenure, because another incarnation may have held the slot since the first quarantine ended. */
	#startTenure(firstHeldAt: Milliseconds): void {
		this.#hasEndedQuarantine &&= this.#firstHeldAt === undefined;
		this.#firstHeldAt = firstHeldAt;
		for (const units of this.#endpoints.values()) {
			units.idleQuarantineEndsAt = undefined;
		}
	}
}

function haveSameSlots(left: readonly string[], right: readonly string[]): boolean {
	const slots = new Set(left);
	return slots.size === new Set(right).size && right.every(slot => slots.has(slot));
}
