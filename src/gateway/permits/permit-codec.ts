import {pack} from 'msgpackr';
import * as z from 'zod';
import type {Milliseconds} from '../../shared/clock.js';
import type {PermitGrant, PermitRequest, ReceivedPermitRequest} from './types.js';

/** Versions of the formats of requests for permits and of grants, which arrive at the port of the heartbeats. */
export const permitRequestFormatVersion = 221;
export const permitGrantFormatVersion = 222;

/** Most permits of one message. */
const maximumCount = 64;

/** Largest age and largest limit in a message. */
const maximumAgeMs = 2 ** 40;
const maximumPerSecond = 100_000;

const startSchema = [z.string().max(256), z.number().nonnegative().max(Number.MAX_SAFE_INTEGER)] as const;
const sequence = z.number().int().nonnegative().max(Number.MAX_SAFE_INTEGER);
const count = z.number().int().positive().max(maximumCount);
const requestSchema = z.tuple([
	z.literal(permitRequestFormatVersion), ...startSchema, sequence, count, z.number().nonnegative().max(maximumPerSecond), z.ipv4(), z.number().nonnegative().max(maximumAgeMs),
]);
const grantSchema = z.tuple([z.literal(permitGrantFormatVersion), ...startSchema, sequence, count]);

export function encodePermitRequest({start, sequence: number, count: permits, limit}: PermitRequest, now: Milliseconds): Uint8Array {
	return pack([
		permitRequestFormatVersion, start.id, start.startedAt, number, permits, limit.perSecond, limit.heardBy, Math.max(0, Math.round(now - limit.heardAt)),
	]);
}

/** @throws {Error} when the unpacked datagram is no request of this format version */
export function permitRequestFrom(content: unknown): ReceivedPermitRequest {
	const [, id, startedAt, number, permits, perSecond, heardBy, ageMs] = requestSchema.parse(content);
	return {
		start: {id, startedAt}, sequence: number, count: permits, limit: {perSecond, heardBy, ageMs},
	};
}

export function encodePermitGrant({start, sequence: number, count: permits}: PermitGrant): Uint8Array {
	return pack([permitGrantFormatVersion, start.id, start.startedAt, number, permits]);
}

/** @throws {Error} when the unpacked datagram is no grant of this format version */
export function permitGrantFrom(content: unknown): PermitGrant {
	const [, id, startedAt, number, permits] = grantSchema.parse(content);
	return {start: {id, startedAt}, sequence: number, count: permits};
}
