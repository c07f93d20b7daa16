import {Buffer} from 'node:buffer';

const lineFeed = 0x0A;
const carriageReturn = 0x0D;

/** Longest unfinished event that is kept, in bytes. Events of the engines have a few hundred bytes. */
const maximumEventBytes = 1_048_576;

/** Where the last whole event of a text ends: behind an empty line. */
function endOfLastEvent(bytes: Buffer): number {
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

/** Whole events of a stream, and the id of the last one that has an id. */
export type WholeEvents = {
	readonly bytes: Buffer;
	readonly lastId?: string;
};

/** Cuts a stream of server-sent events behind whole events, so that it can go on elsewhere after the last of them. */
export class EventSplitter {
	static create(): EventSplitter {
		return new EventSplitter();
	}

	#rest: Buffer = Buffer.alloc(0);

	private constructor() {}

	/** Whether an event has begun that is not whole yet. */
	get hasPartialEvent(): boolean {
		return this.#rest.length > 0;
	}

	/**
	@returns the events that are whole now, or undefined when none is
	@throws {RangeError} when an event is too long
	*/
	push(chunk: Buffer): WholeEvents | undefined {
		const bytes = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk]);
		const end = endOfLastEvent(bytes);
		this.#rest = bytes.subarray(end);
		if (this.#rest.length > maximumEventBytes) {
			throw new RangeError(`an event is longer than ${maximumEventBytes} bytes`);
		}

		if (end === 0) {
			return undefined;
		}

		const whole = bytes.subarray(0, end);
		return {bytes: whole, lastId: lastEventId(whole)};
	}
}

function lastEventId(bytes: Buffer): string | undefined {
	const text = bytes.toString('latin1');
	let start = text.lastIndexOf('\nid:');
	if (start === -1) {
		if (!text.startsWith('id:')) {
			return undefined;
		}
	} else {
		start++;
	}

	const from = Math.max(start, 0) + 'id:'.length;
	return text.slice(from, text.indexOf('\n', from)).trim();
}
