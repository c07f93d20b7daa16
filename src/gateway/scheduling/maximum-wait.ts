import type {Milliseconds} from '../../shared/clock.js';
import {requestKinds, type Route} from '../site/types.js';

/** Minimum time for which callers wait for the next event of a stream, from the platform's description of callers. */
const minimumStreamTimeoutMs: Milliseconds = 2000;

/** Multiples of a stream's latency targets for which callers wait for its next event, from the same description. */
const latencyTargetMultiple = 4;
const gapTargetMultiple = 8;

/** Time from dispatch to the first event at a busy endpoint, with a safety margin. */
const firstEventMs: Milliseconds = 400;

/** Returns how long callers wait for the next event of a stream. */
export function streamTimeoutMs({targetLatencyMs, eventGapTargetMs}: Route): Milliseconds {
	return Math.max(minimumStreamTimeoutMs, latencyTargetMultiple * targetLatencyMs, gapTargetMultiple * eventGapTargetMs);
}

/** Returns how long a request may wait until a dispatch is of no use: callers disconnect from a stream without events. */
export function maximumWaitMs(route: Route, remainingMs: Milliseconds): Milliseconds {
	if (route.kind !== requestKinds.streaming) {
		return remainingMs;
	}

	return Math.min(streamTimeoutMs(route), remainingMs) - firstEventMs;
}
