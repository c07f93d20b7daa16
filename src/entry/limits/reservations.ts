import type {Milliseconds} from '../../shared/clock.js';
import type {EndpointUnits} from './endpoint-units.js';
import type {Reservation} from './types.js';

/** A reservation and the state of its request. */
export type HeldReservation = {
	readonly reservation: Reservation;
	/** The loan that each borrowed unit belongs to; own units have no entry. */
	readonly loanIdByUnit: ReadonlyMap<number, string>;
	startedAt: Milliseconds | undefined;
	/** The time from which a request whose end was not observed can no longer run; `undefined` while its end is awaited. */
	assumedEndedAt: Milliseconds | undefined;
};

/** The reservations of one process. */
export class Reservations {
	static create(): Reservations {
		return new Reservations();
	}

	readonly #reservations = new Map<string, HeldReservation>();

	private constructor() {}

	get size(): number {
		return this.#reservations.size;
	}

	add(units: EndpointUnits, held: HeldReservation): void {
		this.#reservations.set(held.reservation.reservationId, held);
		for (const unit of held.reservation.units) {
			units.reservedUnits.set(unit, held.reservation.reservationId);
		}
	}

	get(reservationId: string | undefined): HeldReservation | undefined {
		return reservationId === undefined ? undefined : this.#reservations.get(reservationId);
	}

	remove(units: EndpointUnits, {reservation}: HeldReservation): void {
		this.#reservations.delete(reservation.reservationId);
		for (const unit of reservation.units) {
			units.reservedUnits.delete(unit);
		}
	}

	findMatching(matches: (held: HeldReservation) => boolean): HeldReservation[] {
		return [...this.#reservations.values()].filter(held => matches(held));
	}

	/** The number of units from a given one on whose requests have started and not ended. Requests whose end was not observed don't count. */
	inFlightUnitsFrom(units: EndpointUnits, firstUnit: number): number {
		let inFlight = 0;
		for (const [unit, reservationId] of units.reservedUnits) {
			const {startedAt, assumedEndedAt} = this.#reservations.get(reservationId)!;
			inFlight += unit >= firstUnit && startedAt !== undefined && assumedEndedAt === undefined ? 1 : 0;
		}

		return inFlight;
	}

	/** The number of units of one endpoint on which requests have started. */
	startedUnits(units: EndpointUnits): number {
		let started = 0;
		for (const reservationId of units.reservedUnits.values()) {
			started += this.#reservations.get(reservationId)!.startedAt === undefined ? 0 : 1;
		}

		return started;
	}
}
