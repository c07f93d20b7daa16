import {Buffer} from 'node:buffer';
import {ByteBuffer} from '../../shared/byte-buffer.js';
import type {MemoryReservation} from '../../shared/memory-budget.js';

const lineFeed = 0x0A;
const carriageReturn = 0x0D;

/** Largest incomplete event that is buffered. Events of the engines have a few hundred bytes. */
const maximumEventBytes = 65_536;

/** Bytes before the last line feed of an empty line that show that the line is empty: a line feed and a carriage return. */
const longestLineEndBefore = 2;

const idPrefix = 'id:';

/** @returns the offset after the empty line that ends the last complete event, or 0 if none is complete */
function endOfLastEvent(bytes: Uint8Array): number {
	for (let index = bytes.length - 1; index > 0; index--) {
		if (bytes[index] !== lineFeed) {
			continue;
		}

		const before = bytes[index - 1];
		if (before === lineFeed || (before === carriageReturn && index > 1 && bytes[index - 2] === lineFeed)) {
			return index + 1;
		}
	}

	return 0;
}

function lastEventId(bytes: Uint8Array): string | undefined {
	// Ids are ASCII, so each byte can be decoded as one character.
	const text = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString('latin1');
	const lineStart = text.lastIndexOf(`\n${idPrefix}`) + 1;
	if (!text.startsWith(idPrefix, lineStart)) {
		return undefined;
	}

	const from = lineStart + idPrefix.length;
	return text.slice(from, text.indexOf('\n', from)).trim();
}

/** Complete events of a stream, and the id of the last one that has an id. */
export type CompleteEvents = {
	readonly bytes: Uint8Array;
	readonly lastEventId?: string;
};

/** Splits a stream of server-sent events at event boundaries, so that another endpoint can continue it after the last complete event and bytes that never complete an event are bounded. */
export class EventSplitter {
	/** @param reservation counts the buffered bytes. Default: not counted */
	static create(reservation?: MemoryReservation): EventSplitter {
		return new EventSplitter(ByteBuffer.create(reservation));
	}

	/** The bytes of an incomplete event. */
	readonly #partialEvent: ByteBuffer;

	private constructor(partialEvent: ByteBuffer) {
		this.#partialEvent = partialEvent;
	}

	/** Whether an incomplete event is buffered. */
	get hasPartialEvent(): boolean {
		return this.#partialEvent.length > 0;
	}

	/** Returns the bytes of the incomplete event, which are no longer buffered. */
	takePartialEvent(): Uint8Array {
		return this.#partialEvent.take();
	}

	/**
	@returns the events that this chunk completes, or undefined when it completes none
	@throws {RangeError} when an event is too long
	@throws {MemoryBudgetError} when its bytes may not be buffered
	*/
	push(chunk: Uint8Array): CompleteEvents | undefined {
		const end = this.#endOfLastEvent(chunk);
		if (end === 0) {
			this.#buffer(chunk);
			return undefined;
		}

		const chunkEvents = chunk.subarray(0, end);
		const bytes = this.hasPartialEvent ? Buffer.concat([this.#partialEvent.take(), chunkEvents]) : chunkEvents;
		this.#buffer(chunk.subarray(end));
		return {bytes, lastEventId: lastEventId(bytes)};
	}

	/** @returns the offset in the chunk after the last complete event, or 0 if the chunk completes none */
	#endOfLastEvent(chunk: Uint8Array): number {
		if (!this.hasPartialEvent || !chunk.includes(lineFeed)) {
			return this.hasPartialEvent ? 0 : endOfLastEvent(chunk);
		}

		// Only the chunk is searched: events in short chunks would be searched again with each of them.
		const bytesBefore = this.#partialEvent.lastBytes(longestLineEndBefore);
		return Math.max(0, endOfLastEvent(Buffer.concat([bytesBefore, chunk])) - bytesBefore.length);
	}

	#buffer(chunk: Uint8Array): void {
		if (this.#partialEvent.length + chunk.length > maximumEventBytes) {
			throw new RangeError(`an incomplete event is longer than ${maximumEventBytes} bytes`);
		}

		this.#partialEvent.append(chunk);
	}
}
