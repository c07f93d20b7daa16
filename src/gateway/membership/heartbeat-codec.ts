import {pack, unpack} from 'msgpackr';
import * as z from 'zod';
import {slotMessagesFormatVersion, slotMessagesFrom} from '../coordination/coordination-codec.js';
import type {SlotMessage} from '../coordination/types.js';
import {crashReportFormatVersion, crashReportFrom} from '../quarantine/crash-report-codec.js';
import {
	permitGrantFormatVersion, permitGrantFrom, permitRequestFormatVersion, permitRequestFrom,
} from '../permits/permit-codec.js';
import type {PermitGrant, ReceivedPermitRequest} from '../permits/types.js';
import type {CrashReport} from '../quarantine/types.js';
import {statementReportFormatVersion, statementReportsFrom} from '../statements/statement-report-codec.js';
import type {ReceivedStatementReport} from '../statements/types.js';
import type {Heartbeat, ZoneSummary} from './types.js';

/** Versions of the format of heartbeats, without and with the size of the fleet. Instances ignore datagrams of any other version. */
const formatVersion = 2;
const sizedFormatVersion = 3;

/** Version of the format of zone summaries, which arrive at the same port. */
const summaryFormatVersion = 101;

/** Largest number in a heartbeat. Sums over all instances stay exact, so a corrupt number can't leave a quota at infinity. */
const maximumNumber = 2 ** 48;

const count = z.number().nonnegative().max(maximumNumber);
const host = z.ipv4();
const inFlightSchema = z.array(z.tuple([z.string(), count]));
const usageSchema = z.array(z.tuple([z.string(), count, z.number().min(-maximumNumber).max(maximumNumber)]));
const contentSchemas = [host, z.string(), count, count, z.boolean(), inFlightSchema, usageSchema, z.array(host)] as const;
const heartbeatSchema = z.tuple([z.literal(formatVersion), ...contentSchemas]);
const sizedHeartbeatSchema = z.tuple([z.literal(sizedFormatVersion), ...contentSchemas, count]);

const hostNumber = z.number().int().min(0).max(0xFF_FF_FF_FF);
const summarySchema = z.tuple([
	z.literal(summaryFormatVersion),
	z.string(),
	host,
	count,
	count,
	z.array(hostNumber),
	z.array(z.tuple([z.string(), hostNumber])),
	inFlightSchema,
	usageSchema,
]);

function hostToNumber(address: string): number {
	let number = 0;
	for (const part of address.split('.')) {
		number = (number * 256) + Number(part);
	}

	return number;
}

function numberToHost(number: number): string {
	return [24, 16, 8, 0].map(shift => Math.floor(number / (2 ** shift)) % 256).join('.');
}

/** Encodes a zone summary as one datagram. Hosts are numbers and units are rounded, so that the summary of a zone fits into one packet. */
export function encodeSummary(summary: ZoneSummary): Uint8Array {
	return pack([
		summaryFormatVersion,
		summary.availabilityZone,
		summary.relayHost,
		summary.relayIncarnation,
		summary.sequence,
		summary.hosts.map(address => hostToNumber(address)),
		summary.otherRelays.map(([zone, address]) => [zone, hostToNumber(address)]),
		summary.inFlight,
		summary.usage.map(([workspace, units, level]) => [workspace, Math.round(units), Math.round(level)]),
	]);
}

/** A decoded datagram of another instance. */
export type MembershipMessage
	= | {readonly kind: 'heartbeat'; readonly heartbeat: Heartbeat}
		| {readonly kind: 'summary'; readonly summary: ZoneSummary}
		| {readonly kind: 'crash-report'; readonly report: CrashReport}
		| {readonly kind: 'statement-reports'; readonly reports: readonly ReceivedStatementReport[]}
		| {readonly kind: 'permit-request'; readonly request: ReceivedPermitRequest}
		| {readonly kind: 'permit-grant'; readonly grant: PermitGrant}
		| {readonly kind: 'slot-messages'; readonly messages: readonly SlotMessage[]};

function summaryFrom(content: unknown): ZoneSummary {
	const [, availabilityZone, relayHost, relayIncarnation, sequence, hosts, otherRelays, inFlight, usage] = summarySchema.parse(content);
	return {
		availabilityZone,
		relayHost,
		relayIncarnation,
		sequence,
		hosts: hosts.map(number => numberToHost(number)),
		otherRelays: otherRelays.map(([zone, number]) => [zone, numberToHost(number)]),
		inFlight,
		usage,
	};
}

/** Decoders by the version of the format, which is the first element of a message. All others are heartbeats. */
const messageDecoders = new Map<unknown, (content: unknown) => MembershipMessage>([
	[summaryFormatVersion, content => ({kind: 'summary', summary: summaryFrom(content)})],
	[crashReportFormatVersion, content => ({kind: 'crash-report', report: crashReportFrom(content)})],
	[statementReportFormatVersion, content => ({kind: 'statement-reports', reports: statementReportsFrom(content)})],
	[permitRequestFormatVersion, content => ({kind: 'permit-request', request: permitRequestFrom(content)})],
	[permitGrantFormatVersion, content => ({kind: 'permit-grant', grant: permitGrantFrom(content)})],
	[slotMessagesFormatVersion, content => ({kind: 'slot-messages', messages: slotMessagesFrom(content)})],
]);

/**
Decodes a datagram.

@throws {Error} when it is no message of these format versions
*/
export function decodeMessage(datagram: Uint8Array): MembershipMessage {
	const content: unknown = unpack(datagram);
	const decode = messageDecoders.get(Array.isArray(content) ? content[0] : undefined);
	return decode === undefined ? {kind: 'heartbeat', heartbeat: heartbeatFrom(content)} : decode(content);
}

/** Encodes a heartbeat as one datagram. */
export function encodeHeartbeat(heartbeat: Heartbeat): Uint8Array {
	const content = [
		heartbeat.host,
		heartbeat.availabilityZone,
		heartbeat.incarnation,
		heartbeat.sequence,
		heartbeat.isLeaving,
		heartbeat.inFlight,
		heartbeat.usage,
		heartbeat.knownHosts,
	];
	return pack(heartbeat.fleetSize === undefined ? [formatVersion, ...content] : [sizedFormatVersion, ...content, heartbeat.fleetSize]);
}

/**
Decodes a datagram.

@throws {Error} when it is not a heartbeat of this format version
*/
export function decodeHeartbeat(datagram: Uint8Array): Heartbeat {
	return heartbeatFrom(unpack(datagram));
}

function isOfVersion(content: unknown, version: number): boolean {
	return Array.isArray(content) && content[0] === version;
}

function heartbeatFrom(content: unknown): Heartbeat {
	const fields = isOfVersion(content, sizedFormatVersion) ? sizedHeartbeatSchema.parse(content) : heartbeatSchema.parse(content);
	const [, senderHost, availabilityZone, incarnation, sequence, isLeaving, inFlight, usage, knownHosts, fleetSize] = fields;
	return {
		host: senderHost, availabilityZone, incarnation, sequence, isLeaving, inFlight, usage, knownHosts, ...(fleetSize !== undefined && {fleetSize}),
	};
}
