import {FailureError, outcomes} from '../../shared/failure.js';
import {isFramed} from '../../shared/http-framing.js';
import type {ResponseHead} from '../requests/types.js';
import {resultOfBroken, resultOfNotSent} from './dispatch-results.js';
import {DispatchAbortController} from './dispatch-abort-controller.js';
import type {EndpointConnections} from './endpoint-connections.js';
import {exchange, type ExchangeEnd} from './exchange.js';
import {withoutHopByHopHeaders} from './headers.js';
import type {DispatchOrder, DispatchResult} from './types.js';

const statusesWithoutBody = new Set([204, 304]);

/** A response that is delimited by the end of the connection can't be told from a truncated one, so it is rejected. */
function checkFraming(method: string, {status, headers}: ResponseHead): void {
	if (!isFramed(headers) && method !== 'HEAD' && !statusesWithoutBody.has(status)) {
		throw FailureError.create('endpoint-failed', 'the response has neither a content length nor chunks', {outcome: outcomes.unknown});
	}
}

function requestHeaders({submission}: DispatchOrder): Record<string, string> {
	const {'content-length': _contentLength, ...headers} = withoutHopByHopHeaders(submission.http.headers);
	return {...headers, 'x-request-id': submission.requestId};
}

/** Relays the response of a plain service to the order's sink. */
class PlainResponseRelay {
	#status = 0;
	#hasBody = false;

	constructor(private readonly order: DispatchOrder) {}

	get status(): number {
		return this.#status;
	}

	onHead(head: ResponseHead): void {
		checkFraming(this.order.submission.http.method, head);
		this.#status = head.status;
		this.order.sink.start({status: head.status, headers: withoutHopByHopHeaders(head.headers)});
	}

	onData(chunk: Uint8Array): void {
		if (!this.#hasBody) {
			this.#hasBody = true;
			this.order.onFirstByte();
		}

		this.order.sink.write(chunk);
	}
}

/**
Sends one request to a plain service and streams the response to the order's sink.

It calls `start`, `write` and `complete` of the sink; a failure is reported only in the result, because the scheduler decides whether to retry.
*/
export async function dispatchToPlainService(order: DispatchOrder, connections: EndpointConnections): Promise<DispatchResult> {
	const {submission, endpoint} = order;
	const abortController = DispatchAbortController.create(endpoint.requestTimeoutMilliseconds, order.signal);
	const relay = new PlainResponseRelay(order);
	try {
		const end = await exchange({
			connection: connections.open(endpoint.address),
			method: submission.http.method,
			path: submission.http.path,
			headers: requestHeaders(order),
			body: submission.http.body.byteLength > 0 ? submission.http.body : undefined,
			signal: abortController.signal,
			mayWrite: () => checkAndAnnounceWrite(order),
			onHead(head) {
				relay.onHead(head);
			},
			onData(chunk) {
				relay.onData(chunk);
			},
			ready: async () => order.sink.ready(),
		});
		return createResult(end, order, abortController, relay.status);
	} finally {
		abortController.dispose();
	}
}

function createResult(end: ExchangeEnd, order: DispatchOrder, abortController: DispatchAbortController, status: number): DispatchResult {
	if (end.kind === 'not-sent') {
		return resultOfNotSent(end, abortController, order.submission.requestId);
	}

	if (end.kind === 'broken') {
		return resultOfBroken(end, abortController, order.submission.requestId);
	}

	order.sink.complete();
	return {kind: 'completed', symptom: status >= 500 ? 'server-error' : 'none'};
}

/** Makes the last check and announces the write, in one synchronous step. */
export function checkAndAnnounceWrite(order: DispatchOrder): boolean {
	if (!order.mayWrite()) {
		return false;
	}

	order.onWrite();
	return true;
}
