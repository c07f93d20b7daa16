import test, {type ExecutionContext} from 'ava';
import {RandomSource} from '../../../standins/random-source.js';
import {MembershipGroup} from '../../fixtures/gateway/membership-group.js';
import {testSeed} from '../../fixtures/seed.js';

const windowMs = 4000;
const contactMs = 3000;

/** Time that requests are under way to the endpoint, at most. */
const transitMs = 30;

type Demand = {
	readonly group: MembershipGroup;
	readonly random: () => number;
	readonly limit: number;
	/** Requests a second of all instances together. */
	readonly perSecond: number;
	/** Requests of the first instance, as a fraction of all. */
	readonly firstShare?: number;
	readonly endpointCount?: number;
};

function createRandom(): () => number {
	const source = RandomSource.create(testSeed());
	return () => source.integer(0, 999_999) / 1_000_000;
}

function endpointNumber(index: number) {
	return {id: `engine-${index}`, startedAt: 1};
}

/** An endpoint group whose requests are sent as permits allow, by instances that have been told of the limit. */
class LimitedEndpoints {
	/** When requests reached each endpoint. */
	readonly arrivals: number[][];
	/** Requests that wait, by host. */
	readonly #waiting = new Map<string, number>();

	constructor(private readonly demand: Demand) {
		this.arrivals = Array.from({length: demand.endpointCount ?? 1}, () => []);
	}

	/** Lets all instances hear the limit from the endpoints themselves. */
	nameLimit(): void {
		const {group, limit} = this.demand;
		for (const {statements} of group.members.values()) {
			for (const index of this.arrivals.keys()) {
				statements.record(endpointNumber(index), {isLeaving: false, requestsPerSecond: limit, unreadable: {}}, group.now);
			}
		}
	}

	advance(durationMs: number): void {
		const {group} = this.demand;
		group.advance(durationMs, () => {
			this.#step(10);
		});
	}

	#step(stepMs: number): void {
		const {group, random, perSecond, firstShare = 1 / group.members.size} = this.demand;
		for (const [index, {host, permits, statements}] of [...group.members.values()].entries()) {
			const share = index === 0 ? firstShare : (1 - firstShare) / (group.members.size - 1);
			if (random() < share * perSecond * stepMs / 1000) {
				this.#waiting.set(host, (this.#waiting.get(host) ?? 0) + 1);
			}

			for (const [endpoint, arrivals] of this.arrivals.entries()) {
				const start = endpointNumber(endpoint);
				if ((this.#waiting.get(host) ?? 0) > 0 && permits.ensure(start) && permits.take(start)) {
					this.#waiting.set(host, this.#waiting.get(host)! - 1);
					arrivals.push(group.now + (transitMs * random()));
					statements.record(start, {isLeaving: false, requestsPerSecond: this.demand.limit, unreadable: {}}, group.now);
				}
			}
		}
	}
}

function maximumInWindow(arrivals: readonly number[], from: number): number {
	const counted = arrivals.filter(at => at >= from).toSorted((a, b) => a - b);
	return Math.max(0, ...counted.map((end, index) => counted.slice(0, index + 1).filter(at => at > end - windowMs).length));
}

function assertBound(t: ExecutionContext, {arrivals}: LimitedEndpoints, limit: number, from: number): void {
	const allowed = (1.5 * limit * windowMs / 1000) + 5;
	for (const each of arrivals) {
		const maximum = maximumInWindow(each, from);
		t.true(maximum <= allowed, `${maximum} requests in 4 s, ${allowed} allowed`);
	}
}

function assertUse(t: ExecutionContext, {arrivals}: LimitedEndpoints, limit: number, {from, until, ratio}: {from: number; until: number; ratio: number}): void {
	for (const each of arrivals) {
		const used = each.filter(at => at >= from && at < until).length;
		const taken = limit * (until - from) / 1000;
		t.true(used >= ratio * taken, `${used} requests of ${taken}`);
	}
}

for (const {count, zones, limits} of [{count: 7, zones: 4, limits: [0, 0.2, 4, 40]}, {count: 70, zones: 4, limits: [4]}, {count: 200, zones: 6, limits: [4]}]) {
	// One run of the largest group takes as long as ten of the smallest.
	const firstShares = count === 200 ? [0.9] : [1 / count, 0.9];
	for (const limit of limits) {
		for (const firstShare of firstShares) {
			// Guards against a limit that each instance keeps to alone, or that is kept by sending next to nothing.
			test(`${count} instances keep to a limit of ${limit} a second and use most of it, while one of them has ${Math.round(firstShare * 100)} % of the callers`, t => {
				const random = createRandom();
				const group = MembershipGroup.create(count, zones, random);
				group.advance(9000);
				const endpoints = new LimitedEndpoints({
					group, random, limit, perSecond: 100, firstShare,
				});
				const namedAt = group.now;
				endpoints.nameLimit();
				const usedMs = count === 7 ? 20_000 : 6000;
				endpoints.advance(contactMs + usedMs);
				assertBound(t, endpoints, limit, namedAt + contactMs);
				assertUse(t, endpoints, limit, {from: namedAt + contactMs, until: group.now, ratio: 0.7});
			});
		}
	}
}

for (const lossRatio of [0.1, 0.3]) {
	test(`instances keep to a limit and use half of it while ${lossRatio * 100} % of datagrams are lost`, t => {
		const random = createRandom();
		const group = MembershipGroup.create(7, 4, random);
		group.advance(6000);
		group.lossRatio = lossRatio;
		const endpoints = new LimitedEndpoints({
			group, random, limit: 6, perSecond: 100, endpointCount: 4,
		});
		const namedAt = group.now;
		endpoints.nameLimit();
		endpoints.advance(24_000);
		assertBound(t, endpoints, 6, namedAt + contactMs);
		assertUse(t, endpoints, 6, {from: namedAt + contactMs, until: group.now, ratio: 0.5});
	});
}

for (const {count, zones} of [{count: 7, zones: 4}, {count: 70, zones: 4}]) {
	// Guards against two instances that both give permits after the one before them has died or come back, and against none that does.
	test(`${count} instances keep to limits while instances are killed and start again, and use them again afterwards`, t => {
		const random = createRandom();
		const group = MembershipGroup.create(count, zones, random);
		group.advance(9000);
		const limit = 5;
		const endpoints = new LimitedEndpoints({
			group, random, limit, perSecond: 100, endpointCount: 4,
		});
		const namedAt = group.now;
		endpoints.nameLimit();
		endpoints.advance(4000);
		for (let kill = 0; kill < 3; kill++) {
			const {hosts} = group;
			const {host, availabilityZone} = group.members.get(hosts[Math.floor(random() * hosts.length)]!)!;
			group.kill(host);
			endpoints.advance(1500);
			group.start(host, availabilityZone);
			endpoints.advance(3000);
		}

		const settledAt = group.now + 8000;
		endpoints.advance(12_000);
		assertBound(t, endpoints, limit, namedAt + contactMs);
		assertUse(t, endpoints, limit, {from: settledAt, until: group.now, ratio: 0.7});
	});

	// Guards against parts of a divided fleet that each use the whole limit.
	test(`zones of ${count} instances that are cut off from each other together keep to a limit`, t => {
		const random = createRandom();
		const group = MembershipGroup.create(count, zones, random);
		group.advance(9000);
		const limit = 8;
		const endpoints = new LimitedEndpoints({
			group, random, limit, perSecond: 100, endpointCount: 4,
		});
		const namedAt = group.now;
		endpoints.nameLimit();
		endpoints.advance(4000);
		group.cutZones.add('zone-0');
		endpoints.advance(8000);
		group.cutZones.add('zone-1');
		endpoints.advance(4000);
		group.cutZones.clear();
		endpoints.advance(8000);
		assertBound(t, endpoints, limit, namedAt + contactMs);
	});
}

for (const limit of [4, 40]) {
	// Guards against instances that each give the whole limit because they hear no other one.
	test(`instances that start while all seeds are down together keep to a limit of ${limit} a second, and use half of it`, t => {
		const random = createRandom();
		const group = MembershipGroup.create(7, 4, random);
		const started = [...group.members.values()].map(({host, availabilityZone}) => ({host, availabilityZone}));
		for (const {host} of started) {
			group.kill(host);
		}

		for (const {host, availabilityZone} of started.slice(3)) {
			group.start(host, availabilityZone);
		}

		group.advance(20_000);
		const endpoints = new LimitedEndpoints({
			group, random, limit, perSecond: 100,
		});
		const namedAt = group.now;
		endpoints.nameLimit();
		endpoints.advance(20_000);
		assertBound(t, endpoints, limit, namedAt + contactMs);
		assertUse(t, endpoints, limit, {from: namedAt + contactMs, until: group.now, ratio: 0.5});
	});
}

test('a limit that ends is used no longer, and a lower one holds at once', t => {
	const random = createRandom();
	const group = MembershipGroup.create(7, 4, random);
	group.advance(6000);
	const start = endpointNumber(0);
	const [first] = [...group.members.values()];
	first!.statements.record(start, {isLeaving: false, requestsPerSecond: 4, unreadable: {}}, group.now);
	group.advance(300);
	t.true([...group.members.values()].every(({statements}) => statements.findLimit(start)?.perSecond === 4));
	first!.statements.record(start, {isLeaving: false, requestsPerSecond: 2, unreadable: {}}, group.now);
	group.advance(300);
	t.true([...group.members.values()].every(({statements}) => statements.findLimit(start)?.perSecond === 2));
	group.advance(1000);
	first!.statements.record(start, {isLeaving: false, unreadable: {}}, group.now);
	group.advance(300);
	t.true([...group.members.values()].every(({statements}) => statements.findLimit(start) === undefined));
});
