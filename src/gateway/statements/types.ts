import type {Milliseconds} from '../../shared/clock.js';
import type {EndpointRecord} from '../site/types.js';

/** One start of an endpoint. What it states about itself ends with it, and does not belong to its id or address. */
export type EndpointStart = Pick<EndpointRecord, 'id' | 'startedAt'>;

export function startKey({id, startedAt}: EndpointStart): string {
	return `${id} ${startedAt}`;
}

/** What an endpoint has stated to some instance. */
export type StatementReport = EndpointStart & {
	readonly kind: 'leaving';
	/** Host of the instance that received the response. */
	readonly heardBy: string;
	/** When it was received, on the clock of this instance. */
	readonly heardAt: Milliseconds;
};

/** A report as another instance sent it, with its age, because the clocks of instances differ. */
export type ReceivedStatementReport = Omit<StatementReport, 'heardAt'> & {readonly ageMs: Milliseconds};
