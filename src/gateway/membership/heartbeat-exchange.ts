import type {Milliseconds} from '../../shared/clock.js';
import type {CoordinationExchange} from '../coordination/coordination-exchange.js';
import type {PermitExchange} from '../permits/permit-exchange.js';
import type {SlotMessage} from '../coordination/types.js';
import type {PermitGrant} from '../permits/types.js';
import type {CrashReportExchange} from '../quarantine/crash-report-exchange.js';
import type {StatementExchange} from '../statements/statement-exchange.js';
import {
	decodeMessage, encodeHeartbeat, encodeSummary, type MembershipMessage,
} from './heartbeat-codec.js';
import type {PeerGroup} from './peer-group.js';
import type {Heartbeat, WorkspaceUsage, ZoneSummary} from './types.js';

/** Minimum interval between two heartbeats. Peers learn of a request at an endpoint this much later, so several instances may dispatch to the same free slot meanwhile. */
const minimumIntervalMs: Milliseconds = 100;

/** Time that each peer adds to the interval, which limits the datagrams that an instance receives to 125 per second, or 63 in a large fleet, where those of the zone are a small part of all requests. */
const intervalPerPeerMs: Milliseconds = 8;
const zonedIntervalPerPeerMs: Milliseconds = 16;

/** Minimum interval between two summaries of a zone, and time that each instance of the fleet adds to it: a relay passes on the summaries of all zones. */
const minimumSummaryIntervalMs: Milliseconds = 400;
const summaryIntervalPerInstanceMs: Milliseconds = 2;

/** Maximum number of hosts listed in one heartbeat, so that it fits into one packet. */
const maximumKnownHosts = 8;

export type HeartbeatContent = Pick<Heartbeat, 'inFlight' | 'usage'>;

export type HeartbeatExchangeOptions = {
	readonly host: string;
	readonly availabilityZone: string;
	readonly incarnation: number;
	readonly peers: PeerGroup;
	readonly content: () => HeartbeatContent;
	/** Units that the instances of this zone have used. */
	readonly zoneUsage: () => readonly WorkspaceUsage[];
	readonly onHeartbeat: (heartbeat: Heartbeat) => void;
	readonly crashReports: CrashReportExchange;
	readonly statementReports: StatementExchange;
	readonly permits: PermitExchange;
	/** Undefined while the settings don't call for coordination. */
	readonly slots?: Pick<CoordinationExchange, 'receive'>;
	/** Returns whether the summary is new. */
	readonly onSummary: (summary: ZoneSummary) => boolean;
};

/** A datagram and the hosts that it is to be sent to. */
export type OutgoingDatagram = {
	readonly datagram: Uint8Array;
	readonly targets: Iterable<string>;
};

/**
Decides which heartbeats and summaries are sent to whom, without network or timers.

In a small fleet every instance sends heartbeats to every other. In a large one it does so within its zone; the relay of each zone sends summaries to a few instances of each other zone, and the relay there passes them on to its zone. So the datagrams of an instance grow with its zone and the number of zones, not with the fleet.
*/
export class HeartbeatExchange {
	static create(options: HeartbeatExchangeOptions): HeartbeatExchange {
		return new HeartbeatExchange(options);
	}

	#sequence = 0;
	#nextHostIndex = 0;
	#lastSummaryAt: Milliseconds = -Infinity;

	private constructor(private readonly options: HeartbeatExchangeOptions) {}

	/** Time until the next tick. */
	get intervalMs(): Milliseconds {
		const {peers} = this.options;
		return Math.max(minimumIntervalMs, peers.presentHosts().length * (peers.isZoned ? zonedIntervalPerPeerMs : intervalPerPeerMs));
	}

	/** Returns what is to be sent now. */
	tick(now: Milliseconds): OutgoingDatagram[] {
		const {peers, crashReports, statementReports} = this.options;
		const outgoing: OutgoingDatagram[] = [{datagram: this.#encode(false, peers.presentHosts()), targets: peers.heartbeatTargets(now)}];
		const summaryIntervalMs = Math.max(minimumSummaryIntervalMs, peers.memberCount * summaryIntervalPerInstanceMs);
		if (now - this.#lastSummaryAt >= summaryIntervalMs && peers.isRelay) {
			this.#lastSummaryAt = now;
			outgoing.push({datagram: this.#encodeSummary(), targets: new Set(peers.summaryTargets())});
		}

		return [...outgoing, ...crashReports.tick(now), ...statementReports.tick(now)];
	}

	/**
	Processes a datagram. Returns what is to be sent in response.

	@param sender host that sent it
	@throws {Error} when it is of another format
	*/
	receive(datagram: Uint8Array, sender: string, now: Milliseconds): OutgoingDatagram[] {
		const message = decodeMessage(datagram);
		const handlers: {readonly [Kind in MembershipMessage['kind']]: (message: Extract<MembershipMessage, {kind: Kind}>) => OutgoingDatagram[]} = {
			heartbeat: ({heartbeat}) => this.#receiveHeartbeat(heartbeat, now),
			summary: ({summary}) => this.options.onSummary(summary) ? this.#passOn(datagram, sender) : [],
			'crash-report': ({report}) => this.options.crashReports.receive(report, sender, now),
			'statement-reports': ({reports}) => this.options.statementReports.receive(reports, sender, now),
			'permit-request': ({request}) => this.options.permits.receiveRequest(request, sender),
			'permit-grant': ({grant}) => this.#receiveGrant(grant),
			'slot-messages': ({messages}) => this.#receiveSlotMessages(messages, sender),
		};
		return (handlers[message.kind] as (message: MembershipMessage) => OutgoingDatagram[])(message);
	}

	/** Returns the last heartbeat, which says that this process is about to end. */
	leave(): OutgoingDatagram {
		const {peers} = this.options;
		return {datagram: this.#encode(true, []), targets: new Set([...peers.presentHosts(), ...peers.summaryTargets()])};
	}

	#receiveHeartbeat(heartbeat: Heartbeat, now: Milliseconds): OutgoingDatagram[] {
		const {peers, onHeartbeat} = this.options;
		onHeartbeat(heartbeat);
		if (!peers.takeAnswer(heartbeat, now)) {
			return [];
		}

		const hosts = peers.hostsOf(heartbeat.availabilityZone).filter(host => host !== heartbeat.host);
		return [{datagram: this.#encode(false, hosts), targets: [heartbeat.host]}];
	}

	#receiveGrant(grant: PermitGrant): OutgoingDatagram[] {
		this.options.permits.receiveGrant(grant);
		return [];
	}

	#receiveSlotMessages(messages: readonly SlotMessage[], sender: string): OutgoingDatagram[] {
		this.options.slots?.receive(messages, sender);
		return [];
	}

	/** A summary that arrives from another zone goes to the relay of this zone, and from there to all its instances. */
	#passOn(datagram: Uint8Array, sender: string): OutgoingDatagram[] {
		const {peers} = this.options;
		if (peers.isRelay) {
			return [{datagram, targets: peers.presentHosts().filter(host => host !== sender)}];
		}

		return peers.isZonePeer(sender) ? [] : [{datagram, targets: [peers.relayHost]}];
	}

	#encode(isLeaving: boolean, knownHosts: readonly string[]): Uint8Array {
		const {host, availabilityZone, incarnation, content, peers} = this.options;
		this.#sequence++;
		return encodeHeartbeat({
			host, availabilityZone, incarnation, sequence: this.#sequence, isLeaving, ...content(), knownHosts: this.#selectKnownHosts(knownHosts),
			fleetSize: peers.toldFleetSize,
		});
	}

	#encodeSummary(): Uint8Array {
		const {host, availabilityZone, incarnation, content, peers, zoneUsage} = this.options;
		this.#sequence++;
		return encodeSummary({
			availabilityZone, relayHost: host, relayIncarnation: incarnation, sequence: this.#sequence, ...peers.summarise(content().inFlight), usage: zoneUsage(),
		});
	}

	/** Lists hosts in rotation, so that each one is listed within a few heartbeats. */
	#selectKnownHosts(hosts: readonly string[]): string[] {
		if (hosts.length <= maximumKnownHosts) {
			return [...hosts];
		}

		const listed = Array.from({length: maximumKnownHosts}, (_, index) => hosts[(this.#nextHostIndex + index) % hosts.length]!);
		this.#nextHostIndex = (this.#nextHostIndex + maximumKnownHosts) % hosts.length;
		return listed;
	}
}
