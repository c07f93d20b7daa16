import {Buffer} from 'node:buffer';
import {z} from 'zod';
import {FailureError, outcomes} from '../../shared/failure.js';
import type {ResponseHead} from '../requests/types.js';

/** Maximum size of a response that is buffered before it is relayed. */
const maximumDocumentBytes = 4_194_304;

const usageSchema = z.object({
	usage: z.object({
		// eslint-disable-next-line @typescript-eslint/naming-convention
		completion_tokens: z.number().optional(),
		// eslint-disable-next-line @typescript-eslint/naming-convention
		prompt_tokens_details: z.object({cached_tokens: z.number().optional()}).optional(),
	}),
});

/** Token counts reported by an engine. */
export type EngineUsage = {
	readonly completionTokens?: number;
	readonly promptTokensCached?: number;
};

function readUsage(document: unknown): EngineUsage {
	const usage = usageSchema.safeParse(document).data?.usage;
	return {completionTokens: usage?.completion_tokens, promptTokensCached: usage?.prompt_tokens_details?.cached_tokens};
}

/** Returns the number of cached prompt tokens in the data of one event, or undefined if there is none. */
export function readCachedPromptTokens(data: string): number | undefined {
	// Only the last event of a stream contains usage, so most events need not be parsed.
	if (!data.includes('"cached_tokens"')) {
		return undefined;
	}

	try {
		return readUsage(JSON.parse(data)).promptTokensCached;
	} catch {
		return undefined;
	}
}

/** Buffers the complete JSON response of an engine, so that it can be checked before any of it is sent to the caller. */
export class EngineDocument {
	static create(head: ResponseHead): EngineDocument {
		return new EngineDocument(head);
	}

	readonly #chunks: Uint8Array[] = [];
	#bytes = 0;

	private constructor(readonly head: ResponseHead) {}

	get isEmpty(): boolean {
		return this.#bytes === 0;
	}

	/**
	@throws {FailureError} `endpoint-failed` when the response is too large
	*/
	push(chunk: Uint8Array): void {
		this.#bytes += chunk.byteLength;
		if (this.#bytes > maximumDocumentBytes) {
			throw FailureError.create('endpoint-failed', `the response is larger than ${maximumDocumentBytes} bytes`, {outcome: outcomes.unknown});
		}

		this.#chunks.push(chunk);
	}

	/**
	@throws {FailureError} `endpoint-failed` when the response is incomplete or not JSON
	*/
	finish(): {body: Uint8Array; usage: EngineUsage} {
		const declared = this.head.headers['content-length'];
		if (declared !== undefined && Number(declared) !== this.#bytes) {
			throw FailureError.create('endpoint-failed', `the response has ${this.#bytes} of ${declared} bytes`, {outcome: outcomes.unknown});
		}

		const body = Buffer.concat(this.#chunks);
		try {
			return {body, usage: readUsage(JSON.parse(body.toString()))};
		} catch (error) {
			throw FailureError.create('endpoint-failed', 'the response is not JSON', {outcome: outcomes.unknown, cause: error});
		}
	}
}
