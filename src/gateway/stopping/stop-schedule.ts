import type {Milliseconds} from '../../shared/clock.js';

/** Time after the request to stop during which new requests are accepted: the load balancer sends callers here until two of its health checks, one second apart, have failed. */
const acceptMs: Milliseconds = 3000;

/** Fraction of the grace period in which requests are dispatched. The rest is left for their runs. */
const dispatchRatio = 0.5;

/** Time before the kill at which the process exits, even with requests under way. */
const exitMarginMs: Milliseconds = 350;

/** The stages of a planned stop, by the times at which they end. */
export type StopSchedule = {
	/** Later requests are refused. */
	readonly acceptUntil: Milliseconds;
	/** Later nothing is sent to an endpoint, and requests that still wait are refused: the process would end before most responses, and the outcome would be unknown. */
	readonly dispatchUntil: Milliseconds;
	readonly exitAt: Milliseconds;
};

export function createStopSchedule(requestedAt: Milliseconds, graceMs: Milliseconds): StopSchedule {
	const dispatchUntil = requestedAt + (dispatchRatio * graceMs);
	return {
		acceptUntil: Math.min(requestedAt + acceptMs, dispatchUntil),
		dispatchUntil,
		exitAt: requestedAt + graceMs - exitMarginMs,
	};
}
