import test from 'ava';
import {ColdRateLimiter} from '../../../src/gateway/limits/cold-rate-limiter.js';
import {FleetSize} from '../../../src/gateway/membership/fleet-size.js';
import {PeerGroup} from '../../../src/gateway/membership/peer-group.js';
import {bounds} from '../../fixtures/gateway/documents.js';
import {createHeartbeat} from '../../fixtures/gateway/heartbeat.js';
import {MembershipGroup} from '../../fixtures/gateway/membership-group.js';

const ownHost = '10.0.0.9';
const seedHosts = ['10.0.0.1', '10.0.0.2', '10.0.0.3'];

function createGroup(seeds = seedHosts): PeerGroup {
	const group = PeerGroup.create({ownHost, availabilityZone: 'a', startedAt: 0});
	group.setSeedHosts(seeds);
	group.expire(0);
	return group;
}

/** Lets a group hear these hosts every 100 ms. */
function hear(group: PeerGroup, hosts: readonly string[], from: number, until: number, fleetSize?: number): void {
	for (let now = from; now <= until; now += 100) {
		for (const host of hosts) {
			group.receive(createHeartbeat({host, sequence: now, fleetSize}), now);
		}

		group.expire(now);
	}
}

test('an instance that hears no seed shares with the largest fleet, however long it waits', t => {
	const group = createGroup();
	for (const now of [0, 1000, 20_000, 3_600_000]) {
		group.expire(now);
		t.false(group.isFleetKnown);
		t.is(group.sharingCount, 400);
	}
});

// Guards against instances that hear a few others, but no seed, and divide the limits among these alone.
test('peers that are no seeds do not make the fleet known', t => {
	const group = createGroup();
	hear(group, ['10.0.0.4', '10.0.0.5'], 100, 20_000);
	t.is(group.memberCount, 3);
	t.is(group.sharingCount, 400);
});

test('an instance that hears a seed shares with the members once these are settled', t => {
	const group = createGroup();
	hear(group, ['10.0.0.1'], 10_000, 11_400);
	t.is(group.sharingCount, 400, 'the seed may not know all others yet');
	hear(group, ['10.0.0.1', '10.0.0.4'], 11_500, 12_400);
	t.is(group.sharingCount, 400, 'a member was found a moment ago');
	hear(group, ['10.0.0.1', '10.0.0.4'], 12_500, 13_000);
	t.true(group.isFleetKnown);
	t.is(group.sharingCount, 3);
});

test('without another seed in the settings the members are all there are', t => {
	for (const seeds of [[], [ownHost]]) {
		const group = createGroup(seeds);
		t.is(group.sharingCount, 1);
		group.expire(2000);
		t.true(group.isFleetKnown);
		t.is(group.sharingCount, 1);
	}
});

// Guards against an instance that is cut off, or outlives its seeds, and takes the shares of those that it has forgotten.
test('the last known size stays in force when all seeds are forgotten, until a seed is heard again', t => {
	const group = createGroup();
	hear(group, [...seedHosts, '10.0.0.4'], 100, 3000);
	t.is(group.sharingCount, 5);
	group.expire(20_000);
	t.is(group.sharingCount, 5, 'silent peers are members');
	group.expire(34_000);
	t.deepEqual(group.members(), [ownHost]);
	t.is(group.sharingCount, 5);
	hear(group, ['10.0.0.1'], 34_100, 36_000);
	t.is(group.sharingCount, 2);
});

test('an instance that has started takes over the size that its peers know', t => {
	const group = createGroup();
	hear(group, ['10.0.0.4'], 100, 500, 7);
	t.is(group.sharingCount, 7);
	hear(group, ['10.0.0.5'], 600, 900);
	t.is(group.sharingCount, 7);
});

test('the size of a part of a large fleet does not make the share larger', t => {
	const size = FleetSize.create();
	size.setHasSeeds(true);
	size.learn(30, true);
	t.is(size.sharingCount(2), 400);
	size.learn(500, true);
	t.is(size.sharingCount(2), 500);
});

test('a size is told only when it is known, or shows that the fleet is large', t => {
	const group = createGroup();
	hear(group, ['10.0.0.4'], 100, 3000);
	t.is(group.toldFleetSize, undefined);
	hear(group, ['10.0.0.1', '10.0.0.4'], 3100, 6000);
	t.is(group.toldFleetSize, 3);
	hear(group, Array.from({length: 25}, (_, index) => `10.0.1.${index}`), 6100, 6100);
	t.is(group.toldFleetSize, 28);
});

const coldRequestsPerSecond = 23;
const coldBound = (coldRequestsPerSecond * bounds.coldRateFactor) + bounds.coldSlackPerSecond;

/** Sends as many requests to one cold endpoint as each running instance permits, and counts the most within one second. */
class ColdTraffic {
	static create(group: MembershipGroup): ColdTraffic {
		return new ColdTraffic(group);
	}

	readonly #limiters = new Map<string, ColdRateLimiter>();
	#times: number[] = [];

	private constructor(private readonly group: MembershipGroup) {}

	/** Number of requests since the last call of `reset`. */
	get total(): number {
		return this.#times.length;
	}

	get mostInOneSecond(): number {
		let [first, most] = [0, 0];
		for (const [index, time] of this.#times.entries()) {
			while (this.#times[first]! <= time - 1000) {
				first++;
			}

			most = Math.max(most, index - first + 1);
		}

		return most;
	}

	reset(): void {
		this.#times = [];
	}

	/** A process that starts knows nothing of the requests of its predecessor. */
	forget(host: string): void {
		this.#limiters.delete(host);
	}

	send(): void {
		const {now, members} = this.group;
		for (const {host, peers} of members.values()) {
			const limiter = this.#limiters.get(host) ?? ColdRateLimiter.create({bounds, ownHost: host});
			this.#limiters.set(host, limiter);
			const limit = limiter.ownLimit('e1', coldRequestsPerSecond, peers.members(), peers.sharingCount);
			while (peers.knowsMembers(now) && limiter.permits('e1', limit, now)) {
				limiter.recordRequest('e1', now);
				this.#times.push(now);
			}
		}
	}
}

for (const [count, zones] of [[7, 4], [24, 3], [70, 4], [200, 6]] as const) {
	// Guards against instances that each take the whole limit of a cold endpoint after all were killed, while they don't hear each other, and while they find each other.
	test(`${count} instances of which the seeds start late keep the bound of a cold endpoint, and use it when they know each other`, t => {
		const group = MembershipGroup.create(count, zones);
		group.advance(8000);
		const hosts = [...group.members.values()].map(({host, availabilityZone}) => ({host, availabilityZone}));
		for (const {host} of hosts) {
			group.kill(host);
		}

		const seeds = hosts.slice(0, 3);
		for (const {host, availabilityZone} of hosts.slice(3)) {
			group.start(host, availabilityZone);
		}

		const traffic = ColdTraffic.create(group);
		const send = () => {
			traffic.send();
		};

		group.advance(20_000, send);
		t.true(traffic.total > 0, 'an endpoint that stays cold is not left out');
		for (const {host, availabilityZone} of seeds) {
			group.start(host, availabilityZone);
		}

		group.advance(14_000, send);
		t.log(`${traffic.mostInOneSecond} in one second, ${coldBound} allowed`);
		t.true(traffic.mostInOneSecond <= coldBound);
		t.true([...group.members.values()].every(({peers}) => peers.isFleetKnown && peers.sharingCount === count));
		traffic.reset();
		group.advance(4000, send);
		t.true(traffic.mostInOneSecond >= Math.floor(0.7 * coldBound) - 1);
	});
}

// Guards against an instance that no longer serves an endpoint that stays cold because all others are gone for good.
test('an instance that is alone for good sends to a cold endpoint now and then, and after its others were known at least its share', t => {
	const group = MembershipGroup.create(7, 4);
	group.advance(8000);
	const [survivor] = group.hosts.slice(-1);
	for (const host of group.hosts.slice(0, -1)) {
		group.kill(host);
	}

	const traffic = ColdTraffic.create(group);
	const send = () => {
		traffic.send();
	};

	group.advance(60_000, send);
	t.true(traffic.total >= 60 * Math.floor(0.7 * coldBound / 7) / 1.15, `${traffic.total} requests`);
	group.kill(survivor!);
	traffic.forget(survivor!);
	traffic.reset();
	group.start(survivor!, 'zone-0');
	group.advance(60_000, send);
	t.true(traffic.total >= 1, `${traffic.total} requests`);
	t.true(traffic.mostInOneSecond <= 1);
});
