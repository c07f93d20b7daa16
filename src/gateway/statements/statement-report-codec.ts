import {pack} from 'msgpackr';
import * as z from 'zod';
import type {Milliseconds} from '../../shared/clock.js';
import type {ReceivedStatementReport, StatementReport} from './types.js';

/** Version of the format of statement reports, which arrive at the port of the heartbeats. */
export const statementReportFormatVersion = 211;

const maximumReports = 256;

/** Largest age and largest limit in a report. */
const maximumAgeMs = 2 ** 40;
const maximumPerSecond = 100_000;

const sourceSchemas = [
	z.string().max(256),
	z.number().nonnegative().max(Number.MAX_SAFE_INTEGER),
	z.ipv4(),
	z.number().nonnegative().max(maximumAgeMs),
] as const;
const reportSchema = z.union([
	z.tuple([...sourceSchemas, z.literal('leaving')]),
	z.tuple([...sourceSchemas, z.literal('limit'), z.number().nonnegative().max(maximumPerSecond).nullable()]),
]);
const messageSchema = z.tuple([z.literal(statementReportFormatVersion), z.array(reportSchema).max(maximumReports)]);

/** Encodes reports as one datagram. Ages take the place of times, because the clocks of instances differ. */
export function encodeStatementReports(reports: readonly StatementReport[], now: Milliseconds): Uint8Array {
	return pack([statementReportFormatVersion, reports.map(report => {
		const {id, startedAt, heardBy, heardAt, kind} = report;
		const fields = [id, startedAt, heardBy, Math.max(0, Math.round(now - heardAt)), kind];
		return report.kind === 'limit' ? [...fields, report.perSecond ?? null] : fields;
	})]);
}

/** @throws {Error} when the unpacked datagram holds no reports of this format version */
export function statementReportsFrom(content: unknown): ReceivedStatementReport[] {
	const [, reports] = messageSchema.parse(content);
	return reports.map(report => {
		const [id, startedAt, heardBy, ageMs] = report;
		const source = {
			id, startedAt, heardBy, ageMs,
		};
		return report[4] === 'limit' ? {...source, kind: 'limit', perSecond: report[5] ?? undefined} : {...source, kind: 'leaving'};
	});
}
