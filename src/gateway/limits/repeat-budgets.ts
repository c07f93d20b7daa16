import type {Milliseconds} from '../../shared/clock.js';
import type {Bounds} from '../settings.js';

/** Part of the bound that is used; the rest covers callers that are spread unevenly over the instances. */
const usedPart = 0.7;

const sliceMs: Milliseconds = 1000;

type Slice = {startedAt: Milliseconds; requests: number; repeats: number};

/** How many requests may be sent to a further endpoint, for each service: a share of the requests and this instance's part of a fixed number. */
export class RepeatBudgets {
	static create(bounds: Bounds): RepeatBudgets {
		return new RepeatBudgets(bounds);
	}

	readonly #slices = new Map<string, Slice[]>();

	private constructor(private readonly bounds: Bounds) {}

	noteRequest(service: string, now: Milliseconds): void {
		this.#current(service, now).requests++;
	}

	/** @param members number of instances that share the fixed number */
	take(service: string, members: number, now: Milliseconds): boolean {
		const current = this.#current(service, now);
		let requests = 0;
		let repeats = 0;
		for (const slice of this.#slices.get(service)!) {
			requests += slice.requests;
			repeats += slice.repeats;
		}

		const allowed = usedPart * ((this.bounds.retryShare * requests) + (this.bounds.retryExtra / members));
		if (repeats + 1 > allowed) {
			return false;
		}

		current.repeats++;
		return true;
	}

	#current(service: string, now: Milliseconds): Slice {
		const slices = (this.#slices.get(service) ?? []).filter(slice => now - slice.startedAt < this.bounds.retryWindowMs);
		this.#slices.set(service, slices);
		let current = slices.at(-1);
		if (current === undefined || now - current.startedAt >= sliceMs) {
			current = {startedAt: now, requests: 0, repeats: 0};
			slices.push(current);
		}

		return current;
	}
}
