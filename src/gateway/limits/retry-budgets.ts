import type {Milliseconds} from '../../shared/clock.js';
import type {Bounds} from '../settings.js';

/** Fraction of the bound that is used; the rest allows for callers that are spread unevenly over the instances. */
export const usedBoundRatio = 0.7;

const sliceMs: Milliseconds = 1000;

/** Largest fraction of the allowed retries that extra attempts take; the rest remains for retries after failures. */
const extraAttemptRatio = 0.5;

/** `retries` includes `extraAttempts`. */
type Slice = {startedAt: Milliseconds; requests: number; retries: number; extraAttempts: number};

/** Limits the retries at further endpoints, for each service: a fraction of its requests, plus a fixed number that is divided among the instances. */
export class RetryBudgets {
	static create(bounds: Bounds): RetryBudgets {
		return new RetryBudgets(bounds);
	}

	readonly #slices = new Map<string, Slice[]>();

	private constructor(private readonly bounds: Bounds) {}

	recordRequest(service: string, now: Milliseconds): void {
		this.#currentSlice(service, now).requests++;
	}

	/** @param sharingCount number of instances that the fixed number is divided among */
	tryTake(service: string, sharingCount: number, now: Milliseconds): boolean {
		if (!this.canTake(service, sharingCount, now)) {
			return false;
		}

		this.#currentSlice(service, now).retries++;
		return true;
	}

	/** As `tryTake`, but takes nothing. */
	canTake(service: string, sharingCount: number, now: Milliseconds): boolean {
		const {retries, allowedRetries} = this.#use(service, sharingCount, now);
		return retries + 1 <= allowedRetries;
	}

	/** As `tryTake`, for an attempt beside one that has not failed. */
	tryTakeExtraAttempt(service: string, sharingCount: number, now: Milliseconds): boolean {
		if (!this.canTakeExtraAttempt(service, sharingCount, now)) {
			return false;
		}

		const slice = this.#currentSlice(service, now);
		slice.retries++;
		slice.extraAttempts++;
		return true;
	}

	/** As `tryTakeExtraAttempt`, but takes nothing. */
	canTakeExtraAttempt(service: string, sharingCount: number, now: Milliseconds): boolean {
		const {retries, extraAttempts, allowedRetries} = this.#use(service, sharingCount, now);
		return retries + 1 <= allowedRetries && extraAttempts + 1 <= extraAttemptRatio * allowedRetries;
	}

	#use(service: string, sharingCount: number, now: Milliseconds): {readonly retries: number; readonly extraAttempts: number; readonly allowedRetries: number} {
		this.#currentSlice(service, now);
		let requests = 0;
		let retries = 0;
		let extraAttempts = 0;
		for (const slice of this.#slices.get(service)!) {
			requests += slice.requests;
			retries += slice.retries;
			extraAttempts += slice.extraAttempts;
		}

		return {retries, extraAttempts, allowedRetries: usedBoundRatio * ((this.bounds.retryRatio * requests) + (this.bounds.retryExtra / sharingCount))};
	}

	#currentSlice(service: string, now: Milliseconds): Slice {
		const slices = (this.#slices.get(service) ?? []).filter(slice => now - slice.startedAt < this.bounds.retryWindowMs);
		this.#slices.set(service, slices);
		let current = slices.at(-1);
		if (current === undefined || now - current.startedAt >= sliceMs) {
			current = {
				startedAt: now, requests: 0, retries: 0, extraAttempts: 0,
			};
			slices.push(current);
		}

		return current;
	}
}
