import {Buffer} from 'node:buffer';
import type {Milliseconds} from '../../shared/clock.js';
import type {Protocol} from '../protocol.js';
import {attemptOutcomes, type AttemptOutcome} from '../scheduling/endpoint-load.js';
import {requestKinds, type Route} from '../site/types.js';
import {EventSplitter} from './event-splitter.js';
import type {Exchange, ExchangeEnd, ResponseHead} from './exchange.js';

/** Fewest events of a stream from which an average interval between events is computed. */
const minimumEventsForInterval = 4;

/** Largest response body of a plain service, which is buffered until it is complete. */
const maximumBufferedBytes = 4_194_304;

/** Classification of an endpoint's response by its head. */
export const responseKinds = {
	/** No response head has been received yet. */
	pending: 'pending',
	/** A response to this request by the endpoint itself, which is forwarded to the caller. */
	relay: 'relay',
	/** The endpoint states that it did not run the request. */
	rejected: 'rejected',
	/** The endpoint ran the request and failed, or did not continue the stream. */
	failed: 'failed',
	/** A response to another request, or one that the endpoint did not send in this form: it is unsigned or content-encoded. */
	foreign: 'foreign',
} as const;

export type ResponseKind = (typeof responseKinds)[keyof typeof responseKinds];

export type AttemptOptions = {
	readonly endpointId: string;
	readonly requestId: string;
	readonly route: Route;
	readonly protocol: Protocol;
	readonly sentAt: Milliseconds;
	/** Whether the caller has already received events of the stream from another endpoint. */
	readonly isContinuation: boolean;
};

/** Bytes of a stream that can be forwarded to the caller. */
export type StreamChunk = {
	readonly bytes: Uint8Array;
	/** Id of its last event, if the stream is resumable. */
	readonly lastEventId?: string;
};

/** One attempt to run a request at an endpoint, with the state of its response. */
export class Attempt {
	static create(options: AttemptOptions): Attempt {
		return new Attempt(options);
	}

	exchange: Exchange | undefined;
	readonly #bodyChunks: Uint8Array[] = [];
	readonly #splitter: EventSplitter | undefined;
	#bufferedBytes = 0;
	#kind: ResponseKind = responseKinds.pending;
	#head: ResponseHead | undefined;
	#isFramed = true;
	#lastActivityAt: Milliseconds;
	#firstEventAt: Milliseconds | undefined;
	#eventCount = 0;
	#isSilent = false;

	private constructor(private readonly options: AttemptOptions) {
		this.#lastActivityAt = options.sentAt;
		this.#splitter = options.route.isResumable ? EventSplitter.create() : undefined;
	}

	get endpointId(): string {
		return this.options.endpointId;
	}

	get sentAt(): Milliseconds {
		return this.options.sentAt;
	}

	/** Whether the caller had already received events of the stream. */
	get isContinuation(): boolean {
		return this.options.isContinuation;
	}

	get kind(): ResponseKind {
		return this.#kind;
	}

	get head(): ResponseHead | undefined {
		return this.#head;
	}

	/** Whether the response says where it ends. */
	get isFramed(): boolean {
		return this.#isFramed;
	}

	/** When data was last received from the endpoint; before the first data, when the request was sent. */
	get lastActivityAt(): Milliseconds {
		return this.#lastActivityAt;
	}

	/** Events forwarded to the caller, or received chunks if the stream is not resumable. */
	get eventCount(): number {
		return this.#eventCount;
	}

	/** Whether it was cancelled because the endpoint sent nothing for too long. */
	get isSilent(): boolean {
		return this.#isSilent;
	}

	get isStream(): boolean {
		return this.options.route.kind === requestKinds.streaming && this.#head !== undefined && this.#head.status < 300;
	}

	/** Whether another endpoint can continue the stream after the last complete event. */
	get isResumable(): boolean {
		return this.#splitter !== undefined;
	}

	/** Average time between the events of the stream, if it had enough of them. */
	get eventIntervalMs(): Milliseconds | undefined {
		return this.#eventCount >= minimumEventsForInterval ? (this.#lastActivityAt - this.#firstEventAt!) / (this.#eventCount - 1) : undefined;
	}

	/** The buffered body of a response that is not a stream. */
	get body(): Uint8Array {
		return Buffer.concat(this.#bodyChunks);
	}

	/** @returns the request id in the response, if it differs from the id of this request */
	acceptHead(head: ResponseHead, now: Milliseconds): string | undefined {
		const {requestId, protocol, isContinuation} = this.options;
		const metadata = protocol.decodeResponseHeaders(head.status, head.headers);
		this.#head = head;
		this.#lastActivityAt = now;
		this.#isFramed = metadata.isFramed;
		const isOwn = metadata.requestId === undefined || metadata.requestId === requestId;
		if (isOwn && metadata.isNotRun) {
			this.#kind = responseKinds.rejected;
		} else if (!isOwn || !metadata.isSealed || metadata.hasContentEncoding) {
			this.#kind = responseKinds.foreign;
		} else {
			// The caller of a continued stream has already received its head, so only a stream can follow.
			this.#kind = head.status >= 500 || (isContinuation && !this.isStream) ? responseKinds.failed : responseKinds.relay;
		}

		return isOwn ? undefined : metadata.requestId;
	}

	/**
	Processes a chunk of the body.

	@returns the bytes to forward to the caller now, if the response is a stream
	@throws {RangeError} when a response or an event exceeds its maximum size
	*/
	acceptData(chunk: Uint8Array, now: Milliseconds): StreamChunk | undefined {
		this.#lastActivityAt = now;
		if (this.#kind !== responseKinds.relay || !this.isStream) {
			this.#bufferBody(chunk);
			return undefined;
		}

		const streamChunk = this.#splitter === undefined ? {bytes: chunk} : this.#takeCompleteEvents(this.#splitter, chunk);
		if (streamChunk !== undefined) {
			this.#eventCount++;
			this.#firstEventAt ??= now;
		}

		return streamChunk;
	}

	/** Cancels the attempt because the endpoint sent nothing for too long; this closes the connection to it. */
	cancelAsSilent(silentMs: Milliseconds): void {
		this.#isSilent = true;
		this.exchange?.cancel(new Error(`the stream received no data for ${silentMs} ms`));
	}

	outcome(end: ExchangeEnd): AttemptOutcome {
		if (this.#isSilent) {
			return attemptOutcomes.silent;
		}

		if (end.kind === 'not-sent') {
			return attemptOutcomes.cancelled;
		}

		if (end.kind === 'unreachable') {
			return attemptOutcomes.unreachable;
		}

		if (end.kind !== 'complete' || this.#splitter?.hasPartialEvent === true) {
			return attemptOutcomes.broken;
		}

		const outcomes = {
			[responseKinds.pending]: attemptOutcomes.broken,
			[responseKinds.relay]: attemptOutcomes.completed,
			[responseKinds.rejected]: attemptOutcomes.rejected,
			[responseKinds.failed]: attemptOutcomes.failed,
			[responseKinds.foreign]: attemptOutcomes.broken,
		} as const;
		return outcomes[this.#kind];
	}

	#takeCompleteEvents(splitter: EventSplitter, chunk: Uint8Array): StreamChunk | undefined {
		const completeEvents = splitter.push(chunk);
		return completeEvents === undefined ? undefined : {bytes: completeEvents.bytes, lastEventId: completeEvents.lastEventId};
	}

	#bufferBody(chunk: Uint8Array): void {
		this.#bodyChunks.push(chunk);
		this.#bufferedBytes += chunk.byteLength;
		if (this.#bufferedBytes > maximumBufferedBytes) {
			throw new RangeError(`the response is longer than ${maximumBufferedBytes} bytes`);
		}
	}
}
