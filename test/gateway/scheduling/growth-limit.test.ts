import test from 'ava';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {GrowthLimit} from '../../../src/gateway/scheduling/growth-limit.js';
import {testSeed} from '../../fixtures/seed.js';

const members = 7;
const slots = 17;

/** Instances with endless demand at one endpoint; they see each other's requests 100 ms late. Returns the mean and the most requests under way. */
function play(seed: number, isLimited: boolean): {mean: number; most: number} {
	const random = xoroshiro128plus(seed);
	const draw = () => uniformFloat64(random);
	const limits = Array.from({length: members}, () => GrowthLimit.create());
	const ends: number[][] = Array.from({length: members}, () => []);
	const seen: number[] = Array.from({length: members}, () => 0);
	let sum = 0;
	let samples = 0;
	let most = 0;
	for (let now = 0; now < 30_000; now += 5) {
		for (const [index, own] of ends.entries()) {
			ends[index] = own.filter(end => end > now);
		}

		for (let turn = 0; turn < members; turn++) {
			const index = (turn + (now / 5)) % members;
			const own = ends[index]!;
			const total = () => own.length + seen.reduce((all, count, other) => all + (other === index ? 0 : count), 0);
			const mayStart = () => (isLimited
				? limits[index]!.mayStart({
					own: own.length, total: total(), slots, members,
				}, now, draw)
				: total() < slots);
			while (mayStart()) {
				own.push(now + 300 + (2000 * draw()));
			}
		}

		if (now % 100 === 0) {
			seen.splice(0, members, ...ends.map(own => own.length));
		}

		if (now > 2000) {
			const running = ends.reduce((all, own) => all + own.length, 0);
			sum += running;
			samples++;
			most = Math.max(most, running);
		}
	}

	return {mean: sum / samples, most};
}

test('instances that see the same free places do not overfill an endpoint, and leave few places empty', t => {
	const seed = testSeed();
	t.log(`seed ${seed}`);
	const unlimited = play(seed, false);
	const limited = play(seed, true);
	t.log(`without the limit ${JSON.stringify(unlimited)}, with it ${JSON.stringify(limited)}`);
	t.true(unlimited.most >= slots + 4, 'the play shows the fault that the limit is for');
	t.true(limited.most <= slots + 4);
	t.true(limited.mean >= 0.93 * slots && limited.mean <= slots + 0.5);
});

test('a single instance may fill all places at once', t => {
	const limit = GrowthLimit.create();
	t.true(limit.mayStart({
		own: 0, total: 0, slots, members: 1,
	}, 0, () => 0));
	t.true(limit.mayStart({
		own: 16, total: 16, slots, members: 1,
	}, 1, () => 0));
	t.false(limit.mayStart({
		own: 17, total: 17, slots, members: 1,
	}, 2, () => 0));
});

test('a place where an own request has ended may be filled again in the same window', t => {
	const limit = GrowthLimit.create();
	t.false(limit.mayStart({
		own: 3, total: 16, slots, members,
	}, 0, () => 0));
	t.true(limit.mayStart({
		own: 2, total: 16, slots, members,
	}, 10, () => 0));
});
