import test from 'ava';
import {TierQueue} from '../../../src/entry/queue/tier-queue.js';
import type {WaitingItem} from '../../../src/entry/queue/types.js';
import {Invariants} from '../../../src/shared/invariants.js';
import {ManualClock} from '../../fixtures/manual-clock.js';
import {waitingItem} from '../../fixtures/waiting-item.js';

function createQueue(capacity = 100, clock = ManualClock.create()): TierQueue {
	return TierQueue.create({clock, invariants: Invariants.create('throw'), capacity});
}

function ids(items: Iterable<WaitingItem>): string[] {
	return Array.from(items, ({id}) => id);
}

function countsOf(waitingByTier: Readonly<Record<number, number>>): Array<[number, number]> {
	return Object.entries(waitingByTier).map(([rank, count]) => [Number(rank), count]);
}

/** Serves all items in dispatch order and returns their ids. */
function serveAll(queue: TierQueue, service = 'assistant'): string[] {
	const served: string[] = [];
	for (let [item] = queue.inOrder(service); item !== undefined; [item] = queue.inOrder(service)) {
		queue.markServed(item);
		served.push(item.id);
	}

	return served;
}

// Guards against dispatching a lower tier while a higher one is waiting.
test('higher tiers are dispatched first', t => {
	const queue = createQueue();
	queue.enqueue(waitingItem('low', {tierRank: 2}));
	queue.enqueue(waitingItem('high', {tierRank: 0}));
	queue.enqueue(waitingItem('middle', {tierRank: 1}));
	t.deepEqual(ids(queue.inOrder('assistant')), ['high', 'middle', 'low']);
	t.deepEqual(ids(queue.inOrder()), ['high', 'middle', 'low']);
});

// Guards against a large workspace that starves a small one.
test('workspaces of a tier share by tokens', t => {
	const queue = createQueue();
	for (const index of [1, 2, 3, 4]) {
		queue.enqueue(waitingItem(`large-${index}`, {workspace: 'large', tokens: 20}));
	}

	for (const index of [1, 2, 3, 4]) {
		queue.enqueue(waitingItem(`small-${index}`, {workspace: 'small', tokens: 10}));
	}

	const expected = ['large-1', 'small-1', 'small-2', 'large-2', 'small-3', 'small-4', 'large-3', 'large-4'];
	t.deepEqual(ids(queue.inOrder('assistant')), expected);
	t.deepEqual(serveAll(queue), expected);
});

// Guards against weights that have no effect or the opposite effect.
test('a workspace with twice the weight gets twice the tokens', t => {
	const queue = createQueue();
	for (let index = 0; index < 30; index++) {
		queue.enqueue(waitingItem(`heavy-${index}`, {workspace: 'heavy', weight: 2}));
		queue.enqueue(waitingItem(`light-${index}`, {workspace: 'light', weight: 1}));
	}

	const first = ids(queue.inOrder('assistant')).slice(0, 30);
	t.is(first.filter(id => id.startsWith('heavy')).length, 20);
});

// Guards against a workspace that accumulates credit while it is idle and then blocks the others.
test('an idle workspace accumulates no credit', t => {
	const queue = createQueue();
	for (let index = 0; index < 20; index++) {
		queue.enqueue(waitingItem(`busy-${index}`, {workspace: 'busy'}));
	}

	for (let index = 0; index < 10; index++) {
		const [item] = queue.inOrder('assistant');
		queue.markServed(item!);
	}

	for (let index = 0; index < 4; index++) {
		queue.enqueue(waitingItem(`idle-${index}`, {workspace: 'idle'}));
	}

	t.deepEqual(serveAll(queue).slice(0, 6).map(id => id.slice(0, 4)), ['idle', 'busy', 'idle', 'busy', 'idle', 'busy']);
});

// Guards against a workspace that is charged for requests that were served while no other workspace was waiting.
test('requests served without contention are not charged later', t => {
	const queue = createQueue();
	for (let index = 0; index < 10; index++) {
		const item = waitingItem(`alone-${index}`, {workspace: 'alone'});
		queue.enqueue(item);
		queue.markServed(item);
	}

	queue.enqueue(waitingItem('alone', {workspace: 'alone'}));
	queue.enqueue(waitingItem('other-1', {workspace: 'other'}));
	queue.enqueue(waitingItem('other-2', {workspace: 'other'}));
	t.deepEqual(serveAll(queue), ['alone', 'other-1', 'other-2']);
});

// Guards against a peer's borrow request that takes capacity from a caller's request, or that is shed.
test('borrow items are ordered by tier but do not count towards the capacity', t => {
	const queue = createQueue(1);
	queue.enqueue(waitingItem('request', {tierRank: 1}));
	t.deepEqual(queue.enqueue(waitingItem('borrow', {kind: 'borrow', endpoint: 'engine-1', tierRank: 0})), {kind: 'admitted'});
	t.deepEqual(queue.enqueue(waitingItem('late-borrow', {kind: 'borrow', endpoint: 'engine-1', tierRank: 2})), {kind: 'admitted'});
	t.deepEqual(ids(queue.inOrder('assistant')), ['borrow', 'request', 'late-borrow']);
	t.deepEqual(countsOf(queue.waitingByTier()), [[1, 1]]);
	t.is(queue.waitingCountOf('north'), 1);
	t.is(queue.displaceLowest({service: 'assistant', belowRank: 1}), undefined);
});

// Guards against the loss of a higher tier's request while a lower tier's request stays in the queue.
test('a full queue evicts a request of the lowest tier if it is below the tier of the new item', t => {
	const queue = createQueue(3);
	queue.enqueue(waitingItem('middle', {tierRank: 1}));
	queue.enqueue(waitingItem('low-1', {tierRank: 2}));
	queue.enqueue(waitingItem('low-2', {tierRank: 2}));
	t.like(queue.enqueue(waitingItem('high', {tierRank: 0})), {kind: 'admitted', evicted: {id: 'low-2'}});
	t.like(queue.enqueue(waitingItem('middle-2', {tierRank: 1})), {kind: 'admitted', evicted: {id: 'low-1'}});
	t.deepEqual(queue.enqueue(waitingItem('middle-3', {tierRank: 1})), {kind: 'full', displaceBelowRank: 1});
	t.deepEqual(ids(queue.inOrder()), ['high', 'middle', 'middle-2']);
});

// Guards against the eviction of a request that does not compete with the new one.
test('requests for another service are not evicted', t => {
	const queue = createQueue(1);
	queue.enqueue(waitingItem('diary', {service: 'diary', tierRank: 4}));
	t.is(queue.enqueue(waitingItem('draft', {tierRank: 0})).kind, 'full');
});

// Guards against the eviction of a small workspace's only request instead of a large workspace's last one.
test('within the lowest tier, the request that would be dispatched last is evicted', t => {
	const queue = createQueue(4);
	queue.enqueue(waitingItem('large-1', {workspace: 'large', tierRank: 1}));
	queue.enqueue(waitingItem('large-2', {workspace: 'large', tierRank: 1}));
	queue.enqueue(waitingItem('large-3', {workspace: 'large', tierRank: 1}));
	queue.enqueue(waitingItem('small-1', {workspace: 'small', tierRank: 1}));
	t.like(queue.enqueue(waitingItem('high')), {evicted: {id: 'large-3'}});
});

// Guards against a request that is shed although a peer has shed a lower tier for it, and against a queue that is unbounded for other requests.
test('an item for which a peer shed a request is admitted even if the queue is full', t => {
	const queue = createQueue(1);
	queue.enqueue(waitingItem('first'));
	t.is(queue.enqueue(waitingItem('second'), {mayExceedCapacity: true}).kind, 'admitted');
	t.is(queue.enqueue(waitingItem('third'), {mayExceedCapacity: true}).kind, 'admitted');
	t.is(queue.enqueue(waitingItem('fourth')).kind, 'full');
});

// Guards against a peer that sheds a request of the same or a higher tier than the one that displaces it.
test('only requests below the given tier are displaced', t => {
	const queue = createQueue();
	queue.enqueue(waitingItem('middle', {tierRank: 1}));
	queue.enqueue(waitingItem('low', {tierRank: 2}));
	queue.enqueue(waitingItem('other', {tierRank: 3, service: 'diary'}));
	t.is(queue.displaceLowest({service: 'assistant', belowRank: 0})!.id, 'low');
	t.is(queue.displaceLowest({service: 'assistant', belowRank: 1}), undefined);
	t.is(queue.displaceLowest({service: 'assistant', belowRank: 0})!.id, 'middle');
	t.is(queue.displaceLowest({service: 'assistant', belowRank: 0}), undefined);
	t.is(queue.size, 1);
});

// Guards against requests that wait longer than their queue timeout, and against removed requests that expire too.
test('items expire at their deadline, earliest first', t => {
	const clock = ManualClock.create();
	const queue = createQueue(10, clock);
	queue.enqueue(waitingItem('later', {deadlineAt: 200}));
	queue.enqueue(waitingItem('removed', {deadlineAt: 50}));
	queue.enqueue(waitingItem('sooner', {deadlineAt: 100}));
	queue.remove('removed');
	clock.advance(99);
	t.deepEqual(queue.expire(), []);
	clock.advance(1);
	t.deepEqual(ids(queue.expire()), ['sooner']);
	clock.advance(500);
	t.deepEqual(ids(queue.expire()), ['later']);
	t.is(queue.size, 0);
});

// Guards against an iteration that repeats items, skips items or ends early when the scheduler dispatches during it.
test('items may be served, removed or added during the iteration', t => {
	const queue = createQueue();
	for (let index = 0; index < 6; index++) {
		queue.enqueue(waitingItem(`item-${index}`, {workspace: index % 2 === 0 ? 'even' : 'odd'}));
	}

	const seen: string[] = [];
	for (const item of queue.inOrder('assistant')) {
		seen.push(item.id);
		if (item.id === 'item-0') {
			queue.markServed(item);
			queue.remove('item-2');
			queue.enqueue(waitingItem('new', {workspace: 'new'}));
		} else {
			queue.remove(item.id);
		}
	}

	t.deepEqual(seen.filter(id => id !== 'new').toSorted(), ['item-0', 'item-1', 'item-3', 'item-4', 'item-5']);
	t.deepEqual(ids(queue.inOrder()).filter(id => id !== 'new'), []);
});

// Guards against a request that loses its position because its endpoint could not be reached.
test('an item that returns gets its previous position', t => {
	const queue = createQueue();
	queue.enqueue(waitingItem('first', {enqueuedAt: 1}));
	queue.enqueue(waitingItem('second', {enqueuedAt: 2}));
	const first = queue.remove('first')!;
	queue.enqueue(first);
	t.deepEqual(ids(queue.inOrder('assistant')), ['first', 'second']);
});

// Guards against wrong counts per workspace, with which the limit rejects all requests or none.
test('waiting requests are counted by workspace and tier', t => {
	const queue = createQueue();
	queue.enqueue(waitingItem('a', {workspace: 'north', tierRank: 0}));
	queue.enqueue(waitingItem('b', {workspace: 'north', tierRank: 1, service: 'diary'}));
	queue.enqueue(waitingItem('c', {workspace: 'south', tierRank: 1}));
	t.is(queue.waitingCountOf('north'), 2);
	t.deepEqual(countsOf(queue.waitingByTier()), [[0, 1], [1, 2]]);
	t.deepEqual(countsOf(queue.waitingByTier('assistant')), [[0, 1], [1, 1]]);
	queue.remove('a');
	queue.remove('a');
	t.is(queue.waitingCountOf('north'), 1);
	t.deepEqual(countsOf(queue.waitingByTier('assistant')), [[1, 1]]);
});

// Guards against an item that is added twice and dispatched twice.
test('an id can be in the queue only once, and a weight must be positive', t => {
	const queue = createQueue();
	queue.enqueue(waitingItem('same'));
	t.throws(() => queue.enqueue(waitingItem('same')), {instanceOf: RangeError});
	t.throws(() => queue.enqueue(waitingItem('weightless', {weight: 0})), {instanceOf: RangeError});
	t.is(queue.size, 1);
});

// Guards against services of one tier that starve each other in the order over all services.
test('without a service, the services of a tier are merged by arrival', t => {
	const queue = createQueue();
	queue.enqueue(waitingItem('draft-1'));
	queue.enqueue(waitingItem('booking-1', {service: 'diary'}));
	queue.enqueue(waitingItem('draft-2'));
	queue.enqueue(waitingItem('urgent-booking', {service: 'diary', tierRank: 0, workspace: 'south'}));
	t.deepEqual(ids(queue.inOrder()), ['draft-1', 'booking-1', 'draft-2', 'urgent-booking']);
});
