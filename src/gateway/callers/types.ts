import type {Milliseconds} from '../../shared/clock.js';

/** What a caller's headers say. */
export type CallerRequestMetadata = {
	readonly requestId?: string;
	/** Lower case, without a port. */
	readonly host: string;
	/** How long the caller waits from now on. */
	readonly remainingMs?: Milliseconds;
	readonly key?: string;
	/** Prompt tokens, and the most output tokens that are allowed. */
	readonly tokens?: {readonly prompt: number; readonly output: number};
	/** The caller's estimate of the output tokens, which is right at the median and often far off. */
	readonly expectedOutputTokens?: number;
	readonly lastEventId?: string;
};
