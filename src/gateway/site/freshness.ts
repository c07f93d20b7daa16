import type {Milliseconds} from '../../shared/clock.js';

/** Part of the revocation bound that is kept back for the way of a request from its caller and for timers that fire late, in milliseconds. A caller's packet that is lost once is sent again after about 200 ms. */
const requestTransitMarginMs = 500;

/** Age of the last reading from which the balancer sends callers elsewhere, as a part of the bound: two readiness questions one second apart must fail before callers stop coming. */
const readinessAgeRatio = 0.6;

/**
Decides whether what this process believes is recent enough to run a request by it.

A reading that was sent at `confirmedAt` holds every key removal acknowledged before. A request that arrives at most the bound less the margin later can't have been sent later than the bound after an unknown removal.
*/
export class Freshness {
	static create(revocationMs: Milliseconds): Freshness {
		return new Freshness(revocationMs);
	}

	readonly #maximumForwardingAgeMs: Milliseconds;
	readonly #maximumReadyAgeMs: Milliseconds;

	private constructor(revocationMs: Milliseconds) {
		this.#maximumForwardingAgeMs = revocationMs - requestTransitMarginMs;
		this.#maximumReadyAgeMs = revocationMs * readinessAgeRatio;
	}

	/** Whether a request that arrived then may run. */
	allowsForwarding(arrivedAt: Milliseconds, confirmedAt: Milliseconds | undefined): boolean {
		return confirmedAt !== undefined && arrivedAt - confirmedAt <= this.#maximumForwardingAgeMs;
	}

	/** Whether new callers should come here. */
	isReady(now: Milliseconds, confirmedAt: Milliseconds | undefined): boolean {
		return confirmedAt !== undefined && now - confirmedAt <= this.#maximumReadyAgeMs;
	}
}
