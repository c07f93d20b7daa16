import test from 'ava';
import {PrefixAffinity, type AffinityCandidate} from '../../../src/entry/routing/index.js';

function engines(count: number, units = 8): AffinityCandidate[] {
	return Array.from({length: count}, (_, index) => ({endpoint: `engine-${index + 1}`, units}));
}

// Guards against entries that each gather a prefix at other endpoints.
test('entries choose the same homes, and few of them', t => {
	const candidates = engines(8);
	for (let prefix = 0; prefix < 50; prefix++) {
		const homes = PrefixAffinity.create().preferredEndpoints(`prefix ${prefix}`, candidates);
		t.is(homes.size, 2);
		t.deepEqual(PrefixAffinity.create().preferredEndpoints(`prefix ${prefix}`, candidates), homes);
	}
});

// Guards against a change of one endpoint that moves every prefix and so empties all caches.
test('when an endpoint leaves, only its prefixes get another home', t => {
	const homes = PrefixAffinity.create();
	for (let prefix = 0; prefix < 200; prefix++) {
		const before = [...homes.preferredEndpoints(`prefix ${prefix}`, engines(8))];
		const after = homes.preferredEndpoints(`prefix ${prefix}`, engines(7));
		t.true(before.filter(endpoint => endpoint !== 'engine-8').every(endpoint => after.has(endpoint)));
	}
});

test('endpoints are home to prefixes in proportion to their units', t => {
	const homes = PrefixAffinity.create();
	const candidates = [...engines(4, 4), {endpoint: 'large', units: 8}];
	let large = 0;
	for (let prefix = 0; prefix < 4000; prefix++) {
		large += homes.preferredEndpoints(`prefix ${prefix}`, candidates).has('large') ? 1 : 0;
	}

	// One of four equal endpoints is home to well under 40 %, one with double units to more than half.
	t.true(large / 4000 > 0.5 && large / 4000 < 0.7, `${large / 4000}`);
});
