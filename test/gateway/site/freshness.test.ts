import test from 'ava';
import {Freshness} from '../../../src/gateway/site/freshness.js';

test('a request may run only if it could not be sent later than the bound after an unknown removal', t => {
	const bound = 5000;
	const freshness = Freshness.create(bound);
	const confirmedAt = 1000;
	// The earliest removal that the reading may lack was acknowledged just after it was sent.
	for (let arrivedAt = confirmedAt + bound; arrivedAt < confirmedAt + bound + 2000; arrivedAt += 50) {
		t.false(freshness.allowsForwarding(arrivedAt, confirmedAt));
	}

	t.true(freshness.allowsForwarding(5400, confirmedAt));
	t.false(freshness.allowsForwarding(5600, confirmedAt));
});

test('nothing may run before the first reading', t => {
	t.false(Freshness.create(5000).allowsForwarding(0, undefined));
	t.false(Freshness.create(5000).isReady(0, undefined));
});

test('callers are sent elsewhere before requests must be refused', t => {
	const freshness = Freshness.create(5000);
	t.false(freshness.isReady(3100, 0));
	t.true(freshness.allowsForwarding(3100, 0));
});
