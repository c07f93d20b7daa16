import type {Milliseconds} from '../../shared/clock.js';
import type {WorkspaceQuotas} from '../limits/workspace-quotas.js';
import type {PeerChange, PeerGroup} from './peer-group.js';
import type {Heartbeat, ZoneSummary} from './types.js';

/** Id of a zone among the peers of the quotas; no host has this form. */
function zoneId(availabilityZone: string): string {
	return `zone ${availabilityZone}`;
}

/** Applies heartbeats to the peer group and to the workspace quotas, so that both agree on which peers exist. */
export class PeerAccounting {
	static create(peers: PeerGroup, quotas: WorkspaceQuotas, ownZone: string): PeerAccounting {
		return new PeerAccounting(peers, quotas, ownZone);
	}

	private constructor(private readonly peers: PeerGroup, private readonly quotas: WorkspaceQuotas, private readonly ownZone: string) {}

	receive(heartbeat: Heartbeat, now: Milliseconds): PeerChange[] {
		const changes = this.peers.receive(heartbeat, now);
		// A heartbeat that arrives after a later one holds older totals; applying it would count the units since then twice.
		if (changes === undefined) {
			return [];
		}

		// In a large fleet, instances of other zones are accounted for by the summaries of their zones.
		if (!this.peers.isZoned || heartbeat.availabilityZone === this.ownZone) {
			this.quotas.applyPeerUsage({
				id: heartbeat.host, incarnation: heartbeat.incarnation, usage: heartbeat.usage, isOwnZone: heartbeat.availabilityZone === this.ownZone,
			}, now);
		}

		return this.#forgetUsageOfRemoved(changes);
	}

	/** Applies the summary of another zone. Returns false when it is ignored. */
	receiveSummary(summary: ZoneSummary, now: Milliseconds): boolean {
		if (!this.peers.receiveSummary(summary, now)) {
			return false;
		}

		this.quotas.applyPeerUsage({
			id: zoneId(summary.availabilityZone), incarnation: summary.relayIncarnation, usage: summary.usage, instances: summary.hosts.length,
		}, now);
		return true;
	}

	tick(now: Milliseconds): PeerChange[] {
		const changes = this.#forgetUsageOfRemoved(this.peers.expire(now));
		this.quotas.estimatePeerUsage(now, this.peers.isFleetKnown);
		return changes;
	}

	/** A peer that has left or is forgotten uses no more units, so its equal share of each quota must not be held back for it. */
	#forgetUsageOfRemoved(changes: PeerChange[]): PeerChange[] {
		for (const {kind, host} of changes) {
			if (kind === 'peer-left' || kind === 'peer-forgotten' || kind === 'peer-summarised') {
				this.quotas.forgetPeer(host);
			}
		}

		return changes;
	}
}
