import type {Clock, Milliseconds} from '../../shared/clock.js';
import type {Submission} from '../requests/types.js';

/** Peers reply within a few milliseconds; a peer that takes longer is treated as unreachable. */
const replyTimeoutMs: Milliseconds = 250;

/** A request that found the queue full, and for which peers are asked to shed a lower tier instead. */
export type PendingDisplacement = {
	readonly displaceId: string;
	readonly submission: Submission;
	readonly tierRank: number;
	/** Peers that have not been asked yet. */
	readonly remainingPeers: string[];
	askedPeer: string | undefined;
	askedAt: Milliseconds;
};

/** Next step of a displacement. */
export type DisplacementStep
	= | {readonly kind: 'ask'; readonly peer: string; readonly pending: PendingDisplacement}
		| {readonly kind: 'admit'; readonly pending: PendingDisplacement}
		| {readonly kind: 'shed'; readonly pending: PendingDisplacement};

/**
Tracks the requests for which peers are asked to shed a lower tier.

Peers are asked one after another, those with the lowest tiers and the most waiting requests of lower tiers first. The request is shed only when each peer has replied that it has no such request, or has not replied in time.
*/
export class Displacement {
	static create(clock: Clock): Displacement {
		return new Displacement(clock);
	}

	readonly #pending = new Map<string, PendingDisplacement>();

	private constructor(private readonly clock: Clock) {}

	start(submission: Submission, tierRank: number, peers: readonly string[]): DisplacementStep {
		const pending: PendingDisplacement = {
			displaceId: submission.requestId,
			submission,
			tierRank,
			remainingPeers: [...peers],
			askedPeer: undefined,
			askedAt: this.clock.now(),
		};
		this.#pending.set(pending.displaceId, pending);
		return this.#askNextPeer(pending);
	}

	/** Handles a peer's reply. Returns undefined when the reply is not expected, for example because it is late. */
	receiveReply(displaceId: string, peer: string, isDisplaced: boolean): DisplacementStep | undefined {
		const pending = this.#pending.get(displaceId);
		if (pending?.askedPeer !== peer) {
			return undefined;
		}

		if (isDisplaced) {
			this.#pending.delete(displaceId);
			return {kind: 'admit', pending};
		}

		return this.#askNextPeer(pending);
	}

	/** Asks the next peer where the previous one has not replied in time. */
	tick(): DisplacementStep[] {
		const now = this.clock.now();
		return [...this.#pending.values()]
			.filter(pending => now - pending.askedAt >= replyTimeoutMs)
			.map(pending => this.#askNextPeer(pending));
	}

	/** Cancels a displacement, for example because the caller has disconnected. */
	cancel(requestId: string): boolean {
		return this.#pending.delete(requestId);
	}

	get size(): number {
		return this.#pending.size;
	}

	#askNextPeer(pending: PendingDisplacement): DisplacementStep {
		const peer = pending.remainingPeers.shift();
		if (peer === undefined) {
			this.#pending.delete(pending.displaceId);
			return {kind: 'shed', pending};
		}

		pending.askedPeer = peer;
		pending.askedAt = this.clock.now();
		return {kind: 'ask', peer, pending};
	}
}
