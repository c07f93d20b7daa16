import test from 'ava';
import {lateRank, StartRate} from '../../../src/gateway/scheduling/start-rate.js';

function createRate(ranks: readonly number[]): StartRate {
	const rate = StartRate.create();
	rate.noteLine(false, 0);
	for (const [index, rank] of ranks.entries()) {
		rate.noteStart(rank, index * 100);
	}

	return rate;
}

test('tells nothing before requests have waited for a while', t => {
	const rate = StartRate.create();
	t.is(rate.expectedWait(0, 5, 0), undefined);
	rate.noteLine(false, 0);
	t.is(rate.expectedWait(0, 5, 100), undefined);
	rate.noteLine(true, 200);
	t.is(rate.expectedWait(0, 5, 5000), undefined);
});

test('places that go to higher tiers do not count', t => {
	const rate = createRate([0, 0, 1, 0, 1, 0, 0, 0, 0, 0]);
	t.is(rate.expectedWait(0, 9, 1000), 1000);
	t.is(rate.expectedWait(1, 1, 1000), 1000);
	t.is(rate.expectedWait(2, 0, 1000), Infinity);
	t.is(rate.expectedWait(lateRank, 0, 1000), Infinity);
});

test('starts of long ago are forgotten', t => {
	const rate = createRate([0, 0, 0, 0]);
	t.is(rate.expectedWait(0, 0, 5000), Infinity);
});
