import type {Clock, Milliseconds} from '../../shared/clock.js';
import type {EventLog} from '../observability/event-log.js';
import type {EndpointStatement} from '../protocol.js';
import {startKey, type EndpointStart} from '../site/endpoint-start.js';
import type {
	LeavingReport, LimitReport, LimitStatement, StatementReport,
} from './types.js';

/** Time after which what was stated by an endpoint that the site does not list is forgotten. Its record may be missing for a while. */
const forgottenAfterMs: Milliseconds = 600_000;

const maximumEntries = 4096;

/** Relative change of a limit, and time since the last report that was told, from which on the others are told again. */
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

type HeardStatement = {readonly heardBy: string; readonly ageMs: Milliseconds};

/** What one endpoint has stated, as operators read it. */
export type StatementStatus = {
	readonly endpoint: string;
	readonly startedAt: number;
	readonly leaving?: HeardStatement;
	readonly limit?: HeardStatement & {readonly perSecond: number};
	/** Time for which it wants no requests from this instance. */
	readonly retryInMs?: Milliseconds;
};

type Entry = {
	readonly start: EndpointStart;
	leaving?: LeavingReport;
	limit?: LimitReport;
	/** The last report of the limit that all instances were told, by whichever of them. */
	toldLimit?: LimitReport;
	/** When it takes requests of this instance again. */
	retryAt: Milliseconds;
	lastHeardAt: Milliseconds;
	readonly rejectedValues: Set<string>;
};

/** Whether a limit differs so much that the others are told at once. */
function hasChanged(previous: number | undefined, current: number | undefined): boolean {
	if (previous === undefined || current === undefined) {
		return previous !== current;
	}

	return Math.abs(current - previous) > toldChangeRatio * previous;
}

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

	@param completedSentAt when the request was sent, if the response is a success. Errors and rejections may lack a statement that still holds
	*/
	record(start: EndpointStart, {requestsPerSecond, isLeaving, retryAfterMs, unreadable}: EndpointStatement, completedSentAt?: Milliseconds): void {
		const {ownHost, clock, onNews, onStatement} = this.options;
		this.#logRejectedValues(start, unreadable);
		if (retryAfterMs !== undefined) {
			this.#recordRetryTime(start, retryAfterMs);
		}

		const source = {
			id: start.id, startedAt: start.startedAt, heardBy: ownHost, heardAt: clock.now(),
		};
		const reports: StatementReport[] = [];
		if (isLeaving) {
			onStatement('leaving');
			reports.push({...source, kind: 'leaving'});
		}

		if (requestsPerSecond !== undefined) {
			onStatement('limit');
			reports.push({...source, kind: 'limit', perSecond: requestsPerSecond});
		} else if (completedSentAt !== undefined && completedSentAt >= (this.findLimit(start)?.heardAt ?? Infinity) + limitEndMarginMs) {
			reports.push({...source, kind: 'limit'});
		}

		const news = this.receive(reports);
		if (news.length > 0) {
			onNews(news);
		}
	}

	/** Applies what this instance or others have heard. Returns what the others are to be told. */
	receive(reports: readonly StatementReport[]): StatementReport[] {
		return reports.filter(report => report.kind === 'leaving' ? this.#applyLeaving(report) : this.#applyLimit(report));
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

	/** When an endpoint takes requests of this instance again. It tells each instance separately, so the others are not told. */
	retryAt(start: EndpointStart): Milliseconds {
		return this.#entries.get(startKey(start))?.retryAt ?? -Infinity;
	}

	/** What holds now, for operators. */
	status(isListed: (start: EndpointStart) => boolean): StatementStatus[] {
		const now = this.options.clock.now();
		return [...this.#entries.values()].filter(({start}) => isListed(start)).map(({start, leaving, limit, retryAt}) => ({
			endpoint: start.id,
			startedAt: start.startedAt,
			...(leaving !== undefined && {leaving: {heardBy: leaving.heardBy, ageMs: this.#ageMs(leaving)}}),
			...(limit?.perSecond !== undefined && {limit: {perSecond: limit.perSecond, heardBy: limit.heardBy, ageMs: this.#ageMs(limit)}}),
			...(now < retryAt && {retryInMs: Math.round(retryAt - now)}),
		})).filter(({leaving, limit, retryInMs}) => leaving !== undefined || limit !== undefined || retryInMs !== undefined);
	}

	/** Forgets what concerns endpoints that are gone. Called periodically. */
	expire(isListed: (start: EndpointStart) => boolean): void {
		const now = this.options.clock.now();
		for (const [key, {start, lastHeardAt, retryAt}] of this.#entries) {
			if (now - lastHeardAt > forgottenAfterMs && now >= retryAt && !isListed(start)) {
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
		if (now + retryAfterMs > entry.retryAt) {
			entry.retryAt = now + retryAfterMs;
			log.event('endpoint-states-retry-time', {endpoint: start.id, startedAt: start.startedAt, retryAfterMs: Math.round(retryAfterMs)});
		}
	}

	/** Of several reports the one that was heard last counts. Returns whether the others are to be told of this one. */
	#applyLimit(report: LimitReport): boolean {
		const entry = this.#entry(report);
		if (entry.limit !== undefined && report.heardAt <= entry.limit.heardAt) {
			return false;
		}

		entry.limit = report;
		entry.lastHeardAt = Math.max(entry.lastHeardAt, report.heardAt);
		const told = entry.toldLimit;
		const isChanged = hasChanged(told?.perSecond, report.perSecond);
		if (!isChanged && told !== undefined && report.heardAt - told.heardAt <= toldAgainAfterMs) {
			return false;
		}

		entry.toldLimit = report;
		if (isChanged) {
			this.options.log.event(report.perSecond === undefined ? 'endpoint-limit-ended' : 'endpoint-states-limit', {
				endpoint: report.id, startedAt: report.startedAt, perSecond: report.perSecond, previousPerSecond: told?.perSecond, heardBy: report.heardBy, ageMs: this.#ageMs(report),
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
				start: {id: start.id, startedAt: start.startedAt}, retryAt: -Infinity, lastHeardAt: this.options.clock.now(), rejectedValues: new Set(),
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
