import type {Clock, Milliseconds} from '../../shared/clock.js';
import type {EventLog} from '../observability/event-log.js';
import type {EndpointStatement} from '../protocol.js';
import {startKey, type EndpointStart, type StatementReport} from './types.js';

/** Time after which what was stated by an endpoint that the site does not list is forgotten. Its record may be missing for a while. */
const forgottenAfterMs: Milliseconds = 600_000;

const maximumEntries = 4096;

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
	leaving?: StatementReport;
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

	/** Records what an endpoint has stated in a response to this instance. */
	record(start: EndpointStart, {isLeaving, retryAfterMs, unreadable}: EndpointStatement): void {
		const {ownHost, clock, onNews, onStatement} = this.options;
		this.#logRejectedValues(start, unreadable);
		if (retryAfterMs !== undefined) {
			this.#recordRetryTime(start, retryAfterMs);
		}

		if (isLeaving) {
			onStatement('leaving');
			const {id, startedAt} = start;
			const report: StatementReport = {
				id, startedAt, kind: 'leaving', heardBy: ownHost, heardAt: clock.now(),
			};
			if (this.#apply(report)) {
				onNews([report]);
			}
		}
	}

	/** Applies what other instances have heard. Returns what was new. */
	receive(reports: readonly StatementReport[]): StatementReport[] {
		return reports.filter(report => this.#apply(report));
	}

	/** All that is known, for other instances. */
	reports(): StatementReport[] {
		return [...this.#entries.values()].flatMap(({leaving}) => leaving === undefined ? [] : [leaving]);
	}

	/** Whether an endpoint has stated that it leaves. This has no end, whatever it states later. */
	isLeaving(start: EndpointStart): boolean {
		return this.#entries.get(startKey(start))?.leaving !== undefined;
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

	#apply(report: StatementReport): boolean {
		const entry = this.#entry(report);
		entry.lastHeardAt = Math.max(entry.lastHeardAt, report.heardAt);
		if (entry.leaving !== undefined) {
			return false;
		}

		entry.leaving = report;
		this.options.log.event('endpoint-states-leaving', {
			endpoint: report.id, startedAt: report.startedAt, heardBy: report.heardBy, ageMs: Math.round(this.options.clock.now() - report.heardAt),
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
				start: {id: start.id, startedAt: start.startedAt}, lastHeardAt: this.options.clock.now(), waitsUntil: -Infinity, rejectedValues: new Set(),
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
