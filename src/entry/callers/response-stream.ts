import {Buffer} from 'node:buffer';
import type {UnderlyingSource} from 'node:stream/web';
import {createFailure, FailureError, type Failure} from '../../shared/failure.js';
import type {ResponseEvent, ResponseHead} from '../requests/index.js';
import {formatErrorEvent, createProblemResponse} from './problem-response.js';

/** Status of the response to a caller that has disconnected; it is never read. */
const callerDisconnectedStatus = 499;

/** The last event of a complete stream. */
const endMarker = 'data: [DONE]\n\n';

const statusesWithoutBody = new Set([204, 205, 304]);

/** How to end a response that has started. */
type ResponseEndings = {
	/** Text that is appended to a complete response. */
	readonly completeWith: string;
	/** Returns the text that is appended to a failed response, or undefined to destroy the connection. */
	readonly failWith: (failure: Failure) => string | undefined;
};

export type RelayOptions = {
	readonly requestId: string;
	/** Whether the request was for an engine, whose streams have an end marker. */
	readonly isEngine: boolean;
	readonly method: string;
	/** Whether the response comes from another entry, which has already added the end marker. Default: false. */
	readonly isForwarded?: boolean;
	/** Called when the caller disconnects during the response. It must close the iterator of the events. */
	readonly onCallerDisconnect: () => void;
};

export function isEventStream(headers: Readonly<Record<string, string>>): boolean {
	return headers['content-type']?.startsWith('text/event-stream') ?? false;
}

function endingsOf(head: ResponseHead, {isEngine, isForwarded, requestId}: RelayOptions): ResponseEndings {
	if (isEngine && isEventStream(head.headers)) {
		return {completeWith: isForwarded ? '' : endMarker, failWith: failure => formatErrorEvent(failure, requestId)};
	}

	return {completeWith: '', failWith: () => undefined};
}

/** Body that reads one event of the response whenever the connection can take more data. */
class RelayedBody implements UnderlyingSource<Uint8Array> {
	#isCancelled = false;

	constructor(private readonly events: AsyncIterableIterator<ResponseEvent>, private readonly endings: ResponseEndings, private readonly onCallerDisconnect: () => void) {}

	async pull(controller: ReadableStreamDefaultController<Uint8Array>): Promise<void> {
		const {value: event} = await this.events.next() as IteratorResult<ResponseEvent, undefined>;
		if (this.#isCancelled) {
			return;
		}

		if (event?.kind === 'chunk') {
			controller.enqueue(event.chunk);
			return;
		}

		const end = event?.kind === 'end' ? event.end : undefined;
		if (end?.kind === 'complete') {
			this.#close(controller, this.endings.completeWith);
			return;
		}

		const failure = end?.failure ?? createFailure('answer-interrupted', 'the response was not read to its end');
		const text = this.endings.failWith(failure);
		if (text === undefined) {
			controller.error(FailureError.from(failure));
		} else {
			this.#close(controller, text);
		}
	}

	cancel(): void {
		this.#isCancelled = true;
		this.onCallerDisconnect();
	}

	#close(controller: ReadableStreamDefaultController<Uint8Array>, text: string): void {
		if (text !== '') {
			controller.enqueue(Buffer.from(text));
		}

		controller.close();
	}
}

/** Creates the response to a caller from the events of a response log. */
export async function relayResponse(events: AsyncIterableIterator<ResponseEvent>, options: RelayOptions): Promise<Response> {
	const {requestId, method} = options;
	const {value: first} = await events.next() as IteratorResult<ResponseEvent, undefined>;
	if (first === undefined) {
		return new Response(null, {status: callerDisconnectedStatus, headers: {'x-request-id': requestId}});
	}

	if (first.kind !== 'head') {
		const failure = first.kind === 'end' && first.end.kind === 'failure'
			? first.end.failure
			: createFailure('internal-error', 'the response has no head');
		return createProblemResponse(failure, requestId);
	}

	const {head} = first;
	const init = {status: head.status, headers: {...head.headers, 'x-request-id': requestId}};
	if (method === 'HEAD' || statusesWithoutBody.has(head.status)) {
		return relayWithoutBody(events, init, requestId);
	}

	const body = new RelayedBody(events, endingsOf(head, options), options.onCallerDisconnect);
	return new Response(new ReadableStream(body, {highWaterMark: 0}), init);
}

async function relayWithoutBody(events: AsyncIterableIterator<ResponseEvent>, init: ResponseInit, requestId: string): Promise<Response> {
	for await (const event of events) {
		if (event.kind === 'end' && event.end.kind === 'failure') {
			return createProblemResponse(event.end.failure, requestId);
		}
	}

	return new Response(null, init);
}
