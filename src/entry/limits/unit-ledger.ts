import {randomUUID} from 'node:crypto';
import type {Clock, Milliseconds} from '../../shared/clock.js';
import type {Invariants} from '../../shared/invariants.js';
import {BorrowedLoans, type BorrowedLoan} from './borrowed-loans.js';
import type {EndpointUnits} from './endpoint-units.js';
import {LentLoans, type LentLoan} from './lent-loans.js';
import {Ownership, type EndQuarantineOptions} from './ownership.js';
import {Reservations, type HeldReservation} from './reservations.js';
import type {
	BorrowRequest, EndpointUnitCounts, LedgerMessage, LoanGrant, Reservation, UnitLayout, UnitOwner,
} from './types.js';
import {UnconfirmedMessages} from './unconfirmed-messages.js';

export type UnitLedgerOptions = {
	readonly slot: string;
	readonly clock: Clock;
	readonly invariants: Invariants;
	/** Part of every id, so that a message to a predecessor of this process never refers to a loan of this process. Default: a random UUID. */
	readonly incarnation?: string;
};

export type ReservationRequest = {
	readonly endpoint: string;
	readonly units: number;
	readonly requestId: string;
};

export type ReleaseOptions = {
	/** Whether the request may still be running at the endpoint, because its end was not observed. Its units then stay in use until the request timeout. Default: `false`. */
	readonly mayStillRun?: boolean;
};

/**
Tracks the units of all endpoints that one slot owns, lends and borrows (property G3).

It does no I/O: the caller sends the {@link LedgerMessage}s that methods return. A new layout must be applied before the lease that was acquired with it.
*/
export class UnitLedger {
	static create(options: UnitLedgerOptions): UnitLedger {
		return new UnitLedger(options);
	}

	readonly #slot: string;
	readonly #clock: Clock;
	readonly #invariants: Invariants;
	readonly #incarnation: string;
	readonly #ownership: Ownership;
	readonly #reservations = Reservations.create();
	readonly #lentLoans = LentLoans.create();
	readonly #borrowedLoans = BorrowedLoans.create();
	readonly #unconfirmedMessages = UnconfirmedMessages.create();
	#lastIdNumber = 0;

	private constructor({slot, clock, invariants, incarnation = randomUUID()}: UnitLedgerOptions) {
		this.#slot = slot;
		this.#clock = clock;
		this.#invariants = invariants;
		this.#incarnation = incarnation;
		this.#ownership = Ownership.create({slot, clock});
	}

	/**
	Applies the layout of the configuration in force. Layouts that are not newer are ignored.

	If this slot has had no lease for longer than the loan duration, other slots may have used its units under a version that it never saw, so all its units count as gained.
	*/
	applyLayout(layout: UnitLayout): void {
		this.#ownership.applyLayout(layout);
	}

	/**
	Updates the state of the entry lease.

	@param heldUntil end of the lease, or `undefined` if it is not held
	@param firstHeldAt start of the current tenure; a change means that another incarnation may have held the slot in between, so the quarantine starts again
	*/
	setLease(heldUntil: Milliseconds | undefined, firstHeldAt: Milliseconds | undefined): void {
		this.#ownership.setLease(heldUntil, firstHeldAt);
	}

	/** Ends the quarantine of a new incarnation, because its predecessor shut down cleanly. */
	endQuarantine(options: EndQuarantineOptions = {}): void {
		this.#ownership.endQuarantine(options);
	}

	/**
	Records that a majority of the lease group has adopted this configuration version or a later one.

	Without such a majority for the version in force, own units are suspended after two lease durations.
	*/
	observeMajorityVersion(version: number): void {
		this.#ownership.observeMajorityVersion(version);
	}

	/**
	Ends quarantines early if the endpoint is idle at a time when no former owner could start a request any more.

	@param inFlight number of requests in flight at the endpoint according to the load report
	@param takenAt the earliest time at which the endpoint may have created the report
	*/
	observeInFlight(endpoint: string, inFlight: number, takenAt: Milliseconds): void {
		if (inFlight === 0) {
			this.#ownership.observeIdle(endpoint, takenAt);
		}
	}

	/** The number of loans that borrowers have not returned. */
	get lentLoanCount(): number {
		return this.#lentLoans.size;
	}

	/** Whether this slot owns any of the endpoint's units. */
	ownsUnits(endpoint: string): boolean {
		return (this.#ownership.unitsOf(endpoint)?.ownUnits.length ?? 0) > 0;
	}

	/** Sets the unit limit of the endpoint's current phase. */
	setPhaseLimit(endpoint: string, limit: number): void {
		this.#ownership.unitsOf(endpoint)?.setPhaseLimit(limit);
	}

	/** Sets the number of units above the limit on which requests of other slots are in flight, as these slots report it. */
	setUnitsAboveLimitOfPeers(endpoint: string, count: number): void {
		const units = this.#ownership.unitsOf(endpoint);
		if (units !== undefined) {
			units.unitsAboveLimitOfPeers = count;
		}
	}

	/** The number of units above the limit on which requests of this slot are in flight since before the limit was lowered. */
	unitsAboveLimit(endpoint: string): number {
		const units = this.#ownership.unitsOf(endpoint);
		return units === undefined ? 0 : this.#reservations.inFlightUnitsFrom(units, units.limit);
	}

	/** The number of own and borrowed units that can be reserved now. */
	availableUnits(endpoint: string): number {
		const units = this.#ownership.unitsOf(endpoint);
		if (units === undefined || !this.#ownership.isLeaseHeld) {
			return 0;
		}

		const free = this.#freeBorrowedUnits(units).length + this.#freeOwnUnits(units).length;
		return Math.max(0, Math.min(free, this.#limitBesidePeers(units) - units.unitsInUse));
	}

	/** The units needed for a number of prompt and output tokens, or `undefined` if they exceed the endpoint's full limit or the endpoint is not configured. */
	unitsNeeded(endpoint: string, tokens: number): number | undefined {
		const units = this.#ownership.unitsOf(endpoint);
		if (units === undefined || units.removedAt !== undefined) {
			return undefined;
		}

		const needed = Math.max(1, Math.ceil(tokens / units.configuredLimit.unitTokens));
		return needed <= units.configuredLimit.units ? needed : undefined;
	}

	/** Reserves all of the units or none. Borrowed units are used first, because they expire. */
	reserve({endpoint, units: count, requestId}: ReservationRequest): Reservation | undefined {
		if (!(count > 0) || this.availableUnits(endpoint) < count) {
			return undefined;
		}

		const units = this.#ownership.unitsOf(endpoint)!;
		const borrowed = this.#freeBorrowedUnits(units).slice(0, count);
		const own = this.#freeOwnUnits(units).slice(0, count - borrowed.length);
		const reservation: Reservation = {
			reservationId: this.#nextId(), requestId, endpoint, units: [...borrowed.map(({unit}) => unit), ...own],
		};
		this.#addReservation(units, reservation, new Map(borrowed.map(({unit, loan}) => [unit, loan.grant.loanId])));
		return reservation;
	}

	/** Whether the request may be written now. Must be called in the same synchronous step as the write. */
	isUsable(reservationId: string): boolean {
		const held = this.#reservations.get(reservationId);
		if (held === undefined || held.startedAt !== undefined || !this.#ownership.isLeaseHeld) {
			return false;
		}

		const units = this.#ownership.unitsOf(held.reservation.endpoint);
		return units !== undefined
			&& this.#reservations.startedUnits(units) + units.lentUnits.size + held.reservation.units.length <= this.#limitBesidePeers(units)
			&& held.reservation.units.every(unit => this.#isUnitUsable(units, unit, held));
	}

	/**
	Starts a reservation if its request may be written now. Must be called in the same synchronous step as the write.

	One call decides and records, because the lease may end between two calls.

	@returns false when the request must not be written; nothing has changed then
	*/
	tryStart(reservationId: string): boolean {
		const held = this.isUsable(reservationId) ? this.#reservations.get(reservationId) : undefined;
		if (held === undefined) {
			return false;
		}

		held.startedAt = this.#clock.now();
		return true;
	}

	/** Whether the request of a reservation has been written. */
	isStarted(reservationId: string): boolean {
		return this.#reservations.get(reservationId)?.startedAt !== undefined;
	}

	/** Releases the units of a reservation. Loans that no reservation uses any longer are returned to their lenders. */
	release(reservationId: string, {mayStillRun = false}: ReleaseOptions = {}): LedgerMessage[] {
		const held = this.#reservations.get(reservationId);
		if (held === undefined) {
			return [];
		}

		const units = this.#ownership.unitsOf(held.reservation.endpoint)!;
		if (mayStillRun && held.startedAt !== undefined) {
			held.assumedEndedAt = held.startedAt + units.maximumRequestTimeoutMs;
			return [];
		}

		return this.#removeReservation(units, held);
	}

	/** Creates a borrow request with a globally unique id. Each attempt needs a new one: a grant is valid for one loan duration after its request was first sent. */
	createBorrowRequest(request: Omit<BorrowRequest, 'borrowId'>): BorrowRequest {
		return {...request, borrowId: this.#nextId()};
	}

	/** Lends all of the requested units or none. A request that is received again gets the same grant. */
	lend(borrower: string, request: BorrowRequest): LoanGrant | undefined {
		const existing = this.#lentLoans.findByRequest(borrower, request);
		if (existing !== undefined) {
			return existing.grant;
		}

		const units = this.#ownership.unitsOf(request.endpoint);
		if (units === undefined || !this.#mayLend(borrower) || !(request.units > 0)) {
			return undefined;
		}

		const free = this.#freeOwnUnits(units);
		if (Math.min(free.length, this.#limitBesidePeers(units) - units.unitsInUse) < request.units) {
			return undefined;
		}

		return this.#grantLoan(borrower, request, units, free.slice(0, request.units));
	}

	/** Records that a borrow request is being sent. The loan duration counts from now. */
	recordBorrowRequest(request: BorrowRequest, lender: string): void {
		this.#borrowedLoans.addRequest({lender, request, loanExpiresAt: this.#clock.now() + this.#ownership.loanMilliseconds});
	}

	/** Cancels a borrow request at every lender that it was sent to and that has not granted it. */
	cancelBorrow(borrowId: string): LedgerMessage[] {
		return this.#createCancellations(this.#borrowedLoans.takeRequests(({request}) => request.borrowId === borrowId));
	}

	/** Accepts a grant. A grant that matches no outstanding request of this process, or that arrives too late, is returned. */
	receiveLoan(lender: string, grant: LoanGrant): LedgerMessage[] {
		if (this.#borrowedLoans.get(grant.loanId) !== undefined) {
			return [];
		}

		const borrow = this.#borrowedLoans.takeRequest(lender, grant.borrowId);
		const units = this.#ownership.unitsOf(grant.endpoint);
		if (borrow?.request.endpoint !== grant.endpoint || units === undefined || this.#clock.now() >= borrow.loanExpiresAt) {
			return this.#rejectGrant(lender, grant);
		}

		if (!this.#areUnitsUnassigned(units, grant)) {
			return this.#createReturn(lender, grant.loanId);
		}

		this.#borrowedLoans.add({
			lender, grant, expiresAt: borrow.loanExpiresAt, renewedAt: this.#clock.now(), reservations: new Set(),
		});
		for (const unit of grant.units) {
			units.borrowedUnits.set(unit, grant.loanId);
		}

		return [];
	}

	/** Extends loans on which requests of the borrower are still in flight, so that the units stay in use even beyond the request timeout. */
	receiveRenewal(borrower: string, loanIds: readonly string[]): void {
		const reclaimableAt = this.#clock.now() + this.#ownership.renewalExtensionMs();
		for (const loanId of loanIds) {
			const loan = this.#lentLoans.findByBorrower(borrower, loanId);
			if (loan !== undefined) {
				loan.reclaimableAt = Math.max(loan.reclaimableAt, reclaimableAt);
			}
		}
	}

	/** Reclaims lent units. Unknown loans are ignored, so the message may be received more than once. */
	receiveReturn(borrower: string, loanId: string): void {
		this.#endLoan(this.#lentLoans.findByBorrower(borrower, loanId));
	}

	/** Reclaims the units of a loan whose borrower has not used them and never will, because it cancelled the request. */
	receiveCancel(borrower: string, borrowId: string): void {
		this.#endLoan(this.#lentLoans.findByRequest(borrower, {borrowId}));
	}

	/** Returns borrowed units that no reservation uses to their lenders, for all endpoints or for one. */
	returnIdleUnits(endpoint?: string): LedgerMessage[] {
		return this.#borrowedLoans
			.findIdle(({grant}) => endpoint === undefined || grant.endpoint === endpoint)
			.flatMap(loan => this.#returnLoan(loan));
	}

	/** The returns and cancellations that may have been lost with the previous connection to a peer. */
	messagesToResend(peer: string): LedgerMessage[] {
		return this.#unconfirmedMessages.messagesToResend(peer, this.#clock.now());
	}

	/** Ends expired loans, borrow requests and reservations, including reservations that did not start before their loan expired, and renews loans in use. Must be called at least four times per loan duration. */
	tick(): LedgerMessage[] {
		const now = this.#clock.now();
		for (const loan of this.#lentLoans.findReclaimable(now)) {
			this.#endLoan(loan);
		}

		const messages = this.#reservations
			.findMatching(held => (held.assumedEndedAt !== undefined && held.assumedEndedAt <= now) || this.#hasMissedStart(held, now))
			.flatMap(held => this.#removeReservation(this.#ownership.unitsOf(held.reservation.endpoint)!, held));
		messages.push(
			...this.#borrowedLoans.findIdle(({expiresAt}) => expiresAt <= now).flatMap(loan => this.#returnLoan(loan)),
			...this.#createCancellations(this.#borrowedLoans.takeRequests(({loanExpiresAt}) => loanExpiresAt <= now)),
			...this.#createRenewals(now),
		);
		this.#unconfirmedMessages.removeExpired(now);
		this.#ownership.removeExpired(now);
		return messages;
	}

	/** The slots in rendezvous-hashing order with the number of units that each owns within the current limit. */
	owners(endpoint: string): UnitOwner[] {
		return this.#ownership.owners(endpoint);
	}

	/**
	Whether this incarnation could shut down without leaving anything that a successor has to wait for: no reservation, loan, quarantine or version without a majority.

	Quarantine counts, because requests of an earlier predecessor may still be running.
	*/
	isClean(): boolean {
		const isUnused = this.#reservations.size === 0 && this.#lentLoans.size === 0 && this.#borrowedLoans.size === 0 && this.#borrowedLoans.outstandingCount === 0;
		return isUnused && this.#ownership.isQuarantineFree;
	}

	/** Unit counts for the status report and for metrics. */
	snapshot(): EndpointUnitCounts[] {
		return this.#ownership.configuredEndpoints().map(units => this.#countUnits(units));
	}

	get #idPrefix(): string {
		return `${this.#slot}.${this.#incarnation}.`;
	}

	#nextId(): string {
		this.#lastIdNumber++;
		return `${this.#idPrefix}${this.#lastIdNumber}`;
	}

	#limitBesidePeers(units: EndpointUnits): number {
		return units.limit - units.unitsAboveLimitOfPeers;
	}

	/** The first unit that may not be used. Requests above the limit take the place of the last units within it, so that all slots leave the same ones free. */
	#usableLimit(units: EndpointUnits): number {
		return this.#limitBesidePeers(units) - this.#reservations.inFlightUnitsFrom(units, units.limit);
	}

	#freeOwnUnits(units: EndpointUnits): number[] {
		const usableLimit = this.#usableLimit(units);
		return this.#ownership.freeOwnUnits(units).filter(unit => unit < usableLimit);
	}

	#freeBorrowedUnits(units: EndpointUnits): Array<{unit: number; loan: BorrowedLoan}> {
		const now = this.#clock.now();
		const usableLimit = this.#usableLimit(units);
		const free: Array<{unit: number; loan: BorrowedLoan}> = [];
		for (const [unit, loanId] of units.borrowedUnits) {
			const loan = this.#borrowedLoans.get(loanId)!;
			if (unit < usableLimit && now < loan.expiresAt && !units.reservedUnits.has(unit)) {
				free.push({unit, loan});
			}
		}

		return free.toSorted((left, right) => left.loan.expiresAt - right.loan.expiresAt || left.unit - right.unit);
	}

	#addReservation(units: EndpointUnits, reservation: Reservation, loanIdByUnit: ReadonlyMap<number, string>): void {
		for (const unit of reservation.units) {
			this.#invariants.check('G3', !units.reservedUnits.has(unit) && !units.lentUnits.has(unit), () => `unit ${unit} of ${reservation.endpoint} was reserved twice`);
		}

		for (const loanId of loanIdByUnit.values()) {
			this.#borrowedLoans.get(loanId)!.reservations.add(reservation.reservationId);
		}

		this.#reservations.add(units, {
			reservation, loanIdByUnit, startedAt: undefined, assumedEndedAt: undefined,
		});
	}

	#isUnitUsable(units: EndpointUnits, unit: number, {reservation, loanIdByUnit}: HeldReservation): boolean {
		if (unit >= this.#usableLimit(units) || units.reservedUnits.get(unit) !== reservation.reservationId) {
			return false;
		}

		const loanId = loanIdByUnit.get(unit);
		if (loanId === undefined) {
			return units.owns(unit) && !units.lentUnits.has(unit) && !this.#ownership.isQuarantined(units, unit);
		}

		const loan = this.#borrowedLoans.get(loanId);
		return loan !== undefined && this.#clock.now() < loan.expiresAt;
	}

	#removeReservation(units: EndpointUnits, held: HeldReservation): LedgerMessage[] {
		this.#reservations.remove(units, held);
		const {reservation, loanIdByUnit} = held;
		return [...new Set(loanIdByUnit.values())].flatMap(loanId => {
			const loan = this.#borrowedLoans.get(loanId)!;
			loan.reservations.delete(reservation.reservationId);
			return loan.reservations.size === 0 ? this.#returnLoan(loan) : [];
		});
	}

	#mayLend(borrower: string): boolean {
		return borrower !== this.#slot && this.#ownership.isLeaseHeld && this.#ownership.hasSlot(borrower);
	}

	#grantLoan(borrower: string, request: BorrowRequest, units: EndpointUnits, grantedUnits: readonly number[]): LoanGrant {
		const grant: LoanGrant = {
			loanId: this.#nextId(), borrowId: request.borrowId, endpoint: request.endpoint, units: grantedUnits,
		};
		for (const unit of grantedUnits) {
			const isFree = !units.reservedUnits.has(unit) && !units.lentUnits.has(unit) && !this.#ownership.isQuarantined(units, unit);
			this.#invariants.check('G3', isFree, () => `unit ${unit} of ${request.endpoint} was lent while in use`);
			units.lentUnits.set(unit, grant.loanId);
		}

		this.#lentLoans.add({borrower, grant, reclaimableAt: this.#clock.now() + this.#ownership.maximumUseMs(units)});
		return grant;
	}

	#endLoan(loan: LentLoan | undefined): void {
		if (loan === undefined) {
			return;
		}

		this.#lentLoans.remove(loan);
		const {lentUnits} = this.#ownership.unitsOf(loan.grant.endpoint)!;
		for (const unit of loan.grant.units) {
			lentUnits.delete(unit);
		}
	}

	/** Whether none of the granted units is reserved, borrowed or lent here. If one of them is in use, two owners have lent it. */
	#areUnitsUnassigned(units: EndpointUnits, grant: LoanGrant): boolean {
		const assigned = grant.units.filter(unit => units.reservedUnits.has(unit) || units.borrowedUnits.has(unit) || units.lentUnits.has(unit));
		this.#invariants.check('G3', !assigned.some(unit => this.#isInUse(units, unit)), () => `loan ${grant.loanId} covers units of ${grant.endpoint} that are in use here`);
		return assigned.length === 0;
	}

	/** Whether a request is in flight on the unit or may still start on it. */
	#isInUse(units: EndpointUnits, unit: number): boolean {
		const held = this.#reservations.get(units.reservedUnits.get(unit));
		const loan = this.#borrowedLoans.get(units.borrowedUnits.get(unit) ?? '');
		return held?.startedAt !== undefined || units.lentUnits.has(unit) || (loan !== undefined && this.#clock.now() < loan.expiresAt);
	}

	/** Whether the request of a reservation has not started and can no longer start, because a loan has expired. */
	#hasMissedStart({startedAt, loanIdByUnit}: HeldReservation, now: Milliseconds): boolean {
		return startedAt === undefined && [...loanIdByUnit.values()].some(loanId => this.#borrowedLoans.get(loanId)!.expiresAt <= now);
	}

	#returnLoan({lender, grant}: BorrowedLoan): LedgerMessage[] {
		this.#borrowedLoans.remove(grant.loanId);
		const {borrowedUnits} = this.#ownership.unitsOf(grant.endpoint)!;
		for (const unit of grant.units) {
			borrowedUnits.delete(unit);
		}

		return this.#createReturn(lender, grant.loanId);
	}

	/** Returns an unused grant. A grant to a predecessor is not returned, because a request of the predecessor may be running on its units. */
	#rejectGrant(lender: string, {borrowId, loanId}: LoanGrant): LedgerMessage[] {
		return borrowId.startsWith(this.#idPrefix) ? this.#createReturn(lender, loanId) : [];
	}

	#createReturn(lender: string, loanId: string): LedgerMessage[] {
		return [this.#trackUnconfirmed({to: lender, message: {kind: 'loan-return', loanId}})];
	}

	#createCancellations(borrows: ReadonlyArray<{lender: string; request: BorrowRequest}>): LedgerMessage[] {
		return borrows.map(({lender, request}) => this.#trackUnconfirmed({to: lender, message: {kind: 'borrow-cancel', borrowId: request.borrowId}}));
	}

	#trackUnconfirmed(message: LedgerMessage): LedgerMessage {
		this.#unconfirmedMessages.add(message, this.#clock.now());
		return message;
	}

	#createRenewals(now: Milliseconds): LedgerMessage[] {
		const byLender = new Map<string, string[]>();
		for (const loan of this.#borrowedLoans.findDueForRenewal(now - (this.#ownership.loanMilliseconds / 2))) {
			loan.renewedAt = now;
			byLender.set(loan.lender, [...byLender.get(loan.lender) ?? [], loan.grant.loanId]);
		}

		return [...byLender].map(([to, loanIds]) => ({to, message: {kind: 'loan-renew', loanIds}}));
	}

	#countUnits(units: EndpointUnits): EndpointUnitCounts {
		const started = this.#reservations.startedUnits(units);
		return {
			endpoint: units.configuredLimit.endpoint,
			limit: units.limit,
			owned: units.ownUnits.length,
			available: this.availableUnits(units.configuredLimit.endpoint),
			reserved: units.reservedUnits.size - started,
			started,
			lent: units.lentUnits.size,
			borrowed: units.borrowedUnits.size,
			quarantined: units.ownUnits.filter(unit => this.#ownership.isQuarantined(units, unit)).length,
		};
	}
}
