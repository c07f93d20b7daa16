import {pack} from 'msgpackr';
import * as z from 'zod';
import type {Milliseconds} from '../../shared/clock.js';
import type {ReceivedStatementReport, StatementReport} from './types.js';

/** Version of the format of statement reports, which arrive at the port of the heartbeats. */
export const statementReportFormatVersion = 211;

const maximumReports = 256;

/** Largest age in a report. */
const maximumAgeMs = 2 ** 40;

const kindCodes = ['leaving'] as const;

const reportSchema = z.tuple([
	z.string().max(256),
	z.number().nonnegative().max(Number.MAX_SAFE_INTEGER),
	z.ipv4(),
	z.number().nonnegative().max(maximumAgeMs),
	z.number().int().nonnegative().max(kindCodes.length - 1),
]);
const messageSchema = z.tuple([z.literal(statementReportFormatVersion), z.array(reportSchema).max(maximumReports)]);

/** Encodes reports as one datagram. Ages take the place of times, because the clocks of instances differ. */
export function encodeStatementReports(reports: readonly StatementReport[], now: Milliseconds): Uint8Array {
	return pack([
		statementReportFormatVersion,
		reports.map(({id, startedAt, heardBy, heardAt, kind}) => [id, startedAt, heardBy, Math.max(0, Math.round(now - heardAt)), kindCodes.indexOf(kind)]),
	]);
}

/** @throws {Error} when the unpacked datagram holds no reports of this format version */
export function statementReportsFrom(content: unknown): ReceivedStatementReport[] {
	const [, reports] = messageSchema.parse(content);
	return reports.map(([id, startedAt, heardBy, ageMs, code]) => ({
		id, startedAt, heardBy, ageMs, kind: kindCodes[code]!,
	}));
}
