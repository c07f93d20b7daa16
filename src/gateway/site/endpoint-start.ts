import type {EndpointRecord} from './types.js';

/** One start of an endpoint. What it states about itself and its connections end with it, and do not belong to its id or address. */
export type EndpointStart = Pick<EndpointRecord, 'id' | 'startedAt'>;

export function startKey({id, startedAt}: EndpointStart): string {
	return `${id} ${startedAt}`;
}
