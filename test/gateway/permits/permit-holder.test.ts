import test from 'ava';
import {PermitHolder} from '../../../src/gateway/permits/permit-holder.js';

const start = {id: 'engine-1', startedAt: 1} as const;
const waitMs = 300;

test('a grant gives as many requests as it says', t => {
	const holder = PermitHolder.create();
	const sequence = holder.open(start, waitMs, 0)!;
	t.true(holder.receive({start, sequence, count: 2}, waitMs, 10));
	t.deepEqual([1, 2, 3].map(() => holder.take(start, 20)), [true, true, false]);
	t.false(holder.has({...start, startedAt: 2}, 20));
});

// Guards against an instance that was busy or frozen and sends much later what it was permitted to send then.
test('a permit ends a fixed time after its request, however late the grant is read', t => {
	const holder = PermitHolder.create();
	const sequence = holder.open(start, waitMs, 0)!;
	t.false(holder.receive({start, sequence, count: 1}, waitMs, 5000));
	const second = holder.open(start, waitMs, 6000)!;
	t.true(holder.receive({start, sequence: second, count: 1}, waitMs, 6500));
	t.true(holder.has(start, 6590));
	t.false(holder.has(start, 6600));
});

test('a grant counts once, and only for a request that was made', t => {
	const holder = PermitHolder.create();
	const sequence = holder.open(start, waitMs, 0)!;
	t.false(holder.receive({start, sequence: sequence + 1, count: 1}, waitMs, 10));
	t.true(holder.receive({start, sequence, count: 1}, waitMs, 10));
	t.false(holder.receive({start, sequence, count: 1}, waitMs, 10));
});

test('a grant that crosses the repeated request still counts', t => {
	const holder = PermitHolder.create();
	const sequence = holder.open(start, waitMs, 0)!;
	t.is(holder.open(start, waitMs, 100), undefined);
	t.not(holder.open(start, waitMs, 340), undefined);
	t.true(holder.receive({start, sequence, count: 1}, waitMs, 350));
});

// Guards against requests for permits that grow with the number of endpoints.
test('requests for few endpoints wait at a time, and each endpoint has its turn', t => {
	const holder = PermitHolder.create();
	const starts = Array.from({length: 20}, (_, index) => ({id: `engine-${index}`, startedAt: 1}));
	const opened = new Map<string, number>();
	for (let now = 0; now < 2000; now += 10) {
		let waiting = 0;
		for (const each of starts) {
			if (holder.open(each, waitMs, now) !== undefined) {
				opened.set(each.id, (opened.get(each.id) ?? 0) + 1);
				waiting++;
			}
		}

		t.true(waiting <= 8);
	}

	t.is(opened.size, 20);
});

// Guards against a grant to an earlier process at this host that counts for a request of this one: an arbiter that was frozen answers late.
test('a grant for a request of an earlier process at the same host gives nothing', t => {
	const earlier = PermitHolder.create();
	const sequence = earlier.open(start, waitMs, 0)!;
	const later = PermitHolder.create();
	later.open(start, waitMs, 100);
	t.false(later.receive({start, sequence, count: 8}, waitMs, 110));
	t.false(later.has(start, 110));
});
