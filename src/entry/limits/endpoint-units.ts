import type {Milliseconds} from '../../shared/clock.js';
import {ownerOf, slotOrder} from './slot-order.js';
import type {EndpointLimit} from './types.js';

/** Units that this slot gained from other slots through a configuration change. They are in quarantine because the former owners may still use them. */
export type UnitGain = {
	readonly version: number;
	/** The slot order before the change, or `undefined` if it is unknown; then all units count as gained. */
	readonly previousOrder: readonly string[] | undefined;
	/** The end of the quarantine, or `undefined` while no majority has reported the version. */
	quarantineEndsAt: Milliseconds | undefined;
};

/** The units of one endpoint from the perspective of one slot: who owns them, and which of them this slot has reserved, lent or borrowed. */
export class EndpointUnits {
	static create(slot: string, configuredLimit: EndpointLimit, slots: readonly string[]): EndpointUnits {
		return new EndpointUnits(slot, configuredLimit, slots);
	}

	/** Id of the reservation of each reserved unit, own or borrowed. */
	readonly reservedUnits = new Map<number, string>();
	/** Id of the loan of each own unit that is lent. */
	readonly lentUnits = new Map<number, string>();
	/** Id of the loan of each borrowed unit. */
	readonly borrowedUnits = new Map<number, string>();
	/** When the endpoint was removed from the configuration, or `undefined` while it is configured. */
	removedAt: Milliseconds | undefined;
	/** When the quarantine of a new incarnation ends early because the endpoint was observed idle; otherwise `undefined`. */
	idleQuarantineEndsAt: Milliseconds | undefined;
	/** Units above the limit on which requests of other slots are in flight. */
	unitsAboveLimitOfPeers = 0;
	/** The longest request timeout that the endpoint has had: requests from before a configuration change may still run that long. */
	maximumRequestTimeoutMs: Milliseconds;
	#configuredLimit: EndpointLimit;
	#order: readonly string[];
	/** `undefined` until the phase is known; until then the endpoint counts as cold. */
	#phaseLimit: number | undefined;
	#ownUnits: readonly number[] = [];
	#gains: UnitGain[] = [];

	private constructor(private readonly slot: string, configuredLimit: EndpointLimit, slots: readonly string[]) {
		this.#configuredLimit = configuredLimit;
		this.maximumRequestTimeoutMs = configuredLimit.requestTimeoutMilliseconds;
		this.#order = slotOrder(configuredLimit.endpoint, slots);
		this.#updateOwnUnits();
	}

	get configuredLimit(): EndpointLimit {
		return this.#configuredLimit;
	}

	/** The slots in rendezvous-hashing order. */
	get order(): readonly string[] {
		return this.#order;
	}

	/** Units that may be in use in the current phase; 0 for an endpoint that was removed from the configuration. */
	get limit(): number {
		return this.removedAt === undefined ? Math.min(this.#phaseLimit ?? this.#configuredLimit.coldUnits, this.#configuredLimit.units) : 0;
	}

	/** Units of the full limit that this slot owns, ascending. */
	get ownUnits(): readonly number[] {
		return this.#ownUnits;
	}

	/** The number of reserved and lent units, including those above the current limit. */
	get unitsInUse(): number {
		return this.reservedUnits.size + this.lentUnits.size;
	}

	get isIdle(): boolean {
		return this.unitsInUse === 0 && this.borrowedUnits.size === 0;
	}

	setPhaseLimit(limit: number): void {
		this.#phaseLimit = limit;
	}

	/** Applies a configuration. Units that another slot owned before are in quarantine first. */
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

	/** Marks all units as gained by a version. This replaces earlier gains. */
	markAllGained(version: number): void {
		this.#gains = [{version, previousOrder: undefined, quarantineEndsAt: undefined}];
	}

	/** Sets the end of the quarantine of gains up to a version that a majority has reported. */
	startQuarantineCountdown(version: number, quarantineEndsAt: Milliseconds): void {
		for (const gain of this.#gains) {
			if (gain.version <= version) {
				gain.quarantineEndsAt ??= quarantineEndsAt;
			}
		}
	}

	/** Shortens the quarantine of gains whose former owners could no longer start requests at `idleAt`, when the endpoint was observed idle. */
	shortenQuarantine(idleAt: Milliseconds, maximumRunMs: Milliseconds, quarantineEndsAt: Milliseconds): void {
		for (const gain of this.#gains) {
			if (gain.quarantineEndsAt !== undefined && idleAt >= gain.quarantineEndsAt - maximumRunMs) {
				gain.quarantineEndsAt = Math.min(gain.quarantineEndsAt, quarantineEndsAt);
			}
		}
	}

	/** Removes the gains of a version and of earlier versions. */
	removeGainsUpTo(version: number): void {
		this.#gains = this.#gains.filter(gain => gain.version > version);
	}

	removeExpiredGains(now: Milliseconds): void {
		this.#gains = this.#gains.filter(({quarantineEndsAt}) => quarantineEndsAt === undefined || quarantineEndsAt > now);
	}

	owns(unit: number): boolean {
		return ownerOf(this.#order, unit) === this.slot;
	}

	/** Whether an own unit may still be in use by the slot that owned it before a configuration change. */
	isGainQuarantined(unit: number, now: Milliseconds): boolean {
		return this.#gains.some(({previousOrder, quarantineEndsAt}) =>
			(quarantineEndsAt === undefined || quarantineEndsAt > now)
			&& (previousOrder === undefined || ownerOf(previousOrder, unit) !== this.slot));
	}

	/** Own units within the current limit that are not reserved, lent, borrowed or in quarantine after a gain. */
	freeOwnUnits(now: Milliseconds): number[] {
		const {limit} = this;
		return this.#ownUnits.filter(unit =>
			unit < limit && !this.reservedUnits.has(unit) && !this.lentUnits.has(unit) && !this.borrowedUnits.has(unit) && !this.isGainQuarantined(unit, now));
	}

	#updateOwnUnits(): void {
		this.#ownUnits = Array.from({length: this.#configuredLimit.units}, (_, unit) => unit).filter(unit => this.owns(unit));
	}
}
