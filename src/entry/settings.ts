import {readFileSync} from 'node:fs';
import {z} from 'zod';
import {hostAndPort} from '../shared/address.js';

const addressesSchema = z.strictObject({
	callers: hostAndPort,
	peers: hostAndPort,
	operators: hostAndPort,
});

/** Settings of one entry process, read once at start. */
export const entrySettingsSchema = z.strictObject({
	slot: z.string().min(1),
	site: z.string().min(1),
	region: z.string().min(1),
	availabilityZone: z.string().min(1),
	listen: addressesSchema,
	/** Addresses that others use. Default: the listening addresses. */
	advertise: addressesSchema.optional(),
	configurationServiceUrl: z.url(),
	instanceListUrl: z.url(),
	/** Peer addresses to try before the instance list has answered. */
	seedPeers: z.array(hostAndPort).default([]),
	logLevel: z.enum(['trace', 'debug', 'info', 'warn', 'error', 'fatal']).default('info'),
	/** `throw` stops a broken invariant from going unnoticed in tests; `count` is for production. */
	invariants: z.enum(['throw', 'count']).default('count'),
});

export type EntrySettings = z.infer<typeof entrySettingsSchema>;

/**
Reads the settings file.

@throws {Error} when the file can't be read or is not JSON
@throws {z.ZodError} with every wrong value
*/
export function readEntrySettings(path: string): EntrySettings {
	return entrySettingsSchema.parse(JSON.parse(readFileSync(path, 'utf8')));
}
