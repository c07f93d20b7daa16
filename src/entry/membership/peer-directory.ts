/** Addresses of possible peers and when each may be dialled next. */
import type {Clock, Milliseconds} from '../../shared/clock.js';

/** Where an address was learnt from. */
export type AddressSource = 'seed' | 'instance-list' | 'hello';

type AddressRecord = {
	readonly address: string;
	readonly sources: Set<AddressSource>;
	failures: number;
	nextAttemptAt: Milliseconds;
	isInUse: boolean;
};

export type PeerDirectoryOptions = {
	readonly clock: Clock;
	/** Uniform numbers from 0 to 1 for the backoff's jitter. Default: `Math.random`. */
	readonly random?: () => number;
	/** Default: 1024. */
	readonly maximumAddresses?: number;
};

const initialBackoffMs: Milliseconds = 200;
const maximumBackoffMs: Milliseconds = 2000;

/** An address known only from a hello is forgotten after so many failures in a row; its process is probably gone. */
const maximumHelloFailures = 8;

export class PeerDirectory {
	static create(options: PeerDirectoryOptions): PeerDirectory {
		return new PeerDirectory(options);
	}

	readonly #records = new Map<string, AddressRecord>();
	readonly #ownAddresses = new Set<string>();

	private constructor(private readonly options: PeerDirectoryOptions) {}

	/** An address that reaches this process itself. It is never dialled again. */
	addOwnAddress(address: string): void {
		this.#ownAddresses.add(address);
		this.#records.delete(address);
	}

	add(address: string, source: AddressSource): void {
		const record = this.#records.get(address);
		if (record) {
			record.sources.add(source);
			return;
		}

		if (!this.#ownAddresses.has(address) && this.#records.size < (this.options.maximumAddresses ?? 1024)) {
			this.#records.set(address, {
				address, sources: new Set([source]), failures: 0, nextAttemptAt: this.options.clock.now(), isInUse: false,
			});
		}
	}

	/** Replaces the addresses of one source. Addresses that no source names any more are forgotten. */
	replace(addresses: readonly string[], source: AddressSource): void {
		const namedAddresses = new Set(addresses);
		for (const record of this.#records.values()) {
			if (!namedAddresses.has(record.address)) {
				record.sources.delete(source);
				this.#removeWithoutSource(record);
			}
		}

		for (const address of namedAddresses) {
			this.add(address, source);
		}
	}

	/** Takes the addresses that may be dialled now. Each must be given back by {@link recordClose}. */
	takeDue(): string[] {
		const now = this.options.clock.now();
		const due = [...this.#records.values()].filter(({isInUse, nextAttemptAt}) => !isInUse && nextAttemptAt <= now);
		for (const record of due) {
			record.isInUse = true;
		}

		return due.map(({address}) => address);
	}

	/** The dialled connection worked: the next backoff starts anew. */
	recordSuccess(address: string): void {
		const record = this.#records.get(address);
		if (record) {
			record.failures = 0;
		}
	}

	/** The dialled connection is closed or could not be opened. */
	recordClose(address: string): void {
		const record = this.#records.get(address);
		if (!record) {
			return;
		}

		record.isInUse = false;
		record.failures++;
		record.nextAttemptAt = this.options.clock.now() + this.#randomBackoffMs(record.failures);
		if (record.failures > maximumHelloFailures) {
			record.sources.delete('hello');
		}

		this.#removeWithoutSource(record);
	}

	/** The address was not dialled, because its process is connected already. */
	postpone(address: string): void {
		const record = this.#records.get(address);
		if (record) {
			record.isInUse = false;
			record.failures = 0;
			record.nextAttemptAt = this.options.clock.now() + maximumBackoffMs;
			this.#removeWithoutSource(record);
		}
	}

	/** A connection to the process at this address has ended: it is dialled again after the first backoff. */
	scheduleReconnect(address: string): void {
		const record = this.#records.get(address);
		if (record) {
			record.nextAttemptAt = Math.min(record.nextAttemptAt, this.options.clock.now() + this.#randomBackoffMs(1));
		}
	}

	/** Known addresses, for reports. */
	addresses(): string[] {
		return [...this.#records.keys()];
	}

	#removeWithoutSource(record: AddressRecord): void {
		if (record.sources.size === 0 && !record.isInUse) {
			this.#records.delete(record.address);
		}
	}

	#randomBackoffMs(failures: number): Milliseconds {
		const maximumMs = Math.min(maximumBackoffMs, initialBackoffMs * (2 ** (failures - 1)));
		return maximumMs * (0.5 + ((this.options.random ?? Math.random)() / 2));
	}
}
