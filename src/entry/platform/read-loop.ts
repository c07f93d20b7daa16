import {setTimeout as delay} from 'node:timers/promises';
import type {Milliseconds} from '../../shared/clock.js';
import type {Disposable} from '../../shared/disposable-store.js';

/** Reads once and returns the wait before the next read. It must not reject. */
export type Read = (signal: AbortSignal) => Promise<Milliseconds>;

/** Reads a platform service repeatedly, one read at a time, until the loop is disposed of. */
export class ReadLoop implements Disposable {
	static create(read: Read): ReadLoop {
		return new ReadLoop(read);
	}

	readonly #abortController = new AbortController();
	#loop: Promise<void> | undefined;

	private constructor(private readonly read: Read) {}

	start(): void {
		this.#loop ??= this.#runLoop();
	}

	async dispose(): Promise<void> {
		this.#abortController.abort();
		await this.#loop;
	}

	async #runLoop(): Promise<void> {
		const {signal} = this.#abortController;
		while (!signal.aborted) {
			// Each read depends on the response to the previous one.
			// eslint-disable-next-line no-await-in-loop
			const waitMs = await this.read(signal);
			if (waitMs > 0) {
				// eslint-disable-next-line no-await-in-loop
				await delay(waitMs, undefined, {signal, ref: false}).catch(() => undefined);
			}
		}
	}
}
