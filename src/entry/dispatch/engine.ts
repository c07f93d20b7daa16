import {setTimeout as sleep} from 'node:timers/promises';
import {FailureError, outcomes} from '../../shared/failure.js';
import type {ResponseHead} from '../requests/types.js';
import {resultOfBroken, resultOfNotSent, createFailedResult} from './dispatch-results.js';
import {DispatchAbortController} from './dispatch-abort-controller.js';
import type {EndpointConnections} from './endpoint-connections.js';
import {EngineDocument} from './engine-document.js';
import {EngineStream} from './engine-stream.js';
import {exchange, type ExchangeEnd} from './exchange.js';
import {checkAndAnnounceWrite} from './plain-service.js';
import type {DispatchOrder, DispatchResult} from './types.js';

/** Delays before the attempts to resume an interrupted stream. After an attempt that delivers a new event they start over. */
const resumeDelaysMs = [20, 100, 300, 800];

/** Timeout of a cancellation. The units of the request stay in use until the cancellation ends. */
const cancelTimeoutMs = 1000;

const ignore = () => undefined;

type BrokenEnd = Extract<ExchangeEnd, {kind: 'broken'}>;

/** One dispatch to an engine: the request, the attempts to resume its stream, and its cancellation. */
class EngineDispatch {
	readonly #stream: EngineStream;
	readonly #abortController: DispatchAbortController;
	#document: EngineDocument | undefined;
	/** Whether the engine no longer knows a stream that it started, which means that it has restarted. */
	#isStreamUnknown = false;

	constructor(private readonly order: DispatchOrder, private readonly connections: EndpointConnections) {
		this.#stream = EngineStream.create(order);
		this.#abortController = DispatchAbortController.create(order.endpoint.requestTimeoutMilliseconds, order.signal);
	}

	async run(): Promise<DispatchResult> {
		try {
			const end = await this.#sendRequest();
			if (end.kind === 'not-sent') {
				return resultOfNotSent(end, this.#abortController, this.#requestId);
			}

			const result = await this.#completeOrResume(end);
			// The engine may still be generating tokens for a request whose connection failed.
			if (result.kind === 'failed' && result.symptom !== 'server-error') {
				this.order.onSymptom(result.symptom);
				await this.#cancelStream();
			}

			return result;
		} finally {
			this.#abortController.dispose();
		}
	}

	get #requestId(): string {
		return this.order.submission.requestId;
	}

	get #streamPath(): string {
		return `/v1/streams/${encodeURIComponent(this.#requestId)}`;
	}

	async #sendRequest(): Promise<ExchangeEnd> {
		const {http} = this.order.submission;
		return exchange({
			connection: this.connections.open(this.order.endpoint.address),
			method: http.method,
			path: http.path,
			headers: {...http.headers, 'x-request-id': this.#requestId},
			body: http.body,
			signal: this.#abortController.signal,
			mayWrite: () => checkAndAnnounceWrite(this.order),
			onHead: head => {
				this.#onFirstHead(head);
			},
			onData: chunk => {
				this.#onData(chunk);
			},
			ready: async () => this.order.sink.ready(),
		});
	}

	async #completeOrResume(end: Exclude<ExchangeEnd, {kind: 'not-sent'}>): Promise<DispatchResult> {
		if (this.#stream.isDone) {
			return this.#completeStream();
		}

		if (this.#document !== undefined) {
			return end.kind === 'complete' ? this.#completeDocument(this.#document) : this.#resultOfBroken(end);
		}

		if (end.kind === 'broken' && (end.error instanceof FailureError || !this.order.submission.http.wantsStream)) {
			return this.#resultOfBroken(end);
		}

		return this.#resumeStream(end.kind === 'broken' ? end : {kind: 'broken', hasHead: true, error: new Error('the stream ended without its end marker')});
	}

	/** Resumes a stream whose connection was lost. */
	async #resumeStream(brokenEnd: BrokenEnd): Promise<DispatchResult> {
		let lastEnd = brokenEnd;
		for (let attempt = 0; attempt < resumeDelaysMs.length && this.#abortController.cause === 'none';) {
			const eventNumberBefore = this.#stream.lastEventNumber;
			// Attempts are sequential, because each continues after the last event of the previous one.
			// eslint-disable-next-line no-await-in-loop
			const end = await this.#attemptResume(resumeDelaysMs[attempt]!);
			if (this.#stream.isDone) {
				return this.#completeStream();
			}

			if (end.kind === 'broken') {
				lastEnd = end;
				if (end.error instanceof FailureError) {
					break;
				}
			}

			attempt = this.#stream.lastEventNumber > eventNumberBefore ? 0 : attempt + 1;
		}

		return this.#resultOfBroken({...lastEnd, hasHead: this.#stream.lastEventNumber > 0 || lastEnd.hasHead});
	}

	async #attemptResume(delayMs: number): Promise<ExchangeEnd> {
		const {signal} = this.#abortController;
		try {
			await sleep(delayMs, undefined, {signal});
		} catch {
			return {kind: 'not-sent', reason: 'aborted', error: signal.reason as Error};
		}

		this.#stream.discardPartialEvent();
		return exchange({
			connection: this.connections.open(this.order.endpoint.address),
			method: 'GET',
			path: `${this.#streamPath}?after=${this.#stream.lastEventNumber}`,
			headers: {accept: 'text/event-stream', 'x-request-id': this.#requestId},
			signal,
			mayWrite: () => true,
			onHead: head => {
				this.#onResumedHead(head);
			},
			onData: chunk => {
				this.#stream.push(chunk);
			},
			ready: async () => this.order.sink.ready(),
		});
	}

	#onFirstHead(head: ResponseHead): void {
		this.#checkRequestId(head);
		const isStream = head.headers['content-type']?.startsWith('text/event-stream') ?? false;
		if (!(isStream && head.status === 200 && this.order.submission.http.wantsStream)) {
			this.#document = EngineDocument.create(head);
		}
	}

	#onResumedHead(head: ResponseHead): void {
		this.#checkRequestId(head);
		if (head.status >= 500) {
			throw new Error(`the engine responded with status ${head.status} to the attempt to resume`);
		}

		if (head.status !== 200) {
			this.#isStreamUnknown = true;
			throw FailureError.create('answer-interrupted', `the engine can't resume the stream after event ${this.#stream.lastEventNumber}: status ${head.status}`);
		}
	}

	/** Prevents a caller from getting the response to another caller's request. */
	#checkRequestId(head: ResponseHead): void {
		const requestId = head.headers['x-request-id'];
		if (requestId !== undefined && requestId !== this.#requestId) {
			throw FailureError.create('answer-interrupted', `the engine sent the response of request ${requestId}`, {outcome: outcomes.unknown});
		}
	}

	#onData(chunk: Uint8Array): void {
		if (this.#document === undefined) {
			this.#stream.push(chunk);
			return;
		}

		if (this.#document.isEmpty && this.#document.head.status < 500) {
			this.order.onFirstByte();
		}

		this.#document.push(chunk);
	}

	#completeStream(): DispatchResult {
		this.order.sink.complete();
		return {kind: 'completed', symptom: 'none', promptTokensCached: this.#stream.promptTokensCached};
	}

	#completeDocument(document: EngineDocument): DispatchResult {
		const {status, headers} = document.head;
		if (status >= 500) {
			const {failure} = FailureError.create('endpoint-failed', `the engine responded with status ${status}`, {requestId: this.#requestId});
			return createFailedResult(failure, 'server-error');
		}

		let finished: ReturnType<EngineDocument['finish']>;
		try {
			finished = document.finish();
		} catch (error) {
			return this.#resultOfBroken({kind: 'broken', hasHead: true, error: error as Error});
		}

		this.order.onTokens(finished.usage.completionTokens ?? 0);
		this.order.sink.start({status, headers: {'content-type': headers['content-type'] ?? 'application/json'}});
		this.order.sink.write(finished.body);
		this.order.sink.complete();
		return {kind: 'completed', symptom: 'none', promptTokensCached: finished.usage.promptTokensCached};
	}

	#resultOfBroken(end: BrokenEnd): DispatchResult {
		const result = resultOfBroken(end, this.#abortController, this.#requestId);
		return this.#isStreamUnknown ? {...result, symptom: 'reset'} : result;
	}

	/** Asks the engine to cancel the stream. An engine that can't be reached has either stopped or generates the response to its end. */
	async #cancelStream(): Promise<void> {
		await exchange({
			connection: this.connections.open(this.order.endpoint.address),
			method: 'DELETE',
			path: this.#streamPath,
			headers: {'x-request-id': this.#requestId},
			signal: AbortSignal.timeout(cancelTimeoutMs),
			mayWrite: () => true,
			onHead: ignore,
			onData: ignore,
			ready: async () => undefined,
		});
	}
}

/**
Sends one request to an engine and relays the response to the order's sink.

It calls `start`, `write` and `complete` of the sink; a failure is reported only in the result. The end marker `[DONE]` is not written: the caller server adds it to every complete stream.
*/
export async function dispatchToEngine(order: DispatchOrder, connections: EndpointConnections): Promise<DispatchResult> {
	return new EngineDispatch(order, connections).run();
}
