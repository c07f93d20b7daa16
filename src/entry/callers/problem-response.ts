import {
	failureDefinitions, toProblemDocument, type Failure, type FailureType,
} from '../../shared/failure.js';

/** Failures after which the rest of the body can't be read, so that the connection has to be closed. */
const connectionClosingFailures = new Set<FailureType>(['body-timeout']);

/** Creates the response that reports a failure as a problem document. */
export function createProblemResponse(failure: Failure, requestId: string): Response {
	const headers = new Headers({'content-type': 'application/problem+json', 'x-request-id': requestId});
	if (failure.retryAfterSeconds !== undefined) {
		headers.set('retry-after', String(failure.retryAfterSeconds));
	}

	if (connectionClosingFailures.has(failure.type)) {
		headers.set('connection', 'close');
	}

	const body = JSON.stringify(toProblemDocument({...failure, requestId}));
	return new Response(body, {status: failureDefinitions[failure.type].status, headers});
}

/** Formats a failure as the error event that ends a stream. */
export function formatErrorEvent(failure: Failure, requestId: string): string {
	return `event: error\ndata: ${JSON.stringify(toProblemDocument({...failure, requestId}))}\n\n`;
}
