import test from 'ava';
import {ColdRateLimiter} from '../../../src/gateway/limits/cold-rate-limiter.js';
import {bounds} from '../../fixtures/gateway/documents.js';

const coldRequestsPerSecond = 23;
const platformBound = (coldRequestsPerSecond * bounds.coldRateFactor) + bounds.coldSlackPerSecond;

for (const count of [1, 2, 7, 69, 400]) {
	test(`the limits of ${count} instances sum up to the used fraction of the bound`, t => {
		const members = Array.from({length: count}, (_, index) => `10.0.${Math.floor(index / 250)}.${index % 250}`);
		let sum = 0;
		for (const ownHost of members) {
			sum += ColdRateLimiter.create({bounds, ownHost}).ownLimit('e1', coldRequestsPerSecond, members);
		}

		t.is(sum, Math.floor(0.7 * platformBound));
	});
}

test('counts requests to an endpoint within the window, including those before it turned cold', t => {
	const limiter = ColdRateLimiter.create({bounds, ownHost: 'a'});
	limiter.recordRequest('e1', 0);
	limiter.recordRequest('e1', 100);
	t.false(limiter.permits('e1', 2, 900));
	t.true(limiter.permits('e1', 2, 1200));
	t.true(limiter.permits('e2', 1, 900));
});

test('the limit is divided among more instances than the members when there may be more', t => {
	const limiter = ColdRateLimiter.create({bounds, ownHost: 'a'});
	t.is(limiter.ownLimit('e1', coldRequestsPerSecond, ['a', 'b'], 7), 3);
	t.is(limiter.ownLimit('e1', coldRequestsPerSecond, ['a'], 54), 0.25);
	t.is(limiter.ownLimit('e1', 0, ['a'], 400), 0.003_75);
});

for (const count of [4, 63, 400]) {
	// Guards against instances that start together and use their fractions of a request at the same time.
	test(`${count} instances that each have a fraction of a request keep the bound of an endpoint, and use their fractions`, t => {
		const limiters = Array.from({length: count}, (_, index) => ColdRateLimiter.create({bounds, ownHost: `10.0.${Math.floor(index / 250)}.${index % 250}`}));
		const times: number[] = [];
		for (let now = 0; now < 60_000; now += 10) {
			for (const limiter of limiters) {
				const limit = limiter.ownLimit('e1', coldRequestsPerSecond, ['one'], 400);
				if (limiter.permits('e1', limit, now)) {
					limiter.recordRequest('e1', now);
					times.push(now);
				}
			}
		}

		const most = Math.max(...times.map(time => times.filter(other => other >= time && other < time + 1000).length));
		t.log(`${times.length} requests in a minute, ${most} in one second`);
		t.true(most <= platformBound);
		t.true(times.length >= count);
	});
}
