import type {Milliseconds} from '../../shared/clock.js';
import type {WorkspaceQuotas} from '../limits/workspace-quotas.js';
import type {PeerChange, PeerGroup} from './peer-group.js';
import type {Heartbeat} from './types.js';

/** Keeps the group of peers and what they use of the workspaces' quotas in step. */
export class PeerAccounting {
	static create(peers: PeerGroup, quotas: WorkspaceQuotas): PeerAccounting {
		return new PeerAccounting(peers, quotas);
	}

	private constructor(private readonly peers: PeerGroup, private readonly quotas: WorkspaceQuotas) {}

	receive(heartbeat: Heartbeat, now: Milliseconds): PeerChange[] {
		const changes = this.peers.receive(heartbeat, now);
		// A beat that was overtaken holds older totals; taking it over would count the units since then twice.
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

	/** A peer that is gone uses nothing more, so its even part must not be held back for it. */
	#forgetUsageOfRemoved(changes: PeerChange[]): PeerChange[] {
		for (const {kind, host} of changes) {
			if (kind === 'peer-left' || kind === 'peer-forgotten') {
				this.quotas.forgetPeer(host);
			}
		}

		return changes;
	}
}
