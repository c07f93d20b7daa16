import {Buffer} from 'node:buffer';
import {z} from 'zod';
import {FailureError} from '../../shared/failure.js';
import {joinPrompt} from '../../shared/prefix-blocks.js';

/** Assumed average number of characters in a prompt token. */
const charactersPerToken = 4;

/** Assumed for requests that set no limit. */
const defaultOutputTokens = 256;

const outputLimit = z.number().int().positive().nullish();

/* eslint-disable @typescript-eslint/naming-convention -- field names of the public API */
const commonFields = {
	model: z.string().min(1),
	stream: z.boolean().nullish(),
	max_tokens: outputLimit,
	max_completion_tokens: outputLimit,
};
/* eslint-enable @typescript-eslint/naming-convention */

const contentSchema = z.union([z.string(), z.array(z.object({text: z.string().optional()}))]);

const chatSchema = z.object({...commonFields, messages: z.array(z.object({content: contentSchema.nullish()})).min(1)});
const completionSchema = z.object({...commonFields, prompt: z.union([z.string(), z.array(z.string()).min(1)])});

type CommonFields = Pick<z.infer<typeof chatSchema>, 'model' | 'stream' | 'max_tokens' | 'max_completion_tokens'>;

/** The properties of an engine request that the scheduler uses. */
export type EngineRequest = {
	readonly model: string;
	readonly prompt: string;
	readonly promptTokens: number;
	readonly outputTokens: number;
	readonly wantsStream: boolean;
};

function toEngineRequest(fields: CommonFields, prompt: string): EngineRequest {
	return {
		model: fields.model,
		prompt,
		promptTokens: Math.ceil(prompt.length / charactersPerToken),
		outputTokens: fields.max_completion_tokens ?? fields.max_tokens ?? defaultOutputTokens,
		wantsStream: fields.stream ?? false,
	};
}

function textOf(content: z.infer<typeof chatSchema>['messages'][number]['content']): string {
	return Array.isArray(content) ? content.map(part => part.text ?? '').join('') : content ?? '';
}

function parseBody<Schema extends z.ZodType>(schema: Schema, body: Uint8Array): z.infer<Schema> {
	let document: unknown;
	try {
		document = JSON.parse(Buffer.from(body).toString());
	} catch (error) {
		throw FailureError.create('malformed-request', 'the body is not JSON', {cause: error});
	}

	const result = schema.safeParse(document);
	if (!result.success) {
		const [issue] = result.error.issues;
		throw FailureError.create('malformed-request', `${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'not as expected'}`);
	}

	return result.data;
}

/**
Parses the body of a chat request.

@throws {FailureError} `malformed-request`
*/
export function readChatRequest(body: Uint8Array): EngineRequest {
	const fields = parseBody(chatSchema, body);
	return toEngineRequest(fields, joinPrompt(fields.messages.map(message => textOf(message.content))));
}

/**
Parses the body of a completion request.

@throws {FailureError} `malformed-request`
*/
export function readCompletionRequest(body: Uint8Array): EngineRequest {
	const fields = parseBody(completionSchema, body);
	return toEngineRequest(fields, joinPrompt([fields.prompt].flat()));
}
