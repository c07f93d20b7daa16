import test from 'ava';
import {WaitingQueue} from '../../../src/gateway/scheduling/waiting-queue.js';
import {createWaitingRequest} from '../../fixtures/gateway/waiting-request.js';

test('requests that can be in time come by tier, the late ones after them by tier', t => {
	const line = WaitingQueue.create();
	const late = createWaitingRequest({tier: 0, targetAt: 100});
	const low = createWaitingRequest({tier: 2});
	const high = createWaitingRequest({tier: 0});
	const lateLow = createWaitingRequest({tier: 2, targetAt: 100});
	for (const request of [lateLow, late, low, high]) {
		line.add(request);
	}

	t.deepEqual(line.moveLate(60, 60), [lateLow, late].toSorted((a, b) => a.tier - b.tier).toReversed());
	t.deepEqual([...line.inOrder()], [high, low, late, lateLow]);
	t.true(line.isLate(late));
	t.false(line.isLate(low));
});

test('counts who comes before a request', t => {
	const line = WaitingQueue.create();
	for (const tier of [0, 1, 1, 2]) {
		line.add(createWaitingRequest({tier}));
	}

	t.is(line.onTimeAhead(1), 3);
	line.moveLate(1000, 0);
	t.is(line.onTimeAhead(2), 0);
	t.is(line.lateAhead(0), 1);
});

test('a request is removed once', t => {
	const line = WaitingQueue.create();
	const request = createWaitingRequest();
	line.add(request);
	t.true(line.remove(request));
	t.false(line.remove(request));
	t.is(line.size, 0);
});
