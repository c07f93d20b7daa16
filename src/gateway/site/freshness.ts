import type {Milliseconds} from '../../shared/clock.js';

/** Margin within the revocation bound for the transit of a request from its caller and for timers that fire late. A caller's packet that is lost once is retransmitted after about 200 ms. */
const requestTransitMarginMs = 500;

/** Age of the last read, as a ratio of the revocation bound, above which the balancer is to send callers elsewhere: two readiness checks one second apart must fail before it does. */
const readinessAgeRatio = 0.6;

/**
Decides whether the site state is recent enough to forward a request.

A read that was sent at `confirmedAt` returns every key removal that was acknowledged before. A request that arrives at most the revocation bound less the margin later can't have been sent later than the bound after a removal that the read lacks.
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

	/** Whether the balancer should send new callers to this instance. */
	isReady(now: Milliseconds, confirmedAt: Milliseconds | undefined): boolean {
		return confirmedAt !== undefined && now - confirmedAt <= this.#maximumReadyAgeMs;
	}
}
