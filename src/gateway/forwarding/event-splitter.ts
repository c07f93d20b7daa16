import {Buffer} from 'node:buffer';

const lineFeed = 0x0A;
const carriageReturn = 0x0D;

/** Longest unfinished event that is kept, in bytes. Events of the engines have a few hundred bytes. */
const maximumEventBytes = 1_048_576;

const idPrefix = 'id:';

/** Where the last whole event of a text ends: behind an empty line. */
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
	// Ids are ASCII, so each byte may stand for one character.
	const text = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString('latin1');
	const lineStart = text.lastIndexOf(`\n${idPrefix}`) + 1;
	if (!text.startsWith(idPrefix, lineStart)) {
		return undefined;
	}

	const from = lineStart + idPrefix.length;
	return text.slice(from, text.indexOf('\n', from)).trim();
}

/** Whole events of a stream, and the id of the last one that has an id. */
export type CompleteEvents = {
	readonly bytes: Uint8Array;
	readonly lastEventId?: string;
};

/** Cuts a stream of server-sent events behind whole events, so that it can go on elsewhere after the last of them. */
export class EventSplitter {
	static create(): EventSplitter {
		return new EventSplitter();
	}

	#partialEvent: Uint8Array = new Uint8Array(0);

	private constructor() {}

	/** Whether an event has begun that is not whole yet. */
	get hasPartialEvent(): boolean {
		return this.#partialEvent.length > 0;
	}

	/**
	@returns the events that are whole now, or undefined when none is
	@throws {RangeError} when an event is too long
	*/
	push(chunk: Uint8Array): CompleteEvents | undefined {
		const bytes = this.#partialEvent.length === 0 ? chunk : Buffer.concat([this.#partialEvent, chunk]);
		const end = endOfLastEvent(bytes);
		this.#partialEvent = bytes.subarray(end);
		if (this.#partialEvent.length > maximumEventBytes) {
			throw new RangeError(`an event is longer than ${maximumEventBytes} bytes`);
		}

		if (end === 0) {
			return undefined;
		}

		const whole = bytes.subarray(0, end);
		return {bytes: whole, lastEventId: lastEventId(whole)};
	}
}
