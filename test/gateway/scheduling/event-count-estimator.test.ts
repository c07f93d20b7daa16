import test from 'ava';
import {EventCountEstimator} from '../../../src/gateway/scheduling/event-count-estimator.js';

test('learns how many events follow for each announced token', t => {
	const lengths = EventCountEstimator.create();
	for (let stream = 0; stream < 300; stream++) {
		lengths.recordStream(100, stream % 2 === 0 ? 30 : 50);
	}

	t.true(Math.abs(lengths.estimate(100) - 40) < 1);
});

test('a request that announces nothing, or nothing yet, counts as one event', t => {
	const lengths = EventCountEstimator.create();
	lengths.recordStream(0, 7);
	t.is(lengths.estimate(undefined), 1);
	t.is(lengths.estimate(0), 1);
});
