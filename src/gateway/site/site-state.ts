import type {Milliseconds} from '../../shared/clock.js';
import {RestoreHold, type HoldChange} from './restore-hold.js';
import {RouteTable} from './route-table.js';
import type {
	EndpointRecord, RejectedRecord, SiteConfirmation, SiteSnapshot,
} from './types.js';

/** How long endpoints without a record are kept after an outage of the store: their records may have expired meanwhile and are written again within about 2,000 ms of its end. */
const expiredRecordGraceMs = 2000;

/** Time without a successful read after which records may have expired because the store received no heartbeats of the endpoints: three heartbeat intervals of 1,200 ms, less one read. */
const outageThresholdMs = 2500;

/** Longest time for which endpoints without a record are kept because the store was restored, however often that happens. */
const maximumRestoreGraceMs = 6000;

/** A change between two snapshots, for the log and for the components that react to it. */
export type SiteChange
	= | {readonly kind: 'configuration'; readonly version: number; readonly previousVersion?: number}
		| {readonly kind: 'configuration-ignored'; readonly version: number; readonly heldVersion: number}
		| {readonly kind: 'endpoint-added'; readonly endpoint: EndpointRecord}
		| {readonly kind: 'endpoint-restarted'; readonly endpoint: EndpointRecord}
		| {readonly kind: 'endpoint-changed'; readonly endpoint: EndpointRecord}
		| {readonly kind: 'endpoint-removed'; readonly endpoint: EndpointRecord}
		/** Its record is missing, and whether it expired during an outage of the store is not known yet. It gets no requests until then. */
		| {readonly kind: 'endpoint-held'; readonly endpoint: EndpointRecord}
		/** Its record has probably expired during an outage of the store, so it stays in use for a while. */
		| {readonly kind: 'endpoint-missing'; readonly endpoint: EndpointRecord; readonly keptForMs: Milliseconds}
		| {readonly kind: 'zone-evacuated'; readonly availabilityZone: string}
		| {readonly kind: 'zone-returned'; readonly availabilityZone: string}
		/** The store has been restored from an older copy. */
		| {readonly kind: 'store-restored'; readonly era: number; readonly previousEra: number; readonly revision: number}
		| HoldChange
		| {readonly kind: 'record-rejected'; readonly record: RejectedRecord};

function isSameRecord(a: EndpointRecord, b: EndpointRecord): boolean {
	return a.service === b.service && a.address === b.address && a.availabilityZone === b.availabilityZone
		&& a.slots === b.slots && a.isLeaving === b.isLeaving && a.coldRemainingMs === b.coldRemainingMs;
}

/** The state of the site as this process knows it, and the time when it was last confirmed. */
export class SiteState {
	static create(): SiteState {
		return new SiteState();
	}

	#routes: RouteTable | undefined;
	#endpoints = new Map<string, EndpointRecord>();
	#evacuatedZones: ReadonlySet<string> = new Set();
	#rejected = new Map<string, string>();
	#confirmedAt: Milliseconds | undefined;
	#digest: string | undefined;
	#configurationDigest: string | undefined;
	/** Version of the last configuration that was ignored. */
	#ignoredVersion: number | undefined;
	/** Digest of the configuration in force, and the era in which the store last held it. */
	#heldConfiguration: {digest: string; era?: number} | undefined;
	/** Last known era of the store, and when it became known. */
	#era: number | undefined;
	#eraKnownAt: Milliseconds = -Infinity;
	readonly #hold = RestoreHold.create();
	/** Since when restores have extended the time for endpoints without a record. */
	#restoreGraceSince: Milliseconds = -Infinity;
	/** Last records of the endpoints that are kept without one, so that a later read may change the state without a change in the store. */
	#missing: ReadonlyMap<string, EndpointRecord> = new Map();
	/** Time until which endpoints without a record are kept. */
	#graceUntil: Milliseconds = -Infinity;
	/** Whether other instances report an outage of the store, so that endpoints without a record are used. */
	#isOutageAssumed = false;
	/** Time before which records may be missing because of an outage that ended just before the start of this process. */
	#knowsOutagesFrom: Milliseconds = Infinity;

	private constructor() {}

	get routes(): RouteTable | undefined {
		return this.#routes;
	}

	get endpoints(): ReadonlyMap<string, EndpointRecord> {
		return this.#endpoints;
	}

	get evacuatedZones(): ReadonlySet<string> {
		return this.#evacuatedZones;
	}

	/** When the read that last confirmed this state was sent. Every change that was acknowledged before then is included. */
	get confirmedAt(): Milliseconds | undefined {
		return this.#confirmedAt;
	}

	/** Digest of the last snapshot. */
	get digest(): string | undefined {
		return this.#digest;
	}

	/** Digest of the configuration in the last snapshot. */
	get configurationDigest(): string | undefined {
		return this.#configurationDigest;
	}

	/** Last known era of the store; undefined when the store does not state it. */
	get era(): number | undefined {
		return this.#era;
	}

	/** Number of restrictions that are kept because a restore of the store has lost them. */
	get keptRestrictions(): number {
		return this.#hold.size;
	}

	/** Longest time for which something is kept in force that a restore of the store has lost. */
	heldMs(now: Milliseconds): Milliseconds {
		return this.#hold.remainingMs(now);
	}

	/** Time until the state changes without a change in the store, so that it must be read again; Infinity when it doesn't. */
	changeDueInMs(now: Milliseconds): Milliseconds {
		return Math.min(this.removalDueInMs(now), this.#hold.dueInMs(now));
	}

	/** Time until which endpoints without a record are kept. It changes with each gap between reads. */
	get graceUntil(): Milliseconds {
		return this.#graceUntil;
	}

	/** Time until endpoints without a record are to be removed by a read; Infinity when there are none, or when that time is over. */
	removalDueInMs(now: Milliseconds): Milliseconds {
		return this.#missing.size > 0 && now < this.#graceUntil ? this.#graceUntil - now : Infinity;
	}

	/** Time for which records of live endpoints may still be missing in the store, as far as this process can tell. */
	recordGraceMs(now: Milliseconds): Milliseconds {
		return Math.max(0, this.#graceUntil - now, this.#knowsOutagesFrom - now);
	}

	/**
	Dates the state by a read of another instance that returned the same content.

	@param askedAt when the other instance was asked; its answer is newer
	@param now when its answer was received
	@returns false when the content differs or is of an earlier era, or when this state may change without a change in the store
	*/
	confirm({digest, ageMs, recordGraceMs, era}: SiteConfirmation, askedAt: Milliseconds, now: Milliseconds): boolean {
		const mayChange = this.#missing.size > 0 || this.#hold.keepsEndpoints || this.#hold.isDue(now);
		if (this.#confirmedAt === undefined || digest !== this.#digest || mayChange) {
			return false;
		}

		if (era !== undefined && this.#era !== undefined && era !== this.#era) {
			if (era < this.#era) {
				return false;
			}

			// The restored store holds what this instance knows, so nothing has to be kept.
			this.#era = era;
			this.#eraKnownAt = now;
			this.#graceUntil = Math.max(this.#graceUntil, now + recordGraceMs);
		}

		this.#startGraceAfterGap(now, recordGraceMs);

		this.#confirmedAt = Math.max(this.#confirmedAt, askedAt - ageMs);
		return true;
	}

	/**
	Applies a snapshot. It is ignored when its read was sent before that of the last one, so the state never goes backward.

	@param sentAt when the read was sent
	@param now when the snapshot was received
	*/
	apply(snapshot: SiteSnapshot, sentAt: Milliseconds, now: Milliseconds): SiteChange[] {
		if (this.#confirmedAt !== undefined && sentAt <= this.#confirmedAt) {
			return [];
		}

		const {era} = snapshot;
		if (era !== undefined && this.#era !== undefined && era < this.#era && sentAt <= this.#eraKnownAt) {
			// The late response to a read in an earlier era.
			return [];
		}

		const hadGap = this.#startGraceAfterGap(now, expiredRecordGraceMs);
		if (this.#confirmedAt === undefined) {
			this.#knowsOutagesFrom = now + expiredRecordGraceMs;
		}

		this.#digest = snapshot.digest;
		this.#configurationDigest = snapshot.configurationDigest;
		const eraChanges = this.#applyEra(snapshot, now, hadGap);
		const held = this.#hold.apply(snapshot, now);
		const changes = [
			...eraChanges,
			...held.changes,
			...this.#applyConfiguration(snapshot, now),
			...this.#applyEndpoints(held.endpoints, now),
			...this.#applyEvacuations(held.evacuatedZones),
			...this.#applyRejected(snapshot),
		];
		// Without a configuration there is no state that a read could confirm.
		if (this.#routes !== undefined) {
			this.#confirmedAt = sentAt;
		}

		return changes;
	}

	/** Uses the endpoints without a record until their time ends, because the store probably had an outage. */
	assumeOutage(now: Milliseconds): SiteChange[] {
		if (this.#isOutageAssumed || now >= this.#graceUntil) {
			return [];
		}

		this.#isOutageAssumed = true;
		this.#endpoints = new Map([...this.#endpoints, ...this.#missing]);
		return [...this.#missing.values()].map(endpoint => ({kind: 'endpoint-missing', endpoint, keptForMs: Math.round(this.#graceUntil - now)}));
	}

	/** Removes the endpoints without a record, because the store has served all the time, so that no record has expired. */
	disproveOutage(now: Milliseconds): SiteChange[] {
		const removed = [...this.#missing.values()];
		for (const endpoint of removed) {
			this.#hold.recordRemoval(endpoint, now);
		}

		this.#graceUntil = -Infinity;
		this.#endpoints = new Map([...this.#endpoints].filter(([id]) => !this.#missing.has(id)));
		this.#missing = new Map();
		return removed.map(endpoint => ({kind: 'endpoint-removed', endpoint}));
	}

	/** Returns whether there was a gap between reads in which records may have expired. */
	#startGraceAfterGap(now: Milliseconds, graceMs: Milliseconds): boolean {
		const hadGap = this.#confirmedAt !== undefined && now - this.#confirmedAt > outageThresholdMs;
		if (hadGap) {
			this.#graceUntil = now + graceMs;
			this.#isOutageAssumed = false;
		}

		return hadGap;
	}

	/** Keeps what was known before the store was restored, and the endpoints whose records the restore has lost. */
	#applyEra({era, revision}: SiteSnapshot, now: Milliseconds, hadGap: boolean): SiteChange[] {
		const previousEra = this.#era;
		if (era === undefined || era === previousEra) {
			return [];
		}

		this.#era = era;
		this.#eraKnownAt = now;
		if (previousEra === undefined) {
			return [];
		}

		this.#hold.begin({
			endpoints: [...this.#endpoints.values()].map(endpoint => this.#missing.get(endpoint.id) ?? endpoint),
			evacuatedZones: this.#evacuatedZones,
		}, revision, now);
		if (this.#missing.size === 0) {
			this.#restoreGraceSince = now;
		}

		this.#graceUntil = Math.max(this.#graceUntil, Math.min(now + expiredRecordGraceMs, this.#restoreGraceSince + maximumRestoreGraceMs));
		// After a gap the records may also be missing because their endpoints have left, which other instances can tell.
		this.#isOutageAssumed ||= !hadGap && this.#missing.size === 0;
		return [{
			kind: 'store-restored', era, previousEra, revision,
		}];
	}

	#applyConfiguration({configuration, configurationDigest, era}: SiteSnapshot, now: Milliseconds): SiteChange[] {
		const previousVersion = this.#routes?.version;
		const isOlder = previousVersion !== undefined && (configuration === undefined || configuration.version < previousVersion);
		this.#hold.setConfigurationKept(isOlder, now);
		if (configuration === undefined) {
			return [];
		}

		if (isOlder) {
			const isReported = this.#ignoredVersion === configuration.version;
			this.#ignoredVersion = configuration.version;
			return isReported ? [] : [{kind: 'configuration-ignored', version: configuration.version, heldVersion: previousVersion}];
		}

		this.#ignoredVersion = undefined;
		const held = this.#heldConfiguration;
		if (configuration.version === previousVersion && held !== undefined) {
			const isRewritten = configurationDigest !== held.digest && held.era !== undefined && era !== undefined && era !== held.era;
			if (!isRewritten) {
				// Only the content that is in force may move its era on.
				held.era = configurationDigest === held.digest ? era ?? held.era : held.era;
				return [];
			}
		}

		this.#heldConfiguration = {digest: configurationDigest, era};
		this.#routes = RouteTable.create(configuration);
		return [{kind: 'configuration', version: configuration.version, previousVersion}];
	}

	#applyEndpoints(records: readonly EndpointRecord[], now: Milliseconds): SiteChange[] {
		const changes: SiteChange[] = [];
		const endpoints = new Map<string, EndpointRecord>();
		for (const endpoint of records) {
			endpoints.set(endpoint.id, endpoint);
			const known = this.#endpoints.get(endpoint.id);
			if (known === undefined) {
				changes.push({kind: 'endpoint-added', endpoint});
			} else if (known.startedAt !== endpoint.startedAt) {
				changes.push({kind: 'endpoint-restarted', endpoint});
			} else if (!isSameRecord(known, endpoint)) {
				changes.push({kind: 'endpoint-changed', endpoint});
			}
		}

		const missing = new Map<string, EndpointRecord>();
		for (const known of this.#endpoints.values()) {
			if (endpoints.has(known.id)) {
				continue;
			}

			const endpoint = this.#missing.get(known.id) ?? known;
			if (now >= this.#graceUntil) {
				this.#hold.recordRemoval(endpoint, now);
				changes.push({kind: 'endpoint-removed', endpoint});
				continue;
			}

			missing.set(endpoint.id, endpoint);
			endpoints.set(endpoint.id, this.#isOutageAssumed ? endpoint : {...endpoint, isLeaving: true});
			if (!this.#missing.has(endpoint.id)) {
				changes.push(this.#isOutageAssumed
					? {kind: 'endpoint-missing', endpoint, keptForMs: Math.round(this.#graceUntil - now)}
					: {kind: 'endpoint-held', endpoint});
			}
		}

		this.#missing = missing;
		this.#endpoints = endpoints;
		return changes;
	}

	#applyEvacuations(evacuatedZones: ReadonlySet<string>): SiteChange[] {
		const changes: SiteChange[] = [];
		for (const availabilityZone of evacuatedZones) {
			if (!this.#evacuatedZones.has(availabilityZone)) {
				changes.push({kind: 'zone-evacuated', availabilityZone});
			}
		}

		for (const availabilityZone of this.#evacuatedZones) {
			if (!evacuatedZones.has(availabilityZone)) {
				changes.push({kind: 'zone-returned', availabilityZone});
			}
		}

		this.#evacuatedZones = evacuatedZones;
		return changes;
	}

	#applyRejected({rejected}: SiteSnapshot): SiteChange[] {
		const newlyRejected = rejected.filter(record => this.#rejected.get(record.key) !== record.reason);
		this.#rejected = new Map(rejected.map(record => [record.key, record.reason]));
		return newlyRejected.map(record => ({kind: 'record-rejected', record}));
	}
}
