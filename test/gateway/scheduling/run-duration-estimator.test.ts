import test from 'ava';
import {RunDurationEstimator} from '../../../src/gateway/scheduling/run-duration-estimator.js';

function expectedAfter(durations: readonly number[]): number {
	const estimator = RunDurationEstimator.create();
	for (const duration of durations) {
		estimator.recordRun(duration);
	}

	return estimator.expectedMs;
}

test('nothing is expected of a service that has completed no run', t => {
	t.is(expectedAfter([]), 0);
});

// Guards against requests that a stopping process refuses from the beginning, because a single run of their service was not short.
test('after one run, the next one is not expected to take twice as long', t => {
	t.true(expectedAfter([3000]) <= 4500);
});

test('the expected duration of equal runs approaches their duration', t => {
	const expectedMs = expectedAfter(Array.from({length: 50}, () => 2000));
	t.true(expectedMs >= 2000);
	t.true(expectedMs < 2010);
});

test('most of varied runs stay below the expected duration', t => {
	const durations = Array.from({length: 400}, (_, index) => 200 + (((index * 7919) % 100) * 50));
	const estimator = RunDurationEstimator.create();
	let longer = 0;
	for (const duration of durations) {
		longer += duration > estimator.expectedMs ? 1 : 0;
		estimator.recordRun(duration);
	}

	t.true(longer < 0.1 * durations.length, `${longer} longer`);
});

test('the expected duration follows runs that become shorter', t => {
	const runs = (durationMs: number) => Array.from({length: 50}, () => durationMs);
	t.true(expectedAfter([...runs(6000), ...runs(100)]) < 500);
});
