import type {Failure} from '../../shared/failure.js';
import type {ResponseSink, Submission} from '../requests/types.js';

/** Describes one dispatch: the request, the endpoint, and the callbacks and sink that the dispatch reports to. */
export type DispatchOrder = {
	readonly submission: Submission;
	readonly endpoint: {
		readonly name: string;
		/** Host and port. */
		readonly address: string;
		readonly requestTimeoutMilliseconds: number;
	};
	/**
	Called in the same synchronous step that writes the request. If it returns false, nothing is written.
	It is the last check of entry lease, units, availability zone and configuration.
	*/
	readonly mayWrite: () => boolean;
	/** Called once, immediately before the first byte is written. */
	readonly onWrite: () => void;
	/** Called at the first byte of the response body. */
	readonly onFirstByte: () => void;
	/** Called for each chunk of the response after the first, with the number of output tokens in it. */
	readonly onTokens: (tokens: number) => void;
	/** Called when the request has failed and is about to be cancelled, which may take long: what the failure says of the endpoint is then known already. */
	readonly onSymptom: (symptom: EndpointSymptom) => void;
	readonly sink: ResponseSink;
	/** Aborts the dispatch; an engine stream is also cancelled at the engine. */
	readonly signal: AbortSignal;
};

/** What a dispatch observed about the state of the endpoint. */
export type EndpointSymptom = 'none' | 'unreachable' | 'reset' | 'timeout' | 'server-error';

/** How a dispatch ended. `not-sent` guarantees that no byte of the request reached the endpoint. */
export type DispatchResult
	= | {readonly kind: 'not-sent'; readonly reason: 'unreachable' | 'refused-by-check' | 'aborted'; readonly symptom: EndpointSymptom}
		| {readonly kind: 'completed'; readonly symptom: EndpointSymptom; readonly promptTokensCached?: number}
		| {readonly kind: 'failed'; readonly failure: Failure; readonly symptom: EndpointSymptom};
