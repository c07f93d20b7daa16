import type {Milliseconds} from '../../shared/clock.js';
import {hashText} from '../../shared/hash.js';
import {FleetSize, haveSettled} from './fleet-size.js';
import {RemoteZones} from './remote-zones.js';
import type {
	EndpointInFlight, Heartbeat, Peer, ZoneSummary,
} from './types.js';

/** Time without a heartbeat after which a peer's requests no longer count at endpoints: a peer that was killed has none, and one that is only partitioned is rarer. */
const silentAfterMs = 1500;

/** Time without a heartbeat after which a peer is forgotten. Until then it keeps its share of the limits, because it may only be partitioned. */
const forgottenAfterMs = 30_000;

/** How long heartbeats are sent to a host from which none is received. */
const candidateTimeoutMs = 30_000;

/** Number of known instances above which an instance exchanges heartbeats only within its zone, and summaries with the others. Below the second number it returns to heartbeats with all. */
const zonedAbove = 24;
const meshedBelow = 16;

/** Time for which an instance stays zoned after a peer has named a large fleet, of which it may know only a part yet. */
const zonedAfterNewsMs: Milliseconds = 5000;

/** Time for which a process must have been heard to decide on behalf of all, so that those that decide and those that ask agree on it. */
const arbiterHeardMs: Milliseconds = 2000;

/** Interval at which a zoned instance sends heartbeats to the seeds, which may be in any zone: the longer one once it has found peers of its zone. */
const discoveryIntervalMs: Milliseconds = 2000;
const settledDiscoveryIntervalMs: Milliseconds = 10_000;

/** Minimum interval between two heartbeats that answer the same host of another zone. */
const answerIntervalMs: Milliseconds = 1000;

export type PeerChange
	= | {readonly kind: 'peer-joined'; readonly host: string; readonly incarnation: number}
		| {readonly kind: 'peer-restarted'; readonly host: string; readonly incarnation: number}
		| {readonly kind: 'peer-returned'; readonly host: string; readonly silentMs: Milliseconds}
		| {readonly kind: 'peer-silent'; readonly host: string; readonly silentMs: Milliseconds}
		| {readonly kind: 'peer-left'; readonly host: string}
		| {readonly kind: 'peer-forgotten'; readonly host: string}
		/** The peer is in another zone and is now accounted for by the summaries of that zone. */
		| {readonly kind: 'peer-summarised'; readonly host: string};

/** Changes after which a peer may lack what the others have told each other. */
export const greetedChanges: ReadonlySet<PeerChange['kind']> = new Set(['peer-joined', 'peer-restarted', 'peer-returned'] as const);

export type PeerGroupOptions = {
	readonly ownHost: string;
	readonly availabilityZone: string;
	/** When this process started. */
	readonly startedAt: Milliseconds;
};

/** Returns the name with the lowest hash of the key and the name. */
function selectByHash(key: string, [first, ...others]: readonly string[]): string {
	let selected = first!;
	let lowestHash = hashText(`${key} ${selected}`);
	for (const name of others) {
		const hash = hashText(`${key} ${name}`);
		if (hash < lowestHash) {
			[selected, lowestHash] = [name, hash];
		}
	}

	return selected;
}

/** The other instances, as known from their heartbeats. */
export class PeerGroup {
	static create({ownHost, availabilityZone, startedAt}: PeerGroupOptions): PeerGroup {
		return new PeerGroup(ownHost, availabilityZone, startedAt);
	}

	readonly #peers = new Map<string, Peer>();
	readonly #silent = new Set<string>();
	/** Requests that all present peers have in flight, by endpoint. The sums are updated with each heartbeat because they are read for each candidate endpoint of each request. */
	readonly #inFlight = new Map<string, number>();
	/** Hosts that a peer listed or that were forgotten, each with the time until which heartbeats are sent to it. */
	readonly #candidates = new Map<string, Milliseconds>();
	readonly #remoteZones = RemoteZones.create();
	readonly #fleetSize = FleetSize.create();
	/** When the last heartbeat that answers a host of another zone was sent. */
	readonly #answeredAt = new Map<string, Milliseconds>();
	/** When the last heartbeat was sent to each seed. */
	readonly #askedAt = new Map<string, Milliseconds>();
	#seedHosts: readonly string[] = [];
	#members: readonly string[] | undefined;
	#memberRemoteHosts: readonly string[] | undefined;
	#isZoned = false;
	#zonedUntil: Milliseconds = -Infinity;
	#lastDiscoveryAt: Milliseconds = -Infinity;

	/** When a member was last added. */
	#memberAddedAt: Milliseconds;
	#previousMembers: ReadonlySet<string> = new Set();

	private constructor(private readonly ownHost: string, private readonly availabilityZone: string, private readonly startedAt: Milliseconds) {
		this.#memberAddedAt = startedAt;
	}

	/** Number of instances that are not forgotten, including this one. */
	get memberCount(): number {
		return this.members().length;
	}

	/** Whether the members are all instances that run, as of the last call of `expire`. */
	get isFleetKnown(): boolean {
		return this.#fleetSize.isKnown;
	}

	/** Number of instances that the limits of all are divided among: that of the members, or a larger one while they may not be all. */
	get sharingCount(): number {
		return this.#fleetSize.sharingCount(this.memberCount);
	}

	/** As `sharingCount`, for what may be exceeded in the moments in which instances find each other: known and named hosts count at once. */
	get estimatedCount(): number {
		return this.#isZoned ? this.sharingCount : this.#fleetSize.estimatedCount(this.memberCount, this.#candidates.size);
	}

	/** Number of members that peers are told: when it is known, or when it shows that the fleet is large. */
	get toldFleetSize(): number | undefined {
		return this.isFleetKnown || this.memberCount > zonedAbove ? this.memberCount : undefined;
	}

	/** Whether this instance has had time to hear of all others that it can reach. */
	knowsMembers(now: Milliseconds): boolean {
		return haveSettled({addedAt: this.#memberAddedAt, isZoned: this.#isZoned}, this.startedAt, now);
	}

	/** Whether heartbeats are exchanged only within the zone. */
	get isZoned(): boolean {
		return this.#isZoned;
	}

	/** Whether this instance exchanges summaries with the other zones on behalf of its own: the present instance of the zone with the lowest hash. */
	get isRelay(): boolean {
		return this.#isZoned && this.relayHost === this.ownHost;
	}

	/** The relay of this zone. */
	get relayHost(): string {
		let [relayHost, lowestHash] = [this.ownHost, hashText(this.ownHost)];
		for (const host of this.presentHosts()) {
			const hash = hashText(host);
			if (hash < lowestHash) {
				[relayHost, lowestHash] = [host, hash];
			}
		}

		return relayHost;
	}

	/**
	Finds the instance that decides about something on behalf of all: of those that are heard, the one with the lowest hash of its host and the key. In a large fleet it is the relay of a zone, because of other zones only the relays are known to run.
	*/
	findArbiter(key: string, now: Milliseconds): string {
		if (this.#isZoned) {
			const zones = new Map([...this.#remoteZones.relays(), [this.availabilityZone, this.relayHost]]);
			return zones.get(selectByHash(key, [...zones.keys()]))!;
		}

		const settled = [...this.#peers.values()].filter(({host, heardSince}) => !this.#silent.has(host) && now - heardSince >= arbiterHeardMs).map(({host}) => host);
		if (now - this.startedAt >= arbiterHeardMs) {
			settled.push(this.ownHost);
		}

		return selectByHash(key, settled.length > 0 ? settled : [...this.presentHosts(), this.ownHost]);
	}

	/** Instances that are heard, in a large fleet those of zones that are heard, as a fraction of all, at most 1. */
	presentRatio(): number {
		const heard = this.presentHosts().length + 1 + this.#remoteZones.heardHostCount();
		return Math.min(1, heard / this.#fleetSize.lastingCount(this.memberCount));
	}

	setSeedHosts(hosts: readonly string[]): void {
		this.#seedHosts = hosts.filter(host => host !== this.ownHost);
		this.#fleetSize.setHasSeeds(this.#seedHosts.length > 0);
	}

	/** Applies a heartbeat. Returns undefined when it is ignored, because it is this instance's own or arrived after a later one. */
	receive(heartbeat: Heartbeat, now: Milliseconds): PeerChange[] | undefined {
		const known = this.#peers.get(heartbeat.host);
		if (heartbeat.host === this.ownHost || (known?.incarnation === heartbeat.incarnation && heartbeat.sequence <= known.sequence)) {
			return undefined;
		}

		this.#learnFleetSize(heartbeat.fleetSize, now);

		if (this.#isZoned && heartbeat.availabilityZone !== this.availabilityZone) {
			return this.#receiveFromOtherZone(heartbeat, now);
		}

		if (heartbeat.isLeaving) {
			return this.#remove(heartbeat.host) ? [{kind: 'peer-left', host: heartbeat.host}] : [];
		}

		this.#candidates.delete(heartbeat.host);
		if (known !== undefined && !this.#silent.has(heartbeat.host)) {
			this.#addInFlight(known, -1);
		}

		const peer: Peer = {
			host: heartbeat.host,
			availabilityZone: heartbeat.availabilityZone,
			incarnation: heartbeat.incarnation,
			sequence: heartbeat.sequence,
			heardSince: known?.incarnation === heartbeat.incarnation ? known.heardSince : now,
			lastHeardAt: now,
			inFlight: heartbeat.inFlight,
		};
		this.#peers.set(heartbeat.host, peer);
		this.#addInFlight(peer, 1);
		for (const host of heartbeat.knownHosts) {
			this.#addCandidate(host, now);
		}

		const wasSilent = this.#silent.delete(heartbeat.host);
		if (known === undefined) {
			this.#members = undefined;
			return [{kind: 'peer-joined', host: heartbeat.host, incarnation: heartbeat.incarnation}];
		}

		if (known.incarnation !== heartbeat.incarnation) {
			return [{kind: 'peer-restarted', host: heartbeat.host, incarnation: heartbeat.incarnation}];
		}

		return wasSilent ? [{kind: 'peer-returned', host: heartbeat.host, silentMs: now - known.lastHeardAt}] : [];
	}

	/** Marks peers as silent, or forgets them, by the time since their last heartbeat. */
	expire(now: Milliseconds): PeerChange[] {
		const changes: PeerChange[] = [];
		for (const peer of this.#peers.values()) {
			const silentMs = now - peer.lastHeardAt;
			if (silentMs > forgottenAfterMs) {
				this.#remove(peer.host);
				this.#candidates.set(peer.host, now + candidateTimeoutMs);
				changes.push({kind: 'peer-forgotten', host: peer.host});
			} else if (silentMs > silentAfterMs && !this.#silent.has(peer.host)) {
				this.#silent.add(peer.host);
				this.#addInFlight(peer, -1);
				changes.push({kind: 'peer-silent', host: peer.host, silentMs});
			}
		}

		this.#remoteZones.expire(now);
		changes.push(...this.#updateTopology(now));
		this.#recordAddedMembers(now);
		this.#fleetSize.update({
			count: this.memberCount, addedAt: this.#memberAddedAt, includeSeed: this.#hearsSeed(), isZoned: this.#isZoned,
		}, now);

		for (const [host, until] of this.#candidates) {
			if (now > until) {
				this.#candidates.delete(host);
			}
		}

		return changes;
	}

	/** Hosts that heartbeats are sent to now. In a large fleet these are the peers of the own zone, and now and then the seeds, by which zones find each other. */
	heartbeatTargets(now: Milliseconds): Set<string> {
		const targets = new Set([...this.#peers.keys(), ...this.#candidates.keys()]);
		const intervalMs = this.presentHosts().length > 0 ? settledDiscoveryIntervalMs : discoveryIntervalMs;
		if (this.#isZoned && now - this.#lastDiscoveryAt < intervalMs) {
			return targets;
		}

		this.#lastDiscoveryAt = now;
		for (const host of this.#seedHosts) {
			this.#askedAt.set(host, now);
			targets.add(host);
		}

		return targets;
	}

	/** Hosts that the summaries of this zone are sent to. */
	summaryTargets(): string[] {
		return this.#remoteZones.summaryTargets();
	}

	/** The content of a summary of this zone. */
	summarise(ownInFlight: readonly EndpointInFlight[]): Pick<ZoneSummary, 'hosts' | 'otherRelays' | 'inFlight'> {
		const inFlight = new Map(this.#inFlight);
		for (const [endpointId, requests] of ownInFlight) {
			inFlight.set(endpointId, (inFlight.get(endpointId) ?? 0) + requests);
		}

		return {hosts: [...this.#peers.keys(), this.ownHost], otherRelays: this.#remoteZones.relays(), inFlight: [...inFlight]};
	}

	/** Applies the summary of another zone. Returns false when it is ignored. */
	receiveSummary(summary: ZoneSummary, now: Milliseconds): boolean {
		if (summary.availabilityZone === this.availabilityZone) {
			return false;
		}

		this.#zonedUntil = now + zonedAfterNewsMs;
		for (const [zone, host] of summary.otherRelays) {
			if (zone !== this.availabilityZone) {
				this.#remoteZones.recordRelay(zone, host, now);
			}
		}

		return this.#remoteZones.receive(summary, now);
	}

	/** Whether a host is a peer of this instance's zone. */
	isZonePeer(host: string): boolean {
		return this.#peers.get(host)?.availabilityZone === this.availabilityZone;
	}

	/** Whether a heartbeat of a host in another zone is to be answered, so that it finds the instances of its own zone. */
	takeAnswer({host, availabilityZone, isLeaving}: Heartbeat, now: Milliseconds): boolean {
		// The heartbeat of a host that was asked a moment ago is itself an answer.
		const isAnswer = now - (this.#askedAt.get(host) ?? -Infinity) < answerIntervalMs;
		const isDue = this.#isZoned && availabilityZone !== this.availabilityZone && !isLeaving && !isAnswer && now - (this.#answeredAt.get(host) ?? -Infinity) >= answerIntervalMs;
		if (isDue) {
			this.#answeredAt.set(host, now);
		}

		return isDue;
	}

	/** Hosts of a zone that are not forgotten, without this instance. */
	hostsOf(availabilityZone: string): string[] {
		return availabilityZone === this.availabilityZone ? this.presentHosts() : this.#remoteZones.hostsOf(availabilityZone);
	}

	/** Hosts of this instance and of all others that are not forgotten, sorted. The same array is returned until they change. */
	members(): readonly string[] {
		const remoteHosts = this.#remoteZones.hosts();
		if (this.#members === undefined || remoteHosts !== this.#memberRemoteHosts) {
			this.#memberRemoteHosts = remoteHosts;
			this.#members = [...new Set([...this.#peers.keys(), ...remoteHosts, this.ownHost])].toSorted();
		}

		return this.#members;
	}

	/** Requests that the others have in flight at an endpoint. */
	inFlightAt(endpointId: string): number {
		return (this.#inFlight.get(endpointId) ?? 0) + this.#remoteZones.inFlightAt(endpointId);
	}

	/** Hosts of the peers that are not silent. */
	presentHosts(): string[] {
		return [...this.#peers.keys()].filter(host => !this.#silent.has(host));
	}

	/** The peers that are not silent. */
	presentPeers(): Peer[] {
		return [...this.#peers.values()].filter(({host}) => !this.#silent.has(host));
	}

	#receiveFromOtherZone({host, availabilityZone, isLeaving, knownHosts}: Heartbeat, now: Milliseconds): PeerChange[] {
		this.#candidates.delete(host);
		if (isLeaving) {
			return this.#remoteZones.removeHost(availabilityZone, host) ? [{kind: 'peer-left', host}] : [];
		}

		this.#remoteZones.recordHost(availabilityZone, host, now);
		// An answer to a heartbeat of this instance lists hosts of its zone.
		for (const known of knownHosts) {
			this.#addCandidate(known, now);
		}

		return [];
	}

	#learnFleetSize(size: number | undefined, now: Milliseconds): void {
		if (size === undefined) {
			return;
		}

		const isLarge = size > zonedAbove;
		this.#fleetSize.learn(size, isLarge);
		if (isLarge) {
			this.#zonedUntil = now + zonedAfterNewsMs;
		}
	}

	/** Whether another seed is a member. */
	#hearsSeed(): boolean {
		return this.#seedHosts.some(host => this.#peers.has(host) || this.#remoteZones.hosts().includes(host));
	}

	#recordAddedMembers(now: Milliseconds): void {
		const members = this.members();
		if (members.some(host => !this.#previousMembers.has(host))) {
			this.#memberAddedAt = now;
		}

		this.#previousMembers = new Set(members);
	}

	/** Changes between heartbeats with all and heartbeats within the zone when the fleet has grown or shrunk. */
	#updateTopology(now: Milliseconds): PeerChange[] {
		const changes: PeerChange[] = [];
		const isLarge = this.memberCount > zonedAbove || now < this.#zonedUntil;
		if (!this.#isZoned && isLarge) {
			this.#isZoned = true;
			for (const {host, availabilityZone} of this.#peers.values()) {
				if (availabilityZone !== this.availabilityZone) {
					this.#remove(host);
					this.#remoteZones.recordHost(availabilityZone, host, now);
					changes.push({kind: 'peer-summarised', host});
				}
			}
		} else if (this.#isZoned && !isLarge && this.memberCount < meshedBelow) {
			this.#isZoned = false;
			for (const host of this.#remoteZones.hosts()) {
				this.#candidates.set(host, now + candidateTimeoutMs);
			}

			this.#remoteZones.clear();
		}

		for (const [host, at] of this.#answeredAt) {
			if (now - at > forgottenAfterMs) {
				this.#answeredAt.delete(host);
			}
		}

		return changes;
	}

	#addCandidate(host: string, now: Milliseconds): void {
		if (host !== this.ownHost && !this.#peers.has(host) && !this.#candidates.has(host) && !this.#remoteZones.hosts().includes(host)) {
			this.#candidates.set(host, now + candidateTimeoutMs);
		}
	}

	#remove(host: string): boolean {
		const peer = this.#peers.get(host);
		if (peer === undefined) {
			return false;
		}

		if (!this.#silent.delete(host)) {
			this.#addInFlight(peer, -1);
		}

		this.#members = undefined;
		return this.#peers.delete(host);
	}

	/** Adds a peer's in-flight requests to the sums, or subtracts them. */
	#addInFlight({inFlight}: Peer, sign: 1 | -1): void {
		for (const [endpointId, requests] of inFlight) {
			const sum = (this.#inFlight.get(endpointId) ?? 0) + (sign * requests);
			if (sum === 0) {
				this.#inFlight.delete(endpointId);
			} else {
				this.#inFlight.set(endpointId, sum);
			}
		}
	}
}
