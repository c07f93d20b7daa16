import type {Milliseconds} from '../../shared/clock.js';
import type {BorrowRequest, LoanGrant} from './types.js';

/** A loan as its borrower sees it. */
export type BorrowedLoan = {
	readonly lender: string;
	readonly grant: LoanGrant;
	/** A request may start on the units only before this time: loan duration after the borrow request was sent. */
	readonly expiresAt: Milliseconds;
	renewedAt: Milliseconds;
	/** Reservations that hold units of the loan. */
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

/** The borrow requests that one slot has sent and the loans that it holds. */
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

	/** Records a sent borrow request. A repetition keeps the first time, because a grant does not say which of the two it answers. */
	addRequest(borrow: OutstandingBorrowRequest): void {
		const key = borrowKey(borrow.lender, borrow.request.borrowId);
		if (!this.#outstandingRequests.has(key)) {
			this.#outstandingRequests.set(key, borrow);
		}
	}

	/** Takes out the borrow request that a grant answers. */
	takeRequest(lender: string, borrowId: string): OutstandingBorrowRequest | undefined {
		const key = borrowKey(lender, borrowId);
		const borrow = this.#outstandingRequests.get(key);
		this.#outstandingRequests.delete(key);
		return borrow;
	}

	/** Takes out the requests that match. */
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

	/** Loans without any reservation that match. */
	findIdle(matches: (loan: BorrowedLoan) => boolean): BorrowedLoan[] {
		return [...this.#loans.values()].filter(loan => loan.reservations.size === 0 && matches(loan));
	}

	/** Loans in use that were last renewed at or before the given time. */
	findDueForRenewal(renewedBefore: Milliseconds): BorrowedLoan[] {
		return [...this.#loans.values()].filter(loan => loan.reservations.size > 0 && loan.renewedAt <= renewedBefore);
	}
}
