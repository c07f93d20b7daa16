import type {Milliseconds} from '../../shared/clock.js';

/** Time over which starts are counted. Long enough for some starts of each tier, short enough to follow a burst of 2,500 ms. */
const windowMs: Milliseconds = 1500;

type Start = {readonly at: Milliseconds; readonly rank: number};

/** Rank of a request that can no longer be in time: it comes after all others. */
export const lateRank = Infinity;

/** How fast places become free, seen from the requests that were started lately while others waited. */
export class StartRate {
	static create(): StartRate {
		return new StartRate();
	}

	readonly #starts: Start[] = [];
	#first = 0;
	/** Since when requests have been waiting without a pause. */
	#waitingSince: Milliseconds | undefined;

	private constructor() {}

	/** @param rank tier of a request that could be in time, or `lateRank` */
	noteStart(rank: number, now: Milliseconds): void {
		this.#starts.push({at: now, rank});
		this.#forget(now);
	}

	noteLine(isEmpty: boolean, now: Milliseconds): void {
		this.#waitingSince = isEmpty ? undefined : this.#waitingSince ?? now;
	}

	/**
	Expected time until a request with so many others ahead of it gets a place. Places that go to earlier ranks are not counted.

	@returns undefined while requests have not waited long enough to tell
	*/
	expectedWait(rank: number, ahead: number, now: Milliseconds): Milliseconds | undefined {
		this.#forget(now);
		const observedMs = this.#waitingSince === undefined ? 0 : Math.min(now - this.#waitingSince, windowMs);
		if (observedMs < windowMs / 3) {
			return undefined;
		}

		let starts = 0;
		for (let index = this.#first; index < this.#starts.length; index++) {
			const start = this.#starts[index]!;
			if (start.rank >= rank && now - start.at <= observedMs) {
				starts++;
			}
		}

		return starts === 0 ? Infinity : (ahead + 1) * observedMs / starts;
	}

	#forget(now: Milliseconds): void {
		while (this.#first < this.#starts.length && now - this.#starts[this.#first]!.at > windowMs) {
			this.#first++;
		}

		if (this.#first > 1000) {
			this.#starts.splice(0, this.#first);
			this.#first = 0;
		}
	}
}
