import {pack, unpack} from 'msgpackr';
import * as z from 'zod';
import type {Heartbeat} from './types.js';

/** Version of the datagram format. Instances ignore datagrams of any other version. */
const formatVersion = 2;

const count = z.number().nonnegative();
const heartbeatSchema = z.tuple([
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

/** Encodes a heartbeat as one datagram. */
export function encodeHeartbeat(heartbeat: Heartbeat): Uint8Array {
	return pack([
		formatVersion,
		heartbeat.host,
		heartbeat.availabilityZone,
		heartbeat.incarnation,
		heartbeat.sequence,
		heartbeat.isLeaving,
		heartbeat.inFlight,
		heartbeat.usage,
		heartbeat.knownHosts,
	]);
}

/**
Decodes a datagram.

@throws {Error} when it is not a heartbeat of this format version
*/
export function decodeHeartbeat(datagram: Uint8Array): Heartbeat {
	const [, host, availabilityZone, incarnation, sequence, isLeaving, inFlight, usage, knownHosts] = heartbeatSchema.parse(unpack(datagram));
	return {
		host, availabilityZone, incarnation, sequence, isLeaving, inFlight, usage, knownHosts,
	};
}
