import type {Milliseconds} from '../../shared/clock.js';

/** Time for which a ceiling holds: the others see within about one beat what this instance has started. */
const windowMs: Milliseconds = 100;

export type GrowthState = {
	/** Requests of this instance under way at the endpoint. */
	readonly own: number;
	/** Requests of all instances under way there, as far as known. */
	readonly total: number;
	readonly slots: number;
	/** Instances that may use the endpoint, this one among them. */
	readonly members: number;
};

/**
Keeps instances that see the same free places from all filling them at once.

Within a window an instance may put new requests where its own have ended, and besides take its even part of the places that were free at the window's start. Parts of a place are drawn by lot.
*/
export class GrowthLimit {
	static create(): GrowthLimit {
		return new GrowthLimit();
	}

	#startedAt: Milliseconds = -Infinity;
	#ceiling = 0;

	private constructor() {}

	/** @param draw draws from 0 to below 1 */
	mayStart({own, total, slots, members}: GrowthState, now: Milliseconds, draw: () => number): boolean {
		if (total >= slots) {
			return false;
		}

		if (now - this.#startedAt >= windowMs) {
			this.#startedAt = now;
			this.#ceiling = own + Math.floor(((slots - total) / members) + draw());
		}

		return own < this.#ceiling;
	}
}
