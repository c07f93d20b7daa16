import test from 'ava';
import {EventCountEstimator} from '../../../src/gateway/scheduling/event-count-estimator.js';

test('estimates events by the average ratio of events to expected tokens', t => {
	const estimator = EventCountEstimator.create();
	for (let stream = 0; stream < 300; stream++) {
		estimator.recordStream(100, stream % 2 === 0 ? 30 : 50);
	}

	t.true(Math.abs(estimator.estimate(100) - 40) < 1);
});

test('a request that expects no tokens, or gives no estimate, counts as one event', t => {
	const estimator = EventCountEstimator.create();
	estimator.recordStream(0, 7);
	t.is(estimator.estimate(undefined), 1);
	t.is(estimator.estimate(0), 1);
});
