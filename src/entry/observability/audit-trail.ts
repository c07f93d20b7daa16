import type {AuditEntry, AuditEvent} from '../../shared/audit.js';
import type {Clock, Milliseconds} from '../../shared/clock.js';
import type {ConfigurationChange, ConfigurationProblem} from '../../shared/configuration/index.js';

/** Detail fields of each event, in addition to its actor. */
type AuditDetails = {
	readonly start: {readonly incarnation: string; readonly slot: string};
	readonly stop: {readonly reason: string; readonly clean: boolean};
	readonly 'configuration-adopted': {readonly version: number; readonly digest: string; readonly difference: readonly ConfigurationChange[]};
	readonly 'configuration-rejected': {readonly version: number; readonly problems: readonly ConfigurationProblem[]};
	readonly 'configuration-conflict': {readonly version: number; readonly digestInForce: string; readonly otherDigest: string};
	readonly 'availability-zone-out': {readonly availabilityZone: string; readonly version: number};
	readonly 'availability-zone-in': {readonly availabilityZone: string; readonly version: number};
	readonly 'instance-leaving': {readonly instance: string; readonly role: 'entry' | 'endpoint'};
	readonly 'lease-gained': {readonly afterMilliseconds?: Milliseconds};
	readonly 'lease-lost': {readonly reason: string};
	readonly 'phase-changed': {readonly endpoint: string; readonly from: string; readonly to: string; readonly epoch: number; readonly reason: string};
};

/** An event to record. The union is tagged by `event`. */
export type AuditRecord = {
	readonly [Event in AuditEvent]: AuditDetails[Event] & {
		readonly event: Event;
		/** Cause of the event: `configuration-service`, a slot, an endpoint or `self`. Default: `self`. */
		readonly actor?: string;
	};
}[AuditEvent];

export type AuditTrailOptions = {
	readonly clock: Clock;
	/** Maximum number of entries; after that the oldest is overwritten. Default: 1,000. */
	readonly capacity?: number;
	/** Called for each entry, for example to log it. */
	readonly onEntry?: (entry: AuditEntry) => void;
};

const defaultCapacity = 1000;

/** Elements kept of one list in an entry, such as a difference: a new document may differ in thousands of values. */
const maximumListElements = 50;

/** Characters kept of one value in an entry. */
const maximumValueCharacters = 300;

/** The latest operational events of this incarnation, in a bounded ring buffer. */
export class AuditTrail {
	static create(options: AuditTrailOptions): AuditTrail {
		const capacity = options.capacity ?? defaultCapacity;
		if (!Number.isInteger(capacity) || capacity < 1) {
			throw new RangeError('capacity must be a positive integer');
		}

		return new AuditTrail(options, capacity);
	}

	/** The entry with sequence `s` is at index `(s - 1) % capacity`. */
	readonly #ring: AuditEntry[] = [];
	#lastSequence = 0;

	private constructor(private readonly options: AuditTrailOptions, private readonly capacity: number) {}

	/** Sequence number of the newest entry; 0 when there is none. */
	get lastSequence(): number {
		return this.#lastSequence;
	}

	/** Sequence number of the oldest entry that has not been overwritten; `undefined` when there is none. */
	get oldestSequence(): number | undefined {
		return this.#lastSequence === 0 ? undefined : Math.max(1, this.#lastSequence - this.capacity + 1);
	}

	record(record: AuditRecord): AuditEntry {
		const {event, actor, ...detail} = record;
		this.#lastSequence++;
		const entry: AuditEntry = {
			sequence: this.#lastSequence,
			wallTime: this.options.clock.wallTime(),
			event,
			actor: actor ?? 'self',
			detail: boundDetail(detail),
		};
		this.#ring[(entry.sequence - 1) % this.capacity] = entry;
		this.options.onEntry?.(entry);
		return entry;
	}

	/** Entries with a sequence number above `after`, oldest first. */
	entries(options: {readonly after?: number} = {}): AuditEntry[] {
		const first = Math.max((options.after ?? 0) + 1, this.oldestSequence ?? 1);
		const entries: AuditEntry[] = [];
		for (let sequence = first; sequence <= this.#lastSequence; sequence++) {
			entries.push(this.#ring[(sequence - 1) % this.capacity]!);
		}

		return entries;
	}
}

/** Truncates long lists and values, so that the capacity also bounds the memory. */
function boundDetail(detail: Readonly<Record<string, unknown>>): Record<string, unknown> {
	const bounded: Record<string, unknown> = {};
	for (const [key, value] of Object.entries(detail)) {
		if (Array.isArray(value)) {
			bounded[key] = value.slice(0, maximumListElements).map(element => boundElement(element));
			if (value.length > maximumListElements) {
				bounded[`${key}Omitted`] = value.length - maximumListElements;
			}
		} else {
			bounded[key] = boundValue(value);
		}
	}

	return bounded;
}

function boundElement(element: unknown): unknown {
	return typeof element === 'object' && element !== null
		? Object.fromEntries(Object.entries(element).map(([key, value]) => [key, boundValue(value)]))
		: boundValue(element);
}

function boundValue(value: unknown): unknown {
	const text = typeof value === 'string' ? value : JSON.stringify(value) ?? '';
	return text.length > maximumValueCharacters ? `${text.slice(0, maximumValueCharacters)}…` : value;
}
