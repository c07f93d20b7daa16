import type {Dispatcher} from 'undici';
import type {ResponseHead} from '../requests/types.js';
import type {EndpointConnection} from './endpoint-connections.js';

export type ExchangeOptions = {
	/** The exchange destroys it at its end. */
	readonly connection: EndpointConnection;
	readonly method: string;
	/** Path and query. */
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body?: Uint8Array;
	/** Ends the exchange; its reason must be an error. */
	readonly signal: AbortSignal;
	/** Asked in the synchronous step that writes the request. When it answers false, nothing is written. */
	readonly mayWrite: () => boolean;
	/** An error that it throws ends the exchange as `broken`. */
	readonly onHead: (head: ResponseHead) => void;
	/** An error that it throws ends the exchange as `broken`. */
	readonly onData: (chunk: Uint8Array) => void;
	/** No more of the body is read until it resolves. */
	readonly ready: () => Promise<void>;
};

/** How an exchange ended. `not-sent` is certain: no byte of the request was written. */
export type ExchangeEnd
	= | {readonly kind: 'complete'}
		| {readonly kind: 'not-sent'; readonly reason: 'unreachable' | 'refused-by-check' | 'aborted'; readonly error: Error}
		| {readonly kind: 'broken'; readonly hasHead: boolean; readonly error: Error};

function flattenHeaders(headers: Readonly<Record<string, string | string[] | undefined>>): Record<string, string> {
	const flat: Record<string, string> = {};
	for (const [name, value] of Object.entries(headers)) {
		if (value !== undefined) {
			flat[name.toLowerCase()] = Array.isArray(value) ? value.join(', ') : value;
		}
	}

	return flat;
}

/**
One HTTP request and its response.

undici calls `onRequestStart` in the synchronous step that writes the request, on an established connection. An abort in there is certain to send nothing, so the last checks are made in there.
*/
class Exchange implements Dispatcher.DispatchHandler {
	readonly ended: Promise<ExchangeEnd>;
	#resolve!: (end: ExchangeEnd) => void;
	#reject!: (error: unknown) => void;
	#controller: Dispatcher.DispatchController | undefined;
	#isSettled = false;
	#isWritten = false;
	#isRefused = false;
	#hasHead = false;
	#pendingChunks = 0;

	constructor(private readonly options: ExchangeOptions) {
		this.ended = new Promise((resolve, reject) => {
			this.#resolve = resolve;
			this.#reject = reject;
		});
	}

	start(): void {
		const {connection, method, path, headers, body, signal} = this.options;
		if (signal.aborted) {
			this.#abort();
			return;
		}

		const onAbort = () => {
			this.#abort();
		};

		signal.addEventListener('abort', onAbort);
		void this.ended.catch(() => undefined).finally(() => {
			signal.removeEventListener('abort', onAbort);
		});
		connection.dispatcher.dispatch({
			method, path, headers, body, reset: true,
		}, this);
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		// A second start would write the request again, so it is refused like one that comes after the end.
		if (this.#isSettled || this.#isWritten) {
			controller.abort(new Error('the exchange has already started or ended'));
			return;
		}

		this.#controller = controller;
		let mayWrite: boolean;
		try {
			mayWrite = this.options.mayWrite();
		} catch (error) {
			this.#isSettled = true;
			this.#reject(error);
			controller.abort(new Error('the check before the write failed', {cause: error}));
			return;
		}

		if (mayWrite) {
			this.#isWritten = true;
		} else {
			this.#isRefused = true;
			controller.abort(new Error('the request must not be written'));
		}
	}

	onResponseStart(_controller: Dispatcher.DispatchController, status: number, headers: Readonly<Record<string, string | string[] | undefined>>): void {
		// Interim responses precede the real one.
		if (status >= 200 && !this.#isSettled) {
			this.#hasHead = true;
			this.options.onHead({status, headers: flattenHeaders(headers)});
		}
	}

	onResponseData(_controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		if (this.#isSettled || chunk.byteLength === 0) {
			return;
		}

		this.options.onData(chunk);
		this.options.connection.pause();
		void this.#resumeWhenReady();
	}

	onResponseEnd(): void {
		this.#settle({kind: 'complete'});
	}

	onResponseError(_controller: Dispatcher.DispatchController | undefined, error: Error): void {
		this.#settle(this.#endForError(error));
	}

	/** The parser may report more chunks of what it has already read, so the last of them decides. */
	async #resumeWhenReady(): Promise<void> {
		this.#pendingChunks++;
		await this.options.ready();
		this.#pendingChunks--;
		if (this.#pendingChunks === 0) {
			this.options.connection.resume();
		}
	}

	/** A request that still waits for its connection can't be taken back from undici, so it is refused when it starts. */
	#abort(): void {
		const error = this.options.signal.reason as Error;
		this.#settle(this.#isWritten ? {kind: 'broken', hasHead: this.#hasHead, error} : {kind: 'not-sent', reason: 'aborted', error});
		this.#controller?.abort(error);
	}

	#endForError(error: Error): ExchangeEnd {
		if (this.#isWritten) {
			return {kind: 'broken', hasHead: this.#hasHead, error};
		}

		return {kind: 'not-sent', reason: this.#isRefused ? 'refused-by-check' : 'unreachable', error};
	}

	#settle(end: ExchangeEnd): void {
		this.#isSettled = true;
		this.#resolve(end);
	}
}

/** Writes one request and hands its response to the options' functions. */
export async function exchange(options: ExchangeOptions): Promise<ExchangeEnd> {
	const activeExchange = new Exchange(options);
	try {
		activeExchange.start();
		return await activeExchange.ended;
	} finally {
		options.connection.destroy();
	}
}
