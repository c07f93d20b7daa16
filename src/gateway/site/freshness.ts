import type {Milliseconds} from '../../shared/clock.js';

/** Margin within the revocation bound for the transit of a request from its caller and for timers that fire late. A caller's packet that is lost once is retransmitted after about 200 ms. */
const requestTransitMarginMs = 500;

/** Age of the site state, as a fraction of the revocation bound, above which the instance is not ready. It is below 1 because the load balancer sends callers elsewhere only after two failed readiness checks, one second apart. */
const readinessAgeRatio = 0.6;

/**
Decides whether the site state is recent enough to forward a request.

A read that was sent at `confirmedAt` returns every key removal that was acknowledged before then, so any removal that it lacks is newer. A request that arrives within the revocation bound, less the margin, after `confirmedAt` can therefore not have been sent later than the bound after such a removal.
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

	/** Whether a request that arrived at `arrivedAt` may be forwarded. */
	allowsForwarding(arrivedAt: Milliseconds, confirmedAt: Milliseconds | undefined): boolean {
		return confirmedAt !== undefined && arrivedAt - confirmedAt <= this.#maximumForwardingAgeMs;
	}

	/** Whether the load balancer should send new callers to this instance. */
	isReady(now: Milliseconds, confirmedAt: Milliseconds | undefined): boolean {
		return confirmedAt !== undefined && now - confirmedAt <= this.#maximumReadyAgeMs;
	}
}
