import {readFileSync} from 'node:fs';
import test from 'ava';
import {
	assertInvariants, countResults, createLoadPlan, runFleetLoad, startServingFleet,
} from '../fixtures/fleet-under-load.js';

// Guards against a warm engine that is detected as cold because a long response that is not streamed sends its first byte late.
test('long responses that are not streamed do not make a warm engine cold', async t => {
	const fleet = await startServingFleet(t);
	const records = await runFleetLoad(fleet, createLoadPlan({
		seed: 31,
		durationMs: 12_000,
		requestsPerSecond: 12,
		engine: {
			model: 'caseworker',
			promptCharacters: {minimum: 200, maximum: 1000},
			outputTokens: {minimum: 100, maximum: 400},
			prefixCharacters: 1024,
			streamRatio: 0.5,
		},
		plain: undefined,
		keyedRatio: 0,
	}));
	const detections = [...fleet.entries.values()]
		.flatMap(({logPath}) => readFileSync(logPath, 'utf8').split('\n'))
		.filter(line => line.includes('event=phase-changed') && line.includes('reason=slow-first-token') && line.includes('actor=self'));
	t.log(countResults(records), detections);
	t.deepEqual(detections, []);
	await assertInvariants(t, fleet, records);
});
