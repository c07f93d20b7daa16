import {ConditionVariable} from '../../shared/condition-variable.js';
import type {ResponseEnd, ResponseHead} from './types.js';

/** What a reader of a response receives, in order: one head, chunks, one end. A response that fails early has no head. */
export type ResponseEvent
	= | {readonly kind: 'head'; readonly head: ResponseHead}
		| {readonly kind: 'chunk'; readonly chunk: Uint8Array}
		| {readonly kind: 'end'; readonly end: ResponseEnd};

/** Unread bytes of one response above which its writer has to wait, unless the response is retained. */
export const responseHighWaterBytes = 65_536;

/** Called with each change of the number of bytes that a log buffers. */
export type ByteObserver = (change: number) => void;

type Reader = {
	/** Index of the next chunk, counted from the start of the response. */
	position: number;
};

/**
The response of one request.

A retained log keeps all chunks, so that a later reader starts at the first one. A log that is not retained drops each chunk once every reader has consumed it, and its writer waits while too many bytes are unread.
*/
export class ResponseLog {
	static create({isRetained, onBytes}: {isRetained: boolean; onBytes: ByteObserver}): ResponseLog {
		return new ResponseLog(isRetained, onBytes);
	}

	readonly #readers = new Set<Reader>();
	readonly #chunks: Uint8Array[] = [];
	/** Index of the first buffered chunk, counted from the start of the response. */
	#firstChunkIndex = 0;
	#bufferedBytes = 0;
	#head: ResponseHead | undefined;
	#end: ResponseEnd | undefined;
	/** All chunks are kept until the first reader attaches. */
	#awaitsFirstReader = true;
	readonly #changed = ConditionVariable.create();
	readonly #chunkConsumed = ConditionVariable.create();

	private constructor(private isRetained: boolean, private readonly onBytes: ByteObserver) {}

	get bufferedBytes(): number {
		return this.#bufferedBytes;
	}

	get end(): ResponseEnd | undefined {
		return this.#end;
	}

	get hasStarted(): boolean {
		return this.#head !== undefined;
	}

	/** Whether a new reader can still get the response from its first chunk. */
	get isReadableFromStart(): boolean {
		return this.#firstChunkIndex === 0;
	}

	start(head: ResponseHead): void {
		this.#head ??= head;
		this.#changed.notifyAll();
	}

	write(chunk: Uint8Array): void {
		if (this.#end !== undefined || chunk.byteLength === 0) {
			return;
		}

		this.#chunks.push(chunk);
		this.#changeBufferedBytes(chunk.byteLength);
		this.#dropConsumedChunks();
		this.#changed.notifyAll();
	}

	finish(end: ResponseEnd): void {
		this.#end ??= end;
		this.#changed.notifyAll();
		this.#chunkConsumed.notifyAll();
	}

	/** Stops keeping chunks that every reader has consumed. */
	stopRetaining(): void {
		this.isRetained = false;
		this.#awaitsFirstReader = false;
		this.#dropConsumedChunks();
	}

	/** Resolves when the writer may write more. */
	async ready(): Promise<void> {
		while (!this.isRetained && this.#end === undefined && this.#bufferedBytes >= responseHighWaterBytes) {
			// Waits again when a reader consumed a chunk but too many bytes are still unread.
			// eslint-disable-next-line no-await-in-loop
			await this.#chunkConsumed.wait();
		}
	}

	/** Reads from the first buffered chunk. Ending the iteration early removes the reader. */
	read(): AsyncIterableIterator<ResponseEvent> {
		const reader: Reader = {position: this.#firstChunkIndex};
		this.#readers.add(reader);
		this.#awaitsFirstReader = false;
		const events = this.#events(reader);
		return {
			next: async () => events.next(),
			// The return method of a waiting generator has no effect until it resumes, so the reader is removed here, which wakes the generator.
			return: async () => {
				this.#removeReader(reader);
				return {done: true, value: undefined};
			},
			[Symbol.asyncIterator]() {
				return this;
			},
		};
	}

	async * #events(reader: Reader): AsyncGenerator<ResponseEvent, undefined> {
		try {
			let hasHead = false;
			while (this.#readers.has(reader)) {
				if (!hasHead && this.#head !== undefined) {
					hasHead = true;
					yield {kind: 'head', head: this.#head};
					continue;
				}

				const chunk = this.#chunks[reader.position - this.#firstChunkIndex];
				if (chunk !== undefined) {
					reader.position++;
					this.#dropConsumedChunks();
					yield {kind: 'chunk', chunk};
					continue;
				}

				if (this.#end !== undefined) {
					yield {kind: 'end', end: this.#end};
					return;
				}

				// eslint-disable-next-line no-await-in-loop
				await this.#changed.wait();
			}
		} finally {
			this.#removeReader(reader);
		}
	}

	#removeReader(reader: Reader): void {
		if (this.#readers.delete(reader)) {
			this.#dropConsumedChunks();
			this.#changed.notifyAll();
		}
	}

	/** Drops the chunks that every reader has consumed. */
	#dropConsumedChunks(): void {
		if (this.isRetained || this.#awaitsFirstReader) {
			return;
		}

		let firstNeededIndex = this.#firstChunkIndex + this.#chunks.length;
		for (const reader of this.#readers) {
			firstNeededIndex = Math.min(firstNeededIndex, reader.position);
		}

		let bytes = 0;
		for (const chunk of this.#chunks.splice(0, firstNeededIndex - this.#firstChunkIndex)) {
			bytes += chunk.byteLength;
		}

		this.#firstChunkIndex = firstNeededIndex;
		if (bytes > 0) {
			this.#changeBufferedBytes(-bytes);
			this.#chunkConsumed.notifyAll();
		}
	}

	#changeBufferedBytes(change: number): void {
		this.#bufferedBytes += change;
		this.onBytes(change);
	}
}
