import type {Milliseconds} from '../../shared/clock.js';

/** Time after the request to stop during which new requests are accepted: the load balancer sends callers here until two of its health checks, one second apart, have failed. */
const acceptMs: Milliseconds = 3000;

/** Fraction of the grace period in which requests are dispatched. The rest is left for their runs. */
const dispatchRatio = 0.5;

/** Fraction of the grace period in which no request under way is ended, from the platform's description of a planned stop. */
const undisturbedRatio = 5 / 6;

/** Time before the kill at which requests under way are ended. */
const endRequestsMarginMs: Milliseconds = 700;

/** Time before the kill at which the process exits, even with responses that their callers have not read. */
const exitMarginMs: Milliseconds = 350;

/** The stages of a planned stop, by the times at which they end. */
export type StopSchedule = {
	/** Later requests are refused. */
	readonly acceptUntil: Milliseconds;
	/** Later nothing is sent to an endpoint, and requests that still wait are refused: the process would end before most responses, and the outcome would be unknown. */
	readonly dispatchUntil: Milliseconds;
	/** Requests under way are ended then. */
	readonly endRequestsAt: Milliseconds;
	readonly exitAt: Milliseconds;
};

export function createStopSchedule(requestedAt: Milliseconds, graceMs: Milliseconds): StopSchedule {
	const dispatchUntil = requestedAt + (dispatchRatio * graceMs);
	const killAt = requestedAt + graceMs;
	const endRequestsAt = Math.max(requestedAt + (undisturbedRatio * graceMs), killAt - endRequestsMarginMs);
	return {
		acceptUntil: Math.min(requestedAt + acceptMs, dispatchUntil),
		dispatchUntil,
		endRequestsAt,
		exitAt: Math.max(endRequestsAt, killAt - exitMarginMs),
	};
}
