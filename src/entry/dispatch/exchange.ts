import type {Dispatcher} from 'undici';
import {FailureError, outcomes} from '../../shared/failure.js';
import {isDefinedStatus} from '../../shared/http-status.js';
import type {ResponseHead} from '../requests/types.js';
import type {EndpointConnection} from './endpoint-connections.js';

export type ExchangeOptions = {
	/** Destroyed when the exchange ends. */
	readonly connection: EndpointConnection;
	readonly method: string;
	/** Path and query. */
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body?: Uint8Array;
	/** Aborts the exchange; its reason must be an error. */
	readonly signal: AbortSignal;
	/** Called in the synchronous step that writes the request. If it returns false, nothing is written. */
	readonly mayWrite: () => boolean;
	/** An error thrown by it ends the exchange as `broken`. */
	readonly onHead: (head: ResponseHead) => void;
	/** An error thrown by it ends the exchange as `broken`. */
	readonly onData: (chunk: Uint8Array) => void;
	/** The body is not read further until this resolves. */
	readonly ready: () => Promise<void>;
};

/** How an exchange ended. `not-sent` guarantees that no byte of the request was written. */
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

undici calls `onRequestStart` in the synchronous step that writes the request, on an established connection. If the request is aborted in that call, nothing is sent, so the last checks are made there.
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
		// A second start would write the request twice, so it is aborted, as is a start after the exchange has ended.
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
		if (!isDefinedStatus(status)) {
			throw FailureError.create('endpoint-failed', `the endpoint sent the status ${status}, which is not defined`, {outcome: outcomes.unknown});
		}

		// Interim responses (1xx) are ignored.
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

	/** The parser may report further chunks that it has already read, so reading resumes only once all of them have been accepted. */
	async #resumeWhenReady(): Promise<void> {
		this.#pendingChunks++;
		await this.options.ready();
		this.#pendingChunks--;
		if (this.#pendingChunks === 0) {
			this.options.connection.resume();
		}
	}

	/** A request that is waiting for its connection can't be withdrawn from undici, so `onRequestStart` aborts it. */
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

/** Sends one request and passes the response to the callbacks in the options. */
export async function exchange(options: ExchangeOptions): Promise<ExchangeEnd> {
	const activeExchange = new Exchange(options);
	try {
		activeExchange.start();
		return await activeExchange.ended;
	} finally {
		options.connection.destroy();
	}
}
