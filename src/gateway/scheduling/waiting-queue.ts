import type {Milliseconds} from '../../shared/clock.js';
import {ArrivalOrder} from './arrival-order.js';
import {ServiceOrder} from './service-order.js';
import type {RequestNeed, RequestOrder, WaitingRequest} from './types.js';

/** Interval at which all requests are checked for their latest dispatch time. */
const expiryIntervalMs: Milliseconds = 100;

/** Requests in the order in which they get slots: those that can still meet their target by tier, then the late ones by tier. Within a tier, they come in order of arrival, or fairly by workspace. */
export class WaitingQueue {
	/** @param need what a request is expected to need, for the fair order */
	static create(need: (request: WaitingRequest) => RequestNeed = () => ({firstEventMs: 0, slotMs: 1})): WaitingQueue {
		return new WaitingQueue(need);
	}

	/** When each request was added, in order of arrival. */
	readonly #addedAt = new Map<WaitingRequest, Milliseconds>();
	#order: RequestOrder = ArrivalOrder.create();
	#isFair = false;
	#expiryCheckedAt: Milliseconds = -Infinity;

	private constructor(private readonly need: (request: WaitingRequest) => RequestNeed) {}

	get size(): number {
		return this.#addedAt.size;
	}

	/** Selects the order within a tier. Requests that wait already are ordered anew. */
	setFair(isFair: boolean): void {
		if (isFair === this.#isFair) {
			return;
		}

		const previous = this.#order;
		this.#isFair = isFair;
		this.#order = isFair ? ServiceOrder.create(this.need) : ArrivalOrder.create();
		for (const request of this.#addedAt.keys()) {
			this.#order.add(request, previous.isLate(request));
		}
	}

	/** @param now default: the request counts as added at the start of the clock */
	add(request: WaitingRequest, now: Milliseconds = 0): void {
		if (!this.#addedAt.has(request)) {
			this.#addedAt.set(request, now);
			this.#order.add(request);
		}
	}

	/** @param isDispatched whether the removal counts for the share of the workspace */
	remove(request: WaitingRequest, isDispatched = false): boolean {
		if (!this.#addedAt.delete(request)) {
			return false;
		}

		this.#order.remove(request, isDispatched);
		return true;
	}

	/** Returns for how long a request has waited. */
	waitedMs(request: WaitingRequest, now: Milliseconds): Milliseconds {
		return now - (this.#addedAt.get(request) ?? now);
	}

	has(request: WaitingRequest): boolean {
		return this.#addedAt.has(request);
	}

	isLate(request: WaitingRequest): boolean {
		return this.#order.isLate(request);
	}

	/** Returns the latest dispatch with which a request can meet its target. */
	latestOnTimeDispatch(request: WaitingRequest, minimumResponseMs: Milliseconds): Milliseconds {
		return this.#order.latestOnTimeDispatch(request, minimumResponseMs);
	}

	/**
	Returns the number of on-time requests that come before a new one of this tier.

	@param request if given, those that the fair order puts before it
	*/
	onTimeAhead(tier: number, request?: WaitingRequest): number {
		return this.#order.onTimeAhead(tier, request);
	}

	/**
	Returns the number of late requests up to and including this tier.

	@param request if given, those that the fair order puts before it, and itself if it is one of them
	*/
	lateAhead(tier: number, request?: WaitingRequest): number {
		return this.#order.lateAhead(tier, request);
	}

	/**
	Moves requests that can no longer meet their target behind those that can.

	@param minimumResponseMs minimum time from dispatch to a response or first event; a request whose target comes sooner is late. The fair order goes by what each request is expected to need instead
	@returns the requests that have become late
	*/
	moveLate(now: Milliseconds, minimumResponseMs: Milliseconds): WaitingRequest[] {
		return this.#order.moveLate(now, minimumResponseMs);
	}

	/** Removes and returns requests whose latest dispatch time has passed. In order of arrival, the walk in order comes to them soon enough; in the fair order, it may never. */
	takeExpired(now: Milliseconds): WaitingRequest[] {
		if (!this.#isFair || now - this.#expiryCheckedAt < expiryIntervalMs) {
			return [];
		}

		this.#expiryCheckedAt = now;
		const expired = [...this.#addedAt.keys()].filter(({latestDispatchAt}) => now > latestDispatchAt);
		for (const request of expired) {
			this.remove(request);
		}

		return expired;
	}

	/** Yields the requests in dispatch order, without removing them. Ends when the order is changed meanwhile. */
	* inOrder(): Generator<WaitingRequest> {
		const order = this.#order;
		for (const request of order.inOrder()) {
			// The previous order is not told of removals, and a request must not be dispatched twice.
			if (order !== this.#order) {
				return;
			}

			yield request;
		}
	}
}
