import type {Milliseconds} from '../../shared/clock.js';
import type {EndpointStart} from '../site/endpoint-start.js';
import type {LimitStatement} from '../statements/types.js';

/** A request of one instance for permits to send requests to an endpoint that limits them. */
export type PermitRequest = {
	readonly start: EndpointStart;
	/** Increases with each request of a process. */
	readonly sequence: number;
	/** Number of permits. */
	readonly count: number;
	/** The limit as the sender knows it. */
	readonly limit: LimitStatement;
};

/** A request as it arrived, with the age of the limit, because the clocks of instances differ. */
export type ReceivedPermitRequest = Omit<PermitRequest, 'limit'> & {
	readonly limit: Omit<LimitStatement, 'heardAt'> & {readonly ageMs: Milliseconds};
};

export type PermitGrant = {
	readonly start: EndpointStart;
	/** Of the request that it answers. */
	readonly sequence: number;
	readonly count: number;
};
