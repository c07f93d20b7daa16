import type {IncomingHttpHeaders} from 'node:http';
import type {Milliseconds} from '../shared/clock.js';
import type {CallerRequestMetadata} from './callers/types.js';

export type EndpointRequestHeaders = {
	/** Name and value by turns, as the caller sent them. */
	readonly rawHeaders: readonly string[];
	readonly endpointId: string;
	readonly remainingMs?: Milliseconds;
	readonly workspace?: string;
	/** Replaces what the caller sent when a stream goes on after an event. */
	readonly lastEventId?: string;
};

export type ResponseHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** What an endpoint's response says besides its status and body. */
export type EndpointResponseMetadata = {
	readonly requestId?: string;
	/** Whether it carries the endpoint's signature, without which a response is not the endpoint's own. */
	readonly isSealed: boolean;
	/** Whether the endpoint states that it did not run the request. */
	readonly isNotRun: boolean;
	readonly hasContentEncoding: boolean;
	/** Whether the response says where it ends. Otherwise it ends with its connection, and a part can't be told from the whole. */
	readonly isFramed: boolean;
};

/** How callers and endpoints spell what the gateway needs of their messages. */
export type Protocol = {
	/** The path of the balancer's question whether this process takes callers. */
	readonly readinessPath: string;
	decodeRequestHeaders(headers: IncomingHttpHeaders): CallerRequestMetadata;
	/** Makes the headers for an endpoint, name and value by turns. */
	encodeEndpointHeaders(request: EndpointRequestHeaders): string[];
	decodeResponseHeaders(status: number, headers: ResponseHeaders): EndpointResponseMetadata;
	/** Keeps the response headers that are meant for the caller. */
	encodeCallerHeaders(headers: ResponseHeaders): Record<string, string | string[]>;
};
