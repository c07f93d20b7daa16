import test from 'ava';
import {RandomSource} from '../../../standins/random-source.js';
import {MembershipGroup, type GroupMember} from '../../fixtures/gateway/membership-group.js';
import {testSeed} from '../../fixtures/seed.js';

const contactMs = 3000;
const endpoint = {id: 'engine-1', startedAt: 7} as const;
const statesLeaving = {isLeaving: true, unreadable: {}} as const;

function createRandom(): () => number {
	const source = RandomSource.create(testSeed());
	return () => source.integer(0, 999_999) / 1_000_000;
}

function uninformedHosts(group: MembershipGroup): string[] {
	return [...group.members.values()].filter(({statements}: GroupMember) => !statements.isLeaving(endpoint)).map(({host}) => host);
}

for (const {count, zones, lossRatio} of [{count: 7, zones: 4, lossRatio: 0.3}, {count: 70, zones: 4, lossRatio: 0.1}, {count: 200, zones: 6, lossRatio: 0.1}]) {
	// Guards against an endpoint that states that it leaves to one instance and goes on getting requests from all others.
	test(`${count} instances know within the bound that an endpoint leaves, while ${lossRatio * 100} % of datagrams are lost`, t => {
		const group = MembershipGroup.create(count, zones, createRandom());
		group.advance(9000);
		group.lossRatio = lossRatio;
		[...group.members.values()].at(-1)!.statements.record(endpoint, statesLeaving, group.now);
		group.advance(contactMs);
		t.deepEqual(uninformedHosts(group), []);
	});
}

test('an instance that starts later, and a zone that was cut off, learn that an endpoint leaves', t => {
	const group = MembershipGroup.create(48, 3, createRandom());
	group.advance(9000);
	group.cutZones.add('zone-1');
	group.advance(500);
	group.members.get('10.0.0.1')!.statements.record(endpoint, statesLeaving, group.now);
	group.advance(6000);
	t.is(uninformedHosts(group).length, 16);
	group.cutZones.clear();
	group.start('10.2.0.200', 'zone-2');
	group.advance(20_000);
	t.deepEqual(uninformedHosts(group), []);
});
