import type {Milliseconds} from '../../shared/clock.js';

/** Time after which a caller may retry whose request found no memory: requests are passed on, or time out, within a second or two. */
export const memoryRetryAfterMs: Milliseconds = 1000;

/** The failures that the gateway itself responds with. The statuses 408, 421, 429 and 503 guarantee that the request has not run and never will. */
export const gatewayFailures = {
	malformedRequest: {status: 400, title: 'The request is malformed'},
	missingRequestId: {status: 400, title: 'The request has no id'},
	unknownKey: {status: 401, title: 'The key is not known'},
	unknownRoute: {status: 404, title: 'No route leads there'},
	headersTooLarge: {status: 431, title: 'The headers are too large'},
	bodyTooLarge: {status: 413, title: 'The body is too large'},
	bodyTimeout: {status: 408, title: 'The body did not arrive in time'},
	memoryExhausted: {status: 503, title: 'This instance has no memory for the request'},
	quotaExceeded: {status: 429, title: 'The workspace has used its quota'},
	noConfiguration: {status: 503, title: 'No configuration is known yet'},
	stale: {status: 503, title: 'What is known of the configuration is too old'},
	stopping: {status: 503, title: 'This instance is stopping'},
	noEndpoint: {status: 503, title: 'No endpoint of the service may get requests'},
	overloaded: {status: 503, title: 'The service is overloaded'},
	withheld: {status: 503, title: 'The prompt has a part that crashes endpoints'},
	waitedTooLong: {status: 503, title: 'No place became free in time'},
	notRun: {status: 503, title: 'The endpoints did not run the request'},
	internalError: {status: 500, title: 'An unexpected error ended the request'},
	endpointFailed: {status: 502, title: 'The endpoint failed while it had the request'},
	endedByStop: {status: 504, title: 'This instance stopped before the endpoint answered'},
	timedOut: {status: 504, title: 'The endpoint did not answer in time'},
} as const satisfies Record<string, {readonly status: number; readonly title: string}>;

export type GatewayFailureType = keyof typeof gatewayFailures;

/** A failure response of the gateway. */
export type GatewayFailure = {
	readonly type: GatewayFailureType;
	/** Time after which the caller may retry. */
	readonly retryAfterMs?: Milliseconds;
};
