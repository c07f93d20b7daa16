import type {AuditEntry, AuditReport} from '../shared/audit.js';
import type {EntryResult} from './entry-client.js';
import {OperatorError} from './operator-error.js';

/** An audit entry with the entry instance that recorded it. */
export type FleetAuditEntry = AuditEntry & {
	readonly slot: string;
	readonly incarnation: string;
};

/** The merged audit trails of a fleet. */
export type FleetAudit = {
	/** Sorted by wall-clock time of the recording instance, then by slot and sequence. */
	readonly entries: readonly FleetAuditEntry[];
	/** Entry instances that have overwritten entries of the requested period. */
	readonly incomplete: ReadonlyArray<{readonly slot: string; readonly heldSince: number}>;
};

/**
Merges the audit trails of several entry instances.

@param since wall-clock time in milliseconds since the Unix epoch; older entries are omitted
*/
export function mergeAudit(reports: readonly AuditReport[], since: number): FleetAudit {
	const entries = reports.flatMap(({slot, incarnation, entries}) =>
		entries.filter(entry => entry.wallTime >= since).map(entry => ({...entry, slot, incarnation})));
	return {
		entries: entries.toSorted((left, right) => left.wallTime - right.wallTime || compareText(left.slot, right.slot) || left.sequence - right.sequence),
		incomplete: reports.flatMap(({slot, oldestSequence, entries}) => {
			const heldSince = entries[0]?.wallTime;
			return oldestSequence !== undefined && oldestSequence > 1 && heldSince !== undefined && heldSince > since ? [{slot, heldSince}] : [];
		}),
	};
}

function compareText(left: string, right: string): number {
	return left < right ? -1 : (left > right ? 1 : 0);
}

/**
Contents of the successful results.

@throws {OperatorError} when every request failed
*/
export function requireContents<Content>(results: ReadonlyArray<EntryResult<Content>>): Content[] {
	const contents = results.flatMap(result => result.kind === 'answer' ? [result.content] : []);
	if (contents.length === 0) {
		throw OperatorError.create('no-entry-reachable', results.map(result => result.kind === 'failure' ? `${result.address} ${result.type}: ${result.detail}` : '').join('; '));
	}

	return contents;
}

/** Formats one audit entry as a line: time, slot, event, actor and details. */
export function formatAuditEntry({wallTime, slot, event, actor, detail}: FleetAuditEntry): string {
	const details = Object.entries(detail).map(([key, value]) => `${key}=${typeof value === 'string' ? value : JSON.stringify(value)}`);
	return [new Date(wallTime).toISOString(), slot, event, `by=${actor}`, ...details].join(' ');
}

const durationPattern = /^(?<amount>\d{1,9})(?<unit>[dhms])$/v;

const msPerUnit: Readonly<Record<string, number>> = {
	s: 1000, m: 60_000, h: 3_600_000, d: 86_400_000,
};

/**
Parses a point in time: an ISO 8601 time, or a duration before now such as `90s`, `10m`, `2h` or `1d`.

@returns milliseconds since the Unix epoch
@throws {OperatorError} for any other text
*/
export function parseSince(text: string, now: number): number {
	const {amount, unit} = durationPattern.exec(text)?.groups ?? {};
	const sinceAt = amount === undefined || unit === undefined ? Date.parse(text) : now - (Number(amount) * msPerUnit[unit]!);
	if (Number.isNaN(sinceAt)) {
		throw OperatorError.create('invalid-argument', `--since ${text}: expected an ISO 8601 time or a duration such as 90s, 10m, 2h or 1d`);
	}

	return sinceAt;
}
