import {errors, type Dispatcher} from 'undici';
import {ConnectTimeoutError} from '../../shared/connector.js';
import {toError} from '../../shared/describe-error.js';
import {isFramed} from '../../shared/http-framing.js';
import {isDefinedStatus} from '../../shared/http-status.js';
import type {ConnectionPosition, EndpointConnection} from './endpoint-connection-pool.js';

export type ResponseHead = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
};

/** Interim responses (1xx) after which an endpoint counts as broken. Endpoints send none, or one. */
const maximumInterimResponses = 8;

/** How an exchange ended. `not-sent` means that this process withheld the request, `invalid` that it can't be written to any endpoint, and `unanswered` that no connection was opened in time. */
export type ExchangeEnd
	= | {readonly kind: 'complete'}
		| {readonly kind: 'invalid'; readonly error: Error}
		| {readonly kind: 'not-sent'; readonly error: Error}
		| {readonly kind: 'unanswered'; readonly error: Error}
		| {readonly kind: 'unreachable'; readonly error: Error}
		| {readonly kind: 'broken'; readonly error: Error}
		| {readonly kind: 'cancelled'; readonly error: Error};

/** Whether it is certain that no byte of the request was written. */
export function isUnsent({kind}: ExchangeEnd): boolean {
	return kind === 'not-sent' || kind === 'unanswered' || kind === 'unreachable' || kind === 'invalid';
}

export type ExchangeOptions = {
	readonly connection: EndpointConnection;
	readonly method: string;
	/** Path and query. */
	readonly path: string;
	/** Names and values alternate. */
	readonly headers: string[];
	readonly body?: Uint8Array;
	/** Called in the synchronous step that writes the request. When it returns false, nothing is written. */
	readonly maySend: () => boolean;
	readonly onHead: (head: ResponseHead) => void;
	readonly onData: (chunk: Uint8Array) => void;
	/** Whether the connection may carry another request after this response, which is complete. */
	readonly keepsConnection: () => boolean;
	readonly onEnd: (end: ExchangeEnd) => void;
};

/**
One HTTP request to an endpoint and its response.

undici calls `onRequestStart` in the synchronous step that writes the request, so an abort there guarantees that nothing is sent.
*/
export class Exchange implements Dispatcher.DispatchHandler {
	static start(options: ExchangeOptions): Exchange {
		const exchange = new Exchange(options);
		const {connection, method, path, headers, body} = options;
		try {
			connection.client.dispatch({
				method, path, headers, body,
			}, exchange);
		} catch (error) {
			exchange.onResponseError(undefined, toError(error));
		}

		return exchange;
	}

	#controller: Dispatcher.DispatchController | undefined;
	#isSent = false;
	#isWithheld = false;
	#isEnded = false;
	#interimResponses = 0;
	#isFramed = true;

	private constructor(private readonly options: ExchangeOptions) {}

	/** Bytes received on the connection since the exchange started. */
	get receivedBytes(): number {
		return this.options.connection.receivedBytes();
	}

	get position(): ConnectionPosition {
		return this.options.connection.position();
	}

	/** Ends the exchange and closes its connection. A request that has not been written yet is never written, and what has not been sent of one is dropped. */
	cancel(error: Error): void {
		if (this.#isSent && !this.#isEnded) {
			this.options.connection.reset(error);
		}

		this.#end({kind: 'cancelled', error});
		this.#controller?.abort(error);
	}

	/** Calls back when the connection of an exchange that was cancelled is closed. */
	whenClosed(callback: () => void): void {
		this.options.connection.whenClosed(callback);
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		if (this.#isEnded || this.#isSent) {
			controller.abort(new Error('the exchange has already started or ended'));
			return;
		}

		if (!this.options.maySend()) {
			this.#isWithheld = true;
			controller.abort(new Error('the request may no longer be sent'));
			return;
		}

		this.#controller = controller;
		this.#isSent = true;
	}

	onResponseStart(_controller: Dispatcher.DispatchController, status: number, headers: ResponseHead['headers']): void {
		if (!isDefinedStatus(status)) {
			throw new RangeError(`the status ${status} is not defined`);
		}

		if (status < 200) {
			this.#interimResponses++;
			if (this.#interimResponses > maximumInterimResponses) {
				throw new RangeError(`more than ${maximumInterimResponses} interim responses`);
			}
		} else if (!this.#isEnded) {
			this.#isFramed = isFramed(headers);
			this.options.onHead({status, headers});
		}
	}

	onResponseData(_controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		this.options.connection.recordChunk();
		if (!this.#isEnded && chunk.byteLength > 0) {
			this.options.onData(chunk);
		}
	}

	onResponseEnd(): void {
		if (!this.#isFramed && this.options.connection.wasReset()) {
			this.#end({kind: 'broken', error: new Error('the connection was reset')});
			return;
		}

		this.#end({kind: 'complete'});
	}

	onResponseError(_controller: Dispatcher.DispatchController | undefined, error: Error): void {
		if (this.#isSent) {
			this.#end({kind: 'broken', error});
		} else if (error instanceof errors.InvalidArgumentError) {
			// The HTTP client rejects the request itself, before it looks for a connection, so the endpoint has no part in it.
			this.#end({kind: 'invalid', error});
		} else if (error instanceof ConnectTimeoutError) {
			this.#end({kind: 'unanswered', error});
		} else {
			this.#end({kind: this.#isWithheld ? 'not-sent' : 'unreachable', error});
		}
	}

	#end(end: ExchangeEnd): void {
		if (this.#isEnded) {
			return;
		}

		this.#isEnded = true;
		this.options.connection.release(end.kind === 'complete' && this.options.keepsConnection());
		this.options.onEnd(end);
	}
}
