import test from 'ava';
import {SuddenSlowdownDetector} from '../../../src/entry/observability/sudden-slowdown-detector.js';

const baselineTimeConstantMs = 600_000;

function createWithBaseline(meanMs: number): SuddenSlowdownDetector {
	const detector = SuddenSlowdownDetector.create(baselineTimeConstantMs);
	for (let index = 0; index < 30; index++) {
		detector.observe(Math.log(meanMs * (index % 2 === 0 ? 0.7 : 1.4)), index * 1000);
	}

	return detector;
}

// Guards against a slow endpoint that is never reported because the router avoids it after two responses.
test('two consecutive responses that are five times slower are a slowdown', t => {
	const detector = createWithBaseline(10);
	detector.observe(Math.log(50), 30_000);
	t.is(detector.detect(), undefined);
	detector.observe(Math.log(50), 31_000);
	const {slowMeanLogMs, baselineMeanLogMs, observations} = detector.detect()!;
	t.is(observations, 2);
	t.true(Math.exp(slowMeanLogMs - baselineMeanLogMs) > 4);
});

test('a response at the usual speed ends the slowdown', t => {
	const detector = createWithBaseline(10);
	detector.observe(Math.log(50), 30_000);
	detector.observe(Math.log(50), 31_000);
	detector.observe(Math.log(12), 32_000);
	t.is(detector.detect(), undefined);
});

// Guards against a slowdown without a baseline, and against one that never ends although the endpoint is in use.
test('there is no slowdown without a baseline, nor after many slow responses', t => {
	const newDetector = SuddenSlowdownDetector.create(baselineTimeConstantMs);
	newDetector.observe(Math.log(10), 0);
	newDetector.observe(Math.log(100), 1);
	newDetector.observe(Math.log(100), 2);
	t.is(newDetector.detect(), undefined);
	const slowDetector = createWithBaseline(10);
	for (let index = 0; index < 50; index++) {
		slowDetector.observe(Math.log(50), 30_000 + index);
	}

	t.is(slowDetector.detect(), undefined);
});
