import {FailureError, outcomes} from '../../shared/failure.js';
import type {ResponseHead} from '../requests/types.js';
import {readCachedPromptTokens} from './engine-document.js';
import {formatServerSentEvent, ServerSentEventParser, type ServerSentEvent} from './server-sent-events.js';
import type {DispatchOrder} from './types.js';

const eventNumberPattern = /^[1-9]\d{0,14}$/v;

const streamHead: ResponseHead = {
	status: 200,
	headers: {'content-type': 'text/event-stream; charset=utf-8', 'cache-control': 'no-cache'},
};

/** Thrown at the end marker to end the exchange; the stream is complete. */
export class StreamDoneError extends Error {
	override readonly name = 'StreamDoneError';
}

/**
Relays the events of one engine stream, which may span several connections.

Events are numbered from 1. An event that was already relayed is dropped, and a missing number fails the stream, so that no token is lost or duplicated.
*/
export class EngineStream {
	static create(order: DispatchOrder): EngineStream {
		return new EngineStream(order);
	}

	#parser = ServerSentEventParser.create();
	#lastEventNumber = 0;
	#hasResponseStarted = false;
	#isDone = false;
	#promptTokensCached: number | undefined;

	private constructor(private readonly order: DispatchOrder) {}

	/** Number of the last relayed event; 0 if there is none yet. */
	get lastEventNumber(): number {
		return this.#lastEventNumber;
	}

	/** Whether the end marker has been received. */
	get isDone(): boolean {
		return this.#isDone;
	}

	get promptTokensCached(): number | undefined {
		return this.#promptTokensCached;
	}

	/** Discards an event that the previous connection delivered only in part; the engine sends it again in full. */
	discardPartialEvent(): void {
		this.#parser = ServerSentEventParser.create();
	}

	/**
	@throws {StreamDoneError} at the end marker
	@throws {FailureError} when an event is missing, has no number, is too long or reports an error
	*/
	push(chunk: Uint8Array): void {
		for (const event of this.#parser.push(chunk)) {
			this.#handleEvent(event);
		}
	}

	#handleEvent(event: ServerSentEvent): void {
		if (event.type === 'error') {
			throw FailureError.create('endpoint-failed', `the engine ended its stream with an error after event ${this.#lastEventNumber}`);
		}

		const isEndMarker = event.data === '[DONE]';
		if ((!isEndMarker || event.id !== undefined) && !this.#isNextEvent(event)) {
			return;
		}

		if (isEndMarker) {
			this.#isDone = true;
			this.#startResponse();
			throw new StreamDoneError('the stream is complete');
		}

		this.#relayEvent(event);
	}

	/** Returns false for an event that was already relayed. */
	#isNextEvent({id}: ServerSentEvent): boolean {
		if (id === undefined || !eventNumberPattern.test(id)) {
			throw FailureError.create('answer-interrupted', `the event after ${this.#lastEventNumber} has no number`, {outcome: outcomes.unknown});
		}

		const number = Number(id);
		if (number > this.#lastEventNumber + 1) {
			throw FailureError.create('answer-interrupted', `events ${this.#lastEventNumber + 1} to ${number - 1} are missing`, {outcome: outcomes.unknown});
		}

		return number === this.#lastEventNumber + 1;
	}

	#relayEvent(event: ServerSentEvent): void {
		this.#lastEventNumber++;
		if (this.#startResponse()) {
			this.order.onFirstByte();
		} else {
			this.order.onTokens(1);
		}

		this.#promptTokensCached = readCachedPromptTokens(event.data) ?? this.#promptTokensCached;
		this.order.sink.write(formatServerSentEvent(event));
	}

	/** Sends the head along with the first event, so that the caller still gets a problem document when the engine fails before that. */
	#startResponse(): boolean {
		if (this.#hasResponseStarted) {
			return false;
		}

		this.#hasResponseStarted = true;
		this.order.sink.start(streamHead);
		return true;
	}
}
