import type {Socket} from 'node:net';
import type {Clock, Milliseconds} from './clock.js';

/** Age of what has been read above which callers may have left unnoticed. */
const toleratedAgeMs: Milliseconds = 150;

/**
Tells until when everything that arrived has been read. A process that does not run for a while handles timers and other responses before it reads that a caller has left.

The event loop reads once in a round, and accepts one connection. It runs immediates right after that.
*/
export class ReadingProgress {
	/** @param onError called with an error of one callback, which must not keep the others from going on */
	static create(clock: Clock, onError: (error: unknown) => void): ReadingProgress {
		return new ReadingProgress(clock, onError);
	}

	#readUntil: Milliseconds;
	#acceptedUntil: Milliseconds;
	#connectionCount = 0;
	/** Since when the connections from which nothing was read may have waited to be accepted. */
	readonly #waitingSince = new WeakMap<Socket, Milliseconds>();
	#callbacks: Array<() => void> = [];
	readonly #roundCallbacks: Array<() => void> = [];
	/** Whether callbacks are being called after a reading. No newer state can be had then, however long it took. */
	#isAfterReading = false;

	private constructor(private readonly clock: Clock, private readonly onError: (error: unknown) => void) {
		this.#readUntil = clock.now();
		this.#acceptedUntil = this.#readUntil;
	}

	/**
	Returns the longest time for which the disconnect of a caller may have been unread.

	@param waitingSince since when its connection may have waited to be accepted, if nothing was read from it before
	*/
	unreadMs(waitingSince: Milliseconds = Infinity): Milliseconds {
		return this.clock.now() - Math.min(waitingSince, this.#readUntil);
	}

	/** Whether a caller may have left unnoticed. The parameter is that of `unreadMs`. */
	isLate(waitingSince?: Milliseconds): boolean {
		return !this.#isAfterReading && this.unreadMs(waitingSince) > toleratedAgeMs;
	}

	/** Records that a connection was accepted. It may have waited since all connections were known to be accepted. */
	recordConnection(connection: Socket): void {
		this.#connectionCount++;
		this.#waitingSince.set(connection, this.#acceptedUntil);
	}

	/** Returns since when a connection may have waited to be accepted. Undefined if something was read from it before. */
	takeWaitingSince(connection: Socket): Milliseconds | undefined {
		const waitingSince = this.#waitingSince.get(connection);
		this.#waitingSince.delete(connection);
		return waitingSince;
	}

	/** Determines the progress anew. Called periodically. */
	update(): void {
		this.afterReading(() => undefined);
	}

	/**
	Calls back at the end of the current round of the event loop. The disconnects are read then that had arrived when the round read, unless other input of the same connection was unread.
	*/
	afterRound(callback: () => void): void {
		this.#roundCallbacks.push(callback);
		if (this.#roundCallbacks.length === 1) {
			setImmediate(() => {
				this.#callWhileCurrent(this.#roundCallbacks.splice(0));
			});
		}
	}

	/** Calls back once everything on accepted connections has been read that had arrived before. */
	afterReading(callback: () => void): void {
		this.#callbacks.push(callback);
		if (this.#callbacks.length === 1) {
			// The current round may have read already.
			setImmediate(() => {
				this.#read();
			});
		}
	}

	#read(): void {
		const callbacks = this.#callbacks;
		this.#callbacks = [];
		const startedAt = this.clock.now();
		const connectionCount = this.#connectionCount;
		setImmediate(() => {
			this.#readUntil = startedAt;
			if (this.#connectionCount === connectionCount) {
				this.#acceptedUntil = startedAt;
			}

			this.#callWhileCurrent(callbacks);
		});
	}

	/** Calls those callbacks first that were added first, until the state is too old; the others wait for the next reading. */
	#callWhileCurrent(callbacks: ReadonlyArray<() => void>): void {
		const readAt = this.clock.now();
		this.#isAfterReading = true;
		for (const callback of callbacks) {
			if (this.clock.now() - readAt > toleratedAgeMs) {
				this.afterReading(callback);
				continue;
			}

			try {
				callback();
			} catch (error) {
				this.onError(error);
			}
		}

		this.#isAfterReading = false;
	}
}
