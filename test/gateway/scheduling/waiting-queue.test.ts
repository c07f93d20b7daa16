import test from 'ava';
import {WaitingQueue} from '../../../src/gateway/scheduling/waiting-queue.js';
import {createWaitingRequest} from '../../fixtures/gateway/waiting-request.js';

test('on-time requests come by tier, followed by late ones by tier', t => {
	const queue = WaitingQueue.create();
	const late = createWaitingRequest({tier: 0, targetAt: 100});
	const low = createWaitingRequest({tier: 2});
	const high = createWaitingRequest({tier: 0});
	const lateLow = createWaitingRequest({tier: 2, targetAt: 100});
	for (const request of [lateLow, late, low, high]) {
		queue.add(request);
	}

	t.deepEqual(queue.moveLate(60, 60), [lateLow, late].toSorted((a, b) => a.tier - b.tier).toReversed());
	t.deepEqual([...queue.inOrder()], [high, low, late, lateLow]);
	t.true(queue.isLate(late));
	t.false(queue.isLate(low));
});

test('counts the requests that come before another', t => {
	const queue = WaitingQueue.create();
	for (const tier of [0, 1, 1, 2]) {
		queue.add(createWaitingRequest({tier}));
	}

	t.is(queue.onTimeAhead(1), 3);
	queue.moveLate(1000, 0);
	t.is(queue.onTimeAhead(2), 0);
	t.is(queue.lateAhead(0), 1);
});

test('a request can be removed only once', t => {
	const queue = WaitingQueue.create();
	const request = createWaitingRequest();
	queue.add(request);
	t.true(queue.remove(request));
	t.false(queue.remove(request));
	t.is(queue.size, 0);
});
