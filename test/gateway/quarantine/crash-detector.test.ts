import test from 'ava';
import {CrashDetector} from '../../../src/gateway/quarantine/crash-detector.js';
import type {DetectedCrash} from '../../../src/gateway/quarantine/types.js';
import {connectResults, type ConnectResult} from '../../../src/shared/probe-connection.js';
import {createEndpoint} from '../../fixtures/gateway/documents.js';
import {ManualClock} from '../../fixtures/manual-clock.js';
import {until} from '../../fixtures/until.js';

async function detect(results: readonly ConnectResult[], isServing = true): Promise<{crashes: DetectedCrash[]; probes: number}> {
	const crashes: DetectedCrash[] = [];
	let probes = 0;
	let isDone = false;
	const detector = CrashDetector.create({
		clock: ManualClock.create(100),
		isServing() {
			isDone = true;
			return isServing;
		},
		async probe() {
			const result = results[probes]!;
			probes++;
			isDone = result === connectResults.opened || probes === results.length;
			return result;
		},
		onCrash(crash) {
			crashes.push(crash);
		},
	});
	detector.recordBroken(createEndpoint(), ['first', 'bad']);
	detector.recordBroken(createEndpoint(), ['first', 'other']);
	await until(() => isDone);
	await new Promise(resolve => {
		setImmediate(resolve);
	});
	return {crashes, probes};
}

test('an endpoint that refuses connections after some broke has crashed, with all requests that broke as suspects', async t => {
	const {crashes, probes} = await detect([connectResults.refused]);
	t.deepEqual(crashes, [{
		endpointId: 'engine-1', startedAt: 1000, at: 100, suspects: [['first', 'bad'], ['first', 'other']],
	}]);
	t.is(probes, 1);
});

test('an endpoint that accepts connections has only lost responses', async t => {
	t.deepEqual(await detect([connectResults.opened]), {crashes: [], probes: 1});
});

test('a check without a result is repeated, and nothing is concluded without one', async t => {
	const {crashes} = await detect([connectResults.unknown, connectResults.refused]);
	t.is(crashes.length, 1);
	t.deepEqual(await detect([connectResults.unknown, connectResults.unknown, connectResults.unknown]), {crashes: [], probes: 3});
});

test('an endpoint that leaves has not crashed when it closes its connections', async t => {
	const {crashes} = await detect([connectResults.refused], false);
	t.deepEqual(crashes, []);
});

test('a request that was cancelled just before the crash is a suspect too', async t => {
	const clock = ManualClock.create(100);
	const crashes: DetectedCrash[] = [];
	const detector = CrashDetector.create({
		clock,
		isServing: () => true,
		probe: async () => connectResults.refused,
		onCrash(crash) {
			crashes.push(crash);
		},
	});
	detector.recordAbandoned(createEndpoint(), ['long-ago']);
	clock.advance(1500);
	detector.recordAbandoned(createEndpoint(), ['bad']);
	detector.recordAbandoned(createEndpoint({id: 'engine-2'}), ['elsewhere']);
	detector.recordBroken(createEndpoint(), ['first']);
	await until(() => crashes.length > 0);
	t.deepEqual(crashes[0]!.suspects, [['first'], ['bad']]);
});
