import type {Clock, Milliseconds} from '../../shared/clock.js';
import {EndpointUnits} from './endpoint-units.js';
import {ownerOf} from './slot-order.js';
import type {EndpointLimit, UnitLayout, UnitOwner} from './types.js';
import {UnconfirmedVersions} from './unconfirmed-versions.js';

/**
Factor on every time after which units of another process count as free.

The other process measures the loan duration and the request timeout by its own clock, which may run slower by up to 2 %, as with the entry lease.
*/
const clockRateMargin = 1.02;

/**
Lease durations for which own units may be used under a version that no majority has reported.

A version between the former one and this one may have given the units to another slot, which this process does not know.
*/
const maximumUnconfirmedLeases = 2;

/** A request that was written shortly before a load report was taken may still have been on its way to the endpoint. */
const networkDelayMarginMs: Milliseconds = 1000;

/**
How long after an idle report the quarantine goes on.

Entries poll every second. Without the wait, the first entry that sees the endpoint idle would start requests there, and the others could not see it idle any more.
*/
const idleQuarantineDelayMs: Milliseconds = 2500;

export type EndQuarantineOptions = {
	/** The configuration version that the predecessor had when it left. Without it, units that may have moved between slots since then stay in quarantine. */
	readonly predecessorVersion?: number;
};

export type OwnershipOptions = {
	readonly slot: string;
	readonly clock: Clock;
};

/** Which units one slot owns under the configuration in force, and from when on and until when it may use them. */
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

	/** How long a loan lasts; 0 before the first layout. */
	get loanMilliseconds(): Milliseconds {
		return this.#layout?.loanMilliseconds ?? 0;
	}

	/** Whether no version is without a majority and no own unit is in quarantine. */
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

	/** Takes note that the endpoint ran nothing at a time not before `takenAt`. */
	observeIdle(endpoint: string, takenAt: Milliseconds): void {
		const units = this.#endpoints.get(endpoint);
		if (units === undefined) {
			return;
		}

		const idleAt = takenAt - networkDelayMarginMs;
		const quarantineEndsAt = this.#clock.now() + idleQuarantineDelayMs;
		const maximumRunMs = units.maximumRequestTimeoutMs * clockRateMargin;
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

	/** The units of an endpoint, also of one that has left the configuration a short while ago. */
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

	/** How long units of another process may stay in use after it granted or started the last of them. */
	maximumUseMs(units: EndpointUnits): Milliseconds {
		return (this.loanMilliseconds + units.maximumRequestTimeoutMs) * clockRateMargin;
	}

	/** How long a lender waits beyond a renewal. */
	renewalExtensionMs(): Milliseconds {
		return this.loanMilliseconds * clockRateMargin;
	}

	/** Whether an own unit counts as used because another process may use it. */
	isQuarantined(units: EndpointUnits, unit: number): boolean {
		return this.#areOwnUnitsBlocked(units) || units.isGainQuarantined(unit, this.#clock.now());
	}

	/** Own units that are neither used nor lent nor in quarantine, under the present limit. */
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

	/** Forgets gains that have ended, and removed endpoints once no former owner can use their units any longer. */
	removeExpired(now: Milliseconds): void {
		for (const [endpoint, units] of this.#endpoints) {
			units.removeExpiredGains(now);
			if (units.removedAt !== undefined && units.isIdle && now > units.removedAt + (2 * this.#transferDurationMs(units))) {
				this.#endpoints.delete(endpoint);
			}
		}
	}

	#configureEndpoint(limit: EndpointLimit, layout: UnitLayout, hasChangedSlots: boolean): EndpointUnits {
		const known = this.#endpoints.get(limit.endpoint);
		if (known !== undefined) {
			known.configure(limit, layout.slots, layout.version);
			return known;
		}

		const units = EndpointUnits.create(this.#slot, limit, layout.slots);
		this.#endpoints.set(limit.endpoint, units);
		// With unchanged slots, an endpoint that is new here was used by nobody or has the same owners as before.
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
	How long after a majority has a layout in force the former owners' units may stay in use.

	A former owner that skipped the version adopts a later one within a lease and a loan. Under that it goes on for two leases without a majority, and then for a loan and a request. When the later version does get its majority within these two leases, the slot that waits here has learnt it a lease later, before its own wait ends.
	*/
	#transferDurationMs(units: EndpointUnits): Milliseconds {
		const leases = (maximumUnconfirmedLeases + 2) * (this.#layout?.leaseMilliseconds ?? 0);
		return ((leases + this.loanMilliseconds) * clockRateMargin) + this.maximumUseMs(units);
	}

	/** Whether the version in force or an earlier one has waited too long for a majority, so that own units may be in use elsewhere. */
	#areOwnUnitsSuspended(): boolean {
		const {oldestAdoptedAt: since} = this.#unconfirmedVersions;
		if (since === undefined || this.#firstHeldAt === undefined) {
			return false;
		}

		// Before the first lease nothing was used, so the time counts from there.
		const countedFromAt = Math.max(since, this.#firstHeldAt);
		return this.#clock.now() >= countedFromAt + (maximumUnconfirmedLeases * (this.#layout?.leaseMilliseconds ?? 0));
	}

	/** After a suspension, other slots may have used the own units until now, so that all of them count as gained. */
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

	/** Whether all own units count as used, by the quarantine of a new incarnation or by a suspension. */
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

	/** In a later tenure, another incarnation may have held the slot since the quarantine of the former one ended. */
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
