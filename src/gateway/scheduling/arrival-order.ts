import type {Milliseconds} from '../../shared/clock.js';
import type {RequestOrder, WaitingRequest} from './types.js';

/** Requests by tier in order of arrival: those that can still meet their target, then the late ones. */
export class ArrivalOrder implements RequestOrder {
	static create(): ArrivalOrder {
		return new ArrivalOrder();
	}

	/** By tier, in order of arrival. */
	readonly #onTime = new Map<number, Set<WaitingRequest>>();
	readonly #late = new Map<number, Set<WaitingRequest>>();

	private constructor() {}

	add(request: WaitingRequest, isLate = false): void {
		this.#queueOfTier(isLate ? this.#late : this.#onTime, request.tier).add(request);
	}

	remove(request: WaitingRequest): void {
		if (this.#onTime.get(request.tier)?.delete(request) !== true) {
			this.#late.get(request.tier)?.delete(request);
		}
	}

	isLate(request: WaitingRequest): boolean {
		return this.#late.get(request.tier)?.has(request) === true;
	}

	latestOnTimeDispatch({targetAt}: WaitingRequest, minimumResponseMs: Milliseconds): Milliseconds {
		return targetAt - minimumResponseMs;
	}

	onTimeAhead(tier: number): number {
		return this.#countUpTo(this.#onTime, tier);
	}

	lateAhead(tier: number): number {
		return this.#countUpTo(this.#late, tier);
	}

	moveLate(now: Milliseconds, minimumResponseMs: Milliseconds): WaitingRequest[] {
		const moved: WaitingRequest[] = [];
		for (const [tier, queue] of this.#onTime) {
			for (const request of queue) {
				// A request that is queued again after a failure may come after newer ones, so all must be checked.
				if (now + minimumResponseMs > request.targetAt) {
					queue.delete(request);
					this.#queueOfTier(this.#late, tier).add(request);
					moved.push(request);
				}
			}
		}

		return moved;
	}

	* inOrder(): Generator<WaitingRequest> {
		yield * this.#byTier(this.#onTime);
		yield * this.#byTier(this.#late);
	}

	* #byTier(queues: ReadonlyMap<number, Set<WaitingRequest>>): Generator<WaitingRequest> {
		for (const tier of [...queues.keys()].toSorted((a, b) => a - b)) {
			yield * queues.get(tier)!;
		}
	}

	#countUpTo(queues: ReadonlyMap<number, Set<WaitingRequest>>, tier: number): number {
		let count = 0;
		for (const [other, queue] of queues) {
			count += other <= tier ? queue.size : 0;
		}

		return count;
	}

	#queueOfTier(queues: Map<number, Set<WaitingRequest>>, tier: number): Set<WaitingRequest> {
		let queue = queues.get(tier);
		if (queue === undefined) {
			queue = new Set();
			queues.set(tier, queue);
		}

		return queue;
	}
}
