import {
	createFailure, FailureError, outcomes, type Failure,
} from '../../shared/failure.js';
import type {DispatchAbortController} from './dispatch-abort-controller.js';
import type {ExchangeEnd} from './exchange.js';
import type {DispatchResult, EndpointSymptom} from './types.js';

type NotSentEnd = Extract<ExchangeEnd, {kind: 'not-sent'}>;
type BrokenEnd = Extract<ExchangeEnd, {kind: 'broken'}>;
type FailedResult = Extract<DispatchResult, {kind: 'failed'}>;

/** Error codes of undici for a request that it can't write because it is invalid. */
const invalidRequestCodes = new Set(['UND_ERR_INVALID_ARG', 'UND_ERR_NOT_SUPPORTED', 'UND_ERR_REQ_CONTENT_LENGTH_MISMATCH']);

const failuresByCause = {
	aborted: {type: 'cancelled', symptom: 'none'},
	timeout: {type: 'outcome-unknown', symptom: 'timeout'},
} as const;

/** Returns the dispatch result of an exchange that ended before any byte of the request was written. */
export function resultOfNotSent(end: NotSentEnd, abortController: DispatchAbortController, requestId: string): DispatchResult {
	const {code} = end.error as {code?: string};
	if (code !== undefined && invalidRequestCodes.has(code)) {
		const failure = createFailure('malformed-request', `the request can't be written: ${end.error.message}`, {requestId, outcome: outcomes.notRun, cause: end.error});
		return {kind: 'failed', failure, symptom: 'none'};
	}

	if (abortController.cause === 'timeout') {
		return {kind: 'not-sent', reason: 'unreachable', symptom: 'timeout'};
	}

	return {kind: 'not-sent', reason: end.reason, symptom: end.reason === 'unreachable' ? 'unreachable' : 'none'};
}

/** Returns the dispatch result of an exchange that ended after the request was written but before the response was complete. */
export function resultOfBroken(end: BrokenEnd, abortController: DispatchAbortController, requestId: string): FailedResult {
	if (end.error instanceof FailureError) {
		return createFailedResult({...end.error.failure, requestId}, 'none');
	}

	if (abortController.cause !== 'none') {
		const {type, symptom} = failuresByCause[abortController.cause];
		return createFailedResult(createFailure(type, end.error.message, {requestId, outcome: outcomes.unknown}), symptom);
	}

	const type = end.hasHead ? 'answer-interrupted' : 'outcome-unknown';
	return createFailedResult(createFailure(type, `the connection to the endpoint was lost: ${end.error.message}`, {requestId}), 'reset');
}

export function createFailedResult(failure: Failure, symptom: EndpointSymptom): FailedResult {
	return {kind: 'failed', failure, symptom};
}
