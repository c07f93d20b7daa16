import {readFileSync} from 'node:fs';
import {z} from 'zod';
import {hostAndPort} from '../shared/address.js';

const addressesSchema = z.strictObject({
	callers: hostAndPort,
	peers: hostAndPort,
	operators: hostAndPort,
});

/** Settings of one entry process, read once at startup. */
export const entrySettingsSchema = z.strictObject({
	slot: z.string().min(1),
	site: z.string().min(1),
	region: z.string().min(1),
	availabilityZone: z.string().min(1),
	listen: addressesSchema,
	/** Addresses at which others reach this process. Default: the listening addresses. */
	advertise: addressesSchema.optional(),
	configurationServiceUrl: z.url(),
	instanceListUrl: z.url(),
	/** Peer addresses to connect to before the instance list has been read. */
	seedPeers: z.array(hostAndPort).default([]),
	logLevel: z.enum(['trace', 'debug', 'info', 'warn', 'error', 'fatal']).default('info'),
	/** `throw` makes a test fail on a broken invariant; `count` is for production. */
	invariants: z.enum(['throw', 'count']).default('count'),
});

export type EntrySettings = z.infer<typeof entrySettingsSchema>;

/**
Reads the settings file.

@throws {Error} when the file can't be read or is not JSON
@throws {z.ZodError} with every invalid value
*/
export function readEntrySettings(path: string): EntrySettings {
	return entrySettingsSchema.parse(JSON.parse(readFileSync(path, 'utf8')));
}
