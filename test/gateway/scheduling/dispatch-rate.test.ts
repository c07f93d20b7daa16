import test from 'ava';
import {lateRank, DispatchRate} from '../../../src/gateway/scheduling/dispatch-rate.js';

function createRate(ranks: readonly number[]): DispatchRate {
	const rate = DispatchRate.create();
	rate.recordQueueState(false, 0);
	for (const [index, rank] of ranks.entries()) {
		rate.recordDispatch(rank, index * 100);
	}

	return rate;
}

test('gives no estimate until requests have waited for a while', t => {
	const rate = DispatchRate.create();
	t.is(rate.expectedWaitMs(0, 5, 0), undefined);
	rate.recordQueueState(false, 0);
	t.is(rate.expectedWaitMs(0, 5, 100), undefined);
	rate.recordQueueState(true, 200);
	t.is(rate.expectedWaitMs(0, 5, 5000), undefined);
});

test('dispatches of higher tiers do not count', t => {
	const rate = createRate([0, 0, 1, 0, 1, 0, 0, 0, 0, 0]);
	t.is(rate.expectedWaitMs(0, 9, 1000), 1000);
	t.is(rate.expectedWaitMs(1, 1, 1000), 1000);
	t.is(rate.expectedWaitMs(2, 0, 1000), Infinity);
	t.is(rate.expectedWaitMs(lateRank, 0, 1000), Infinity);
});

test('dispatches before the window do not count', t => {
	const rate = createRate([0, 0, 0, 0]);
	t.is(rate.expectedWaitMs(0, 0, 5000), Infinity);
});
