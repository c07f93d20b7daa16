import type {Milliseconds} from '../../shared/clock.js';
import {ownerOf, slotOrder} from './slot-order.js';
import type {EndpointLimit} from './types.js';

/** Units that this slot gained by a configuration change, and since when it counts down. */
export type UnitGain = {
	readonly version: number;
	/** The order before the change, or `undefined` when it is not known; then every unit counts as gained. */
	readonly previousOrder: readonly string[] | undefined;
	/** End of the quarantine, or `undefined` while no majority has reported the version. */
	quarantineEndsAt: Milliseconds | undefined;
};

/** The units of one endpoint as one slot sees them: who owns them, and which of them this slot uses or has lent. */
export class EndpointUnits {
	static create(slot: string, configured: EndpointLimit, slots: readonly string[]): EndpointUnits {
		return new EndpointUnits(slot, configured, slots);
	}

	/** Reservation that holds a unit on this entry, own or borrowed. */
	readonly reservedUnits = new Map<number, string>();
	/** Loan by which an own unit is lent. */
	readonly lentUnits = new Map<number, string>();
	/** Loan by which a unit is borrowed. */
	readonly borrowedUnits = new Map<number, string>();
	/** When the endpoint left the configuration, or `undefined` while it is part of it. */
	removedAt: Milliseconds | undefined;
	/** When the quarantine of this incarnation's units ends early because the endpoint was seen idle; `undefined` without that. */
	idleQuarantineEndsAt: Milliseconds | undefined;
	/** The longest request timeout of the endpoint so far: requests from before a change may still run that long. */
	maximumRequestTimeoutMs: Milliseconds;
	#configuredLimit: EndpointLimit;
	#order: readonly string[];
	/** `undefined` until a phase is known; the endpoint counts as cold until then. */
	#phaseLimit: number | undefined;
	#ownUnits: readonly number[] = [];
	#gains: UnitGain[] = [];

	private constructor(private readonly slot: string, configured: EndpointLimit, slots: readonly string[]) {
		this.#configuredLimit = configured;
		this.maximumRequestTimeoutMs = configured.requestTimeoutMilliseconds;
		this.#order = slotOrder(configured.endpoint, slots);
		this.#updateOwnUnits();
	}

	get configuredLimit(): EndpointLimit {
		return this.#configuredLimit;
	}

	/** Slots in rendezvous-hashing order. */
	get order(): readonly string[] {
		return this.#order;
	}

	/** Units that may be used in the present phase; 0 for an endpoint that left the configuration. */
	get limit(): number {
		return this.removedAt === undefined ? Math.min(this.#phaseLimit ?? this.#configuredLimit.coldUnits, this.#configuredLimit.units) : 0;
	}

	/** Own units of the full limit, ascending. */
	get ownUnits(): readonly number[] {
		return this.#ownUnits;
	}

	/** Units that are known to be in use or lent, whatever the present limit is. */
	get unitsInUse(): number {
		return this.reservedUnits.size + this.lentUnits.size;
	}

	get isIdle(): boolean {
		return this.unitsInUse === 0 && this.borrowedUnits.size === 0;
	}

	setPhaseLimit(limit: number): void {
		this.#phaseLimit = limit;
	}

	/** Takes over a configuration. Units that another slot owned before it are in quarantine until the gain ends. */
	configure(configuredLimit: EndpointLimit, slots: readonly string[], version: number): void {
		const order = slotOrder(configuredLimit.endpoint, slots);
		if (order.some((slot, index) => slot !== this.#order[index]) || order.length !== this.#order.length) {
			this.#gains.push({version, previousOrder: this.#order, quarantineEndsAt: undefined});
		}

		this.maximumRequestTimeoutMs = Math.max(this.maximumRequestTimeoutMs, configuredLimit.requestTimeoutMilliseconds);
		this.#configuredLimit = configuredLimit;
		this.#order = order;
		this.removedAt = undefined;
		this.#updateOwnUnits();
	}

	/** Counts all units as gained by a version. Earlier gains are covered by this one. */
	markAllGained(version: number): void {
		this.#gains = [{version, previousOrder: undefined, quarantineEndsAt: undefined}];
	}

	/** Starts the countdown of gains up to a version that a majority reports. */
	startQuarantineCountdown(version: number, quarantineEndsAt: Milliseconds): void {
		for (const gain of this.#gains) {
			if (gain.version <= version) {
				gain.quarantineEndsAt ??= quarantineEndsAt;
			}
		}
	}

	/** Moves the end of gains forward whose former owners could not start requests any more at `idleAt`, when the endpoint was seen idle. */
	shortenQuarantine(idleAt: Milliseconds, maximumRunMs: Milliseconds, quarantineEndsAt: Milliseconds): void {
		for (const gain of this.#gains) {
			if (gain.quarantineEndsAt !== undefined && idleAt >= gain.quarantineEndsAt - maximumRunMs) {
				gain.quarantineEndsAt = Math.min(gain.quarantineEndsAt, quarantineEndsAt);
			}
		}
	}

	/** Ends the gains that were made by a version or before it. */
	removeGainsUpTo(version: number): void {
		this.#gains = this.#gains.filter(gain => gain.version > version);
	}

	removeExpiredGains(now: Milliseconds): void {
		this.#gains = this.#gains.filter(({quarantineEndsAt: until}) => until === undefined || until > now);
	}

	owns(unit: number): boolean {
		return ownerOf(this.#order, unit) === this.slot;
	}

	/** Whether an own unit may still be in use by the slot that owned it before a configuration change. */
	isGainQuarantined(unit: number, now: Milliseconds): boolean {
		return this.#gains.some(({previousOrder, quarantineEndsAt: until}) =>
			(until === undefined || until > now)
			&& (previousOrder === undefined || ownerOf(previousOrder, unit) !== this.slot));
	}

	/** Own units under the present limit that are neither used, nor lent, nor gained a short while ago. */
	freeOwnUnits(now: Milliseconds): number[] {
		const {limit} = this;
		return this.#ownUnits.filter(unit =>
			unit < limit && !this.reservedUnits.has(unit) && !this.lentUnits.has(unit) && !this.borrowedUnits.has(unit) && !this.isGainQuarantined(unit, now));
	}

	#updateOwnUnits(): void {
		this.#ownUnits = Array.from({length: this.#configuredLimit.units}, (_, unit) => unit).filter(unit => this.owns(unit));
	}
}
