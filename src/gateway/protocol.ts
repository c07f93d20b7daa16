import type {IncomingHttpHeaders} from 'node:http';
import type {Milliseconds} from '../shared/clock.js';
import type {CallerRequestMetadata} from './callers/types.js';

export type EndpointRequestHeaders = {
	/** Names and values alternate, as the caller sent them. */
	readonly rawHeaders: readonly string[];
	readonly endpointId: string;
	readonly remainingMs?: Milliseconds;
	readonly workspace?: string;
	/** Replaces the caller's value when a stream is continued after an event. */
	readonly lastEventId?: string;
};

export type ResponseHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** What an endpoint states about itself in the headers of a response. */
export type EndpointStatement = {
	/** Requests a second that it takes from all instances together. */
	readonly requestsPerSecond?: number;
	readonly isLeaving: boolean;
	/** Time after which it takes requests of this instance again, if it has turned one away. */
	readonly retryAfterMs?: Milliseconds;
	/** Values that can't be read, by header name. */
	readonly unreadable: Readonly<Record<string, string>>;
};

/** Information in the headers of an endpoint's response. */
export type EndpointResponseMetadata = {
	readonly requestId?: string;
	/** Whether it carries the signature of the endpoint. A response without it did not come from the endpoint itself. */
	readonly isSealed: boolean;
	/** Whether the endpoint states that it did not run the request. */
	readonly isNotRun: boolean;
	/** Whether it comes from another endpoint than the expected one. */
	readonly isMisdirected: boolean;
	/** Whether its status tells a caller that the request has not run and never will. */
	readonly isRefusal: boolean;
	readonly hasContentEncoding: boolean;
	/** Whether the body is a stream of server-sent events. */
	readonly isEventStream: boolean;
	/** Whether the response has a length or chunked framing. Otherwise closing the connection ends it, and an incomplete response can't be distinguished from a complete one. */
	readonly isFramed: boolean;
	readonly statement: EndpointStatement;
};

/** Encodes and decodes the headers that the gateway exchanges with callers and endpoints. */
export type Protocol = {
	/** Path of the load balancer's readiness check. */
	readonly readinessPath: string;
	decodeRequestHeaders(headers: IncomingHttpHeaders): CallerRequestMetadata;
	/** @returns the headers for an endpoint; names and values alternate */
	encodeEndpointHeaders(request: EndpointRequestHeaders): string[];
	decodeResponseHeaders(status: number, headers: ResponseHeaders): EndpointResponseMetadata;
	/** @returns the response headers that are forwarded to the caller */
	encodeCallerHeaders(headers: ResponseHeaders): Record<string, string | string[]>;
};
