import type {Milliseconds} from '../../shared/clock.js';

/** A part of a prompt that several requests may share. */
export type PromptPart = {
	readonly id: string;
	readonly tokens: number;
};

/** What a caller's headers say. */
export type CallerRequestFacts = {
	readonly requestId?: string;
	/** Lower case, without a port. */
	readonly host: string;
	/** How long the caller waits from now on. */
	readonly remainingMs?: Milliseconds;
	readonly key?: string;
	readonly tokens?: {readonly prompt: number; readonly output: number};
	/** In the order of the prompt; the last one is the request's or session's own. */
	readonly promptParts: readonly PromptPart[];
	readonly lastEventId?: string;
};
