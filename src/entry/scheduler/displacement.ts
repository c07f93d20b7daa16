import type {Clock, Milliseconds} from '../../shared/clock.js';
import type {Submission} from '../requests/types.js';

/** Peers answer within a few milliseconds; a peer that does not is treated as unreachable. */
const replyTimeoutMs: Milliseconds = 250;

/** A request that found its queue full and asks peers to shed a lower tier instead. */
export type PendingDisplacement = {
	readonly displaceId: string;
	readonly submission: Submission;
	readonly tierRank: number;
	/** Peers that have not been asked yet. */
	readonly remainingPeers: string[];
	askedPeer: string | undefined;
	askedAt: Milliseconds;
};

/** What to do next for a displacement. */
export type DisplacementStep
	= | {readonly kind: 'ask'; readonly peer: string; readonly pending: PendingDisplacement}
		| {readonly kind: 'admit'; readonly pending: PendingDisplacement}
		| {readonly kind: 'shed'; readonly pending: PendingDisplacement};

/**
Keeps the requests for which peers are asked to shed a lower tier.

Peers are asked one after another, those with the most waiting requests of lower tiers first, and the request is shed only when all have answered that they have none or do not answer.
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

	/** Handles a peer's answer; undefined when nobody waits for it any more. */
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

	/** Goes on to the next peer where the asked one did not answer in time. */
	tick(): DisplacementStep[] {
		const now = this.clock.now();
		return [...this.#pending.values()]
			.filter(pending => now - pending.askedAt >= replyTimeoutMs)
			.map(pending => this.#askNextPeer(pending));
	}

	/** Gives up a displacement, for example because its caller has disconnected. */
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
