import {Buffer} from 'node:buffer';
import type {Milliseconds} from '../../shared/clock.js';
import {createFailure} from '../../shared/failure.js';
import {EndpointConnections, exchange} from '../dispatch/index.js';
import {withoutHopByHopHeaders} from '../dispatch/headers.js';
import {ResponseLog} from '../requests/index.js';
import type {CallerHeaders} from './request-checks.js';
import {isEventStream, relayResponse} from './response-stream.js';

/** Marks a request that was forwarded by another entry, so that it is not forwarded again. */
export const forwardedHeader = 'jackdawfork-forwarded';

export type ForwardOptions = {
	readonly requestId: string;
	/** Whether the request is for an engine, whose streams end with an end marker or an error event. */
	readonly isEngine: boolean;
	/** Host and port at which the owner serves callers. The owner is the incarnation that issued the request id. */
	readonly address: string;
	readonly method: string;
	/** Path and query. */
	readonly path: string;
	readonly headers: CallerHeaders;
	readonly body: Uint8Array;
	/** Time within which the response of the owner must be complete. */
	readonly timeoutMs: Milliseconds;
	/** Aborted when the caller disconnects. */
	readonly signal: AbortSignal;
};

/** Buffers an event until it is complete, so that an error event never follows a partial event. */
class CompleteEventBuffer {
	#partialEvent: Uint8Array = Buffer.alloc(0);

	push(chunk: Uint8Array): Uint8Array {
		const bytes = Buffer.concat([this.#partialEvent, chunk]);
		const end = bytes.lastIndexOf('\n\n');
		const length = end === -1 ? 0 : end + 2;
		this.#partialEvent = bytes.subarray(length);
		return bytes.subarray(0, length);
	}
}

/** Forwards retries and status queries to the incarnation that issued their request id, and relays its responses. */
export class Forwarder {
	static create(): Forwarder {
		return new Forwarder();
	}

	readonly #connections = EndpointConnections.create();

	private constructor() {}

	/** Resolves with the owner's response. If the owner can't be reached or fails, the outcome of the request is unknown. */
	async forward(options: ForwardOptions): Promise<Response> {
		const {requestId, isEngine, method} = options;
		const responseLog = ResponseLog.create({isRetained: false, onBytes: () => undefined});
		const controller = new AbortController();
		const events = responseLog.read();
		const onCallerDisconnect = () => {
			void events.return?.();
			controller.abort(new Error('the caller disconnected'));
		};

		options.signal.addEventListener('abort', onCallerDisconnect, {once: true});
		void this.#sendToOwner(options, responseLog, controller);
		return relayResponse(events, {
			requestId, isEngine, method, onCallerDisconnect, isForwarded: true,
		});
	}

	async dispose(): Promise<void> {
		await this.#connections.dispose();
	}

	async #sendToOwner(options: ForwardOptions, responseLog: ResponseLog, controller: AbortController): Promise<void> {
		const {isEngine, address, method, path, body} = options;
		const {'content-length': _contentLength, ...headers} = withoutHopByHopHeaders(options.headers);
		const timer = setTimeout(() => {
			controller.abort(new Error(`the owner's response was not complete within ${options.timeoutMs} ms`));
		}, options.timeoutMs);
		let eventBuffer: CompleteEventBuffer | undefined;
		const end = await exchange({
			connection: this.#connections.open(address),
			method,
			path,
			headers: {...headers, [forwardedHeader]: '1'},
			body: body.byteLength > 0 ? body : undefined,
			signal: controller.signal,
			mayWrite: () => true,
			onHead(head) {
				eventBuffer = isEngine && isEventStream(head.headers) ? new CompleteEventBuffer() : undefined;
				responseLog.start({status: head.status, headers: withoutHopByHopHeaders(head.headers)});
			},
			onData(chunk) {
				responseLog.write(eventBuffer?.push(chunk) ?? chunk);
			},
			ready: async () => responseLog.ready(),
		});
		clearTimeout(timer);
		responseLog.finish(end.kind === 'complete'
			? {kind: 'complete'}
			: {kind: 'failure', failure: createFailure('outcome-unknown', `the owner of the request was lost: ${end.error.message}`)});
	}
}
