import {Socket} from 'node:net';

/** Bytes that are handed over at once, so that few chunks are in them. */
const pieceBytes = 4096;

/** Chunks of a response after which a connection lets others go first. */
const chunksPerRound = 512;

/** Bytes after which a connection lets others go first. */
const bytesPerRound = 131_072;

/**
A socket that hands over no more in a round of the event loop once it has handed over many chunks of a response, or many bytes.

Each chunk of a response takes processor time, so a connection with many short ones would keep the others waiting. A single reading may hold 10,000 of them, and the event loop reads up to 32 times from one connection before it goes on.
*/
export class PacedSocket extends Socket {
	static create(): PacedSocket {
		return new PacedSocket();
	}

	static #lastNumber = 0;

	/** Identifies the connection in the logs of this process. */
	readonly number = ++PacedSocket.#lastNumber;
	#chunkCount = 0;
	#byteCount = 0;
	#isRoundEndAwaited = false;
	#wasReset = false;
	#resetError: Error | undefined;

	/** Resets the connection. Without the error, the HTTP client would take the closed socket for the end of a response without a length. */
	resetWith(error: Error): void {
		this.#resetError = error;
		this.resetAndDestroy();
	}

	/** Whether the connection had been reset when the end of its data was read. Node.js reports a reset that is read together with data as an orderly end. */
	get wasReset(): boolean {
		return this.#wasReset;
	}

	/** Null marks the end of the data. A connection that was ended in order still has a peer then, one that was reset has none. `remoteAddress` must not be read earlier, because the socket caches it. */
	override push(chunk: unknown, encoding?: BufferEncoding): boolean {
		if (chunk === null && !this.destroyed) {
			this.#wasReset = this.remoteAddress === undefined;
		}

		return super.push(chunk, encoding);
	}

	override destroy(error?: Error): this {
		return super.destroy(error ?? this.#resetError);
	}

	/** Records that a chunk of a response has been processed. */
	recordChunk(): void {
		this.#chunkCount++;
		this.#awaitRoundEnd();
	}

	override read(size?: number): ReturnType<Socket['read']> {
		if (this.#isPaused && this.readableLength > 0) {
			return null;
		}

		const bytes = super.read(size ?? (this.readableLength > pieceBytes ? pieceBytes : undefined)) as Uint8Array | undefined;
		// The stream returns null when it has nothing to read.
		if (bytes?.byteLength) {
			this.#byteCount += bytes.byteLength;
			this.#awaitRoundEnd();
		}

		return bytes;
	}

	get #isPaused(): boolean {
		return this.#chunkCount >= chunksPerRound || this.#byteCount >= bytesPerRound;
	}

	#awaitRoundEnd(): void {
		if (this.#isRoundEndAwaited) {
			return;
		}

		this.#isRoundEndAwaited = true;
		setImmediate(() => {
			const isWaiting = this.#isPaused;
			this.#isRoundEndAwaited = false;
			this.#chunkCount = 0;
			this.#byteCount = 0;
			if (isWaiting && !this.destroyed) {
				this.emit('readable');
			}
		});
	}
}
