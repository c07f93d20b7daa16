import {requestStates, type RequestState} from './types.js';

/** The states that may follow each state. */
export const allowedTransitions: Readonly<Record<RequestState, readonly RequestState[]>> = {
	reserved: ['waiting', 'refused'],
	waiting: ['dispatching', 'refused'],
	dispatching: ['streaming', 'completed', 'failed', 'unknown'],
	streaming: ['completed', 'failed', 'unknown'],
	completed: [],
	failed: [],
	unknown: [],
	refused: [],
};

const undispatchedStates = new Set<RequestState>([requestStates.reserved, requestStates.waiting, requestStates.refused]);

export function isFinal(state: RequestState): boolean {
	return allowedTransitions[state].length === 0;
}

/** Whether it is certain that a request in this state was not dispatched. */
export function isNeverDispatched(state: RequestState): boolean {
	return undispatchedStates.has(state);
}
