import type {Milliseconds} from '../../shared/clock.js';
import type {WorkspaceQuotas} from '../limits/workspace-quotas.js';
import type {PeerChange, PeerGroup} from './peer-group.js';
import type {Heartbeat} from './types.js';

/** Applies heartbeats to the peer group and to the workspace quotas, so that both agree on which peers exist. */
export class PeerAccounting {
	static create(peers: PeerGroup, quotas: WorkspaceQuotas): PeerAccounting {
		return new PeerAccounting(peers, quotas);
	}

	private constructor(private readonly peers: PeerGroup, private readonly quotas: WorkspaceQuotas) {}

	receive(heartbeat: Heartbeat, now: Milliseconds): PeerChange[] {
		const changes = this.peers.receive(heartbeat, now);
		// A heartbeat that arrives after a later one holds older totals; applying it would count the units since then twice.
		if (changes === undefined) {
			return [];
		}

		this.quotas.applyPeerUsage(heartbeat.host, heartbeat.incarnation, heartbeat.usage, now);
		return this.#forgetUsageOfRemoved(changes);
	}

	tick(now: Milliseconds): PeerChange[] {
		const changes = this.#forgetUsageOfRemoved(this.peers.expire(now));
		this.quotas.estimatePeerUsage(now);
		return changes;
	}

	/** A peer that has left or is forgotten uses no more units, so its equal share of each quota must not be held back for it. */
	#forgetUsageOfRemoved(changes: PeerChange[]): PeerChange[] {
		for (const {kind, host} of changes) {
			if (kind === 'peer-left' || kind === 'peer-forgotten') {
				this.quotas.forgetPeer(host);
			}
		}

		return changes;
	}
}
