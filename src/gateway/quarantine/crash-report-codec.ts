import {pack} from 'msgpackr';
import * as z from 'zod';
import type {CrashReport} from './types.js';

/** Version of the format of crash reports, which arrive at the port of the heartbeats. */
export const crashReportFormatVersion = 201;

/** Largest age in a report. */
const maximumAgeMs = 2 ** 40;

const maximumItems = 256;

const part = z.string().max(64);
const ageMs = z.number().nonnegative().max(maximumAgeMs);
const suspect = z.array(part).max(32);
const crash = z.tuple([z.string().max(256), z.number().nonnegative(), ageMs, z.array(suspect).max(64)]);
const reportSchema = z.tuple([
	z.literal(crashReportFormatVersion),
	z.array(crash).max(maximumItems),
	z.array(z.tuple([part, ageMs])).max(maximumItems),
]);

/** Encodes a report as one datagram. */
export function encodeCrashReport({crashes, survivals}: CrashReport): Uint8Array {
	return pack([
		crashReportFormatVersion,
		crashes.map(({endpointId, startedAt, ageMs, suspects}) => [endpointId, startedAt, Math.max(0, Math.round(ageMs)), suspects]),
		survivals.map(({part, ageMs}) => [part, Math.max(0, Math.round(ageMs))]),
	]);
}

/** @throws {Error} when the unpacked datagram is no report of this format version */
export function crashReportFrom(content: unknown): CrashReport {
	const [, crashes, survivals] = reportSchema.parse(content);
	return {
		crashes: crashes.map(([endpointId, startedAt, ageMs, suspects]) => ({
			endpointId, startedAt, ageMs, suspects,
		})),
		survivals: survivals.map(([part, ageMs]) => ({part, ageMs})),
	};
}
