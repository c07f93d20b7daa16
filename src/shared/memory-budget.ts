/** Memory that was asked for exceeds what all accounts of a budget may hold together. */
export class MemoryBudgetError extends Error {
	static create(maximumBytes: number): MemoryBudgetError {
		return new MemoryBudgetError(`more than ${maximumBytes} bytes would be buffered`);
	}

	override readonly name = 'MemoryBudgetError';

	private constructor(message: string) {
		super(message);
	}
}

/** Counts the memory that a buffer allocates and gives back. */
export type MemoryReservation = {
	/** @throws {MemoryBudgetError} when the memory may not be allocated */
	reserve(bytes: number): void;
	release(bytes: number): void;
};

/** What one holder has reserved of a budget. */
export class MemoryAccount implements MemoryReservation {
	#bytes = 0;
	#isClosed = false;
	#isPinned = false;

	/** Accounts are opened by `MemoryBudget`. */
	constructor(private readonly budget: MemoryBudget, private readonly onExceeded: (error: MemoryBudgetError) => void) {}

	get bytes(): number {
		return this.#bytes;
	}

	get isPinned(): boolean {
		return this.#isPinned;
	}

	reserve(bytes: number): void {
		if (this.#isClosed) {
			throw MemoryBudgetError.create(this.budget.maximumBytes);
		}

		this.budget.makeRoom(this, bytes);
		this.#bytes += bytes;
		this.budget.record(this, bytes);
	}

	release(bytes: number): void {
		const released = Math.min(bytes, this.#bytes);
		this.#bytes -= released;
		this.budget.record(this, -released);
	}

	/** Reserves or releases memory so that the given number of bytes is reserved. */
	setReserved(bytes: number): void {
		if (bytes > this.#bytes) {
			this.reserve(bytes - this.#bytes);
		} else {
			this.release(this.#bytes - bytes);
		}
	}

	/** Keeps what is reserved until the account is closed or unpinned, whoever else asks for memory. */
	pin(): void {
		this.#isPinned = true;
	}

	unpin(): void {
		this.#isPinned = false;
	}

	/** Releases everything. Nothing more can be reserved. */
	close(): void {
		this.#isClosed = true;
		this.release(this.#bytes);
	}

	/** Closes the account in favour of another one. */
	giveWay(error: MemoryBudgetError): void {
		this.close();
		this.onExceeded(error);
	}
}

/**
Bounds what many requests hold together. When it would be exceeded, the account that holds most gives way, so that a few large holders can't keep the others from going on. Pinned accounts don't.
*/
export class MemoryBudget {
	static create(maximumBytes: number): MemoryBudget {
		return new MemoryBudget(maximumBytes);
	}

	/** Accounts with reserved bytes. */
	readonly #accounts = new Set<MemoryAccount>();
	#reservedBytes = 0;

	private constructor(readonly maximumBytes: number) {}

	get reservedBytes(): number {
		return this.#reservedBytes;
	}

	/** @param onExceeded called when the account gives way; what it counted must be given up */
	openAccount(onExceeded: (error: MemoryBudgetError) => void): MemoryAccount {
		return new MemoryAccount(this, onExceeded);
	}

	/** @throws {MemoryBudgetError} when the account itself is the one to give way */
	makeRoom(account: MemoryAccount, bytes: number): void {
		while (this.#reservedBytes + bytes > this.maximumBytes) {
			const largest = this.#findLargest(account);
			if (largest === undefined || largest.bytes <= account.bytes + bytes) {
				throw MemoryBudgetError.create(this.maximumBytes);
			}

			largest.giveWay(MemoryBudgetError.create(this.maximumBytes));
		}
	}

	record(account: MemoryAccount, bytes: number): void {
		this.#reservedBytes += bytes;
		if (account.bytes > 0) {
			this.#accounts.add(account);
		} else {
			this.#accounts.delete(account);
		}
	}

	#findLargest(except: MemoryAccount): MemoryAccount | undefined {
		let largest: MemoryAccount | undefined;
		for (const account of this.#accounts) {
			if (account !== except && !account.isPinned && account.bytes > (largest?.bytes ?? 0)) {
				largest = account;
			}
		}

		return largest;
	}
}
