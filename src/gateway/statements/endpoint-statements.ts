import type {Clock, Milliseconds} from '../../shared/clock.js';
import type {EventLog} from '../observability/event-log.js';
import type {EndpointStatement} from '../protocol.js';
import {
	startKey, type EndpointStart, type LeavingReport, type LimitReport, type LimitStatement, type StatementReport,
} from './types.js';

/** Time after which what was stated by an endpoint that the site does not list is forgotten. Its record may be missing for a while. */
const forgottenAfterMs: Milliseconds = 600_000;

const maximumEntries = 4096;

/** Relative change of a limit, and time since the last report, from which on the others are told again. */
const toldChangeRatio = 0.1;
const toldAgainAfterMs: Milliseconds = 2000;

/** Time since the last response with a limit after which a request must have been sent for its response to end the limit: responses arrive out of order over several connections and instances. */
const limitEndMarginMs: Milliseconds = 500;

export type EndpointStatementsOptions = {
	readonly ownHost: string;
	readonly clock: Clock;
	readonly log: Pick<EventLog, 'event'>;
	/** Called with what this instance has heard from an endpoint. */
	readonly onNews: (reports: readonly StatementReport[]) => void;
	/** Called with the name of each kind of statement that was received. */
	readonly onStatement: (kind: string) => void;
};

type Entry = {
	readonly start: EndpointStart;
	leaving?: LeavingReport;
	limit?: LimitReport;
	/** When the others were last told of the limit, by whichever instance. */
	limitToldAt: Milliseconds;
	/** Until when it wants no requests from this instance. */
	waitsUntil: Milliseconds;
	lastHeardAt: Milliseconds;
	readonly rejectedValues: Set<string>;
};

/** What endpoints have stated about themselves, to this instance or to others. */
export class EndpointStatements {
	static create(options: EndpointStatementsOptions): EndpointStatements {
		return new EndpointStatements(options);
	}

	/** By start, least recently created first. */
	readonly #entries = new Map<string, Entry>();

	private constructor(private readonly options: EndpointStatementsOptions) {}

	/**
	Records what an endpoint has stated in a response to this instance.

	@param sentAt when the request was sent
	*/
	record(start: EndpointStart, {requestsPerSecond, isLeaving, retryAfterMs, unreadable}: EndpointStatement, sentAt: Milliseconds): void {
		const {ownHost, clock, onNews, onStatement} = this.options;
		this.#logRejectedValues(start, unreadable);
		if (retryAfterMs !== undefined) {
			this.#recordRetryTime(start, retryAfterMs);
		}

		const source = {
			id: start.id, startedAt: start.startedAt, heardBy: ownHost, heardAt: clock.now(),
		};
		if (isLeaving) {
			onStatement('leaving');
			const report: LeavingReport = {...source, kind: 'leaving'};
			if (this.#applyLeaving(report)) {
				onNews([report]);
			}
		}

		if (requestsPerSecond !== undefined) {
			onStatement('limit');
			this.#recordLimit({...source, kind: 'limit', perSecond: requestsPerSecond});
		} else if (sentAt >= (this.findLimit(start)?.heardAt ?? Infinity) + limitEndMarginMs) {
			this.#recordLimit({...source, kind: 'limit'});
		}
	}

	/** Applies what other instances have heard. Returns what was new. */
	receive(reports: readonly StatementReport[]): StatementReport[] {
		return reports.filter(report => report.kind === 'leaving' ? this.#applyLeaving(report) : this.#applyLimit(report, true));
	}

	/** All that is known, for other instances. */
	reports(): StatementReport[] {
		return [...this.#entries.values()].flatMap(({leaving, limit}) => [leaving, limit].filter(report => report !== undefined));
	}

	/** Whether an endpoint has stated that it leaves. This has no end, whatever it states later. */
	isLeaving(start: EndpointStart): boolean {
		return this.#entries.get(startKey(start))?.leaving !== undefined;
	}

	/** The limit that an endpoint names, unless a later response has come without one. */
	findLimit(start: EndpointStart): LimitStatement | undefined {
		const limit = this.#entries.get(startKey(start))?.limit;
		return limit?.perSecond === undefined ? undefined : {perSecond: limit.perSecond, heardBy: limit.heardBy, heardAt: limit.heardAt};
	}

	/** All endpoints that name a limit. */
	limitedStarts(): EndpointStart[] {
		return [...this.#entries.values()].filter(({limit}) => limit?.perSecond !== undefined).map(({start}) => start);
	}

	/** Until when an endpoint wants no requests from this instance. It tells each instance separately, so the others are not told. */
	waitsUntil(start: EndpointStart): Milliseconds {
		return this.#entries.get(startKey(start))?.waitsUntil ?? -Infinity;
	}

	/** Number of endpoints that want no requests from this instance now, of those that the site lists. */
	waitingCount(isListed: (start: EndpointStart) => boolean): number {
		const now = this.options.clock.now();
		return [...this.#entries.values()].filter(({start, waitsUntil}) => now < waitsUntil && isListed(start)).length;
	}

	/** Number of starts that have stated that they leave, of those that the site lists. */
	leavingCount(isListed: (start: EndpointStart) => boolean): number {
		return [...this.#entries.values()].filter(({start, leaving}) => leaving !== undefined && isListed(start)).length;
	}

	/** Forgets what concerns endpoints that are gone. Called periodically. */
	expire(isListed: (start: EndpointStart) => boolean): void {
		const now = this.options.clock.now();
		for (const [key, {start, lastHeardAt, waitsUntil}] of this.#entries) {
			if (now - lastHeardAt > forgottenAfterMs && now >= waitsUntil && !isListed(start)) {
				this.#entries.delete(key);
			}
		}
	}

	/** A later, shorter time does not end an earlier one. */
	#recordRetryTime(start: EndpointStart, retryAfterMs: Milliseconds): void {
		const {clock, log, onStatement} = this.options;
		onStatement('retry-after');
		const entry = this.#entry(start);
		const now = clock.now();
		entry.lastHeardAt = now;
		if (now + retryAfterMs > entry.waitsUntil) {
			entry.waitsUntil = now + retryAfterMs;
			log.event('endpoint-states-retry-time', {endpoint: start.id, startedAt: start.startedAt, retryAfterMs: Math.round(retryAfterMs)});
		}
	}

	/** Tells the others of a limit that is new, has changed, or has not been told for a while. */
	#recordLimit(report: LimitReport): void {
		const {limitToldAt, limit} = this.#entry(report);
		const [previous = Infinity, current = Infinity] = [limit?.perSecond, report.perSecond];
		const hasChanged = previous === Infinity || current === Infinity ? previous !== current : Math.abs(current - previous) > toldChangeRatio * previous;
		const isDue = hasChanged || report.heardAt - limitToldAt > toldAgainAfterMs;
		if (this.#applyLimit(report, isDue) && isDue) {
			this.options.onNews([report]);
		}
	}

	/** Of several reports the one that was heard last counts. Returns whether this one does. */
	#applyLimit(report: LimitReport, isTold: boolean): boolean {
		const entry = this.#entry(report);
		const previous = entry.limit;
		if (previous !== undefined && report.heardAt <= previous.heardAt) {
			return false;
		}

		entry.limit = report;
		entry.lastHeardAt = Math.max(entry.lastHeardAt, report.heardAt);
		if (isTold) {
			entry.limitToldAt = this.options.clock.now();
		}

		if (previous?.perSecond !== report.perSecond) {
			this.options.log.event(report.perSecond === undefined ? 'endpoint-limit-ended' : 'endpoint-states-limit', {
				endpoint: report.id, startedAt: report.startedAt, perSecond: report.perSecond, previousPerSecond: previous?.perSecond, heardBy: report.heardBy, ageMs: this.#ageMs(report),
			});
		}

		return true;
	}

	#ageMs({heardAt}: StatementReport): Milliseconds {
		return Math.round(this.options.clock.now() - heardAt);
	}

	#applyLeaving(report: LeavingReport): boolean {
		const entry = this.#entry(report);
		entry.lastHeardAt = Math.max(entry.lastHeardAt, report.heardAt);
		if (entry.leaving !== undefined) {
			return false;
		}

		entry.leaving = report;
		this.options.log.event('endpoint-states-leaving', {
			endpoint: report.id, startedAt: report.startedAt, heardBy: report.heardBy, ageMs: this.#ageMs(report),
		});
		return true;
	}

	#logRejectedValues(start: EndpointStart, unreadable: EndpointStatement['unreadable']): void {
		for (const [header, value] of Object.entries(unreadable)) {
			const {rejectedValues} = this.#entry(start);
			this.options.onStatement('unreadable');
			// One line for each header, because an endpoint may change the value with each response.
			if (!rejectedValues.has(header)) {
				rejectedValues.add(header);
				this.options.log.event('endpoint-statement-rejected', {
					endpoint: start.id, startedAt: start.startedAt, header, value,
				});
			}
		}
	}

	#entry(start: EndpointStart): Entry {
		const key = startKey(start);
		let entry = this.#entries.get(key);
		if (entry === undefined) {
			entry = {
				start: {id: start.id, startedAt: start.startedAt}, limitToldAt: -Infinity, waitsUntil: -Infinity, lastHeardAt: this.options.clock.now(), rejectedValues: new Set(),
			};
			this.#entries.set(key, entry);
			const [oldestKey] = this.#entries.keys();
			if (this.#entries.size > maximumEntries) {
				this.#entries.delete(oldestKey!);
			}
		}

		return entry;
	}
}
