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

/** When the stop was requested. A process that was busy reads the request later than it was made. */
export type StopRequestTime = {
	readonly earliest: Milliseconds;
	readonly latest: Milliseconds;
};

/** The stages of a planned stop, by the times at which they end. */
export type StopSchedule = {
	/** Later requests are refused. */
	readonly acceptUntil: Milliseconds;
	/** Until then connections are accepted, because callers are still sent here. */
	readonly listenUntil: Milliseconds;
	/** Later nothing is sent to an endpoint, and requests that still wait are refused: the process would end before most responses, and the outcome would be unknown. */
	readonly dispatchUntil: Milliseconds;
	/** Requests under way are ended then. */
	readonly endRequestsAt: Milliseconds;
	readonly exitAt: Milliseconds;
};

/** Each stage ends by the earliest time at which the request to stop may have been made, but no request is ended before the last sixth of the grace period, counted from the latest. */
export function createStopSchedule({earliest, latest}: StopRequestTime, graceMs: Milliseconds): StopSchedule {
	const dispatchUntil = earliest + (dispatchRatio * graceMs);
	const killAt = earliest + graceMs;
	const endRequestsAt = Math.max(latest + (undisturbedRatio * graceMs), killAt - endRequestsMarginMs);
	return {
		acceptUntil: Math.min(earliest + acceptMs, dispatchUntil),
		listenUntil: latest + Math.min(acceptMs, dispatchRatio * graceMs),
		dispatchUntil,
		endRequestsAt,
		exitAt: Math.max(endRequestsAt, killAt - exitMarginMs),
	};
}
