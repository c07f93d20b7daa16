import test from 'ava';
import {PrefixAffinity, type AffinityCandidate} from '../../../src/entry/routing/index.js';

function engines(count: number, units = 8): AffinityCandidate[] {
	return Array.from({length: count}, (_, index) => ({endpoint: `engine-${index + 1}`, units}));
}

// Guards against entries that prefer different endpoints for a prefix, so that every endpoint computes it.
test('all entries prefer the same two endpoints for a prefix', t => {
	const candidates = engines(8);
	for (let prefix = 0; prefix < 50; prefix++) {
		const preferred = PrefixAffinity.create().preferredEndpoints(`prefix ${prefix}`, candidates);
		t.is(preferred.size, 2);
		t.deepEqual(PrefixAffinity.create().preferredEndpoints(`prefix ${prefix}`, candidates), preferred);
	}
});

// Guards against a change of one endpoint that moves every prefix, so that no cache has the prefixes it is asked for.
test('when an endpoint leaves, only its prefixes get another preferred endpoint', t => {
	const affinity = PrefixAffinity.create();
	for (let prefix = 0; prefix < 200; prefix++) {
		const before = [...affinity.preferredEndpoints(`prefix ${prefix}`, engines(8))];
		const after = affinity.preferredEndpoints(`prefix ${prefix}`, engines(7));
		t.true(before.filter(endpoint => endpoint !== 'engine-8').every(endpoint => after.has(endpoint)));
	}
});

test('endpoints are preferred for prefixes in proportion to their units', t => {
	const affinity = PrefixAffinity.create();
	const candidates = [...engines(4, 4), {endpoint: 'large', units: 8}];
	let large = 0;
	for (let prefix = 0; prefix < 4000; prefix++) {
		large += affinity.preferredEndpoints(`prefix ${prefix}`, candidates).has('large') ? 1 : 0;
	}

	// One of four equal endpoints is preferred for well under 40 % of the prefixes, one with twice the units for more than half.
	t.true(large / 4000 > 0.5 && large / 4000 < 0.7, `${large / 4000}`);
});
