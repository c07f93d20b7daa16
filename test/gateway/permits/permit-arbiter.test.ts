import test from 'ava';
import {PermitArbiter} from '../../../src/gateway/permits/permit-arbiter.js';
import type {PermitRequest} from '../../../src/gateway/permits/types.js';

const start = {id: 'engine-1', startedAt: 1} as const;

function createArbiter(values: {limit?: number; presentRatio?: number} = {}) {
	const state = {
		limit: 4 as number | undefined, presentRatio: 1, isArbiter: true, ...values,
	};
	const arbiter = PermitArbiter.create({
		findLimit: () => state.limit,
		isArbiterOf: () => state.isArbiter,
		presentRatio: () => state.presentRatio,
		waitMs: () => 400,
	});
	return {arbiter, state};
}

function request(sequence: number, count = 1): PermitRequest {
	return {
		start, sequence, count, limit: {perSecond: 4, heardBy: '10.0.0.1', heardAt: 0},
	};
}

// Guards against twice the limit when an instance takes over from one that has given permits a moment before.
test('an arbiter begins without permits', t => {
	const {arbiter} = createArbiter();
	t.deepEqual(arbiter.receive(request(1), 'a', 0), []);
	t.deepEqual(arbiter.tick(200), []);
	t.deepEqual(arbiter.tick(250), [{host: 'a', grant: {start, sequence: 1, count: 1}}]);
});

// Guards against permits that are lost because they are due to another instance than the one that asks.
test('permits that are due when a request arrives go to the instances that came before', t => {
	const {arbiter} = createArbiter();
	arbiter.receive(request(1), 'a', 0);
	t.deepEqual(arbiter.receive(request(7), 'b', 260), [{host: 'a', grant: {start, sequence: 1, count: 1}}]);
	t.deepEqual(arbiter.tick(510).map(({host}) => host), ['b']);
});

test('a repeated request keeps its place, and one that is not repeated is forgotten', t => {
	const {arbiter} = createArbiter({limit: 1});
	arbiter.receive(request(1), 'a', 0);
	arbiter.receive(request(1), 'b', 10);
	arbiter.receive(request(2), 'a', 350);
	arbiter.receive(request(2), 'c', 360);
	arbiter.receive(request(3), 'a', 700);
	t.deepEqual(arbiter.tick(1000), [{host: 'a', grant: {start, sequence: 3, count: 1}}]);
});

test('unused permits accrue for a quarter of a second beyond the first one', t => {
	const {arbiter} = createArbiter({limit: 40});
	arbiter.receive(request(1), 'a', 0);
	t.is(arbiter.tick(100).length, 1);
	arbiter.tick(60_000);
	t.like(arbiter.receive(request(1, 32), 'a', 60_000)[0], {grant: {count: 11}});
});

test('a part of a fleet gives its share of the limit', t => {
	const {arbiter} = createArbiter({limit: 10, presentRatio: 1 / 6});
	arbiter.receive(request(1), 'a', 0);
	t.deepEqual(arbiter.tick(490), []);
	arbiter.receive(request(2), 'a', 300);
	t.is(arbiter.tick(510).length, 1);
});

test('an endpoint that takes no requests gets one now and then, to find out whether it still does not', t => {
	const {arbiter} = createArbiter({limit: 0});
	t.deepEqual(arbiter.receive(request(1), 'a', 0), []);
	t.deepEqual(arbiter.receive(request(2), 'a', 3900), []);
	t.is(arbiter.tick(4000).length, 1);
});

test('an instance that is not the arbiter of an endpoint gives nothing and keeps nothing', t => {
	const {arbiter, state} = createArbiter();
	arbiter.receive(request(1), 'b', 0);
	state.isArbiter = false;
	t.deepEqual(arbiter.receive(request(1), 'a', 1000), []);
	arbiter.tick(1000);
	state.isArbiter = true;
	t.deepEqual(arbiter.receive(request(2), 'a', 2000), []);
});

test('who still takes an endpoint for limited gets permission when the limit has ended', t => {
	const {arbiter, state} = createArbiter();
	state.limit = undefined;
	t.is(arbiter.receive(request(1, 3), 'a', 0)[0]?.grant.count, 3);
});
