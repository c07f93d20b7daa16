import type {IncomingMessage} from 'node:http';

/** Chunks of a body after which a connection lets others go first. */
const chunksPerRound = 512;

/** Bytes of a body after which a connection lets others go first. */
const bytesPerRound = 131_072;

/**
Lets others go first when callers send long bodies, or bodies in many short chunks. Each chunk takes processor time, and a single reading may hold 10,000 of them; each reading takes a buffer that stays until a garbage collection.

Connections with many chunks or bytes in a round of the event loop are not read from until it is their turn; one of them is read from in a round.
*/
export class ChunkPacer {
	static create(): ChunkPacer {
		return new ChunkPacer();
	}

	readonly #received = new Map<IncomingMessage, {chunks: number; bytes: number}>();
	readonly #paused = new Set<IncomingMessage>();
	#isRoundEndAwaited = false;

	private constructor() {}

	/** Records a chunk that was read. */
	recordChunk(message: IncomingMessage, {byteLength}: Uint8Array): void {
		const received = this.#received.get(message) ?? {chunks: 0, bytes: 0};
		this.#received.set(message, received);
		received.chunks++;
		received.bytes += byteLength;
		if ((received.chunks >= chunksPerRound || received.bytes >= bytesPerRound) && !this.#paused.has(message)) {
			this.#pause(message);
		}

		this.#awaitRoundEnd();
	}

	/** Reads on at once, because the disconnect of a caller is to be noticed after its request. */
	recordEnd(message: IncomingMessage): void {
		this.#received.delete(message);
		this.#resume(message);
	}

	/** A paused message would keep the chunks of a reading that has begun, so its connection is paused. Each read of the message would resume it. */
	#pause(message: IncomingMessage): void {
		this.#paused.add(message);
		message._read = () => undefined;
		message.socket.pause();
	}

	#resume(message: IncomingMessage): void {
		if (!this.#paused.delete(message)) {
			return;
		}

		delete (message as Partial<IncomingMessage>)._read;
		if (!message.socket.destroyed) {
			message.socket.resume();
		}
	}

	#awaitRoundEnd(): void {
		if (this.#isRoundEndAwaited) {
			return;
		}

		this.#isRoundEndAwaited = true;
		setImmediate(() => {
			this.#isRoundEndAwaited = false;
			this.#received.clear();
			const [next] = this.#paused;
			if (next !== undefined) {
				this.#resume(next);
				this.#awaitRoundEnd();
			}
		});
	}
}
