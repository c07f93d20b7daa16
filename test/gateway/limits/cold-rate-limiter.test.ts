import test from 'ava';
import {ColdRateLimiter} from '../../../src/gateway/limits/cold-rate-limiter.js';
import {bounds} from '../../fixtures/gateway/documents.js';

const coldRequestsPerSecond = 23;
const platformBound = (coldRequestsPerSecond * bounds.coldRateFactor) + bounds.coldSlackPerSecond;

for (const count of [1, 2, 7, 69, 400]) {
	test(`the parts of ${count} instances sum up to less than the bound, and none is lost`, t => {
		const members = Array.from({length: count}, (_, index) => `10.0.${Math.floor(index / 250)}.${index % 250}`);
		let sum = 0;
		for (const ownHost of members) {
			sum += ColdRateLimiter.create({bounds, ownHost}).ownLimit('e1', coldRequestsPerSecond, members);
		}

		t.is(sum, Math.floor(0.7 * platformBound));
	});
}

test('counts requests to an endpoint within the window, also those before it turned cold', t => {
	const limits = ColdRateLimiter.create({bounds, ownHost: 'a'});
	limits.recordRequest('e1', 0);
	limits.recordRequest('e1', 100);
	t.false(limits.permits('e1', 2, 900));
	t.true(limits.permits('e1', 2, 1200));
	t.true(limits.permits('e2', 1, 900));
});
