/** Messages between entry processes: their schemas, types and binary encoding. */
import {pack, unpack} from 'msgpackr';
import {z} from 'zod';

/** Version of the message set. Entries with another version close the connection. */
export const peerProtocol = 1;

const identifier = z.string().min(1).max(256);
const count = z.number().int().nonnegative();
const units = z.array(count).max(65_536);
const address = z.string().min(3).max(256);
const phase = z.enum(['cold', 'warming', 'warm']);

const addressesSchema = z.object({callers: address, peers: address, operators: address});

const endpointPhaseFields = {
	endpoint: identifier,
	/** Counts the phase changes of the endpoint; the message with the higher epoch takes precedence. */
	epoch: count,
	phase,
	/** Units that may be in use during the phase. */
	limit: count,
};

export const messageSchemas = {
	hello: z.object({
		kind: z.literal('hello'),
		slot: identifier,
		incarnation: identifier,
		region: identifier,
		availabilityZone: identifier,
		protocol: count,
		/** Where the sender can be reached. */
		addresses: addressesSchema,
		/** Other entries that the sender knows, as `host:port` of their peer listeners. */
		peers: z.array(z.object({slot: identifier, incarnation: identifier, address})).max(1024),
	}),
	heartbeat: z.object({
		kind: z.literal('heartbeat'),
		/** Increases with every heartbeat of the sender, over all receivers. */
		sequence: count,
		incarnation: identifier,
		configurationVersion: count,
		configurationDigest: z.string().max(256),
		leaving: z.boolean(),
		/** Number of waiting requests by service and tier rank. */
		waitingByTier: z.record(z.string(), z.record(z.string(), count)),
		/** Number of units that the sender could lend now, by endpoint. */
		freeUnits: z.record(z.string(), count),
		phases: z.array(z.object(endpointPhaseFields)).max(65_536),
		/** Number of units above the limit on which requests of the sender are in flight, by endpoint. */
		unitsAboveLimit: z.record(z.string(), count).optional(),
	}),
	'heartbeat-reply': z.object({
		kind: z.literal('heartbeat-reply'),
		sequence: count,
		configurationVersion: count,
		accepted: z.boolean(),
		bindingId: identifier.optional(),
		/** How long the receiver keeps the binding after it received the heartbeat, in milliseconds. */
		bindingMilliseconds: z.number().positive().optional(),
		/** The incarnation that the sender's slot was bound to before, if its goodbye had the clean flag. */
		cleanPredecessor: identifier.optional(),
		/** The configuration version that this incarnation had in force. */
		cleanPredecessorVersion: count.optional(),
		reason: z.enum(['slot-bound', 'not-voting', 'unknown-slot', 'own-slot']).optional(),
	}),
	goodbye: z.object({
		kind: z.literal('goodbye'), incarnation: identifier, clean: z.boolean(), configurationVersion: count.optional(),
	}),
	'configuration-request': z.object({kind: z.literal('configuration-request'), atLeast: count}),
	'configuration-document': z.object({
		kind: z.literal('configuration-document'), version: count, base: z.unknown(), overlay: z.unknown(),
	}),
	'borrow-request': z.object({
		kind: z.literal('borrow-request'),
		borrowId: identifier,
		endpoint: identifier,
		units: z.number().int().positive(),
		tier: count,
		/** Whether to reply immediately, without a loan if no unit is free, instead of waiting until one is. */
		isImmediate: z.boolean().optional(),
	}),
	'borrow-reply': z.object({
		kind: z.literal('borrow-reply'), borrowId: identifier, loanId: identifier.optional(), units,
	}),
	'borrow-cancel': z.object({kind: z.literal('borrow-cancel'), borrowId: identifier}),
	'loan-renew': z.object({kind: z.literal('loan-renew'), loanIds: z.array(identifier).max(65_536)}),
	'loan-return': z.object({kind: z.literal('loan-return'), loanId: identifier}),
	'displace-request': z.object({
		kind: z.literal('displace-request'), displaceId: identifier, service: identifier, tier: count,
	}),
	'displace-reply': z.object({kind: z.literal('displace-reply'), displaceId: identifier, displaced: z.boolean()}),
	'endpoint-phase': z.object({
		kind: z.literal('endpoint-phase'), ...endpointPhaseFields, reason: z.string().max(256),
	}),
	/** Requests of the sender that were in flight when the limit of the endpoint was lowered; 0 units when they have ended. */
	'units-above-limit': z.object({kind: z.literal('units-above-limit'), endpoint: identifier, units: count}),
	/** Tells the phase coordinator of the endpoint about a response that another entry received. */
	'endpoint-answer': z.object({
		kind: z.literal('endpoint-answer'),
		endpoint: identifier,
		/** The phase's epoch when the response ended; a response from before a phase change says nothing about the new phase. */
		epoch: count,
		/** Adjusted for the length of the prompt, in milliseconds. */
		firstTokenMilliseconds: z.number().nonnegative(),
		/** How much of this may be time between tokens, in milliseconds. */
		uncertaintyMilliseconds: z.number().nonnegative().optional(),
		/** The request, for the receiver's log. */
		requestId: identifier.optional(),
		isStream: z.boolean().optional(),
	}),
} as const;

export type MessageKind = keyof typeof messageSchemas;

/** The message of one kind. */
export type MessageOf<Kind extends MessageKind> = z.infer<(typeof messageSchemas)[Kind]>;

/** Any message between entries, tagged by `kind`. */
export type PeerMessage = {[Kind in MessageKind]: MessageOf<Kind>}[MessageKind];

export type HeartbeatMessage = MessageOf<'heartbeat'>;
export type HeartbeatReplyMessage = MessageOf<'heartbeat-reply'>;
export type HelloMessage = MessageOf<'hello'>;

/** What a heartbeat says about its sender, without the fields that the membership module fills in. */
export type HeartbeatContent = Omit<HeartbeatMessage, 'kind' | 'sequence' | 'incarnation'>;

/** Thrown for a message of a kind that this version does not know. */
export class UnknownMessageKindError extends Error {
	static create(kind: string): UnknownMessageKindError {
		return new UnknownMessageKindError(kind);
	}

	override readonly name = 'UnknownMessageKindError';

	private constructor(readonly kind: string) {
		super(`unknown message kind ${JSON.stringify(kind)}`);
	}
}

/** Thrown when the bytes are not a message, or fields of a known kind are invalid. */
export class MalformedMessageError extends Error {
	static create(detail: string, cause?: unknown): MalformedMessageError {
		return new MalformedMessageError(detail, cause);
	}

	override readonly name = 'MalformedMessageError';

	private constructor(detail: string, cause: unknown) {
		super(`malformed message: ${detail}`, {cause});
	}
}

export function encodeMessage(message: PeerMessage): Uint8Array {
	return pack(message);
}

function unpackBytes(bytes: Uint8Array): unknown {
	try {
		return unpack(bytes);
	} catch (error) {
		throw MalformedMessageError.create('not MessagePack', error);
	}
}

function kindOf(value: unknown): string {
	if (typeof value !== 'object' || value === null || !('kind' in value) || typeof value.kind !== 'string') {
		throw MalformedMessageError.create('the kind is missing');
	}

	return value.kind.slice(0, 64);
}

function isMessageKind(kind: string): kind is MessageKind {
	return Object.hasOwn(messageSchemas, kind);
}

function describeIssue(error: z.ZodError): string {
	const [issue] = error.issues;
	return issue ? `${issue.path.join('.')}: ${issue.message}` : 'unknown problem';
}

/**
Decodes and validates one message. Unknown fields are dropped, so that a later version may add optional ones.

@throws {UnknownMessageKindError}
@throws {MalformedMessageError}
*/
export function decodeMessage(bytes: Uint8Array): PeerMessage {
	const value = unpackBytes(bytes);
	const kind = kindOf(value);
	if (!isMessageKind(kind)) {
		throw UnknownMessageKindError.create(kind);
	}

	const result = messageSchemas[kind].safeParse(value);
	if (!result.success) {
		throw MalformedMessageError.create(`${kind}: ${describeIssue(result.error)}`, result.error);
	}

	return result.data;
}
