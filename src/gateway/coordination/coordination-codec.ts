import {Packr} from 'msgpackr';
import * as z from 'zod';
import {attemptOutcomes} from '../scheduling/endpoint-load.js';
import type {
	SlotDenial, SlotGrant, SlotMessage, SlotQueued, SlotRelease, SlotReleases, SlotRenewal, SlotRequest, SlotWithdrawal,
} from './types.js';

/** Version of the format of a datagram with messages about slots, which arrives at the port of the heartbeats. */
export const slotMessagesFormatVersion = 231;

/** Most messages, and most sequences or releases of one message, in a datagram, so that it fits into one packet. */
export const maximumMessages = 10;
export const maximumSequences = 100;
export const maximumReleases = 30;

/** Most endpoints that a request excludes. */
export const maximumExcluded = 8;

/** Largest duration in a message. Longer ones, also infinite ones, are sent as this. */
const maximumDurationMs = 2 ** 31;

const maximumTokens = 2 ** 40;

/** Outcomes by their number in a message. */
const outcomes = Object.values(attemptOutcomes);

const kinds = {
	request: 1, grant: 2, denial: 3, queued: 4, withdrawal: 5, releases: 6, renewal: 7,
} as const;

const sequence = z.number().int().nonnegative().max(Number.MAX_SAFE_INTEGER);
const sequences = z.array(sequence).max(maximumSequences);
const text = z.string().max(256);
const duration = z.number().min(-maximumDurationMs).max(maximumDurationMs);
const count = z.number().nonnegative().max(maximumTokens);
const outcome = z.number().int().min(0).max(outcomes.length - 1);
const optionalDuration = duration.nullish();

const requestSchema = z.tuple([
	z.literal(kinds.request),
	sequence,
	text,
	text,
	z.number().int().min(0).max(1000),
	z.number().min(0).max(1000),
	text.nullish(),
	count.nullish(),
	duration,
	duration,
	duration,
	count,
	count,
	z.array(text).max(maximumExcluded),
	z.boolean(),
]);
const grantSchema = z.tuple([z.literal(kinds.grant), sequence, text, z.number().nonnegative().max(Number.MAX_SAFE_INTEGER), count]);
const denialSchema = z.tuple([z.literal(kinds.denial), sequence, duration, count]);
const queuedSchema = z.tuple([z.literal(kinds.queued), sequences, z.boolean()]);
const withdrawalSchema = z.tuple([z.literal(kinds.withdrawal), sequences]);
const releasesSchema = z.tuple([
	z.literal(kinds.releases),
	z.array(z.tuple([sequence, outcome, optionalDuration, optionalDuration, optionalDuration, count.nullish()])).max(maximumReleases),
]);
const renewalSchema = z.tuple([z.literal(kinds.renewal), sequences]);
const datagramSchema = z.tuple([z.literal(slotMessagesFormatVersion), z.array(z.array(z.unknown()).min(1)).max(maximumMessages)]);

const packr = new Packr({encodeUndefinedAsNil: true});

function boundedMs(durationMs: number): number {
	return Math.round(Math.max(-maximumDurationMs, Math.min(maximumDurationMs, durationMs)));
}

function optionalMs(durationMs: number | undefined): number | undefined {
	return durationMs === undefined ? undefined : boundedMs(durationMs);
}

const encoders: {readonly [Kind in SlotMessage['kind']]: (message: Extract<SlotMessage, {kind: Kind}>) => unknown[]} = {
	'slot-request': request => [
		kinds.request,
		request.sequence,
		request.group.service,
		request.group.availabilityZone,
		request.group.part,
		request.tier,
		request.workspace,
		request.workspaceWeight,
		boundedMs(request.targetMs),
		boundedMs(request.latestDispatchMs),
		boundedMs(request.deadlineMs),
		request.promptTokens,
		Math.round(request.expectedEvents),
		request.excluded.slice(0, maximumExcluded),
		request.isImmediate,
	],
	'slot-grant': ({sequence: number, start, freeSlots}) => [kinds.grant, number, start.id, start.startedAt, freeSlots],
	'slot-denied': ({sequence: number, expectedWaitMs, freeSlots}) => [kinds.denial, number, boundedMs(expectedWaitMs), freeSlots],
	'slot-queued': ({sequences: numbers, isComplete}) => [kinds.queued, numbers, isComplete],
	'slot-withdraw': ({sequences: numbers}) => [kinds.withdrawal, numbers],
	'slot-release': ({releases}) => [kinds.releases, releases.map(release => [
		release.sequence, outcomes.indexOf(release.outcome), optionalMs(release.firstEventMs), optionalMs(release.eventIntervalMs), optionalMs(release.durationMs), release.promptTokens,
	])],
	'slot-renew': ({sequences: numbers}) => [kinds.renewal, numbers],
};

/** A value that is absent arrives as null. */
function isPresent<T>(value: T): value is NonNullable<T> {
	return (value ?? undefined) !== undefined;
}

function requestFrom(content: unknown): SlotRequest {
	const [, number, service, availabilityZone, part, tier, workspace, weight, targetMs, latestDispatchMs, deadlineMs, promptTokens, expectedEvents, excluded, isImmediate] = requestSchema.parse(content);
	return {
		kind: 'slot-request', sequence: number, group: {service, availabilityZone, part}, tier, ...(isPresent(workspace) && {workspace}), ...(isPresent(weight) && {workspaceWeight: weight}),
		targetMs, latestDispatchMs, deadlineMs, promptTokens, expectedEvents, excluded, isImmediate,
	};
}

function grantFrom(content: unknown): SlotGrant {
	const [, number, id, startedAt, freeSlots] = grantSchema.parse(content);
	return {
		kind: 'slot-grant', sequence: number, start: {id, startedAt}, freeSlots,
	};
}

function denialFrom(content: unknown): SlotDenial {
	const [, number, expectedWaitMs, freeSlots] = denialSchema.parse(content);
	return {
		kind: 'slot-denied', sequence: number, expectedWaitMs, freeSlots,
	};
}

function queuedFrom(content: unknown): SlotQueued {
	const [, numbers, isComplete] = queuedSchema.parse(content);
	return {kind: 'slot-queued', sequences: numbers, isComplete};
}

function withdrawalFrom(content: unknown): SlotWithdrawal {
	return {kind: 'slot-withdraw', sequences: withdrawalSchema.parse(content)[1]};
}

function releaseFrom([number, outcomeNumber, firstEventMs, eventIntervalMs, durationMs, promptTokens]: z.infer<typeof releasesSchema>[1][number]): SlotRelease {
	return {
		sequence: number,
		outcome: outcomes[outcomeNumber]!,
		...(isPresent(firstEventMs) && {firstEventMs}),
		...(isPresent(eventIntervalMs) && {eventIntervalMs}),
		...(isPresent(durationMs) && {durationMs}),
		...(isPresent(promptTokens) && {promptTokens}),
	};
}

function releasesFrom(content: unknown): SlotReleases {
	return {kind: 'slot-release', releases: releasesSchema.parse(content)[1].map(release => releaseFrom(release))};
}

function renewalFrom(content: unknown): SlotRenewal {
	return {kind: 'slot-renew', sequences: renewalSchema.parse(content)[1]};
}

const decoders = new Map<unknown, (content: unknown) => SlotMessage>([
	[kinds.request, requestFrom],
	[kinds.grant, grantFrom],
	[kinds.denial, denialFrom],
	[kinds.queued, queuedFrom],
	[kinds.withdrawal, withdrawalFrom],
	[kinds.releases, releasesFrom],
	[kinds.renewal, renewalFrom],
]);

/** Encodes messages to one host as datagrams. */
export function encodeSlotMessages(messages: readonly SlotMessage[]): Uint8Array[] {
	const datagrams: Uint8Array[] = [];
	for (let index = 0; index < messages.length; index += maximumMessages) {
		const contents = messages.slice(index, index + maximumMessages).map(message => (encoders[message.kind] as (message: SlotMessage) => unknown[])(message));
		datagrams.push(packr.pack([slotMessagesFormatVersion, contents]));
	}

	return datagrams;
}

/** @throws {Error} when the unpacked datagram is not of this format version or has a message of an unknown kind */
export function slotMessagesFrom(content: unknown): SlotMessage[] {
	return datagramSchema.parse(content)[1].map(message => {
		const decode = decoders.get(message[0]);
		if (decode === undefined) {
			throw new Error(`unknown kind of slot message: ${String(message[0])}`);
		}

		return decode(message);
	});
}
