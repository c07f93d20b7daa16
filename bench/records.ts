/** What the load generator records of each request. */
import type {Milliseconds} from '../src/shared/clock.js';

export const results = {
	/** The client accepted the response as complete. */
	completed: 'completed',
	/** The client was told that the request did not run, or no entry could be reached. */
	refused: 'refused',
	/** The client does not know whether the request ran. */
	unknown: 'unknown',
} as const;

export type Result = (typeof results)[keyof typeof results];

export type RequestRecord = {
	readonly index: number;
	readonly kind: 'engine' | 'plain';
	readonly workspace: string;
	readonly tier: string;
	readonly isStream: boolean;
	/** Planned time after the start of the load. Durations are measured from here, so that a delayed send counts as latency. */
	readonly at: Milliseconds;
	readonly result: Result;
	/** Type of the problem document, or of the failure that the client observed; undefined for completed requests. */
	readonly failureType?: string;
	/** Whether the accepted response was the complete response to this request; false for other results. */
	readonly isCorrect: boolean;
	/** Request id of the last attempt; undefined when no response contained one. */
	readonly requestId?: string;
	/** Base URL or address of the last attempt; undefined when there was no attempt. */
	readonly target?: string;
	/** Request ids that were refused as not run, in the last attempt and in earlier ones. */
	readonly refusedIds: readonly string[];
	readonly firstTokenMilliseconds?: Milliseconds;
	readonly totalMilliseconds: Milliseconds;
	readonly outputTokens: number;
};
