/** The deterministic completion of the stand-in engine, so that a client can verify that it received its own completion, and all of it. */
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** For prompts; an output token is one word. */
const charactersPerToken = 4;
const defaultMaximumTokens = 64;
/** Number of values of a 32-bit hash. */
const hashRange = 2 ** 32;

/** The fields of an OpenAI-style completion request that the stand-in reads. */
export type CompletionBody = {
	readonly model: string;
	readonly messages?: ReadonlyArray<{readonly role: string; readonly content: string}>;
	readonly prompt?: string;
	/** Default: 64. */
	readonly max_tokens?: number;
	readonly stream?: boolean;
};

export type Completion = {
	/** One word with a trailing space for each token. */
	readonly tokens: readonly string[];
	readonly text: string;
};

/** The message contents joined by line feeds, or the prompt. */
export function promptText(body: CompletionBody): string {
	return body.messages?.map(message => message.content).join('\n') ?? body.prompt ?? '';
}

/** Prompt tokens at four characters each, at least 1. */
export function countPromptTokens(text: string): number {
	return Math.max(1, Math.ceil(text.length / charactersPerToken));
}

/** Maximum number of output tokens of a request, at least 1. */
export function maximumOutputTokens(body: CompletionBody): number {
	return Math.max(1, body.max_tokens ?? defaultMaximumTokens);
}

/**
The completion of a request. It depends on the request id, model, prompt and `max_tokens`, and not on whether it is streamed.

The length is between half of `max_tokens` and all of it, because a scheduler knows only the upper bound.
*/
export function expectedCompletion(requestId: string, body: CompletionBody): Completion {
	const limit = maximumOutputTokens(body);
	const seed = hasher.h32(JSON.stringify([requestId, body.model, promptText(body), limit]));
	const length = Math.ceil(limit * (0.5 + (seed / hashRange / 2)));
	const tokens = Array.from({length}, (_, index) => `${hasher.h32(String(index), seed).toString(36)} `);
	return {tokens, text: tokens.join('')};
}
