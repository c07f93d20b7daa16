import {isDeepStrictEqual} from 'node:util';
import type {Configuration} from '../shared/configuration/index.js';

/** An effect of a configuration change, described in one sentence. */
export type ChangeStatement = {
	/** A warning is an effect on callers or other instances that the operator may not have intended. */
	readonly severity: 'notice' | 'warning';
	readonly text: string;
};

type DescribeChange = (before: Configuration, after: Configuration) => ChangeStatement[];

/** Describes the effects of a change: first what is taken out of service or returned to it, then the rest. */
export function describeChange(before: Configuration, after: Configuration): ChangeStatement[] {
	return descriptions.flatMap(describe => describe(before, after));
}

const descriptions: readonly DescribeChange[] = [
	describeSite,
	describeAvailabilityZones,
	describeEndpointStates,
	describeSlots,
	describeServices,
	describeEndpoints,
	describeTiers,
	describeWorkspaces,
	describePolicy,
];

function notice(text: string): ChangeStatement {
	return {severity: 'notice', text};
}

function warning(text: string): ChangeStatement {
	return {severity: 'warning', text};
}

/** Formats a count with its noun; only regular English plurals are supported. */
function formatCount(count: number, noun: string): string {
	return `${count} ${noun}${count === 1 ? '' : 's'}`;
}

function formatList(names: readonly string[]): string {
	return names.length === 0 ? '' : ` (${names.join(', ')})`;
}

type MemberChanges<Item> = {
	readonly added: ReadonlyArray<readonly [string, Item]>;
	readonly removed: ReadonlyArray<readonly [string, Item]>;
	/** Members that both have, with different values. */
	readonly changed: ReadonlyArray<readonly [string, Item, Item]>;
};

function compareMembers<Item>(before: Readonly<Record<string, Item>>, after: Readonly<Record<string, Item>>): MemberChanges<Item> {
	return {
		added: Object.entries(after).filter(([name]) => !Object.hasOwn(before, name)),
		removed: Object.entries(before).filter(([name]) => !Object.hasOwn(after, name)),
		changed: Object.entries(after).flatMap(([name, item]) =>
			Object.hasOwn(before, name) && !isDeepStrictEqual(before[name], item) ? [[name, before[name]!, item] as const] : []),
	};
}

function endpointsInZone(configuration: Configuration, zone: string): string[] {
	return Object.entries(configuration.endpoints).filter(([, endpoint]) => endpoint.availabilityZone === zone).map(([name]) => name);
}

function slotsInZone(configuration: Configuration, zone: string): string[] {
	return Object.entries(configuration.entrySlots).filter(([, slot]) => slot.availabilityZone === zone).map(([name]) => name);
}

function isZoneInService(configuration: Configuration, zone: string): boolean {
	return configuration.availabilityZones[zone]?.state === 'in';
}

function isEndpointInService(configuration: Configuration, name: string): boolean {
	const endpoint = Object.hasOwn(configuration.endpoints, name) ? configuration.endpoints[name] : undefined;
	return endpoint?.state === 'in' && isZoneInService(configuration, endpoint.availabilityZone);
}

function describeSite(before: Configuration, after: Configuration): ChangeStatement[] {
	return before.site === after.site ? [] : [warning(`changes the site from ${before.site} to ${after.site}; the settings of running entries keep ${before.site}`)];
}

function describeAvailabilityZones(before: Configuration, after: Configuration): ChangeStatement[] {
	const {added, removed, changed} = compareMembers(before.availabilityZones, after.availabilityZones);
	return [
		...added.map(([zone, {region, state}]) => notice(`adds availability zone ${zone} in region ${region}${state === 'out' ? ', out of service' : ''}`)),
		...removed.map(([zone]) => notice(`removes availability zone ${zone}`)),
		...changed.flatMap(([zone, old, current]) => [
			...(old.state === current.state ? [] : [describeZoneState(before, after, zone)]),
			...(old.region === current.region ? [] : [warning(`moves availability zone ${zone} from region ${old.region} to ${current.region}, which changes the lease groups of both`)]),
		]),
	];
}

function describeZoneState(before: Configuration, after: Configuration, zone: string): ChangeStatement {
	const isReturning = isZoneInService(after, zone);
	const endpoints = isReturning
		? endpointsInZone(after, zone).filter(name => isEndpointInService(after, name))
		: endpointsInZone(before, zone).filter(name => isEndpointInService(before, name));
	const slots = slotsInZone(after, zone);
	const zoneDescription = `availability zone ${zone} with ${formatCount(endpoints.length, 'endpoint')}${formatList(endpoints)} and ${formatCount(slots.length, 'entry slot')}${formatList(slots)}`;
	return notice(isReturning ? `returns ${zoneDescription} to service` : `takes ${zoneDescription} out of service`);
}

/** Describes endpoints whose own state changes. Those that change with their availability zone are listed with the zone. */
function describeEndpointStates(before: Configuration, after: Configuration): ChangeStatement[] {
	return compareMembers(before.endpoints, after.endpoints).changed.flatMap(([name, old, current]) => {
		if (old.state === current.state) {
			return [];
		}

		const suffix = isZoneInService(after, current.availabilityZone) ? '' : `, but its availability zone ${current.availabilityZone} is out of service`;
		return [notice(current.state === 'in' ? `returns endpoint ${name} to service${suffix}` : `takes endpoint ${name} out of service`)];
	});
}

function describeSlots(before: Configuration, after: Configuration): ChangeStatement[] {
	const {added, removed, changed} = compareMembers(before.entrySlots, after.entrySlots);
	const isSlotSetChanged = added.length > 0 || removed.length > 0;
	return [
		...added.map(([slot, {availabilityZone}]) => notice(`adds entry slot ${slot} in availability zone ${availabilityZone}`)),
		...removed.map(([slot]) => notice(`removes entry slot ${slot}; a process that runs as it stops serving`)),
		...changed.flatMap(([slot, old, current]) => [
			...(old.state === current.state ? [] : [notice(current.state === 'in' ? `returns entry slot ${slot} to service` : `takes entry slot ${slot} out of service`)]),
			...(old.availabilityZone === current.availabilityZone ? [] : [notice(`moves entry slot ${slot} from availability zone ${old.availabilityZone} to ${current.availabilityZone}`)]),
		]),
		...(isSlotSetChanged ? [warning('moves units between entry slots; moved units stay unused for a lease, a loan and the request timeout of their endpoint')] : []),
		...describeRegionsWithoutSlot(before, after),
	];
}

function describeRegionsWithoutSlot(before: Configuration, after: Configuration): ChangeStatement[] {
	return after.regions
		.filter(region => countSlotsInService(before, region) > 0 && countSlotsInService(after, region) === 0)
		.map(region => warning(`leaves region ${region} without an entry slot in service: all requests there are refused`));
}

function countSlotsInService(configuration: Configuration, region: string): number {
	return Object.values(configuration.entrySlots).filter(({state, availabilityZone}) =>
		state === 'in' && isZoneInService(configuration, availabilityZone) && configuration.availabilityZones[availabilityZone]?.region === region).length;
}

type Capacity = {
	readonly endpoints: number;
	readonly units: number;
};

function capacityOf(configuration: Configuration, service: string): Capacity {
	const names = Object.keys(configuration.endpoints).filter(name => configuration.endpoints[name]!.service === service && isEndpointInService(configuration, name));
	return {endpoints: names.length, units: names.reduce((sum, name) => sum + configuration.endpoints[name]!.limit.units, 0)};
}

function describeServices(before: Configuration, after: Configuration): ChangeStatement[] {
	const {added, removed, changed} = compareMembers(before.services, after.services);
	return [
		...added.map(([service, {kind}]) => notice(`adds ${kind} service ${service}`)),
		...removed.map(([service]) => warning(`removes service ${service}; requests for it are refused as unknown-service`)),
		...changed.map(([service, old]) => notice(`changes the ${old.kind === 'engine' ? 'model names' : 'operations'} of service ${service}`)),
		...Object.keys(after.services).flatMap(service => describeCapacity(service, capacityOf(before, service), capacityOf(after, service))),
	];
}

function describeCapacity(service: string, before: Capacity, after: Capacity): ChangeStatement[] {
	if (isDeepStrictEqual(before, after)) {
		return [];
	}

	const text = `service ${service} has ${formatCount(after.endpoints, 'endpoint')} and ${formatCount(after.units, 'unit')} in service, before ${before.endpoints} and ${before.units}`;
	return [after.endpoints === 0 ? warning(`${text}: all requests for it are refused as no-endpoint`) : notice(text)];
}

function describeEndpoints(before: Configuration, after: Configuration): ChangeStatement[] {
	const {added, removed, changed} = compareMembers(before.endpoints, after.endpoints);
	return [
		...added.map(([name, {service, availabilityZone}]) => notice(`adds endpoint ${name} of service ${service} in availability zone ${availabilityZone}`)),
		...removed.map(([name, {service}]) => notice(`removes endpoint ${name} of service ${service}`)),
		...changed.flatMap(([name, old, current]) => Object.keys(current)
			.filter(field => field !== 'state')
			.flatMap(field => describeField(`endpoint ${name}`, field, old, current))),
	];
}

function describeTiers(before: Configuration, after: Configuration): ChangeStatement[] {
	const {added, removed, changed} = compareMembers(before.tiers, after.tiers);
	return [
		...added.map(([name, {rank}]) => notice(`adds tier ${name} with rank ${rank}`)),
		...removed.map(([name]) => notice(`removes tier ${name}; requests that name it are refused as unknown-tier`)),
		...changed.flatMap(([name, old, current]) => Object.keys(current).flatMap(field => describeField(`tier ${name}`, field, old, current))),
	];
}

function describeWorkspaces(before: Configuration, after: Configuration): ChangeStatement[] {
	const {added, removed, changed} = compareMembers(before.workspaces, after.workspaces);
	return [
		...added.map(([name, {highestTier}]) => notice(`adds workspace ${name} with highest tier ${highestTier}`)),
		...removed.map(([name]) => warning(`removes workspace ${name}; its requests are refused as unknown-workspace`)),
		...changed.flatMap(([name, old, current]) => Object.keys(current).flatMap(field => describeField(`workspace ${name}`, field, old, current))),
	];
}

function describePolicy(before: Configuration, after: Configuration): ChangeStatement[] {
	return Object.keys(after.policy).flatMap(field => describeField('policy', field, before.policy, after.policy));
}

function describeField(subject: string, field: string, before: Record<string, unknown>, after: Record<string, unknown>): ChangeStatement[] {
	const old = (before as Readonly<Record<string, unknown>>)[field];
	const current = (after as Readonly<Record<string, unknown>>)[field];
	return isDeepStrictEqual(old, current) ? [] : [notice(`changes ${field} of ${subject} from ${JSON.stringify(old)} to ${JSON.stringify(current)}`)];
}
