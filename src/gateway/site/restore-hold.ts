import type {Milliseconds} from '../../shared/clock.js';
import type {EndpointRecord, SiteSnapshot} from './types.js';

/** Time after a restore of the store for which what was known before stays in force. Operators and endpoints write again within it what the restore has lost. */
export const restoreHoldMs: Milliseconds = 10_000;

/** Longest time for which anything is kept against the store, however often it is restored meanwhile. */
const maximumHoldMs: Milliseconds = 30_000;

/** Time for which the end of an endpoint is remembered: copies are some seconds old. */
const removalMemoryMs: Milliseconds = 60_000;

/** Maximum number of remembered ends; the oldest are forgotten first. */
const maximumRemovals = 1000;

/** A time for which the store is overruled. */
type Period = {
	readonly since: Milliseconds;
	readonly until: Milliseconds;
};

type KeptEndpoint = Period & {
	/** Records of this start and of earlier ones are overruled. */
	readonly startedAt: number;
	/** Whether this start was leaving; otherwise it was gone. */
	readonly isLeaving: boolean;
};

/** What an instance knew just before it read the first snapshot of an era. */
export type KnownState = {
	readonly endpoints: Iterable<EndpointRecord>;
	readonly evacuatedZones: Iterable<string>;
};

/** A restriction that stays in force although the store no longer states it, or has ended. */
export type HoldChange
	= | {readonly kind: 'evacuation-kept' | 'evacuation-released'; readonly availabilityZone: string}
		| {readonly kind: 'departure-kept' | 'departure-released'; readonly endpointId: string; readonly startedAt: number};

export type HeldSnapshot = {
	readonly endpoints: readonly EndpointRecord[];
	readonly evacuatedZones: ReadonlySet<string>;
	readonly changes: readonly HoldChange[];
};

/**
Keeps restrictions in force that a restore of the store from an older copy has lost: evacuations, and endpoints that were leaving or gone.

A restriction ends when a newer write replaces it, and at the end of its time. A record is a newer write when its revision is above that of the store at the first read of the era. The absence of an evacuation is never newer.
*/
export class RestoreHold {
	static create(): RestoreHold {
		return new RestoreHold();
	}

	readonly #removals = new Map<string, {readonly startedAt: number; readonly at: Milliseconds}>();
	readonly #zones = new Map<string, Period>();
	readonly #endpoints = new Map<string, KeptEndpoint>();
	#configuration: Period | undefined;
	#changedAt: Milliseconds = -Infinity;
	/** Revision of the store at the first read of the era. */
	#firstRevision = -Infinity;

	private constructor() {}

	/** Number of restrictions that the store does not state. */
	get size(): number {
		return this.#zones.size + this.#endpoints.size + (this.#configuration === undefined ? 0 : 1);
	}

	/** Whether endpoints are kept out of use. A newer write of such a record need not change the content of the store. */
	get keepsEndpoints(): boolean {
		return this.#endpoints.size > 0;
	}

	/** Longest time for which anything is still kept; 0 when nothing is. */
	remainingMs(now: Milliseconds): Milliseconds {
		return Math.max(0, ...this.#periods().map(({until}) => until - now));
	}

	/** Time until the next restriction ends by itself; Infinity when none is left that will. */
	dueInMs(now: Milliseconds): Milliseconds {
		return Math.min(Infinity, ...this.#restrictions().map(({until}) => until - now).filter(dueMs => dueMs > 0));
	}

	/** Whether the time of a restriction is over, so that the next snapshot ends it. */
	isDue(now: Milliseconds): boolean {
		return this.#restrictions().some(({until}) => until <= now);
	}

	recordRemoval({id, startedAt}: EndpointRecord, now: Milliseconds): void {
		this.#removals.delete(id);
		this.#removals.set(id, {startedAt, at: now});
		for (const [oldestId, {at}] of this.#removals) {
			if (this.#removals.size <= maximumRemovals && now - at <= removalMemoryMs) {
				break;
			}

			this.#removals.delete(oldestId);
		}
	}

	/** Begins to keep what was known, because the store has been restored. */
	begin({endpoints, evacuatedZones}: KnownState, firstRevision: number, now: Milliseconds): void {
		this.#changedAt = now;
		this.#firstRevision = firstRevision;
		for (const zone of evacuatedZones) {
			this.#zones.set(zone, this.#extend(this.#zones.get(zone), now));
		}

		for (const [id, {startedAt, at}] of this.#removals) {
			if (now - at <= removalMemoryMs) {
				this.#keepEndpoint(id, startedAt, false, now);
			}
		}

		for (const {id, startedAt, isLeaving} of endpoints) {
			// Of an endpoint in use, the earlier starts are gone.
			this.#keepEndpoint(id, isLeaving ? startedAt : startedAt - 1, isLeaving, now);
		}
	}

	/** Records whether the store holds an older configuration than the one in force. */
	setConfigurationKept(isKept: boolean, now: Milliseconds): void {
		const period = isKept && this.#changedAt > -Infinity ? this.#configuration ?? this.#extend(undefined, this.#changedAt) : undefined;
		this.#configuration = period !== undefined && period.until > now ? period : undefined;
	}

	/** Adds the restrictions that are kept to a snapshot, and ends those that a newer write has replaced or whose time is over. */
	apply(snapshot: SiteSnapshot, now: Milliseconds): HeldSnapshot {
		const isNew = this.#changedAt === now;
		const changes: HoldChange[] = [];
		for (const [availabilityZone, {until}] of this.#zones) {
			const isStated = snapshot.evacuatedZones.has(availabilityZone);
			if (isStated || now >= until) {
				this.#zones.delete(availabilityZone);
			}

			if (!isStated && (now >= until || isNew)) {
				changes.push({kind: now >= until ? 'evacuation-released' : 'evacuation-kept', availabilityZone});
			}
		}

		const contradicted = new Set<string>();
		const endpoints: EndpointRecord[] = [];
		for (const endpoint of snapshot.endpoints) {
			const kept = this.#endpoints.get(endpoint.id);
			if (kept === undefined || !this.#contradicts(endpoint, kept, snapshot) || now >= kept.until) {
				endpoints.push(endpoint);
				// Its end is over, or another restore would begin to keep it out of use again.
				this.#removals.delete(endpoint.id);
				continue;
			}

			contradicted.add(endpoint.id);
			if (kept.isLeaving && endpoint.startedAt === kept.startedAt) {
				endpoints.push({...endpoint, isLeaving: true});
			}
		}

		for (const [endpointId, {startedAt}] of this.#endpoints) {
			const isKept = contradicted.has(endpointId);
			if (!isKept) {
				this.#endpoints.delete(endpointId);
			}

			if (isKept === isNew) {
				changes.push({kind: isKept ? 'departure-kept' : 'departure-released', endpointId, startedAt});
			}
		}

		return {endpoints, evacuatedZones: this.#zones.size === 0 ? snapshot.evacuatedZones : new Set([...snapshot.evacuatedZones, ...this.#zones.keys()]), changes};
	}

	#periods(): Period[] {
		return this.#configuration === undefined ? this.#restrictions() : [...this.#restrictions(), this.#configuration];
	}

	/** The periods that a snapshot ends. That of the configuration only tells others for how long to wait. */
	#restrictions(): Period[] {
		return [...this.#zones.values(), ...this.#endpoints.values()];
	}

	#extend(known: Period | undefined, now: Milliseconds): Period {
		const since = known?.since ?? now;
		return {since, until: Math.min(now + restoreHoldMs, since + maximumHoldMs)};
	}

	#keepEndpoint(id: string, startedAt: number, isLeaving: boolean, now: Milliseconds): void {
		const known = this.#endpoints.get(id);
		this.#endpoints.set(id, {...this.#extend(known, now), startedAt, isLeaving});
	}

	/** Whether an endpoint is kept out of use against its record. */
	#contradicts(endpoint: EndpointRecord, kept: KeptEndpoint, {endpointRevisions}: SiteSnapshot): boolean {
		const isNewer = (endpointRevisions?.get(endpoint.id) ?? -Infinity) > this.#firstRevision;
		return endpoint.startedAt <= kept.startedAt && !isNewer && !(endpoint.isLeaving && endpoint.startedAt === kept.startedAt);
	}
}
