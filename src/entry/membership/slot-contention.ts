/** Detects from the refusals of other slots whether another incarnation of the own slot may be running. */
import type {Clock, Milliseconds} from '../../shared/clock.js';

/** Lease durations for which two incarnations may contend for a slot before each pauses its heartbeats. The bindings of a stopped incarnation expire within one. */
const maximumContentionLeases = 2;

/** Bounds of the pause after a prolonged contention, in lease durations. Every pause outlasts the bindings that the incarnation has. */
const pauseLeases = {minimum: 1.25, maximum: 4} as const;

export type SlotContentionOptions = {
	readonly clock: Clock;
	/** Uniform random numbers from 0 to 1 for the duration of a pause. Default: `Math.random`. */
	readonly random?: () => number;
};

/**
Evaluates the refusals with reason `slot-bound`.

Two new incarnations of one slot could keep each other from an acquisition quorum indefinitely, so an incarnation without the lease pauses its heartbeats for a random time when its slot stays contested.
*/
export class SlotContention {
	static create(options: SlotContentionOptions): SlotContention {
		return new SlotContention(options);
	}

	/** When the last heartbeat that a peer refused was sent, by peer. */
	readonly #refusedAt = new Map<string, Milliseconds>();
	readonly #clock: Clock;
	readonly #random: () => number;
	#leaseMs: Milliseconds = 0;
	#isContested = false;
	#contentionStartedAt: Milliseconds | undefined;
	/** When peers started to reply without any refusal; undefined while one refuses or none replies. */
	#refusalsEndedAt: Milliseconds | undefined;
	#pausedUntil: Milliseconds = Number.NEGATIVE_INFINITY;

	private constructor({clock, random}: SlotContentionOptions) {
		this.#clock = clock;
		this.#random = random ?? Math.random;
	}

	/** Whether another incarnation of the slot may be running. It stays true until the lease is held or peers have replied for one lease duration without a refusal. */
	get isContested(): boolean {
		return this.#isContested || this.recentRefusals > 0;
	}

	get isPaused(): boolean {
		return this.#clock.now() < this.#pausedUntil;
	}

	/** Number of peers that refused a heartbeat sent within the last lease duration. */
	get recentRefusals(): number {
		const oldestCountedAt = this.#clock.now() - this.#leaseMs;
		return [...this.#refusedAt.values()].filter(sentAt => sentAt > oldestCountedAt).length;
	}

	setGroup(slots: ReadonlySet<string>, leaseMs: Milliseconds): void {
		this.#leaseMs = leaseMs;
		for (const peer of this.#refusedAt.keys()) {
			if (!slots.has(peer)) {
				this.#refusedAt.delete(peer);
			}
		}
	}

	/** Ends the contention. Also called when the lease is granted, because then no other incarnation holds it. */
	reset(): void {
		this.#isContested = false;
		this.#contentionStartedAt = undefined;
		this.#refusalsEndedAt = undefined;
	}

	recordRefusal(peer: string, sentAt: Milliseconds, isHeld: boolean): void {
		this.#refusedAt.set(peer, sentAt);
		if (!isHeld) {
			this.#isContested = true;
			this.#refusalsEndedAt = undefined;
			this.#pauseIfProlonged();
		}
	}

	/** Records a reply that does not refuse the heartbeat because of another incarnation. */
	recordReply(peer: string, isAccepted: boolean): void {
		if (isAccepted) {
			this.#refusedAt.delete(peer);
		}

		if (this.recentRefusals > 0) {
			return;
		}

		const now = this.#clock.now();
		this.#refusalsEndedAt ??= now;
		if (now >= this.#refusalsEndedAt + this.#leaseMs) {
			this.reset();
		}
	}

	#pauseIfProlonged(): void {
		const now = this.#clock.now();
		this.#contentionStartedAt ??= now;
		if (now >= this.#contentionStartedAt + (maximumContentionLeases * this.#leaseMs)) {
			const leases = pauseLeases.minimum + ((pauseLeases.maximum - pauseLeases.minimum) * this.#random());
			this.#contentionStartedAt = undefined;
			this.#pausedUntil = now + (leases * this.#leaseMs);
		}
	}
}
