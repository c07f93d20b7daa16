import type {Fleet, FleetEntry} from './fleet.js';
import {groupBy} from './group-by.js';

/** Entries on which an awaited configuration version has to be in force. */
export const waitScopes = {
	/** Every entry that the operator listed and every other one that responds. */
	every: 'every',
	/** A majority of the slots of every lease group. Such a version is accepted and can no longer be lost. */
	quorum: 'quorum',
} as const;

export type WaitScope = (typeof waitScopes)[keyof typeof waitScopes];

/** Progress of a configuration version through a fleet. */
export type VersionRollout = {
	readonly isReached: boolean;
	/** Slots on which the version or a higher one is in force. */
	readonly reachedSlots: readonly string[];
	/** Descriptions of what is missing; empty when the version is reached. */
	readonly missing: readonly string[];
	/** Slots that have the awaited version with different contents. Waiting does not resolve this conflict. */
	readonly conflictingSlots: readonly string[];
};

const findMissingByScope: Readonly<Record<WaitScope, (fleet: Fleet, version: number) => string[]>> = {
	every: findMissingOnEvery,
	quorum: findMissingForQuorum,
};

/** Determines on which entries of a fleet an awaited version is in force. */
export function checkRollout(fleet: Fleet, version: number, scope: WaitScope): VersionRollout {
	const conflictingSlots = findConflictingSlots(fleet, version);
	const missing = fleet.entries.length === 0 ? ['no entry answered'] : findMissingByScope[scope](fleet, version);
	return {
		isReached: missing.length === 0 && conflictingSlots.length === 0,
		reachedSlots: fleet.entries.filter(entry => hasReached(entry, version)).map(entry => entry.report.slot),
		missing,
		conflictingSlots,
	};
}

function hasReached({report}: FleetEntry, version: number): boolean {
	return report.configuration !== undefined && report.configuration.version >= version;
}

function findMissingOnEvery({entries, unreachable}: Fleet, version: number): string[] {
	return [
		...entries.filter(entry => !hasReached(entry, version)).map(({report}) => `${report.slot} has version ${report.configuration?.version ?? 'none'}`),
		...unreachable.filter(entry => entry.isListed).map(({address, type, detail}) => `${address} ${type}: ${detail}`),
	];
}

function findMissingForQuorum(fleet: Fleet, version: number): string[] {
	const regions = groupBy(fleet.entries, entry => entry.report.region);
	const otherRegions = new Set(fleet.entries.flatMap(entry => entry.report.peers.flatMap(peer => peer.region ?? [])));
	return [
		...[...regions].flatMap(([region, entries]) => findMissingInRegion(region, entries, version)),
		...[...otherRegions].filter(region => !regions.has(region)).map(region => `region ${region}: no entry answered`),
	];
}

function findMissingInRegion(region: string, entries: readonly FleetEntry[], version: number): string[] {
	// Entries on an older version may have a different list of slots, so the list of the newest version is used.
	const newest = entries.toSorted((left, right) => (right.report.configuration?.version ?? 0) - (left.report.configuration?.version ?? 0))[0]!;
	const groupSlots = new Set(newest.report.lease.groupSlots);
	const reachedSlots = new Set(entries.filter(entry => hasReached(entry, version)).map(entry => entry.report.slot).filter(slot => groupSlots.has(slot)));
	const majority = Math.floor(groupSlots.size / 2) + 1;
	return reachedSlots.size >= majority ? [] : [`region ${region}: in force on ${reachedSlots.size} of ${groupSlots.size} slots, ${majority} are needed`];
}

function findConflictingSlots({entries}: Fleet, version: number): string[] {
	const sameVersion = entries.filter(entry => entry.report.configuration?.version === version);
	const digests = new Set(sameVersion.map(entry => entry.report.configuration?.digest));
	return digests.size > 1 ? sameVersion.map(entry => entry.report.slot) : [];
}
