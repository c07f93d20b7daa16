import test from 'ava';
import {Backoff} from '../../../src/entry/platform/backoff.js';

// Guards against entries that overload a service that has just recovered: it handles about 2,000 reads a second.
test('waits double up to the maximum and start again at the initial wait after a reset', t => {
	const backoff = Backoff.create({random: () => 1});
	t.deepEqual(Array.from({length: 7}, () => backoff.next()), [200, 400, 800, 1600, 3200, 5000, 5000]);
	t.is(backoff.failures, 7);
	backoff.reset();
	t.is(backoff.next(), 200);
});

test('jitter shortens a wait by at most half', t => {
	t.is(Backoff.create({random: () => 0}).next(), 100);
});
