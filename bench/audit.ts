/** Compares what callers were told with the requests that the endpoints received. */
import type {DispatchOutcome, LoggedDispatch} from '../standins/dispatch-log.js';
import {results, type RequestRecord} from './records.js';

export type EndpointLog = {
	readonly endpoint: string;
	readonly dispatches: readonly LoggedDispatch[];
};

export type Violations = {
	/** Request ids that endpoints received more than once (G1, G7), with the endpoints. */
	readonly dispatchedTwice: ReadonlyArray<{readonly requestId: string; readonly endpoints: readonly string[]}>;
	/** Request ids that ran although a caller was told that they had not (G6). */
	readonly ranAfterRefusal: readonly string[];
	/** Request ids of wrong or partial responses that a caller accepted as complete (G5). */
	readonly wrongResponses: readonly string[];
	/** Request ids with a response although no endpoint received the request (G5). */
	readonly responsesWithoutDispatch: readonly string[];
	/** Dispatches to a cold endpoint above its cold units (G3), with the endpoints. */
	readonly coldOverloads: ReadonlyArray<{readonly requestId: string; readonly endpoint: string}>;
};

type Dispatch = {readonly endpoint: string; readonly outcome: DispatchOutcome};

function groupByRequest(logs: readonly EndpointLog[]): Map<string, Dispatch[]> {
	const byRequest = new Map<string, Dispatch[]>();
	for (const {endpoint, dispatches} of logs) {
		for (const {requestId, outcome} of dispatches) {
			byRequest.set(requestId, [...byRequest.get(requestId) ?? [], {endpoint, outcome}]);
		}
	}

	return byRequest;
}

function isExecuted(dispatches: readonly Dispatch[] | undefined): boolean {
	return dispatches?.some(({outcome}) => outcome === 'admitted') ?? false;
}

/** Finds broken invariants. All lists are empty when none is broken. */
export function audit(records: readonly RequestRecord[], logs: readonly EndpointLog[]): Violations {
	const byRequest = groupByRequest(logs);
	const completed = records.filter(({result}) => result === results.completed);
	return {
		dispatchedTwice: [...byRequest]
			.filter(([, dispatches]) => dispatches.length > 1)
			.map(([requestId, dispatches]) => ({requestId, endpoints: dispatches.map(({endpoint}) => endpoint)})),
		ranAfterRefusal: records.flatMap(({refusedIds}) => refusedIds).filter(id => isExecuted(byRequest.get(id))),
		wrongResponses: completed.filter(({isCorrect}) => !isCorrect).map(({requestId}) => requestId ?? ''),
		responsesWithoutDispatch: completed.filter(({requestId}) => !isExecuted(byRequest.get(requestId ?? ''))).map(({requestId}) => requestId ?? ''),
		coldOverloads: logs.flatMap(({endpoint, dispatches}) => dispatches
			.filter(({outcome}) => outcome === 'overload')
			.map(({requestId}) => ({requestId, endpoint}))),
	};
}

/** The number of violations of each kind. */
export function countViolations(violations: Violations): Record<keyof Violations, number> {
	return {
		dispatchedTwice: violations.dispatchedTwice.length,
		ranAfterRefusal: violations.ranAfterRefusal.length,
		wrongResponses: violations.wrongResponses.length,
		responsesWithoutDispatch: violations.responsesWithoutDispatch.length,
		coldOverloads: violations.coldOverloads.length,
	};
}
