import {pack} from 'msgpackr';
import * as z from 'zod';
import type {CrashReport} from './types.js';

/** Version of the format of crash reports, which arrive at the port of the heartbeats. */
export const crashReportFormatVersion = 201;

/** Largest age in a report. */
const maximumAgeMs = 2 ** 40;

const maximumItems = 256;

/** Most requests that one instance compares with a crash. */
const maximumRequests = 10_000;

const part = z.string().max(64);
const ageMs = z.number().nonnegative().max(maximumAgeMs);
const suspect = z.array(part).max(32);
const requests = z.number().int().nonnegative().max(maximumRequests);
const comparisons = z.array(z.tuple([z.ipv4(), requests, requests])).max(64);
const crashSchema = z.tuple([z.string().max(256), z.number().nonnegative(), ageMs, z.array(suspect).max(64), comparisons]);
const reportSchema = z.tuple([
	z.literal(crashReportFormatVersion),
	z.array(crashSchema).max(maximumItems),
	z.array(z.tuple([part, ageMs])).max(maximumItems),
	z.array(suspect.min(1)).max(maximumItems),
]);

/** Encodes a report as one datagram. */
export function encodeCrashReport({crashes, survivals, convictions}: CrashReport): Uint8Array {
	return pack([
		crashReportFormatVersion,
		crashes.map(crash => [
			crash.endpointId,
			crash.startedAt,
			Math.max(0, Math.round(crash.ageMs)),
			crash.suspects,
			Object.entries(crash.comparisons).map(([host, {survived, crashed}]) => [host, survived, crashed]),
		]),
		survivals.map(({part, ageMs}) => [part, Math.max(0, Math.round(ageMs))]),
		convictions,
	]);
}

/** @throws {Error} when the unpacked datagram is no report of this format version */
export function crashReportFrom(content: unknown): CrashReport {
	const [, crashes, survivals, convictions] = reportSchema.parse(content);
	return {
		crashes: crashes.map(([endpointId, startedAt, ageMs, suspects, compared]) => ({
			endpointId, startedAt, ageMs, suspects, comparisons: Object.fromEntries(compared.map(([host, survived, crashed]) => [host, {survived, crashed}])),
		})),
		survivals: survivals.map(([part, ageMs]) => ({part, ageMs})),
		convictions,
	};
}
