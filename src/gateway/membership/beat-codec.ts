import {pack, unpack} from 'msgpackr';
import * as z from 'zod';
import type {Beat} from './types.js';

/** Format of the datagrams; instances ignore those of another format. */
const formatVersion = 2;

const count = z.number().nonnegative();
const beatSchema = z.tuple([
	z.literal(formatVersion),
	z.string(),
	z.string(),
	count,
	count,
	z.boolean(),
	z.array(z.tuple([z.string(), count])),
	z.array(z.tuple([z.string(), count, z.number()])),
	z.array(z.string()),
]);

/** Encodes a beat as one datagram. */
export function encodeBeat(beat: Beat): Uint8Array {
	return pack([
		formatVersion,
		beat.host,
		beat.availabilityZone,
		beat.incarnation,
		beat.sequence,
		beat.isLeaving,
		beat.runs,
		beat.usage,
		beat.knownHosts,
	]);
}

/**
Decodes a datagram.

@throws {Error} when it is not a beat of this format
*/
export function decodeBeat(datagram: Uint8Array): Beat {
	const [, host, availabilityZone, incarnation, sequence, isLeaving, runs, usage, knownHosts] = beatSchema.parse(unpack(datagram));
	return {
		host, availabilityZone, incarnation, sequence, isLeaving, runs, usage, knownHosts,
	};
}
