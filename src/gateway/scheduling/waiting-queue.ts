import type {Milliseconds} from '../../shared/clock.js';
import type {WaitingRequest} from './types.js';

/** Requests in the order in which they get slots: those that can still meet their target by tier, then the late ones by tier. */
export class WaitingQueue {
	static create(): WaitingQueue {
		return new WaitingQueue();
	}

	/** By tier, in order of arrival. */
	readonly #onTime = new Map<number, Set<WaitingRequest>>();
	readonly #late = new Map<number, Set<WaitingRequest>>();
	#size = 0;

	private constructor() {}

	get size(): number {
		return this.#size;
	}

	add(request: WaitingRequest): void {
		this.#queueOfTier(this.#onTime, request.tier).add(request);
		this.#size++;
	}

	remove(request: WaitingRequest): boolean {
		const isRemoved = this.#onTime.get(request.tier)?.delete(request) === true || this.#late.get(request.tier)?.delete(request) === true;
		if (isRemoved) {
			this.#size--;
		}

		return isRemoved;
	}

	has(request: WaitingRequest): boolean {
		return this.#onTime.get(request.tier)?.has(request) === true || this.isLate(request);
	}

	isLate(request: WaitingRequest): boolean {
		return this.#late.get(request.tier)?.has(request) === true;
	}

	/** Returns the number of on-time requests that come before a new one of this tier. */
	onTimeAhead(tier: number): number {
		let ahead = 0;
		for (const [other, queue] of this.#onTime) {
			ahead += other <= tier ? queue.size : 0;
		}

		return ahead;
	}

	/** Returns the number of late requests up to and including this tier. */
	lateAhead(tier: number): number {
		let ahead = 0;
		for (const [other, queue] of this.#late) {
			ahead += other <= tier ? queue.size : 0;
		}

		return ahead;
	}

	/**
	Moves requests that can no longer meet their target behind those that can.

	@param minimumResponseMs minimum time from dispatch to a response or first event; a request whose target comes sooner is late
	@returns the requests that have become late
	*/
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

	/** Yields the requests in dispatch order, without removing them. */
	* inOrder(): Generator<WaitingRequest> {
		yield * this.#byTier(this.#onTime);
		yield * this.#byTier(this.#late);
	}

	* #byTier(queues: ReadonlyMap<number, Set<WaitingRequest>>): Generator<WaitingRequest> {
		for (const tier of [...queues.keys()].toSorted((a, b) => a - b)) {
			yield * queues.get(tier)!;
		}
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
