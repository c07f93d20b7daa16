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

// Guards against a slow endpoint that nobody names because the router avoids it after two responses.
test('two responses in a row that are five times slower are a change', t => {
	const change = createWithBaseline(10);
	change.observe(Math.log(50), 30_000);
	t.is(change.detect(), undefined);
	change.observe(Math.log(50), 31_000);
	const {slowMeanLogMs: present, baselineMeanLogMs: past, observations} = change.detect()!;
	t.is(observations, 2);
	t.true(Math.exp(present - past) > 4);
});

test('a response at the usual speed ends the change', t => {
	const change = createWithBaseline(10);
	change.observe(Math.log(50), 30_000);
	change.observe(Math.log(50), 31_000);
	change.observe(Math.log(12), 32_000);
	t.is(change.detect(), undefined);
});

// Guards against a finding without anything to compare with, and against one that never ends although the endpoint is in use.
test('there is no change without a past, nor after many slow responses', t => {
	const fresh = SuddenSlowdownDetector.create(baselineTimeConstantMs);
	fresh.observe(Math.log(10), 0);
	fresh.observe(Math.log(100), 1);
	fresh.observe(Math.log(100), 2);
	t.is(fresh.detect(), undefined);
	const lasting = createWithBaseline(10);
	for (let index = 0; index < 50; index++) {
		lasting.observe(Math.log(50), 30_000 + index);
	}

	t.is(lasting.detect(), undefined);
});
