import type {Milliseconds} from '../../shared/clock.js';

/** Time over which dispatches are counted: long enough for some dispatches of each tier, short enough to follow a burst of 2,500 ms. */
const windowMs: Milliseconds = 1500;

type Dispatch = {readonly at: Milliseconds; readonly rank: number};

/** Rank of a request that can no longer meet its target: it comes after all others. */
export const lateRank = Infinity;

/** Estimates waiting times from the rate of recent dispatches while other requests waited. */
export class DispatchRate {
	static create(): DispatchRate {
		return new DispatchRate();
	}

	readonly #dispatches: Dispatch[] = [];
	#firstIndex = 0;
	/** Time since which the queue has not been empty. */
	#waitingSince: Milliseconds | undefined;

	private constructor() {}

	/** @param rank tier of a request that is on time, or `lateRank` */
	recordDispatch(rank: number, now: Milliseconds): void {
		this.#dispatches.push({at: now, rank});
		this.#removeExpired(now);
	}

	recordQueueState(isEmpty: boolean, now: Milliseconds): void {
		this.#waitingSince = isEmpty ? undefined : this.#waitingSince ?? now;
	}

	/** Begins the observation again, because the dispatches so far say nothing about those to come. */
	restart(now: Milliseconds): void {
		this.#waitingSince = now;
	}

	/**
	Returns the expected time until a request gets a slot. Dispatches with a lower rank number don't count, because they go before this request.

	@param ahead requests that come before it
	@returns undefined until the queue has been non-empty long enough for an estimate
	*/
	expectedWaitMs(rank: number, ahead: number, now: Milliseconds): Milliseconds | undefined {
		this.#removeExpired(now);
		const observedMs = this.#waitingSince === undefined ? 0 : Math.min(now - this.#waitingSince, windowMs);
		if (observedMs < windowMs / 3) {
			return undefined;
		}

		let dispatchCount = 0;
		for (let index = this.#firstIndex; index < this.#dispatches.length; index++) {
			const dispatch = this.#dispatches[index]!;
			if (dispatch.rank >= rank && now - dispatch.at <= observedMs) {
				dispatchCount++;
			}
		}

		return dispatchCount === 0 ? Infinity : (ahead + 1) * observedMs / dispatchCount;
	}

	#removeExpired(now: Milliseconds): void {
		while (this.#firstIndex < this.#dispatches.length && now - this.#dispatches[this.#firstIndex]!.at > windowMs) {
			this.#firstIndex++;
		}

		if (this.#firstIndex > 1000) {
			this.#dispatches.splice(0, this.#firstIndex);
			this.#firstIndex = 0;
		}
	}
}
