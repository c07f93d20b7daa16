import type {Milliseconds} from '../../shared/clock.js';
import type {BorrowRequest, LoanGrant} from './types.js';

/** A loan from the perspective of the borrower. */
export type BorrowedLoan = {
	readonly lender: string;
	readonly grant: LoanGrant;
	/** Requests may start on the units only before this time, which is one loan duration after the borrow request was sent. */
	readonly expiresAt: Milliseconds;
	renewedAt: Milliseconds;
	/** Ids of the reservations that use units of the loan. */
	readonly reservations: Set<string>;
};

export type OutstandingBorrowRequest = {
	readonly lender: string;
	readonly request: BorrowRequest;
	readonly loanExpiresAt: Milliseconds;
};

function borrowKey(lender: string, borrowId: string): string {
	return `${lender}\n${borrowId}`;
}

/** Borrow requests that one slot has sent, and the loans that it has received. */
export class BorrowedLoans {
	static create(): BorrowedLoans {
		return new BorrowedLoans();
	}

	readonly #outstandingRequests = new Map<string, OutstandingBorrowRequest>();
	readonly #loans = new Map<string, BorrowedLoan>();

	private constructor() {}

	get size(): number {
		return this.#loans.size;
	}

	get outstandingCount(): number {
		return this.#outstandingRequests.size;
	}

	/** Records a sent borrow request. A request that is sent again keeps the first expiry time, because a grant does not say which of the two messages it replies to. */
	addRequest(borrow: OutstandingBorrowRequest): void {
		const key = borrowKey(borrow.lender, borrow.request.borrowId);
		if (!this.#outstandingRequests.has(key)) {
			this.#outstandingRequests.set(key, borrow);
		}
	}

	/** Removes and returns the borrow request that a grant replies to. */
	takeRequest(lender: string, borrowId: string): OutstandingBorrowRequest | undefined {
		const key = borrowKey(lender, borrowId);
		const borrow = this.#outstandingRequests.get(key);
		this.#outstandingRequests.delete(key);
		return borrow;
	}

	/** Removes and returns the matching borrow requests. */
	takeRequests(matches: (borrow: OutstandingBorrowRequest) => boolean): OutstandingBorrowRequest[] {
		const taken = [...this.#outstandingRequests.values()].filter(borrow => matches(borrow));
		for (const {lender, request} of taken) {
			this.#outstandingRequests.delete(borrowKey(lender, request.borrowId));
		}

		return taken;
	}

	add(loan: BorrowedLoan): void {
		this.#loans.set(loan.grant.loanId, loan);
	}

	get(loanId: string): BorrowedLoan | undefined {
		return this.#loans.get(loanId);
	}

	remove(loanId: string): void {
		this.#loans.delete(loanId);
	}

	/** The matching loans that no reservation uses. */
	findIdle(matches: (loan: BorrowedLoan) => boolean): BorrowedLoan[] {
		return [...this.#loans.values()].filter(loan => loan.reservations.size === 0 && matches(loan));
	}

	/** The loans in use that were last renewed at or before the given time. */
	findDueForRenewal(latestRenewalAt: Milliseconds): BorrowedLoan[] {
		return [...this.#loans.values()].filter(loan => loan.reservations.size > 0 && loan.renewedAt <= latestRenewalAt);
	}
}
