/** Turns the response to one attempt into its outcome, and compares the response with the expected one. */
import {performance} from 'node:perf_hooks';
import {isDeepStrictEqual} from 'node:util';
import type {Dispatcher} from 'undici';
import {expectedCompletion} from '../standins/completion.js';
import {
	createEngineBody, type PlannedEngineRequest, type PlannedPlainRequest, type PlannedRequest,
} from './load-plan.js';
import {results, type RequestRecord, type Result} from './records.js';
import {readEvents} from './server-sent-events.js';

/** The outcome of one attempt. */
export type Attempt = {
	readonly result: Result;
	readonly failureType?: string;
	readonly requestId?: string;
	/** Base URL or address that the request was sent to. */
	readonly target?: string;
	readonly isCorrect: boolean;
	readonly outputTokens: number;
	/** Monotonic milliseconds. */
	readonly firstTokenAt?: number;
	/** Whether the connection was refused, so that nothing was sent. */
	readonly isUnreachable?: boolean;
};

/** The members of a problem document that a caller reads. */
export type Problem = {readonly type?: string; readonly outcome?: string; readonly requestId?: string};

const typePrefix = 'urn:jackdawfork:';
/** An attempt that yielded no output. */
export const noOutput = {isCorrect: false, outputTokens: 0} as const;

/** The outcome that a problem document states. */
export function attemptFromProblem(problem: Problem, status: number, requestId: string | undefined): Attempt {
	return {
		...noOutput,
		result: problem.outcome === 'not-run' ? results.refused : results.unknown,
		failureType: problem.type?.replace(typePrefix, '') ?? `status-${status}`,
		requestId: problem.requestId ?? requestId,
	};
}

/** The outcome of an attempt that failed with a connection error or a timeout. */
export function attemptFromError(error: unknown): Attempt {
	// The code of a DOMException, such as that of a timeout, is a number.
	const {code: errorCode, name} = error as NodeJS.ErrnoException;
	const code = typeof errorCode === 'string' ? errorCode : name;
	const isUnreachable = code === 'ECONNREFUSED';
	return {
		...noOutput, result: isUnreachable ? results.refused : results.unknown, failureType: code, isUnreachable,
	};
}

function readHeader(response: Dispatcher.ResponseData, name: string): string | undefined {
	const value = response.headers[name];
	return Array.isArray(value) ? value[0] : value;
}

function parseProblem(text: string): Problem {
	try {
		return JSON.parse(text) as Problem;
	} catch {
		return {};
	}
}

async function readStream(response: Dispatcher.ResponseData, requestId: string, planned: PlannedEngineRequest): Promise<Attempt> {
	let text = '';
	let outputTokens = 0;
	let firstTokenAt: number | undefined;
	for await (const {type, data} of readEvents(response.body as AsyncIterable<Uint8Array>)) {
		if (type === 'error') {
			return {...attemptFromProblem(parseProblem(data), response.statusCode, requestId), firstTokenAt, outputTokens};
		}

		if (data === '[DONE]') {
			return {
				result: results.completed, isCorrect: text === expectedCompletion(requestId, createEngineBody(planned)).text, requestId, firstTokenAt, outputTokens,
			};
		}

		firstTokenAt ??= performance.now();
		const {choices} = JSON.parse(data) as {choices: Array<{delta: {content: string}}>};
		text += choices[0]!.delta.content;
		outputTokens++;
	}

	return {
		...noOutput, result: results.unknown, failureType: 'no-end-marker', requestId, firstTokenAt, outputTokens,
	};
}

async function readEngineDocument(response: Dispatcher.ResponseData, requestId: string, planned: PlannedEngineRequest): Promise<Attempt> {
	const {choices} = await response.body.json() as {choices: Array<{message: {content: string}}>};
	const {text, tokens} = expectedCompletion(requestId, createEngineBody(planned));
	return {
		result: results.completed, isCorrect: choices[0]?.message.content === text, requestId, outputTokens: tokens.length, firstTokenAt: performance.now(),
	};
}

async function readPlainResponse(response: Dispatcher.ResponseData, requestId: string, planned: PlannedPlainRequest): Promise<Attempt> {
	const item = await response.body.json() as {requestId?: string; content?: unknown};
	const isCorrect = item.requestId === requestId && isDeepStrictEqual(item.content, createPlainBody(planned));
	return {
		result: results.completed, isCorrect, requestId, outputTokens: 0, firstTokenAt: performance.now(),
	};
}

function createPlainBody({workspace, index}: PlannedPlainRequest) {
	return {workspace, appointment: index};
}

/** Reads a complete response and compares it with the expected one. */
export async function readResponse(response: Dispatcher.ResponseData, planned: PlannedRequest): Promise<Attempt> {
	const requestId = readHeader(response, 'x-request-id');
	if (response.statusCode >= 300) {
		return attemptFromProblem(parseProblem(await response.body.text()), response.statusCode, requestId);
	}

	if (planned.kind === 'plain') {
		return readPlainResponse(response, requestId ?? '', planned);
	}

	return planned.isStream ? readStream(response, requestId ?? '', planned) : readEngineDocument(response, requestId ?? '', planned);
}

/** Path and body of a planned request at an entry. */
export function createEntryRequest(planned: PlannedRequest): {readonly url: string; readonly body: unknown} {
	return planned.kind === 'plain'
		? {url: `/v1/services/${planned.service}/${planned.collection}`, body: createPlainBody(planned)}
		: {url: '/v1/chat/completions', body: createEngineBody(planned)};
}

/** The record of a planned request whose last attempt has just ended. */
export function createRecord(planned: PlannedRequest, startedAt: number, attempt: Attempt, refusedIds: readonly string[]): RequestRecord {
	const {index, kind, workspace, tier, at} = planned;
	const {result, failureType, isCorrect, requestId, target, outputTokens, firstTokenAt} = attempt;
	return {
		index,
		kind,
		workspace,
		tier,
		isStream: planned.kind === 'engine' && planned.isStream,
		at,
		result,
		failureType,
		isCorrect,
		requestId,
		target,
		refusedIds,
		firstTokenMilliseconds: firstTokenAt === undefined ? undefined : firstTokenAt - startedAt - at,
		totalMilliseconds: performance.now() - startedAt - at,
		outputTokens,
	};
}
