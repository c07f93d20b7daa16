import test from 'ava';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {SlowDetector, type EndpointMeasure} from '../../../src/entry/observability/index.js';
import {ManualClock} from '../../fixtures/manual-clock.js';

type TestFleet = {
	readonly clock: ManualClock;
	readonly detector: SlowDetector;
	/** Records one observation a second of each measure at each endpoint, multiplied by the endpoint's factor. */
	runFor(seconds: number, factors?: Readonly<Record<string, number>>): void;
};

const endpoints = ['assistant-1', 'assistant-2', 'assistant-3', 'assistant-4'];

function createFleet(options: {readonly hardware?: readonly string[]; readonly seed?: number} = {}): TestFleet {
	const clock = ManualClock.create();
	const detector = SlowDetector.create({clock});
	detector.setEndpoints(endpoints.map((endpoint, index) => ({endpoint, service: 'assistant', hardware: options.hardware?.[index] ?? 'standard'})));
	const generator = xoroshiro128plus(options.seed ?? 1);
	const runFor = (seconds: number, factors: Readonly<Record<string, number>> = {}): void => {
		for (let second = 0; second < seconds; second++) {
			clock.advance(1000);
			for (const endpoint of endpoints) {
				// One request in twenty has a prompt that takes up to 100 times as long.
				const length = uniformInt(generator, 1, 20) === 20 ? uniformInt(generator, 20, 100) : uniformInt(generator, 1, 3);
				const factor = factors[endpoint] ?? 1;
				detector.observeEndpoint(endpoint, 'first-token', 100 * length * factor);
				detector.observeEndpoint(endpoint, 'between-tokens', uniformInt(generator, 20, 40) * factor);
			}
		}
	};

	return {clock, detector, runFor};
}

// Guards against an unnoticed endpoint that passes every health check and responds to every request, only more slowly.
test('an endpoint that becomes five times slower is reported in comparison with its own past and with other endpoints', t => {
	const {detector, runFor} = createFleet();
	runFor(600);
	t.deepEqual(detector.findings(), []);

	runFor(60, {'assistant-3': 5});
	const findings = detector.findings().filter(finding => finding.type === 'endpoint-slow');
	t.deepEqual(findings.map(finding => `${finding.endpoint}: ${finding.measure} against ${finding.comparedWith}`).toSorted(), [
		'assistant-3: between-tokens against own-past',
		'assistant-3: between-tokens against peers',
		'assistant-3: first-token against own-past',
		'assistant-3: first-token against peers',
	]);
	for (const finding of findings) {
		t.true(finding.factor > 2 && finding.factor < 8, `factor ${finding.factor}`);
		t.true(Math.abs((finding.presentMilliseconds / finding.referenceMilliseconds) - finding.factor) < 1e-9);
	}
});

// Guards against findings that remain after the endpoint has recovered.
test('the findings end when the endpoint is as fast as before', t => {
	const {detector, runFor} = createFleet();
	runFor(600);
	runFor(60, {'assistant-3': 5});
	runFor(180);
	t.deepEqual(detector.findings(), []);
});

// Guards against false findings from normal traffic, in which one request takes 100 times as long as another.
test('requests of very different lengths give no finding', t => {
	for (let seed = 1; seed <= 20; seed++) {
		const {detector, runFor} = createFleet({seed});
		for (let minute = 0; minute < 20; minute++) {
			runFor(60);
			t.deepEqual(detector.findings(), [], `seed ${seed}, minute ${minute}`);
		}
	}
});

// Guards against reporting an endpoint only because the configuration declares a slower kind of hardware for it.
test('an endpoint is compared with others of the same hardware', t => {
	const {detector, runFor} = createFleet({hardware: ['small', 'small', 'small', 'large']});
	runFor(300, {'assistant-1': 3, 'assistant-2': 3, 'assistant-3': 3});
	t.deepEqual(detector.findings(), []);
	runFor(600, {'assistant-1': 3, 'assistant-2': 3, 'assistant-3': 12});
	const findings = detector.findings();
	t.true(findings.length > 0);
	t.true(findings.every(finding => finding.type === 'endpoint-slow' && finding.endpoint === 'assistant-3'));
});

// Guards against a status report in which findings about healthy endpoints hide the slow one.
test('endpoints of a slower kind of hardware are not reported, even if there is only one', t => {
	for (const hardware of [['small', 'small', 'large', 'large'], ['small', 'large', 'large', 'large']]) {
		const {detector, runFor} = createFleet({hardware});
		runFor(300, {'assistant-1': 3, ...(hardware[1] === 'small' && {'assistant-2': 3})});
		t.deepEqual(detector.findings(), []);
	}
});

// Guards against a slow endpoint that disappears from the findings once its baseline has adapted.
test('an endpoint that stays slow is still reported in comparison with others after its baseline has adapted', t => {
	const {detector, runFor} = createFleet();
	runFor(600);
	runFor(3600, {'assistant-3': 5});
	const findings = detector.findings().filter(finding => finding.type === 'endpoint-slow' && finding.measure === 'between-tokens');
	t.deepEqual(findings.map(finding => finding.type === 'endpoint-slow' && [finding.endpoint, finding.comparedWith]), [['assistant-3', 'peers']]);
});

// Guards against findings from a few requests or from old ones.
test('without enough recent observations there is no finding', t => {
	const {clock, detector, runFor} = createFleet();
	runFor(4, {'assistant-3': 5});
	t.deepEqual(detector.findings(), []);
	runFor(60, {'assistant-3': 5});
	t.true(detector.findings().length > 0);
	clock.advance(300_000);
	t.deepEqual(detector.findings(), []);
});

test('a tier whose mean time exceeds its bound is reported with bound and factor', t => {
	const clock = ManualClock.create();
	const detector = SlowDetector.create({clock});
	detector.setTiers([
		{tier: 'interview', firstTokenMilliseconds: 2000, answerMilliseconds: 20_000},
		{tier: 'letters', firstTokenMilliseconds: 20_000, answerMilliseconds: 120_000},
	]);
	for (let index = 0; index < 20; index++) {
		clock.advance(1000);
		detector.observeTier('interview', 'first-token', 5000);
		detector.observeTier('interview', 'answer', 19_000);
		detector.observeTier('letters', 'first-token', 5000);
	}

	const findings = detector.findings();
	t.is(findings.length, 1);
	t.like(findings[0], {
		type: 'tier-slow', tier: 'interview', measure: 'first-token', boundMilliseconds: 2000,
	});
	t.true(Math.abs(findings[0]!.factor - 2.5) < 1e-9);
});

// Guards against findings about endpoints and tiers that were removed from the configuration.
test('removed endpoints and tiers have no findings and their observations are ignored', t => {
	const {clock, detector, runFor} = createFleet();
	runFor(60, {'assistant-3': 5});
	t.true(detector.findings().length > 0);
	detector.setEndpoints([]);
	detector.observeEndpoint('assistant-3', 'first-token' satisfies EndpointMeasure, 9999);
	detector.observeTier('gone', 'answer', 9999);
	t.deepEqual(detector.findings(), []);
	detector.setEndpoints(endpoints.map(endpoint => ({endpoint, service: 'assistant', hardware: 'standard'})));
	clock.advance(1000);
	t.deepEqual(detector.findings(), []);
});
