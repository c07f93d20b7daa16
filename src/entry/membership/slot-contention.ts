/** Whether another incarnation of the own slot is about, as far as the refusals of other slots tell. */
import type {Clock, Milliseconds} from '../../shared/clock.js';

/** Leases for which two incarnations may contest a slot before each pauses its heartbeats. A dead incarnation's bindings end within one. */
const maximumContentionLeases = 2;

/** Shortest and longest pause after a contest, in leases. Every pause outlasts the bindings that the incarnation has. */
const pauseLeases = {minimum: 1.25, maximum: 4} as const;

export type SlotContentionOptions = {
	readonly clock: Clock;
	/** Uniform numbers from 0 to 1 for the length of a pause. Default: `Math.random`. */
	readonly random?: () => number;
};

/**
Follows the refusals with reason `slot-bound`.

Two new incarnations of one slot could each keep the other from an acquisition quorum for ever, so an incarnation without the lease pauses its heartbeats at random when its slot stays contested.
*/
export class SlotContention {
	static create(options: SlotContentionOptions): SlotContention {
		return new SlotContention(options);
	}

	/** When the last heartbeat was sent that each peer refused. */
	readonly #refusedAt = new Map<string, Milliseconds>();
	readonly #clock: Clock;
	readonly #random: () => number;
	#leaseMs: Milliseconds = 0;
	#isContested = false;
	#contentionStartedAt: Milliseconds | undefined;
	/** Since when peers have answered and none has refused; undefined while one refuses or none answers. */
	#refusalsEndedAt: Milliseconds | undefined;
	#pausedUntil: Milliseconds = Number.NEGATIVE_INFINITY;

	private constructor({clock, random}: SlotContentionOptions) {
		this.#clock = clock;
		this.#random = random ?? Math.random;
	}

	/** Whether another incarnation of the slot may be alive. It stays true until the lease is held or peers have answered for one lease without a refusal. */
	get isContested(): boolean {
		return this.#isContested || this.recentRefusals > 0;
	}

	get isPaused(): boolean {
		return this.#clock.now() < this.#pausedUntil;
	}

	/** Number of peers that refused a heartbeat of the last lease. */
	get recentRefusals(): number {
		const oldestCountedAt = this.#clock.now() - this.#leaseMs;
		return [...this.#refusedAt.values()].filter(sentAt => sentAt > oldestCountedAt).length;
	}

	applyGroup(slots: ReadonlySet<string>, leaseMs: Milliseconds): void {
		this.#leaseMs = leaseMs;
		for (const peer of this.#refusedAt.keys()) {
			if (!slots.has(peer)) {
				this.#refusedAt.delete(peer);
			}
		}
	}

	/** The lease was granted: no other incarnation has it. */
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

	/** A peer answered a heartbeat without refusing it for another incarnation. */
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
