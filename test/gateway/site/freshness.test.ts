import test from 'ava';
import {Freshness} from '../../../src/gateway/site/freshness.js';

test('a request is forwarded only if it cannot have been sent later than the bound after an unknown key removal', t => {
	const bound = 5000;
	const freshness = Freshness.create(bound);
	const confirmedAt = 1000;
	// The earliest removal that the read may lack was acknowledged just after the read was sent.
	for (let arrivedAt = confirmedAt + bound; arrivedAt < confirmedAt + bound + 2000; arrivedAt += 50) {
		t.false(freshness.allowsForwarding(arrivedAt, confirmedAt));
	}

	t.true(freshness.allowsForwarding(5400, confirmedAt));
	t.false(freshness.allowsForwarding(5600, confirmedAt));
});

test('nothing is forwarded before the first read', t => {
	t.false(Freshness.create(5000).allowsForwarding(0, undefined));
	t.false(Freshness.create(5000).isReady(0, undefined));
});

test('the instance stops being ready before it must refuse requests', t => {
	const freshness = Freshness.create(5000);
	t.false(freshness.isReady(3100, 0));
	t.true(freshness.allowsForwarding(3100, 0));
});
