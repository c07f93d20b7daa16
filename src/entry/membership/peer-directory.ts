/** Addresses of possible peers and when each may be dialled next. */
import type {Clock, Milliseconds} from '../../shared/clock.js';

/** Where an address comes from. */
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
	/** Uniform random numbers from 0 to 1 for the jitter of the backoff. Default: `Math.random`. */
	readonly random?: () => number;
	/** Default: 1024. */
	readonly maximumAddresses?: number;
};

const initialBackoffMs: Milliseconds = 200;
const maximumBackoffMs: Milliseconds = 2000;

/** An address known only from a hello is removed after more consecutive failures than this, because its process has probably stopped. */
const maximumHelloFailures = 8;

export class PeerDirectory {
	static create(options: PeerDirectoryOptions): PeerDirectory {
		return new PeerDirectory(options);
	}

	readonly #records = new Map<string, AddressRecord>();
	readonly #ownAddresses = new Set<string>();

	private constructor(private readonly options: PeerDirectoryOptions) {}

	/** Adds an address that reaches this process itself. It is never dialled again. */
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

	/** Replaces the addresses of one source. Addresses that no source names any more are removed. */
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

	/** Returns the addresses that may be dialled now and marks them as in use. Each must be released by {@link recordClose} or {@link postpone}. */
	takeDue(): string[] {
		const now = this.options.clock.now();
		const due = [...this.#records.values()].filter(({isInUse, nextAttemptAt}) => !isInUse && nextAttemptAt <= now);
		for (const record of due) {
			record.isInUse = true;
		}

		return due.map(({address}) => address);
	}

	/** Records that the dialled connection was established, which resets the backoff. */
	recordSuccess(address: string): void {
		const record = this.#records.get(address);
		if (record) {
			record.failures = 0;
		}
	}

	/** Records that the dialled connection has closed or could not be opened. */
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

	/** Releases an address that was not dialled because its process is already connected. */
	postpone(address: string): void {
		const record = this.#records.get(address);
		if (record) {
			record.isInUse = false;
			record.failures = 0;
			record.nextAttemptAt = this.options.clock.now() + maximumBackoffMs;
			this.#removeWithoutSource(record);
		}
	}

	/** Makes the address due after the initial backoff, because a connection to its process has ended. */
	scheduleReconnect(address: string): void {
		const record = this.#records.get(address);
		if (record) {
			record.nextAttemptAt = Math.min(record.nextAttemptAt, this.options.clock.now() + this.#randomBackoffMs(1));
		}
	}

	/** All known addresses, for reports. */
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
