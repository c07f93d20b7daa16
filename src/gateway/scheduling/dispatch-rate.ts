import type {Milliseconds} from '../../shared/clock.js';

/** Time over which starts are counted. Long enough for some starts of each tier, short enough to follow a burst of 2,500 ms. */
const windowMs: Milliseconds = 1500;

type Dispatch = {readonly at: Milliseconds; readonly rank: number};

/** Rank of a request that can no longer be in time: it comes after all others. */
export const lateRank = Infinity;

/** How fast places become free, seen from the requests that were started lately while others waited. */
export class DispatchRate {
	static create(): DispatchRate {
		return new DispatchRate();
	}

	readonly #dispatches: Dispatch[] = [];
	#firstIndex = 0;
	/** Since when requests have been waiting without a pause. */
	#waitingSince: Milliseconds | undefined;

	private constructor() {}

	/** @param rank tier of a request that could be in time, or `lateRank` */
	recordDispatch(rank: number, now: Milliseconds): void {
		this.#dispatches.push({at: now, rank});
		this.#removeExpired(now);
	}

	recordQueueState(isEmpty: boolean, now: Milliseconds): void {
		this.#waitingSince = isEmpty ? undefined : this.#waitingSince ?? now;
	}

	/**
	Expected time until a request with so many others ahead of it gets a place. Places that go to earlier ranks are not counted.

	@returns undefined while requests have not waited long enough to tell
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
