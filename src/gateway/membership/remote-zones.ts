import type {Milliseconds} from '../../shared/clock.js';
import {hashText} from '../../shared/hash.js';
import type {ZoneSummary} from './types.js';

/** Time without a summary after which the requests of a zone no longer count at endpoints. */
const silentAfterMs: Milliseconds = 3000;

/** Time without a mention after which a host is forgotten. Until then it keeps its share of the limits, because its zone may only be partitioned. */
const forgottenAfterMs: Milliseconds = 30_000;

/** Time without a summary of the relay after which one of another instance takes its place. Until then only an instance that precedes it does: two that both take themselves for the relay count the same units from different starts. */
const relaySilentAfterMs: Milliseconds = 1500;

/** Number of instances of each other zone that summaries are sent to: while one is down, another one receives them. */
const receiversPerZone = 2;

type Zone = {
	/** When each host was last heard directly or listed in a summary. */
	readonly hosts: Map<string, Milliseconds>;
	summary: ZoneSummary | undefined;
	lastHeardAt: Milliseconds;
};

function supersedes(summary: ZoneSummary, current: ZoneSummary, silentMs: Milliseconds): boolean {
	if (summary.relayHost !== current.relayHost) {
		return silentMs > relaySilentAfterMs || hashText(summary.relayHost) < hashText(current.relayHost);
	}

	return summary.relayIncarnation !== current.relayIncarnation || summary.sequence > current.sequence;
}

/** The availability zones other than this instance's, as known from the summaries of their relays. Used in large fleets. */
export class RemoteZones {
	static create(): RemoteZones {
		return new RemoteZones();
	}

	readonly #zones = new Map<string, Zone>();
	/** Requests in flight in all zones that are heard, by endpoint; undefined when a summary has changed. */
	#inFlight: Map<string, number> | undefined;
	#hosts: readonly string[] | undefined;

	private constructor() {}

	/** Hosts that are not forgotten. The same array is returned until they change. */
	hosts(): readonly string[] {
		this.#hosts ??= [...this.#zones.values()].flatMap(({hosts}) => [...hosts.keys()]);
		return this.#hosts;
	}

	hostsOf(availabilityZone: string): string[] {
		return [...this.#zones.get(availabilityZone)?.hosts.keys() ?? []];
	}

	/** Hosts that the summaries of this instance's zone are sent to. */
	summaryTargets(): string[] {
		return [...this.#zones.values()].flatMap(({hosts}) => [...hosts.keys()]
			.map(host => ({host, hash: hashText(host)}))
			.toSorted((a, b) => a.hash < b.hash ? -1 : 1)
			.slice(0, receiversPerZone)
			.map(({host}) => host));
	}

	/** The relays from which summaries were received lately. */
	relays(): Array<readonly [availabilityZone: string, host: string]> {
		return [...this.#zones].flatMap(([name, {summary}]) => summary === undefined ? [] : [[name, summary.relayHost] as const]);
	}

	/** Number of hosts in the zones from which summaries were received lately. */
	heardHostCount(): number {
		return [...this.#zones.values()].reduce((count, {summary, hosts}) => count + (summary === undefined ? 0 : hosts.size), 0);
	}

	/** Records an instance of a zone of which none is known. It is forgotten unless it is heard. */
	recordRelay(availabilityZone: string, host: string, now: Milliseconds): void {
		if (this.#zones.get(availabilityZone) === undefined) {
			this.recordHost(availabilityZone, host, now);
		}
	}

	inFlightAt(endpointId: string): number {
		this.#inFlight ??= this.#sumInFlight();
		return this.#inFlight.get(endpointId) ?? 0;
	}

	/** Records that a host of a zone was heard directly. */
	recordHost(availabilityZone: string, host: string, now: Milliseconds): void {
		const {hosts} = this.#zone(availabilityZone);
		if (!hosts.has(host)) {
			this.#hosts = undefined;
		}

		hosts.set(host, now);
	}

	removeHost(availabilityZone: string, host: string): boolean {
		const isRemoved = this.#zones.get(availabilityZone)?.hosts.delete(host) === true;
		this.#hosts = isRemoved ? undefined : this.#hosts;
		return isRemoved;
	}

	/** Applies a summary. Returns false when it is ignored, because it arrived after a later one or is not that of the relay. */
	receive(summary: ZoneSummary, now: Milliseconds): boolean {
		const zone = this.#zone(summary.availabilityZone);
		if (zone.summary !== undefined && !supersedes(summary, zone.summary, now - zone.lastHeardAt)) {
			return false;
		}

		zone.summary = summary;
		zone.lastHeardAt = now;
		this.#inFlight = undefined;
		for (const host of summary.hosts) {
			this.recordHost(summary.availabilityZone, host, now);
		}

		return true;
	}

	/** Drops what is too old. */
	expire(now: Milliseconds): void {
		for (const [name, zone] of this.#zones) {
			if (zone.summary !== undefined && now - zone.lastHeardAt > silentAfterMs) {
				zone.summary = undefined;
				this.#inFlight = undefined;
			}

			for (const [host, at] of zone.hosts) {
				if (now - at > forgottenAfterMs) {
					this.removeHost(name, host);
				}
			}

			if (zone.hosts.size === 0) {
				this.#zones.delete(name);
			}
		}
	}

	clear(): void {
		this.#zones.clear();
		this.#inFlight = undefined;
		this.#hosts = undefined;
	}

	#zone(name: string): Zone {
		let zone = this.#zones.get(name);
		if (zone === undefined) {
			zone = {hosts: new Map(), summary: undefined, lastHeardAt: -Infinity};
			this.#zones.set(name, zone);
		}

		return zone;
	}

	#sumInFlight(): Map<string, number> {
		const sums = new Map<string, number>();
		for (const {summary} of this.#zones.values()) {
			for (const [endpointId, requests] of summary?.inFlight ?? []) {
				sums.set(endpointId, (sums.get(endpointId) ?? 0) + requests);
			}
		}

		return sums;
	}
}
