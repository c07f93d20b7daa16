import {Socket} from 'node:net';

/**
A TCP socket whose reading can be paused.

undici 7.30 can pause a response itself, but then a response that ends with the connection crashes the process with a failed assertion, and an empty chunk is reported repeatedly. The entry therefore pauses the socket and never the parser.
*/
export class PausableSocket extends Socket {
	static create(): PausableSocket {
		return new PausableSocket();
	}

	#isReading = true;

	private constructor() {
		super();
		this.setNoDelay(true);
	}

	/** Returns nothing while reading is paused; the operating system's receive buffer then fills up and slows down the sender. */
	override read(size?: number): unknown {
		return this.#isReading ? super.read(size) : null;
	}

	pauseReading(): void {
		this.#isReading = false;
	}

	resumeReading(): void {
		if (!this.#isReading) {
			this.#isReading = true;
			this.emit('readable');
		}
	}
}
