import test from 'ava';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {WorkspaceQuotas} from '../../../src/gateway/limits/workspace-quotas.js';
import {bounds, createWorkspace} from '../../fixtures/gateway/documents.js';
import {testSeed} from '../../fixtures/seed.js';

const quota = {
	unit: 'tokens', perSecond: 100_000, burst: 100_000, defaultTokens: 200,
} as const;

const workspaces = [createWorkspace({quota})];

/** Maximum units in a window, by the platform's bound. */
const windowBound = (((quota.perSecond * bounds.quotaWindowMs / 1000) + quota.burst) * (1 + bounds.quotaOverageRatio)) + bounds.quotaSlackTokens;

test('a workspace without a quota is not limited', t => {
	const quotas = WorkspaceQuotas.create({bounds, now: 0});
	t.true(quotas.tryTake('unknown', 1e9, 0).isTaken);
});

test('a process starts with an empty bucket, so that a restart does not grant a second burst', t => {
	const quotas = WorkspaceQuotas.create({bounds, now: 0});
	quotas.configure(workspaces, 0);
	t.false(quotas.tryTake('wick', 1, 0).isTaken);
});

test('returns the time until the units are available', t => {
	const quotas = WorkspaceQuotas.create({bounds, now: 0});
	quotas.configure(workspaces, 0);
	quotas.estimatePeerUsage(20_000, true);
	let taken = quotas.tryTake('wick', 50_000, 20_000);
	while (taken.isTaken) {
		taken = quotas.tryTake('wick', 50_000, 20_000);
	}

	t.true(taken.waitMs > 0);
	t.true(quotas.tryTake('wick', 50_000, 20_000 + taken.waitMs).isTaken);
});

test('a request larger than the burst is admitted when the bucket is nearly full, and the next one only after the level has recovered', t => {
	const quotas = WorkspaceQuotas.create({bounds, now: 0});
	quotas.configure(workspaces, 0);
	quotas.estimatePeerUsage(20_000, true);
	t.true(quotas.tryTake('wick', 400_000, 20_000).isTaken);
	t.false(quotas.tryTake('wick', 1000, 21_000).isTaken);
});

test('a process that starts adopts the bucket level of a peer', t => {
	const old = WorkspaceQuotas.create({bounds, now: 0});
	old.configure(workspaces, 0);
	old.estimatePeerUsage(20_000, true);
	old.tryTake('wick', 10_000, 20_000);
	const restarted = WorkspaceQuotas.create({bounds, now: 20_000});
	restarted.configure(workspaces, 20_000);
	t.false(restarted.tryTake('wick', 50_000, 20_010).isTaken);
	restarted.applyPeerUsage({id: 'old', incarnation: 1, usage: old.usage(20_020)}, 20_020);
	t.true(restarted.tryTake('wick', 50_000, 20_020).isTaken);
});

test('the units of a request that did not run are refunded', t => {
	const quotas = WorkspaceQuotas.create({bounds, now: 0});
	quotas.configure(workspaces, 0);
	quotas.tryTake('wick', 1000, 1000);
	quotas.refund('wick', 1000);
	t.like(quotas.usage(0), [['wick', 0]]);
});

test('a lowered quota applies at once, and a removed quota is no limit', t => {
	const quotas = WorkspaceQuotas.create({bounds, now: 0});
	quotas.configure(workspaces, 0);
	quotas.estimatePeerUsage(20_000, true);
	t.true(quotas.tryTake('wick', 90_000, 20_000).isTaken);
	quotas.configure([createWorkspace({quota: {...quota, perSecond: 10, burst: 10}})], 30_000);
	t.true(quotas.tryTake('wick', 25_000, 30_000).isTaken);
	t.false(quotas.tryTake('wick', 25_000, 30_000).isTaken);
	quotas.configure([createWorkspace()], 20_000);
	t.true(quotas.tryTake('wick', 1e9, 20_000).isTaken);
});

test('the units of a restarted peer count from zero, and those from before it was known do not count', t => {
	const quotas = WorkspaceQuotas.create({bounds, now: 0});
	quotas.configure(workspaces, 0);
	quotas.applyPeerUsage({id: 'b', incarnation: 1, usage: [['wick', 1e9, 0]]}, 10_000);
	t.true(quotas.tryTake('wick', 50_000, 10_000).isTaken);
	quotas.applyPeerUsage({id: 'b', incarnation: 2, usage: [['wick', 5_000_000, 0]]}, 10_100);
	t.false(quotas.tryTake('wick', 50_000, 10_100).isTaken);
});

type Member = {quotas: WorkspaceQuotas; incarnation: number; isPartitioned: boolean; isDown: boolean};

type TimedUnits = {readonly at: number; readonly units: number};

function maximumInWindow(uses: readonly TimedUnits[]): number {
	let maximum = 0;
	let sum = 0;
	let first = 0;
	for (const {at, units} of uses) {
		sum += units;
		while (uses[first]!.at <= at - bounds.quotaWindowMs) {
			sum -= uses[first]!.units;
			first++;
		}

		maximum = Math.max(maximum, sum);
	}

	return maximum;
}

/** Instances that ask for far more than the quota, with network partitions, outages and restarts of all. */
class QuotaGroup {
	static create(seed: number, size: number): QuotaGroup {
		return new QuotaGroup(seed, size);
	}

	readonly uses: TimedUnits[] = [];
	readonly #random;
	readonly #members: Member[];

	private constructor(seed: number, size: number) {
		this.#random = xoroshiro128plus(seed);
		this.#members = Array.from({length: size}, () => this.#start(0));
	}

	simulate(durationMs: number): void {
		const stepMs = 50;
		for (let now = 0; now < durationMs; now += stepMs) {
			if (now % 5000 === 0 && now > 0) {
				this.#injectFault(now);
			}

			for (const member of this.#members) {
				this.#request(member, now);
			}

			if (now % 100 === 0) {
				this.#sendHeartbeats(now);
			}
		}
	}

	#randomUpTo(maximum: number): number {
		return uniformInt(this.#random, 0, maximum);
	}

	#start(now: number): Member {
		const quotas = WorkspaceQuotas.create({bounds, now});
		quotas.configure(workspaces, now);
		return {
			quotas, incarnation: this.#randomUpTo(1_000_000_000), isPartitioned: false, isDown: false,
		};
	}

	#injectFault(now: number): void {
		const inject = [
			(index: number) => {
				this.#members[index]!.isPartitioned = this.#randomUpTo(2) === 0;
			},
			(index: number) => {
				this.#members[index] = this.#start(now);
			},
			(index: number) => {
				this.#members[index]!.isDown = this.#randomUpTo(3) === 0;
			},
			(index: number) => {
				this.#members[index]!.isPartitioned = false;
				this.#members[index]!.isDown = false;
			},
		][this.#randomUpTo(3)]!;
		for (const index of this.#members.keys()) {
			inject(index);
		}
	}

	#request({quotas, isDown}: Member, now: number): void {
		if (isDown) {
			return;
		}

		quotas.estimatePeerUsage(now, true);
		for (let request = 0; request < 4; request++) {
			const units = 500 + this.#randomUpTo(8000);
			if (quotas.tryTake('wick', units, now).isTaken) {
				this.uses.push({at: now, units});
			}
		}
	}

	#sendHeartbeats(now: number): void {
		const reachable = this.#members.filter(({isDown, isPartitioned}) => !isDown && !isPartitioned);
		for (const [index, sender] of this.#members.entries()) {
			for (const receiver of reachable.includes(sender) ? reachable : []) {
				if (receiver !== sender) {
					receiver.quotas.applyPeerUsage({id: String(index), incarnation: sender.incarnation, usage: sender.quotas.usage(now)}, now);
				}
			}
		}
	}
}

test('a group with partitions, outages and restarts keeps the bound in every window', t => {
	const seed = testSeed();
	t.log(`seed ${seed}`);
	for (let run = 0; run < 12; run++) {
		const group = QuotaGroup.create(seed + run, 7);
		group.simulate(60_000);
		const maximum = maximumInWindow(group.uses);
		t.true(maximum <= windowBound, `seed ${seed + run}: ${maximum} units in a window, bound ${windowBound}`);
	}
});

test('a group without faults grants at least nine tenths of the quota', t => {
	const quotas = [0, 1, 2].map(() => {
		const member = WorkspaceQuotas.create({bounds, now: 0});
		member.configure(workspaces, 0);
		return member;
	});
	let units = 0;
	for (let now = 0; now < 20_000; now += 50) {
		for (const [index, member] of quotas.entries()) {
			member.estimatePeerUsage(now, true);
			if (member.tryTake('wick', 4000, now).isTaken) {
				units += 4000;
			}

			for (const other of quotas) {
				if (other !== member) {
					other.applyPeerUsage({id: String(index), incarnation: 1, usage: member.usage(now)}, now);
				}
			}
		}
	}

	t.true(units >= 0.9 * 20 * quota.perSecond, `${units}`);
});
