import {Buffer} from 'node:buffer';
import {write} from 'node:fs';

/** Size of the buffer of unwritten lines. Lines beyond it are dropped and counted. */
const maximumPendingCharacters = 262_144;

/** Delay of a write, which batches lines, and of a retry while the reader of the output is too slow. */
const writeDelayMs = 40;

/**
Writes lines to a file descriptor without ever blocking the process.

`process.stdout` blocks while a pipe is full. Lines that don't fit into the bounded buffer are dropped, and their number is logged.
*/
export class LogOutput {
	static create(descriptor: number): LogOutput {
		return new LogOutput(descriptor);
	}

	#pending: string[] = [];
	#pendingCharacters = 0;
	#dropped = 0;
	/** The write that is under way. */
	#writing: Promise<void> | undefined;
	#timer: NodeJS.Timeout | undefined;

	private constructor(private readonly descriptor: number) {}

	write(line: string): boolean {
		if (this.#pendingCharacters + line.length > maximumPendingCharacters) {
			this.#dropped++;
			return false;
		}

		this.#pending.push(line);
		this.#pendingCharacters += line.length;
		this.#schedule();
		return true;
	}

	/** Resolves when all buffered lines have been passed to the operating system, or after a failed write. */
	async flush(): Promise<void> {
		// Lines that were added during a write are not part of it.
		if (this.#writing !== undefined) {
			await this.#writing;
		}

		clearTimeout(this.#timer);
		this.#timer = undefined;
		await this.#writePending();
	}

	#schedule(): void {
		if (this.#writing === undefined && this.#timer === undefined) {
			this.#timer = setTimeout(() => {
				this.#timer = undefined;
				void this.#writePending();
			}, writeDelayMs);
		}
	}

	async #writePending(): Promise<void> {
		if (this.#writing !== undefined || this.#pending.length === 0) {
			return;
		}

		this.#writing = this.#write();
		await this.#writing;
	}

	async #write(): Promise<void> {
		if (this.#dropped > 0) {
			this.#pending.push(`level=warn event=log-lines-dropped count=${this.#dropped}\n`);
			this.#dropped = 0;
		}

		const chunk = Buffer.from(this.#pending.join(''));
		this.#pending = [];
		this.#pendingCharacters = 0;
		const written = await this.#writeChunk(chunk);
		this.#writing = undefined;
		if (written < chunk.byteLength) {
			// The reader is too slow: the next write starts with the rest.
			const rest = new TextDecoder().decode(chunk.subarray(written));
			this.#pending.unshift(rest);
			this.#pendingCharacters += rest.length;
		}

		if (this.#pending.length > 0) {
			this.#schedule();
		}
	}

	async #writeChunk(chunk: Uint8Array): Promise<number> {
		return new Promise(resolve => {
			write(this.descriptor, chunk, (error, written) => {
				if (error === null) {
					resolve(written);
					return;
				}

				// EAGAIN means that the pipe is full, so the write is retried. Any other error can't be reported anywhere.
				resolve(error.code === 'EAGAIN' ? 0 : chunk.byteLength);
			});
		});
	}
}
