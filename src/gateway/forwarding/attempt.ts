import {Buffer} from 'node:buffer';
import type {Milliseconds} from '../../shared/clock.js';
import type {Protocol} from '../protocol.js';
import {attemptOutcomes, type AttemptOutcome} from '../scheduling/endpoint-load.js';
import {requestKinds, type Route} from '../site/types.js';
import {EventSplitter} from './event-splitter.js';
import type {Exchange, ExchangeEnd, ResponseHead} from './exchange.js';

/** Events of a stream from which its pace is learnt. */
const minimumEventsForInterval = 4;

/** Largest response of a plain service that is kept until it is whole, in bytes. */
const maximumBufferedBytes = 4_194_304;

/** What an endpoint's response turned out to be. */
export const responseKinds = {
	/** No head has come yet. */
	pending: 'pending',
	/** The endpoint's own answer, which goes to the caller. */
	relay: 'relay',
	/** The endpoint says that it did not run the request. */
	rejected: 'rejected',
	/** The endpoint ran the request and failed. */
	failed: 'failed',
	/** The answer to another request, or not the endpoint's own. */
	foreign: 'foreign',
} as const;

export type ResponseKind = (typeof responseKinds)[keyof typeof responseKinds];

export type AttemptOptions = {
	readonly endpointId: string;
	readonly requestId: string;
	readonly route: Route;
	readonly protocol: Protocol;
	readonly sentAt: Milliseconds;
	/** Whether the caller already has a part of the stream from another endpoint. */
	readonly isContinuation: boolean;
};

/** A part of a stream that may go to the caller. */
export type StreamChunk = {
	readonly bytes: Uint8Array;
	/** Id of its last event, if the stream may be resumed. */
	readonly lastEventId?: string;
};

/** One try of a request at an endpoint, and what has come back of it. */
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

	/** Whether the caller already had a part of the stream. */
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

	/** When something last came from the endpoint. */
	get lastActivityAt(): Milliseconds {
		return this.#lastActivityAt;
	}

	/** Parts of the stream that went to the caller. */
	get eventCount(): number {
		return this.#eventCount;
	}

	/** Whether it was given up for want of a sign of life. */
	get isSilent(): boolean {
		return this.#isSilent;
	}

	get isStream(): boolean {
		return this.options.route.kind === requestKinds.streaming && this.#head !== undefined && this.#head.status < 300;
	}

	/** Whether another endpoint could go on after the last whole event. */
	get isResumable(): boolean {
		return this.#splitter !== undefined;
	}

	/** Mean time between the events of the stream, if it had enough of them. */
	get eventIntervalMs(): Milliseconds | undefined {
		return this.#eventCount >= minimumEventsForInterval ? (this.#lastActivityAt - this.#firstEventAt!) / (this.#eventCount - 1) : undefined;
	}

	/** The whole body of a response that is no stream. */
	get body(): Uint8Array {
		return Buffer.concat(this.#bodyChunks);
	}

	/** @returns the id that a foreign answer names, if it names one */
	acceptHead(head: ResponseHead, now: Milliseconds): string | undefined {
		const {requestId, protocol, isContinuation} = this.options;
		const facts = protocol.decodeResponseHeaders(head.status, head.headers);
		this.#head = head;
		this.#lastActivityAt = now;
		this.#isFramed = facts.isFramed;
		const isOwn = facts.requestId === undefined || facts.requestId === requestId;
		if (isOwn && facts.isNotRun) {
			this.#kind = responseKinds.rejected;
		} else if (!isOwn || !facts.isSealed || facts.hasContentEncoding) {
			this.#kind = responseKinds.foreign;
		} else {
			// The caller of a continued stream has its head already, so nothing but a stream may follow.
			this.#kind = head.status >= 500 || (isContinuation && !this.isStream) ? responseKinds.failed : responseKinds.relay;
		}

		return isOwn ? undefined : facts.requestId;
	}

	/**
	Takes a part of the body.

	@returns what may go to the caller now, if the response is a stream
	@throws {RangeError} when a response or an event is too long to keep
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

	/** Gives it up for want of a sign of life; its endpoint sees the connection close. */
	cancelAsSilent(silentMs: Milliseconds): void {
		this.#isSilent = true;
		this.exchange?.cancel(new Error(`the stream was silent for ${silentMs} ms`));
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
		const whole = splitter.push(chunk);
		return whole === undefined ? undefined : {bytes: whole.bytes, lastEventId: whole.lastEventId};
	}

	#bufferBody(chunk: Uint8Array): void {
		this.#bodyChunks.push(chunk);
		this.#bufferedBytes += chunk.byteLength;
		if (this.#bufferedBytes > maximumBufferedBytes) {
			throw new RangeError(`the response is longer than ${maximumBufferedBytes} bytes`);
		}
	}
}
