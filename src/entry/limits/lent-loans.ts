import type {Milliseconds} from '../../shared/clock.js';
import type {BorrowRequest, LoanGrant} from './types.js';

/** A loan from the perspective of the lender. */
export type LentLoan = {
	readonly borrower: string;
	readonly grant: LoanGrant;
	/** The units count as in use until then, unless the borrower returns them earlier. */
	reclaimableAt: Milliseconds;
};

function borrowKey(borrower: string, borrowId: string): string {
	return `${borrower}\n${borrowId}`;
}

/** Loans that one slot has granted and whose units may still be in use. */
export class LentLoans {
	static create(): LentLoans {
		return new LentLoans();
	}

	readonly #loansById = new Map<string, LentLoan>();
	readonly #loansByBorrowKey = new Map<string, LentLoan>();

	private constructor() {}

	get size(): number {
		return this.#loansById.size;
	}

	add(loan: LentLoan): void {
		this.#loansById.set(loan.grant.loanId, loan);
		this.#loansByBorrowKey.set(borrowKey(loan.borrower, loan.grant.borrowId), loan);
	}

	/** The loan that was granted for a borrow request, if its units still count as in use. */
	findByRequest(borrower: string, {borrowId}: Pick<BorrowRequest, 'borrowId'>): LentLoan | undefined {
		return this.#loansByBorrowKey.get(borrowKey(borrower, borrowId));
	}

	/** The loan with this id, if it was granted to this borrower. */
	findByBorrower(borrower: string, loanId: string): LentLoan | undefined {
		const loan = this.#loansById.get(loanId);
		return loan?.borrower === borrower ? loan : undefined;
	}

	remove({borrower, grant}: LentLoan): void {
		this.#loansById.delete(grant.loanId);
		this.#loansByBorrowKey.delete(borrowKey(borrower, grant.borrowId));
	}

	/** The loans whose units can no longer be in use. */
	findReclaimable(now: Milliseconds): LentLoan[] {
		return [...this.#loansById.values()].filter(({reclaimableAt}) => reclaimableAt <= now);
	}
}
