import type {Milliseconds} from '../../shared/clock.js';
import type {Bounds} from '../settings.js';

/** Part of the bound that is used; the rest covers callers that are spread unevenly over the instances. */
const usedBoundRatio = 0.7;

const sliceMs: Milliseconds = 1000;

type Slice = {startedAt: Milliseconds; requests: number; retries: number};

/** How many requests may be sent to a further endpoint, for each service: a share of the requests and this instance's part of a fixed number. */
export class RetryBudgets {
	static create(bounds: Bounds): RetryBudgets {
		return new RetryBudgets(bounds);
	}

	readonly #slices = new Map<string, Slice[]>();

	private constructor(private readonly bounds: Bounds) {}

	recordRequest(service: string, now: Milliseconds): void {
		this.#current(service, now).requests++;
	}

	/** @param members number of instances that share the fixed number */
	tryTake(service: string, members: number, now: Milliseconds): boolean {
		const current = this.#current(service, now);
		let requests = 0;
		let retries = 0;
		for (const slice of this.#slices.get(service)!) {
			requests += slice.requests;
			retries += slice.retries;
		}

		const allowed = usedBoundRatio * ((this.bounds.retryRatio * requests) + (this.bounds.retryExtra / members));
		if (retries + 1 > allowed) {
			return false;
		}

		current.retries++;
		return true;
	}

	#current(service: string, now: Milliseconds): Slice {
		const slices = (this.#slices.get(service) ?? []).filter(slice => now - slice.startedAt < this.bounds.retryWindowMs);
		this.#slices.set(service, slices);
		let current = slices.at(-1);
		if (current === undefined || now - current.startedAt >= sliceMs) {
			current = {startedAt: now, requests: 0, retries: 0};
			slices.push(current);
		}

		return current;
	}
}
