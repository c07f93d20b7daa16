import type {Milliseconds} from '../../shared/clock.js';
import type {Beat, Peer} from './types.js';

/** Silence after which a peer's requests no longer count at endpoints: a killed one has none, and one that is cut off is rarer. */
const presentForMs = 1500;

/** Silence after which a peer is forgotten. Until then it keeps its share of limits, because it may only be cut off. */
const forgottenAfterMs = 30_000;

/** How long a host that never answered is tried. */
const candidateForMs = 30_000;

export type PeerChange
	= | {readonly kind: 'peer-joined'; readonly host: string; readonly incarnation: number}
		| {readonly kind: 'peer-restarted'; readonly host: string; readonly incarnation: number}
		| {readonly kind: 'peer-returned'; readonly host: string; readonly silentMs: Milliseconds}
		| {readonly kind: 'peer-silent'; readonly host: string; readonly silentMs: Milliseconds}
		| {readonly kind: 'peer-left'; readonly host: string}
		| {readonly kind: 'peer-forgotten'; readonly host: string};

/** The other instances, as far as their beats tell. */
export class PeerGroup {
	static create(ownHost: string): PeerGroup {
		return new PeerGroup(ownHost);
	}

	readonly #peers = new Map<string, Peer>();
	readonly #silent = new Set<string>();
	/** Requests of all present peers by endpoint; kept up to date because it is asked for each candidate of each request. */
	readonly #runs = new Map<string, number>();
	/** Hosts that were named but not heard, with the time until which they are tried. */
	readonly #candidates = new Map<string, Milliseconds>();
	#seeds: readonly string[] = [];
	#members: readonly string[] | undefined;

	private constructor(private readonly ownHost: string) {}

	/** Peers that are not forgotten. */
	get size(): number {
		return this.#peers.size;
	}

	useSeeds(hosts: readonly string[]): void {
		this.#seeds = hosts.filter(host => host !== this.ownHost);
	}

	/** Takes over a beat. The answer is undefined when it was ignored, because it is this instance's own or was overtaken by a later one. */
	receive(beat: Beat, now: Milliseconds): PeerChange[] | undefined {
		const known = this.#peers.get(beat.host);
		if (beat.host === this.ownHost || (known?.incarnation === beat.incarnation && beat.sequence <= known.sequence)) {
			return undefined;
		}

		if (beat.isLeaving) {
			return this.#remove(beat.host) ? [{kind: 'peer-left', host: beat.host}] : [];
		}

		this.#candidates.delete(beat.host);
		if (known !== undefined && !this.#silent.has(beat.host)) {
			this.#count(known, -1);
		}

		const peer: Peer = {
			host: beat.host,
			availabilityZone: beat.availabilityZone,
			incarnation: beat.incarnation,
			sequence: beat.sequence,
			heardAt: now,
			runs: beat.runs,
		};
		this.#peers.set(beat.host, peer);
		this.#count(peer, 1);
		for (const host of beat.knownHosts) {
			this.#propose(host, now);
		}

		const wasSilent = this.#silent.delete(beat.host);
		if (known === undefined) {
			this.#members = undefined;
			return [{kind: 'peer-joined', host: beat.host, incarnation: beat.incarnation}];
		}

		if (known.incarnation !== beat.incarnation) {
			return [{kind: 'peer-restarted', host: beat.host, incarnation: beat.incarnation}];
		}

		return wasSilent ? [{kind: 'peer-returned', host: beat.host, silentMs: now - known.heardAt}] : [];
	}

	/** Notes who has fallen silent. */
	expire(now: Milliseconds): PeerChange[] {
		const changes: PeerChange[] = [];
		for (const peer of this.#peers.values()) {
			const silentMs = now - peer.heardAt;
			if (silentMs > forgottenAfterMs) {
				this.#remove(peer.host);
				this.#candidates.set(peer.host, now + candidateForMs);
				changes.push({kind: 'peer-forgotten', host: peer.host});
			} else if (silentMs > presentForMs && !this.#silent.has(peer.host)) {
				this.#silent.add(peer.host);
				this.#count(peer, -1);
				changes.push({kind: 'peer-silent', host: peer.host, silentMs});
			}
		}

		for (const [host, until] of this.#candidates) {
			if (now > until) {
				this.#candidates.delete(host);
			}
		}

		return changes;
	}

	/** Hosts that get beats. */
	hosts(): Set<string> {
		return new Set([...this.#peers.keys(), ...this.#candidates.keys(), ...this.#seeds]);
	}

	/** Hosts that are not forgotten, sorted, this one among them. The array is the same until they change. */
	members(): readonly string[] {
		this.#members ??= [...this.#peers.keys(), this.ownHost].toSorted();
		return this.#members;
	}

	/** Requests that the present peers have under way at an endpoint. */
	runsAt(endpointId: string): number {
		return this.#runs.get(endpointId) ?? 0;
	}

	/** Hosts of peers that are heard at present. */
	presentHosts(): string[] {
		return [...this.#peers.keys()].filter(host => !this.#silent.has(host));
	}

	#propose(host: string, now: Milliseconds): void {
		if (host !== this.ownHost && !this.#peers.has(host) && !this.#candidates.has(host)) {
			this.#candidates.set(host, now + candidateForMs);
		}
	}

	#remove(host: string): boolean {
		const peer = this.#peers.get(host);
		if (peer === undefined) {
			return false;
		}

		if (!this.#silent.delete(host)) {
			this.#count(peer, -1);
		}

		this.#members = undefined;
		return this.#peers.delete(host);
	}

	/** Adds a peer's requests to the sums, or takes them away. */
	#count({runs}: Peer, sign: 1 | -1): void {
		for (const [endpointId, running] of runs) {
			const sum = (this.#runs.get(endpointId) ?? 0) + (sign * running);
			if (sum === 0) {
				this.#runs.delete(endpointId);
			} else {
				this.#runs.set(endpointId, sum);
			}
		}
	}
}
