import {hashText} from '../../shared/hash.js';
import type {SlotGroup} from '../scheduling/types.js';
import type {EndpointRecord} from '../site/types.js';

/** Most endpoints of one service and zone that one instance coordinates, on average. */
const maximumGroupSize = 24;

export function groupKey({service, availabilityZone, part}: SlotGroup): string {
	return `${service} ${availabilityZone} ${part}`;
}

/** Returns the group of each endpoint of a service, by id. */
export function groupEndpoints(records: Iterable<EndpointRecord>): Map<string, SlotGroup> {
	const zones = new Map<string, EndpointRecord[]>();
	for (const record of records) {
		const zone = zones.get(record.availabilityZone);
		if (zone === undefined) {
			zones.set(record.availabilityZone, [record]);
		} else {
			zone.push(record);
		}
	}

	const groups = new Map<string, SlotGroup>();
	for (const [availabilityZone, endpoints] of zones) {
		const partCount = Math.ceil(endpoints.length / maximumGroupSize);
		const parts = Array.from({length: partCount}, (_, part) => ({service: endpoints[0]!.service, availabilityZone, part}));
		for (const {id} of endpoints) {
			groups.set(id, parts[partCount === 1 ? 0 : Number(hashText(id) % BigInt(partCount))]!);
		}
	}

	return groups;
}

/** Returns hosts by the hash of group and host. The first one coordinates the group. */
export function rankCoordinators(key: string, hosts: readonly string[]): string[] {
	return hosts
		.map(host => ({host, hash: hashText(`${key} ${host}`)}))
		.toSorted((a, b) => a.hash < b.hash ? -1 : 1)
		.map(({host}) => host);
}
