import {Socket} from 'node:net';

/**
A TCP socket whose reader can be held back.

undici 7.30 can pause a response on its own, but then a response that ends with its connection stops the process with a failed assertion, and an empty chunk is reported again and again. So the entry holds back the socket and never pauses the parser.
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

	/** While the gate is closed there is nothing to read, and the operating system's buffer slows the sender down. */
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
