import test from 'ava';
import {configurationOf, readMergedExample, type ExampleSite} from '../../fixtures/example-document.js';

type ExampleSizes = {
	readonly availabilityZones: number;
	readonly entrySlots: number;
	readonly workspaces: number;
	readonly tiers: number;
	readonly endpoints: Readonly<Record<string, number>>;
	readonly hardware: number;
};

const expectedSizes: Readonly<Record<ExampleSite, ExampleSizes>> = {
	clachan: {
		availabilityZones: 4, entrySlots: 7, workspaces: 5, tiers: 4, endpoints: {assistant: 8, diary: 4}, hardware: 3,
	},
	karoo: {
		availabilityZones: 3, entrySlots: 7, workspaces: 5, tiers: 5, endpoints: {castings: 13, orders: 3}, hardware: 3,
	},
};

function countBy(values: Iterable<string>): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const value of values) {
		counts[value] = (counts[value] ?? 0) + 1;
	}

	return counts;
}

for (const site of ['clachan', 'karoo'] as const) {
	// Guards against examples that the entry would reject, or that no longer have the sizes on the design page.
	test(`the example documents of ${site} are valid and have the sizes of the deployment`, t => {
		const configuration = configurationOf(readMergedExample(site));
		const endpoints = Object.values(configuration.endpoints);
		const engineServices = new Set(Object.entries(configuration.services).filter(([, service]) => service.kind === 'engine').map(([name]) => name));
		t.deepEqual({
			availabilityZones: Object.keys(configuration.availabilityZones).length,
			entrySlots: Object.keys(configuration.entrySlots).length,
			workspaces: Object.keys(configuration.workspaces).length,
			tiers: Object.keys(configuration.tiers).length,
			endpoints: countBy(endpoints.map(endpoint => endpoint.service)),
			hardware: new Set(endpoints.filter(endpoint => engineServices.has(endpoint.service)).map(endpoint => endpoint.hardware)).size,
		}, expectedSizes[site]);
	});

	// Guards against an example that would send demo traffic to another machine.
	test(`the example documents of ${site} name only loopback addresses`, t => {
		t.true(Object.values(configurationOf(readMergedExample(site)).endpoints).every(endpoint => endpoint.address.startsWith('127.')));
	});

	// Guards against an example in which taking one availability zone out of service stops a service or the lease group.
	test(`every service and a majority of entry slots of ${site} remain when one availability zone is taken out of service`, t => {
		const configuration = configurationOf(readMergedExample(site));
		for (const zone of Object.keys(configuration.availabilityZones)) {
			const remaining = Object.values(configuration.endpoints).filter(endpoint => endpoint.availabilityZone !== zone);
			t.deepEqual([...new Set(remaining.map(endpoint => endpoint.service))].toSorted(), Object.keys(configuration.services).toSorted());
			const slots = Object.values(configuration.entrySlots).filter(slot => slot.availabilityZone !== zone);
			t.true(slots.length > Object.keys(configuration.entrySlots).length / 2);
		}
	});
}
