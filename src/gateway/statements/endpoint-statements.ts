import type {Clock, Milliseconds} from '../../shared/clock.js';
import type {EventLog} from '../observability/event-log.js';
import type {EndpointStatement} from '../protocol.js';
import type {EndpointRecord} from '../site/types.js';

export type EndpointStatementsOptions = {
	readonly clock: Clock;
	readonly log: EventLog;
};

/** What endpoints have stated about themselves in their responses. It belongs to one start of an endpoint. */
export class EndpointStatements {
	static create(options: EndpointStatementsOptions): EndpointStatements {
		return new EndpointStatements(options);
	}

	/** The last statement of each endpoint that was logged. */
	readonly #logged = new Map<string, string>();

	private constructor(private readonly options: EndpointStatementsOptions) {}

	/** @param sentAt when the request was sent that the endpoint responded to */
	record({id, startedAt}: EndpointRecord, {requestsPerSecond, isLeaving, retryAfterMs, unreadable}: EndpointStatement, sentAt: Milliseconds): void {
		const fields = {
			limitPerSecond: requestsPerSecond, isLeaving, retryAfterMs, unreadable: Object.keys(unreadable).length === 0 ? undefined : JSON.stringify(unreadable),
		};
		const text = JSON.stringify(fields);
		const previous = this.#logged.get(id) ?? JSON.stringify({isLeaving: false});
		if (text !== previous) {
			this.#logged.set(id, text);
			this.options.log.event('endpoint-stated', {
				endpoint: id, startedAt, ...fields, requestAgeMs: Math.round(this.options.clock.now() - sentAt),
			});
		}
	}
}
