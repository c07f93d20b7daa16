import test from 'ava';
import {EndpointPhases} from '../../../src/entry/limits/endpoint-phases.js';
import type {EndpointLoad, EndpointPhaseMessage} from '../../../src/entry/limits/types.js';
import {ManualClock} from '../../fixtures/manual-clock.js';
import {engineLimit} from '../../fixtures/unit-layout.js';

const endpoint = 'engine-1';

function createPhases(clock: ManualClock, isPhaseCoordinator = true): EndpointPhases {
	const phases = EndpointPhases.create({slot: 'entry-1', clock, isPhaseCoordinator: () => isPhaseCoordinator});
	phases.setEndpoints([engineLimit]);
	return phases;
}

function observe(phases: EndpointPhases, count: number, firstTokenMilliseconds = 100): EndpointPhaseMessage[] {
	return Array.from({length: count}, () => phases.observeResponse(endpoint, firstTokenMilliseconds)).flat();
}

function loadReport(change: Partial<EndpointLoad> = {}): EndpointLoad {
	return {
		startId: 'start-1', phase: 'warm', running: 0, tokensInUse: 0, ageMilliseconds: 0, ...change,
	};
}

function phaseMessage(change: Partial<EndpointPhaseMessage>): EndpointPhaseMessage {
	return {
		kind: 'endpoint-phase', endpoint, epoch: 1, phase: 'warm', limit: 14, reason: 'raised', ...change,
	};
}

// Guards against full load on an endpoint about which nothing is known.
test('an endpoint about which nothing is known is cold, and one that is not configured has no units', t => {
	const phases = createPhases(ManualClock.create());
	t.is(phases.phase(endpoint), 'cold');
	t.is(phases.limit(endpoint), 2);
	t.is(phases.limit('engine-9'), 0);
	t.deepEqual(phases.observeResponse('engine-9', 100), []);
});

// Guards against a limit that is raised too fast, too early or never fully.
test('the limit doubles after every four good responses until it is full', t => {
	const phases = createPhases(ManualClock.create());
	t.deepEqual(observe(phases, 3), []);
	t.deepEqual(observe(phases, 1).map(({phase, limit}) => [phase, limit]), [['warming', 4]]);
	t.deepEqual(observe(phases, 8).map(({phase, limit}) => [phase, limit]), [['warming', 8], ['warm', 14]]);
	t.deepEqual(observe(phases, 8), []);
	t.is(phases.limit(endpoint), 14);
});

// Guards against raising the limit while responses get slower.
test('a response slower than twice the baseline resets the count of good responses', t => {
	const phases = createPhases(ManualClock.create());
	observe(phases, 3, 300);
	t.deepEqual(observe(phases, 1, 700), []);
	t.deepEqual(observe(phases, 3, 300), []);
	t.is(observe(phases, 1, 300).length, 1);
});

// Guards against several entries that each raise the limit from their own responses.
test('only the phase coordinator raises the phase, but every entry lowers it', t => {
	const phases = createPhases(ManualClock.create(), false);
	t.deepEqual(observe(phases, 20), []);
	phases.receive(phaseMessage({epoch: 3}));
	t.is(phases.limit(endpoint), 14);
	const [message] = phases.observeSymptom(endpoint, 'reset');
	t.is(message!.phase, 'cold');
	t.is(phases.limit(endpoint), 2);
});

for (const symptom of ['unreachable', 'reset'] as const) {
	// Guards against full load on an engine that has just been restarted.
	test(`the symptom ${symptom} turns an endpoint cold`, t => {
		const phases = createPhases(ManualClock.create());
		observe(phases, 12);
		t.is(phases.observeSymptom(endpoint, symptom).length, 1);
		t.is(phases.limit(endpoint), 2);
		t.deepEqual(phases.observeSymptom(endpoint, symptom), []);
	});
}

for (const symptom of ['none', 'timeout', 'server-error'] as const) {
	// Guards against losing most of an endpoint's capacity because of one failed request.
	test(`the symptom ${symptom} does not change the phase`, t => {
		const phases = createPhases(ManualClock.create());
		observe(phases, 12);
		t.deepEqual(phases.observeSymptom(endpoint, symptom), []);
		t.is(phases.limit(endpoint), 14);
	});
}

// Guards against full load on an endpoint that turned cold without an error.
test('a time to first token above five times the baseline turns an endpoint cold', t => {
	const phases = createPhases(ManualClock.create());
	observe(phases, 16, 300);
	t.deepEqual(observe(phases, 1, 1500), []);
	t.is(observe(phases, 1, 2400)[0]!.reason, 'slow-first-token');
	t.is(phases.limit(endpoint), 2);
});

// Guards against false cold detections: under load, short times to first token vary by more than the factor because prompts wait for each other.
test('a time to first token below one second does not turn an endpoint cold', t => {
	const phases = createPhases(ManualClock.create());
	observe(phases, 16, 20);
	t.deepEqual(observe(phases, 1, 990), []);
	t.is(observe(phases, 1, 1010)[0]!.reason, 'slow-first-token');
});

// Guards against false cold detections while a long prompt delays the batch of a warm engine.
test('a slow first token does not turn an endpoint cold if a later load report says that it is not cold', t => {
	const clock = ManualClock.create();
	const phases = createPhases(clock);
	observe(phases, 16);
	const writtenAt = clock.now();
	clock.advance(3000);
	phases.observeLoadReport(endpoint, loadReport({ageMilliseconds: 500}));
	t.deepEqual(phases.observeResponse(endpoint, 3000, {writtenAt}), []);
	t.is(phases.observeResponse(endpoint, 3000, {writtenAt: clock.now()})[0]!.reason, 'slow-first-token');
});

// Guards against an endpoint that stays cold permanently because its first response came from a cache.
test('a first response that is much faster than the others does not keep an endpoint cold', t => {
	const phases = createPhases(ManualClock.create());
	observe(phases, 1, 10);
	observe(phases, 60);
	t.is(phases.limit(endpoint), 14);
});

// Guards against full load after a restart that no request was affected by.
test('a changed engine start id turns an endpoint cold', t => {
	const clock = ManualClock.create();
	const phases = createPhases(clock);
	observe(phases, 12);
	t.deepEqual(phases.observeLoadReport(endpoint, loadReport()), []);
	clock.advance(1000);
	t.is(phases.observeLoadReport(endpoint, loadReport({startId: 'start-2'}))[0]!.reason, 'restarted');
	clock.advance(5000);
	// A late report from before the restart does not count as another restart.
	observe(phases, 12);
	t.deepEqual(phases.observeLoadReport(endpoint, loadReport({ageMilliseconds: 5900})), []);
	t.is(phases.limit(endpoint), 14);
});

// Guards against late reports that revert each raise.
test('a cold report counts only if it was created after the latest phase change', t => {
	const clock = ManualClock.create();
	const phases = createPhases(clock);
	observe(phases, 12);
	clock.advance(1000);
	t.deepEqual(phases.observeLoadReport(endpoint, loadReport({phase: 'cold', ageMilliseconds: 1001})), []);
	t.is(phases.observeLoadReport(endpoint, loadReport({phase: 'cold'}))[0]!.reason, 'reported-cold');
});

// Guards against a limit that oscillates while the engine reports that it is cold, and against one that stays low when reports stop.
test('a recent cold report prevents raises of the phase', t => {
	const clock = ManualClock.create();
	const phases = createPhases(clock);
	phases.observeLoadReport(endpoint, loadReport({phase: 'cold'}));
	t.deepEqual(observe(phases, 8), []);
	clock.advance(10_001);
	t.is(observe(phases, 1).length, 1);
});

// Guards against a restart during the cold phase that a concurrent raise overrides, and against a message for each failing dispatch.
test('a cold endpoint is reported cold again, but not more often than once per second', t => {
	const clock = ManualClock.create();
	const phases = createPhases(clock);
	t.deepEqual(phases.observeSymptom(endpoint, 'reset'), []);
	clock.advance(1000);
	t.is(phases.observeSymptom(endpoint, 'reset').length, 1);
	t.deepEqual(phases.observeSymptom(endpoint, 'reset'), []);
	clock.advance(1000);
	t.deepEqual(phases.observeLoadReport(endpoint, loadReport({phase: 'cold'})), []);
});

// Guards against entries that end up with different phases after the same messages.
test('the higher epoch takes precedence, and the colder phase if epochs are equal', t => {
	const messages = [
		phaseMessage({epoch: 2, phase: 'warming', limit: 8}),
		phaseMessage({epoch: 2, phase: 'warming', limit: 4}),
		phaseMessage({epoch: 1, phase: 'cold', limit: 2}),
		phaseMessage({epoch: 2, phase: 'warm', limit: 14}),
	];
	for (const order of [messages, messages.toReversed()]) {
		const phases = createPhases(ManualClock.create());
		for (const message of order) {
			phases.receive(message);
		}

		t.is(phases.limit(endpoint), 4);
	}
});

// Guards against a raise that overrides a cold detection because both happened at the same time.
test('a cold detection takes precedence over raises that were made without knowledge of it', t => {
	const coordinator = createPhases(ManualClock.create());
	const observer = createPhases(ManualClock.create(), false);
	for (const message of observe(coordinator, 4)) {
		observer.receive(message);
	}

	const [cold] = observer.observeSymptom(endpoint, 'reset');
	const raises = observe(coordinator, 8);
	coordinator.receive(cold!);
	for (const message of raises) {
		observer.receive(message);
	}

	t.is(coordinator.limit(endpoint), 2);
	t.is(observer.limit(endpoint), 2);
});

// Guards against a new entry that dispatches with phases that differ from its peers'.
test('a new entry adopts all phases of a peer', t => {
	const clock = ManualClock.create();
	const peer = createPhases(clock);
	observe(peer, 8);
	const phases = createPhases(clock);
	for (const message of peer.toMessages()) {
		phases.receive(message);
	}

	t.deepEqual(phases.toMessages(), peer.toMessages());
	t.is(phases.limit(endpoint), 8);
});

// Guards against resetting every endpoint to cold at each configuration change, and against a stale limit.
test('a change of the limits keeps the phase', t => {
	const phases = createPhases(ManualClock.create());
	observe(phases, 12);
	phases.setEndpoints([{...engineLimit, units: 20}]);
	t.is(phases.limit(endpoint), 20);
	phases.setEndpoints([{...engineLimit, units: 3}]);
	t.is(phases.limit(endpoint), 3);
	phases.setEndpoints([]);
	t.is(phases.limit(endpoint), 0);
});

// Guards against a raise because of good responses before the load report that shows the cold start arrives.
test('after a detected cold start, the phase is raised only after five seconds or a report that is not cold', t => {
	const clock = ManualClock.create();
	const phases = createPhases(clock);
	observe(phases, 12);
	t.is(phases.observeSymptom(endpoint, 'reset').length, 1);
	clock.advance(4999);
	t.deepEqual(observe(phases, 8), []);
	clock.advance(1);
	t.is(observe(phases, 1)[0]!.phase, 'warming');
	phases.observeSymptom(endpoint, 'reset');
	clock.advance(100);
	phases.observeLoadReport(endpoint, loadReport());
	t.is(observe(phases, 4)[0]!.phase, 'warming');
});

// Guards against repeatedly raising the limit of an endpoint that fails after each raise.
test('each failed raise doubles the good responses needed for the next one, until the endpoint is warm', t => {
	const clock = ManualClock.create();
	const phases = createPhases(clock);
	for (const needed of [4, 8, 16]) {
		t.deepEqual(observe(phases, needed - 1), []);
		t.is(observe(phases, 1)[0]!.phase, 'warming');
		t.is(phases.observeSymptom(endpoint, 'server-error')[0]!.phase, 'cold');
		clock.advance(5000);
	}

	observe(phases, 32 * 3);
	t.is(phases.phase(endpoint), 'warm');
	// One failing request must not reduce a warm endpoint's capacity.
	t.deepEqual(phases.observeSymptom(endpoint, 'server-error'), []);
});

// Guards against full load on an endpoint that turned cold and shows it only by errors, and against one bad request that reduces a warm endpoint's capacity for a long time.
test('after a server error, a warm endpoint counts as cold until a later load report says otherwise', t => {
	const clock = ManualClock.create();
	const phases = createPhases(clock);
	phases.observeLoadReport(endpoint, loadReport());
	observe(phases, 12);
	t.is(phases.observeSymptom(endpoint, 'server-error')[0]!.phase, 'cold');
	clock.advance(500);
	t.deepEqual(phases.observeLoadReport(endpoint, loadReport({ageMilliseconds: 600})), []);
	t.is(phases.observeLoadReport(endpoint, loadReport({ageMilliseconds: 100}))[0]!.reason, 'reported-not-cold');
	t.is(phases.limit(endpoint), 14);
	t.is(phases.observeSymptom(endpoint, 'server-error')[0]!.phase, 'cold');
	clock.advance(500);
	t.deepEqual(phases.observeLoadReport(endpoint, loadReport({phase: 'cold'})), []);
	t.is(phases.limit(endpoint), 2);
});
