import {isIPv4} from 'node:net';
import * as z from 'zod';

/** Names of tiers, availability zones, services, endpoints, entry slots and workspaces. */
export const nameSchema = z.string().regex(/^[a-z\d][a-z\d.\-]{0,62}$/v, 'expected a name of at most 63 lower-case letters, digits, dots and hyphens');

const name = nameSchema;
const positiveInteger = z.number().int().positive();
const milliseconds = positiveInteger;
const serviceState = z.enum(['in', 'out']);

const addressPattern = /^(?<host>[^:]+):(?<port>[1-9]\d{0,4})$/v;

function isAddress(value: string): boolean {
	const {host, port} = addressPattern.exec(value)?.groups ?? {};
	return host !== undefined && isIPv4(host) && Number(port) <= 65_535;
}

const tierSchema = z.strictObject({
	/** 0 is the highest tier. */
	rank: z.number().int().nonnegative(),
	firstTokenMilliseconds: milliseconds,
	answerMilliseconds: milliseconds,
	queueTimeoutMilliseconds: milliseconds,
});

const availabilityZoneSchema = z.strictObject({
	region: name,
	state: serviceState.default('in'),
});

const operationSchema = z.strictObject({
	method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
	pathPrefix: z.string().startsWith('/'),
	idempotent: z.boolean(),
});

const serviceSchema = z.discriminatedUnion('kind', [
	z.strictObject({
		kind: z.literal('engine'),
		/** Model names by which callers request this service. */
		models: z.array(z.string().min(1)).min(1),
	}),
	z.strictObject({
		kind: z.literal('plain'),
		operations: z.array(operationSchema).min(1),
	}),
]);

const endpointSchema = z.strictObject({
	service: name,
	/** IPv4 address and port. */
	address: z.string().refine(value => isAddress(value), 'expected an IPv4 number and a port, such as 127.0.0.1:8000'),
	availabilityZone: name,
	state: serviceState.default('in'),
	hardware: z.string().min(1).default('standard'),
	limit: z.strictObject({
		units: positiveInteger,
		coldUnits: positiveInteger,
		unitTokens: positiveInteger.default(2048),
	}),
	requestTimeoutMilliseconds: milliseconds.default(60_000),
	/** Whether the endpoint rejects a request with an outdated fencing token. */
	checksFencing: z.boolean().default(false),
});

const entrySlotSchema = z.strictObject({
	availabilityZone: name,
	state: serviceState.default('in'),
});

const workspaceSchema = z.strictObject({
	highestTier: name,
	defaultTier: name,
	weight: z.number().positive().default(1),
	maximumWaiting: positiveInteger.default(200),
});

export const policySchema = z.strictObject({
	heartbeatMilliseconds: milliseconds.default(400),
	leaseMilliseconds: milliseconds.default(2000),
	loanMilliseconds: milliseconds.default(2000),
	queuePlaces: positiveInteger.default(500),
	maximumBodyBytes: positiveInteger.default(1_048_576),
	bodyTimeoutMilliseconds: milliseconds.default(10_000),
	retainedAnswerBytes: positiveInteger.default(16_777_216),
	retainedAnswerMilliseconds: milliseconds.default(300_000),
	reservedIdMilliseconds: milliseconds.default(300_000),
	gracefulStopMilliseconds: milliseconds.default(120_000),
	/** Fraction of requests that may be retried after an endpoint received them; only idempotent requests are retried. */
	retryBudget: z.number().min(0).max(1).default(0.1),
	/** Number of prompt characters in one prefix block. */
	prefixBlockCharacters: positiveInteger.default(512),
});

/**
The configuration document: a base document merged with the overlay of its site.

The keys of records are checked in `checkCrossFieldRules`: with a key schema here, an invalid name would hide the problems of its value.
*/
export const configurationSchema = z.strictObject({
	site: name,
	regions: z.array(name).min(1),
	availabilityZones: z.record(z.string(), availabilityZoneSchema),
	tiers: z.record(z.string(), tierSchema),
	services: z.record(z.string(), serviceSchema),
	endpoints: z.record(z.string(), endpointSchema),
	entrySlots: z.record(z.string(), entrySlotSchema),
	workspaces: z.record(z.string(), workspaceSchema),
	policy: policySchema.prefault({}),
});

export type Configuration = z.infer<typeof configurationSchema>;
export type TierConfiguration = Configuration['tiers'][string];
export type EndpointConfiguration = Configuration['endpoints'][string];
export type ServiceConfiguration = Configuration['services'][string];
export type WorkspaceConfiguration = Configuration['workspaces'][string];
export type PolicyConfiguration = Configuration['policy'];
