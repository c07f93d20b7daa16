import {Buffer} from 'node:buffer';
import {FailureError} from '../../shared/failure.js';

/** One server-sent event. */
export type ServerSentEvent = {
	/** Value of the event's `id:` line, if it has one. */
	readonly id?: string;
	/** `message` if the event has no `event:` line. */
	readonly type: string;
	readonly data: string;
};

/** Longer events are rejected. An engine's event contains only one token or one usage report. */
const maximumEventCharacters = 1_048_576;

/** Splits a byte stream into server-sent events. An event is emitted only once the empty line that ends it has been received. */
export class ServerSentEventParser {
	static create(): ServerSentEventParser {
		return new ServerSentEventParser();
	}

	readonly #decoder = new TextDecoder();
	#partialLine = '';
	#id: string | undefined;
	#type = 'message';
	#data: string[] = [];
	#dataCharacters = 0;

	private constructor() {}

	/**
	@throws {FailureError} `endpoint-failed` when an event is too long
	*/
	* push(chunk: Uint8Array): Generator<ServerSentEvent, void> {
		const lines = (this.#partialLine + this.#decoder.decode(chunk, {stream: true})).split('\n');
		this.#partialLine = lines.pop()!;
		if (this.#partialLine.length + this.#dataCharacters > maximumEventCharacters) {
			throw FailureError.create('endpoint-failed', 'an event of the endpoint is too long');
		}

		for (const line of lines) {
			const event = this.#parseLine(line.endsWith('\r') ? line.slice(0, -1) : line);
			if (event !== undefined) {
				yield event;
			}
		}
	}

	#parseLine(line: string): ServerSentEvent | undefined {
		if (line === '') {
			return this.#takeEvent();
		}

		const colon = line.indexOf(':');
		const field = colon === -1 ? line : line.slice(0, colon);
		const value = colon === -1 ? '' : line.slice(colon + 1).replace(/^ /v, '');
		switch (field) {
			case 'id': {
				this.#id = value;

				break;
			}

			case 'event': {
				this.#type = value;

				break;
			}

			case 'data': {
				this.#data.push(value);
				this.#dataCharacters += value.length;

				break;
			}
		// No default
		}

		return undefined;
	}

	#takeEvent(): ServerSentEvent | undefined {
		const event = {id: this.#id, type: this.#type, data: this.#data.join('\n')};
		const hasData = this.#data.length > 0;
		this.#id = undefined;
		this.#type = 'message';
		this.#data = [];
		this.#dataCharacters = 0;
		return hasData ? event : undefined;
	}
}

/** Serialises an event for transmission. */
export function formatServerSentEvent({id, type, data}: Partial<ServerSentEvent> & {readonly data: string}): Uint8Array {
	const idLine = id === undefined ? '' : `id: ${id}\n`;
	const typeLine = type === undefined || type === 'message' ? '' : `event: ${type}\n`;
	const dataLines = data.split('\n').map(line => `data: ${line}\n`).join('');
	return Buffer.from(`${idLine}${typeLine}${dataLines}\n`);
}
