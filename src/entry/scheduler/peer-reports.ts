import type {Clock, Milliseconds} from '../../shared/clock.js';
import type {UnitOwner} from '../limits/types.js';
import type {HeartbeatMessage} from '../membership/messages.js';

/** A report older than this says nothing about the peer's current state. */
const maximumReportAgeMs: Milliseconds = 2000;

type PeerReport = {
	readonly receivedAt: Milliseconds;
	readonly heartbeat: HeartbeatMessage;
	/** By endpoint. */
	readonly unitsAboveLimit: Map<string, number>;
};

/** The last heartbeat of each peer. */
export class PeerReports {
	static create(clock: Clock): PeerReports {
		return new PeerReports(clock);
	}

	readonly #reports = new Map<string, PeerReport>();

	private constructor(private readonly clock: Clock) {}

	record(slot: string, heartbeat: HeartbeatMessage): void {
		this.#reports.set(slot, {
			receivedAt: this.clock.now(), heartbeat, unitsAboveLimit: new Map(Object.entries(heartbeat.unitsAboveLimit ?? {})),
		});
	}

	/** Records what a peer reports between two heartbeats. */
	recordUnitsAboveLimit(slot: string, endpoint: string, units: number): void {
		this.#reports.get(slot)?.unitsAboveLimit.set(endpoint, units);
	}

	/** Units above the limits of endpoints on which requests of peers are in flight, by endpoint. */
	unitsAboveLimit(): Map<string, number> {
		const sums = new Map<string, number>();
		for (const slot of this.#reports.keys()) {
			for (const [endpoint, units] of this.#recentReport(slot)?.unitsAboveLimit ?? []) {
				sums.set(endpoint, (sums.get(endpoint) ?? 0) + units);
			}
		}

		return sums;
	}

	remove(slot: string): void {
		this.#reports.delete(slot);
	}

	/** Units of the endpoint that the peer could lend, as of its last heartbeat. */
	freeUnits(slot: string, endpoint: string): number {
		return this.#recentHeartbeat(slot)?.freeUnits[endpoint] ?? 0;
	}

	/** The peer that reported the most free units of an endpoint; undefined when none has any. */
	bestLenderOf(endpoint: string): string | undefined {
		let lender: string | undefined;
		let mostUnits = 0;
		for (const slot of this.#reports.keys()) {
			const units = this.freeUnits(slot, endpoint);
			if (units > mostUnits) {
				lender = slot;
				mostUnits = units;
			}
		}

		return lender;
	}

	hasRecentReport(slot: string): boolean {
		return this.#recentHeartbeat(slot) !== undefined;
	}

	/**
	The slot that raises an endpoint's phase: the first owner, in the order given, that is this entry or has a recent heartbeat.

	Two entries that disagree may both raise the phase. They do so from the same epoch and reach the same limit.
	*/
	phaseCoordinatorOf(owners: readonly UnitOwner[], ownSlot: string): string | undefined {
		return owners.find(({slot}) => slot === ownSlot || this.hasRecentReport(slot))?.slot;
	}

	/** Peers with waiting requests of lower tiers for the service, those with the lowest tier and the most requests first. */
	peersWithLowerTiers(service: string, tierRank: number): string[] {
		const found: Array<{slot: string; lowestRank: number; waiting: number}> = [];
		for (const slot of this.#reports.keys()) {
			const waitingByTier = Object.entries(this.#recentHeartbeat(slot)?.waitingByTier[service] ?? {})
				.filter(([rank, waiting]) => Number(rank) > tierRank && waiting > 0);
			if (waitingByTier.length > 0) {
				found.push({
					slot,
					lowestRank: Math.max(...waitingByTier.map(([rank]) => Number(rank))),
					waiting: waitingByTier.reduce((sum, [, waiting]) => sum + waiting, 0),
				});
			}
		}

		return found
			.toSorted((left, right) => (right.lowestRank - left.lowestRank) || (right.waiting - left.waiting))
			.map(({slot}) => slot);
	}

	#recentHeartbeat(slot: string): HeartbeatMessage | undefined {
		return this.#recentReport(slot)?.heartbeat;
	}

	#recentReport(slot: string): PeerReport | undefined {
		const report = this.#reports.get(slot);
		return report && this.clock.now() - report.receivedAt <= maximumReportAgeMs ? report : undefined;
	}
}
