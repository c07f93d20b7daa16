import type {Milliseconds} from '../../shared/clock.js';
import {RouteTable} from './route-table.js';
import type {
	EndpointRecord, RejectedRecord, SiteConfirmation, SiteSnapshot,
} from './types.js';

/** How long endpoints without a record are kept after an outage of the store: their records may have expired meanwhile and are written again within about 2,000 ms of its end. */
const expiredRecordGraceMs = 2000;

/** Time without a successful read after which records may have expired because the store received no heartbeats of the endpoints: three heartbeat intervals of 1,200 ms, less one read. */
const outageThresholdMs = 2500;

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
	@returns false when the content differs, or when this state may change without a change in the store
	*/
	confirm({digest, ageMs, recordGraceMs}: SiteConfirmation, askedAt: Milliseconds, now: Milliseconds): boolean {
		if (this.#confirmedAt === undefined || digest !== this.#digest || this.#missing.size > 0) {
			return false;
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

		this.#startGraceAfterGap(now, expiredRecordGraceMs);
		if (this.#confirmedAt === undefined) {
			this.#knowsOutagesFrom = now + expiredRecordGraceMs;
		}

		this.#digest = snapshot.digest;
		this.#configurationDigest = snapshot.configurationDigest;
		const changes = [
			...this.#applyConfiguration(snapshot),
			...this.#applyEndpoints(snapshot, now),
			...this.#applyEvacuations(snapshot),
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
	disproveOutage(): SiteChange[] {
		const removed = [...this.#missing.values()];
		this.#graceUntil = -Infinity;
		this.#endpoints = new Map([...this.#endpoints].filter(([id]) => !this.#missing.has(id)));
		this.#missing = new Map();
		return removed.map(endpoint => ({kind: 'endpoint-removed', endpoint}));
	}

	#startGraceAfterGap(now: Milliseconds, graceMs: Milliseconds): void {
		if (this.#confirmedAt !== undefined && now - this.#confirmedAt > outageThresholdMs) {
			this.#graceUntil = now + graceMs;
			this.#isOutageAssumed = false;
		}
	}

	#applyConfiguration({configuration}: SiteSnapshot): SiteChange[] {
		if (configuration === undefined || configuration === this.#routes?.configuration) {
			return [];
		}

		const previousVersion = this.#routes?.version;
		if (previousVersion !== undefined && configuration.version <= previousVersion) {
			return configuration.version === previousVersion ? [] : [{kind: 'configuration-ignored', version: configuration.version, heldVersion: previousVersion}];
		}

		this.#routes = RouteTable.create(configuration);
		return [{kind: 'configuration', version: configuration.version, previousVersion}];
	}

	#applyEndpoints(snapshot: SiteSnapshot, now: Milliseconds): SiteChange[] {
		const changes: SiteChange[] = [];
		const endpoints = new Map<string, EndpointRecord>();
		for (const endpoint of snapshot.endpoints) {
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

	#applyEvacuations({evacuatedZones}: SiteSnapshot): SiteChange[] {
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
