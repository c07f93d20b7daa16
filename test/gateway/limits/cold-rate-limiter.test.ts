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
