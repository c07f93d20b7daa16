import test, {type ExecutionContext} from 'ava';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {ColdRateLimiter} from '../../../src/gateway/limits/cold-rate-limiter.js';
import {usedBoundRatio} from '../../../src/gateway/limits/retry-budgets.js';
import {MembershipGroup, groupQuota} from '../../fixtures/gateway/membership-group.js';
import {bounds} from '../../fixtures/gateway/documents.js';
import {testSeed} from '../../fixtures/seed.js';

function createRandom(seed: number): () => number {
	const generator = xoroshiro128plus(seed);
	return () => uniformInt(generator, 0, 999_999) / 1_000_000;
}

function assertAllKnowAll(t: ExecutionContext, group: MembershipGroup): void {
	const {hosts} = group;
	const wrong = [...group.members.values()].filter(({peers}) => peers.members().join(',') !== hosts.join(','));
	t.deepEqual(wrong.map(({host, peers}) => `${host} knows ${peers.members().length} of ${hosts.length}`), []);
}

function assertAllSeeAllRequests(t: ExecutionContext, group: MembershipGroup): void {
	let total = 0;
	for (const {inFlight} of group.members.values()) {
		total += inFlight;
	}

	const wrong = [...group.members.values()].filter(({peers, inFlight}) => peers.inFlightAt('e1') !== total - inFlight);
	t.deepEqual(wrong.map(({host, peers}) => `${host} sees ${peers.inFlightAt('e1')}`), []);
}

for (const [count, zones] of [[7, 4], [24, 3], [70, 4], [200, 6]] as const) {
	// Guards against instances that never find each other after all have started at once, and against requests that are counted twice or not at all.
	test(`${count} instances in ${zones} zones agree on the members and on the requests in flight 6 s after a common start`, t => {
		const group = MembershipGroup.create(count, zones);
		group.advance(6000);
		assertAllKnowAll(t, group);
		assertAllSeeAllRequests(t, group);
	});
}

// Guards against datagrams that grow with the fleet: twice as many instances in twice as many zones cost each of them little more.
test('the datagrams of an instance do not grow with the fleet', t => {
	const rates = [[70, 4], [140, 8], [280, 16]].map(([count, zones]) => {
		const group = MembershipGroup.create(count!, zones!);
		group.advance(4000);
		group.resetCounts();
		group.advance(2000);
		const members = [...group.members.values()];
		const handled = members.map(({sentDatagrams, receivedDatagrams}) => (sentDatagrams + receivedDatagrams) / 2).toSorted((a, b) => a - b);
		const bytes = members.map(({sentBytes}) => sentBytes / 2).toSorted((a, b) => a - b);
		const middle = Math.floor(members.length / 2);
		return {
			count, median: handled[middle]!, maximum: handled.at(-1)!, medianBytes: bytes[middle]!,
		};
	});
	t.log(rates);
	t.true(rates[2]!.median < 1.3 * rates[0]!.median);
	t.true(rates.every(({median}) => median < 350));
	t.true(rates.every(({maximum}) => maximum < 1500));
});

/** A tenth of the slowest link of an instance, 7 Mbit/s, in bytes. */
const maximumRelayedBytesPerSecond = 87_500;

// Guards against a relay whose link is filled by the summaries that it passes on, so that its requests and their cancellations leave late.
for (const [count, zones] of [[64, 4], [200, 4]] as const) {
	test(`the summaries of ${count} instances with busy endpoints leave the link of a relay free`, t => {
		const group = MembershipGroup.create(count, zones);
		group.advance(8000);
		for (const [index, member] of [...group.members.values()].entries()) {
			member.busyEndpoints = Array.from({length: 20}, (_, endpoint) => `i-${((5 * index) + endpoint) % 94}`.padEnd(12, '0'));
		}

		group.advance(1000);
		group.resetCounts();
		group.advance(2000);
		const rates = [...group.members.values()].map(({sentBytes}) => sentBytes / 2).toSorted((a, b) => b - a);
		t.log(`bytes a second: ${rates[0]}, median ${rates[count / 2]}`);
		t.true(rates[0]! <= maximumRelayedBytesPerSecond);
	});
}

// Guards against a zone that vanishes from the others' view when its relay dies.
test('when the relay of a zone dies, another instance takes its place, and the zone stays known', t => {
	const group = MembershipGroup.create(70, 4);
	group.advance(6000);
	const relays = [...group.members.values()].filter(({peers}) => peers.isRelay);
	t.is(relays.length, 4);
	group.kill(relays[0]!.host);
	group.advance(4000);
	t.is([...group.members.values()].filter(({peers}) => peers.isRelay).length, 4);
	for (const member of group.members.values()) {
		member.inFlight = 3;
	}

	group.advance(2000);
	assertAllSeeAllRequests(t, group);
	t.true([...group.members.values()].every(({peers}) => peers.memberCount === 70), 'the killed instance keeps its share of the limits');
	group.advance(62_000);
	assertAllKnowAll(t, group);
});

test('an instance that is added is known to all within 4 s, and knows all', t => {
	const group = MembershipGroup.create(70, 4);
	group.advance(6000);
	group.start('10.3.0.200', 'zone-3');
	group.advance(4000);
	assertAllKnowAll(t, group);
});

// Guards against instances of a cut zone that are forgotten: both sides go on serving and must not take over each other's share.
test('a zone that is cut off stays a member, and is seen again after the cut', t => {
	const group = MembershipGroup.create(48, 3);
	group.advance(6000);
	group.cutZones.add('zone-1');
	group.advance(12_000);
	t.true([...group.members.values()].every(({peers}) => peers.memberCount === 48));
	group.cutZones.clear();
	group.advance(3000);
	assertAllKnowAll(t, group);
	assertAllSeeAllRequests(t, group);
});

test('a fleet that shrinks returns to heartbeats with all', t => {
	const group = MembershipGroup.create(30, 3);
	group.advance(5000);
	t.true([...group.members.values()].every(({peers}) => peers.isZoned));
	for (const host of group.hosts.slice(0, 20)) {
		group.kill(host);
	}

	group.advance(75_000);
	t.true([...group.members.values()].every(({peers}) => !peers.isZoned));
	assertAllKnowAll(t, group);
	assertAllSeeAllRequests(t, group);
});

const {quotaOverageRatio, quotaSlackTokens, quotaWindowMs} = bounds;
const windowBound = (((groupQuota.perSecond * quotaWindowMs / 1000) + groupQuota.burst) * (1 + quotaOverageRatio)) + quotaSlackTokens;

function maximumInWindow(uses: ReadonlyArray<{readonly at: number; readonly units: number}>): number {
	let [first, sum, maximum] = [0, 0, 0];
	for (const {at, units} of uses) {
		sum += units;
		while (uses[first]!.at < at - quotaWindowMs) {
			sum -= uses[first]!.units;
			first++;
		}

		maximum = Math.max(maximum, sum);
	}

	return maximum;
}

// Guards against a quota that is exceeded because zones, relays and instances lose sight of each other, and against one that is not granted to a fleet without faults.
test('a large fleet keeps the quota of a workspace under losses, killed relays, restarts and cuts, and grants it without faults', t => {
	const seed = testSeed();
	t.log(`seed ${seed}`);
	const random = createRandom(seed);
	const group = MembershipGroup.create(48, 4, random);
	const uses: Array<{at: number; units: number}> = [];
	const serve = () => {
		for (const {quotas, host} of group.members.values()) {
			// A few instances get most of the demand, which is twice the quota.
			const units = 1000 + Math.floor(random() * 3000);
			if (random() < (host.endsWith('.1') ? 0.08 : 0.012) && quotas.tryTake('wick', units, group.now).isTaken) {
				uses.push({at: group.now, units});
			}
		}
	};

	group.advance(20_000, serve);
	const granted = uses.filter(({at}) => at > 8000).reduce((sum, {units}) => sum + units, 0) / 12;
	t.true(granted > 0.9 * groupQuota.perSecond, `${granted} units a second without faults`);
	group.lossRatio = 0.05;
	group.kill([...group.members.values()].find(({peers}) => peers.isRelay)!.host);
	group.advance(6000, serve);
	group.cutZones.add('zone-2');
	group.advance(10_000, serve);
	group.cutZones.clear();
	for (const host of group.hosts.slice(0, 24)) {
		const zone = group.members.get(host)!.availabilityZone;
		group.kill(host);
		group.start(host, zone);
	}

	group.advance(10_000, serve);
	const maximum = maximumInWindow(uses);
	t.log(`${maximum} units in a window, bound ${windowBound}`);
	t.true(maximum <= windowBound, `seed ${seed}: ${maximum} units in a window, bound ${windowBound}`);
});

// Guards against instances that each grant the whole quota because they have heard no other one for a while.
test('instances that start while all seeds are down keep the quota of a workspace however long that lasts, and grant it when they know each other', t => {
	const group = MembershipGroup.create(7, 4);
	const uses: Array<{at: number; units: number}> = [];
	const serve = () => {
		for (const {quotas} of group.members.values()) {
			while (quotas.tryTake('wick', 2000, group.now).isTaken) {
				uses.push({at: group.now, units: 2000});
			}
		}
	};

	const hosts = [...group.members.values()].map(({host, availabilityZone}) => ({host, availabilityZone}));
	for (const {host} of hosts) {
		group.kill(host);
	}

	for (const {host, availabilityZone} of hosts.slice(3)) {
		group.start(host, availabilityZone);
	}

	group.advance(40_000, serve);
	t.true(uses.length > 0);
	for (const {host, availabilityZone} of hosts.slice(0, 3)) {
		group.start(host, availabilityZone);
	}

	group.advance(20_000, serve);
	const maximum = maximumInWindow(uses);
	t.log(`${maximum} units in a window, bound ${windowBound}`);
	t.true(maximum <= windowBound, `${maximum} units in a window, bound ${windowBound}`);
	const granted = uses.filter(({at}) => at > group.now - 10_000).reduce((sum, {units}) => sum + units, 0) / 10;
	t.true(granted > 0.9 * groupQuota.perSecond, `${granted} units a second`);
});

// Guards against a sum that holds only between instances that know each other: after a common start over lossy links each knows few others at first, and shares that are computed from these exceed the bounds of cold endpoints and of retries.
test('the shares of cold endpoints and of retries stay within their bounds from a common start over lossy links on', t => {
	const group = MembershipGroup.create(195, 6, createRandom(testSeed()));
	group.lossRatio = 0.6;
	const coldRequestsPerSecond = 14;
	const coldBound = (coldRequestsPerSecond * bounds.coldRateFactor) + bounds.coldSlackPerSecond;
	let [maximumCold, maximumRetries] = [0, 0];
	for (let step = 0; step < 52; step++) {
		group.advance(250);
		let [cold, retries] = [0, 0];
		for (const {host, peers} of group.members.values()) {
			if (peers.knowsMembers(group.now)) {
				cold += ColdRateLimiter.create({bounds, ownHost: host}).ownLimit('e1', coldRequestsPerSecond, peers.members(), peers.sharingCount);
			}

			retries += usedBoundRatio * bounds.retryExtra / peers.estimatedCount;
		}

		maximumCold = Math.max(maximumCold, cold);
		maximumRetries = Math.max(maximumRetries, retries);
	}

	t.log({maximumCold, maximumRetries});
	t.true(maximumCold <= coldBound, `${maximumCold} requests a second, bound ${coldBound}`);
	t.true(maximumRetries <= bounds.retryExtra, `${maximumRetries} retries, bound ${bounds.retryExtra}`);
	t.true([...group.members.values()].every(({peers}) => peers.knowsMembers(group.now) && peers.isFleetKnown));
});
