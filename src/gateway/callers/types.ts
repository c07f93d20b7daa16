import type {Milliseconds} from '../../shared/clock.js';

/** The decoded headers of a caller's request. */
export type CallerRequestMetadata = {
	readonly requestId?: string;
	/** Lower case, without a port. */
	readonly host: string;
	/** Time for which the caller will wait, from the arrival of the request. */
	readonly remainingMs?: Milliseconds;
	/** Undefined when the caller sent none; empty when its credentials lack it. */
	readonly key?: string;
	/** Prompt tokens and maximum output tokens. */
	readonly tokens?: {readonly prompt: number; readonly output: number};
	/** The caller's estimate of the output tokens, which is right at the median but often far off. */
	readonly expectedOutputTokens?: number;
	readonly lastEventId?: string;
	/** Ids of the parts of the prompt that other requests may have too, in order. */
	readonly sharedPromptParts: readonly string[];
};
