/** What this process knows about other entry processes, running and stopped. */
import type {Clock, Milliseconds} from '../../shared/clock.js';
import type {HeartbeatMessage, HelloMessage} from './messages.js';
import type {PeerContact} from './types.js';

/** A contact without the state of its connection. */
export type StoredContact = Omit<PeerContact, 'isConnected'>;

/** Contacts of stopped processes are kept for this long, because a caller may still ask for a request id that they issued. */
const contactRetentionMs: Milliseconds = 600_000;

export type PeerContactsOptions = {
	readonly clock: Clock;
	/** Above this number, the contact that has been silent for longest is removed. Default: 4096. */
	readonly maximumContacts?: number;
};

export class PeerContacts {
	static create(options: PeerContactsOptions): PeerContacts {
		return new PeerContacts(options);
	}

	/** By incarnation, in the order of the last message, oldest first. */
	readonly #contacts = new Map<string, StoredContact>();

	private constructor(private readonly options: PeerContactsOptions) {}

	/** Records that a message from the process arrived now. */
	recordContact(hello: HelloMessage): void {
		const known = this.#contacts.get(hello.incarnation) ?? createContact(hello);
		this.#contacts.delete(hello.incarnation);
		this.#contacts.set(hello.incarnation, {...known, lastContactAt: this.options.clock.now()});
		this.#removeExcess();
	}

	recordHeartbeat({incarnation, configurationVersion, configurationDigest, leaving}: HeartbeatMessage): void {
		this.#update(incarnation, {configurationVersion, configurationDigest, isLeaving: leaving});
	}

	recordVersion(incarnation: string, configurationVersion: number): void {
		this.#update(incarnation, {configurationVersion});
	}

	recordGoodbye(incarnation: string): void {
		this.#update(incarnation, {hasLeft: true});
	}

	get(incarnation: string): StoredContact | undefined {
		return this.#contacts.get(incarnation);
	}

	all(): StoredContact[] {
		return [...this.#contacts.values()];
	}

	/** Removes processes that have been silent for more than ten minutes. */
	removeExpired(): void {
		const oldestKeptAt = this.options.clock.now() - contactRetentionMs;
		for (const {incarnation, lastContactAt} of this.#contacts.values()) {
			if (lastContactAt < oldestKeptAt) {
				this.#contacts.delete(incarnation);
			}
		}
	}

	#update(incarnation: string, changes: Partial<StoredContact>): void {
		const known = this.#contacts.get(incarnation);
		if (known) {
			this.#contacts.set(incarnation, {...known, ...changes});
		}
	}

	#removeExcess(): void {
		if (this.#contacts.size > (this.options.maximumContacts ?? 4096)) {
			const [first] = this.#contacts.keys();
			this.#contacts.delete(first ?? '');
		}
	}
}

function createContact(hello: HelloMessage): StoredContact {
	return {
		slot: hello.slot,
		incarnation: hello.incarnation,
		region: hello.region,
		availabilityZone: hello.availabilityZone,
		addresses: hello.addresses,
		lastContactAt: 0,
		configurationVersion: undefined,
		configurationDigest: undefined,
		isLeaving: false,
		hasLeft: false,
	};
}
