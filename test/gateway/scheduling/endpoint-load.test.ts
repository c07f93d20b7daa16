import test from 'ava';
import {EndpointLoad, type AttemptOutcome} from '../../../src/gateway/scheduling/endpoint-load.js';
import {createEndpoint} from '../../fixtures/gateway/documents.js';

function createLoad(values = {}): EndpointLoad {
	return EndpointLoad.create(createEndpoint(values), 0);
}

test('pauses an endpoint after a broken connection, longer with each consecutive failure', t => {
	const load = createLoad();
	load.recordDispatch(0);
	load.recordOutcome('broken', 1000);
	t.true(load.isPaused(1200));
	t.false(load.isPaused(1300));
	load.recordDispatch(0);
	load.recordOutcome('broken', 2000);
	t.true(load.isPaused(2400));
	load.recordDispatch(0);
	load.recordOutcome('completed', 3000);
	load.recordDispatch(0);
	load.recordOutcome('broken', 4000);
	t.false(load.isPaused(4300));
});

// Guards against an endpoint that is not at its address any more and draws all requests, because one that answers at once looks free.
test('pauses an endpoint in whose place another one answered, without counting it as failing or restarted', t => {
	const load = createLoad();
	for (const [at, pausedMs] of [[0, 250], [1000, 500], [3000, 1000]] as const) {
		for (let request = 0; request < 20; request++) {
			load.recordDispatch(at + request);
			t.false(load.recordOutcome('misdirected', at + request));
		}

		t.true(load.isPaused(at + pausedMs - 1));
		t.false(load.isPaused(at + pausedMs));
	}

	t.false(load.isFailing);
});

// Guards against a sound endpoint that is not used for seconds after its record has been corrected.
test('an endpoint in whose place another one answered is used at once when its record names another address', t => {
	const load = createLoad({address: '127.0.0.1:1'});
	for (let request = 0; request < 5; request++) {
		load.recordDispatch(request);
		load.recordOutcome('misdirected', request);
	}

	load.update(createEndpoint({address: '127.0.0.1:2'}), 10);
	t.false(load.isPaused(10));
});

// Guards against an answer too many that makes its sound endpoint look restarted, so that it gets the rate of a cold one.
test('an endpoint whose response belonged to another request is not paused and does not count as restarted', t => {
	const load = createLoad();
	load.recordDispatch(0);
	t.false(load.recordOutcome('foreign', 100));
	t.false(load.isPaused(100));
	t.true(load.failureRatio > 0);
});

test('an endpoint that fails most requests is failing, one that fails a few is not', t => {
	const load = createLoad();
	for (let request = 0; request < 40; request++) {
		load.recordDispatch(0);
		load.recordOutcome(request % 7 === 0 ? 'failed' : 'completed', request);
	}

	t.false(load.isFailing);
	for (let request = 0; request < 8; request++) {
		load.recordDispatch(0);
		load.recordOutcome('failed', 100 + request);
	}

	t.true(load.isFailing);
});

// Guards against a sound endpoint that is not used for seconds, because many requests met the same moment of silence.
test('the requests of one silence pause an endpoint shortly and do not make it failing', t => {
	const load = createLoad();
	for (let request = 0; request < 20; request++) {
		load.recordDispatch(0);
	}

	for (let request = 0; request < 20; request++) {
		load.recordOutcome(request % 2 === 0 ? 'unanswered' : 'silent', 50 * request);
	}

	t.true(load.isPaused(1000));
	t.false(load.isPaused(1300));
	t.false(load.isFailing);
});

test('an endpoint that is heard from after a silence is used at once', t => {
	const load = createLoad();
	load.recordDispatch(0);
	load.recordOutcome('silent', 500);
	t.true(load.isPaused(600));
	load.recordHeard(600);
	t.false(load.isPaused(600));
});

test('an endpoint that stays silent gets one request at a time, after longer and longer pauses', t => {
	const load = createLoad();
	load.recordDispatch(0);
	load.recordOutcome('unanswered', 400);
	t.false(load.isPaused(700));
	load.recordDispatch(700);
	t.true(load.isPaused(1100));
	load.recordOutcome('unanswered', 20_400);
	t.true(load.isPaused(24_000));
	t.false(load.isPaused(24_500));
});

test('an endpoint answers when it has sent something lately, and not only again after a pause', t => {
	const load = createLoad();
	t.is(load.hasAnsweredSince(0, 0), undefined);
	load.recordDispatch(0);
	t.false(load.hasAnsweredSince(0, 100));
	for (const at of [100, 200, 300]) {
		load.recordHeard(at);
	}

	t.true(load.hasAnsweredSince(300, 400));
	t.false(load.hasAnsweredSince(301, 400));
	load.recordHeard(2000);
	t.false(load.hasAnsweredSince(1500, 2100));
	t.true(load.hasAnsweredSince(1500, 2200));
});

test('cancelled and rejected requests do not affect the failure ratio', t => {
	const load = createLoad();
	for (const outcome of ['cancelled', 'rejected'] as const) {
		load.recordDispatch(0);
		load.recordOutcome(outcome, 0);
	}

	t.is(load.failureRatio, 0);
	t.is(load.inFlight, 0);
});

test('the remaining cold time counts from when its value was first read', t => {
	const load = createLoad({coldRemainingMs: 2000});
	t.true(load.isCold(1900));
	load.update(createEndpoint({coldRemainingMs: 2000}), 1500);
	t.false(load.isCold(2100));
	load.update(createEndpoint({coldRemainingMs: 1000}), 3000);
	t.true(load.isCold(3900));
});

/** Dispatches requests, ends some of them as given, and returns whether the last end indicates a restart. */
function mayHaveRestarted(dispatched: number, ends: ReadonlyArray<readonly [outcome: AttemptOutcome, at: number]>): boolean {
	const load = createLoad();
	for (let request = 0; request < dispatched; request++) {
		load.recordDispatch(0);
	}

	return ends.map(([outcome, at]) => load.recordOutcome(outcome, at)).at(-1)!;
}

const restarts: Array<[string, number, ReadonlyArray<readonly [AttemptOutcome, number]>, boolean]> = [
	['all connections break', 3, [['broken', 0], ['broken', 1], ['broken', 2]], true],
	['no connection can be opened', 3, [['unreachable', 0]], true],
	['no connection is answered for a moment', 3, [['unanswered', 0], ['unanswered', 1500]], false],
	['no connection is answered for longer than by a sound endpoint', 3, [['unanswered', 0], ['unanswered', 2500]], true],
	['no response arrives for long', 3, [['silent', 0], ['silent', 2500]], false],
	['one response is lost while other requests are in flight', 3, [['broken', 0]], false],
	['the connection of the only request breaks', 1, [['broken', 0]], true],
	['the last request is completed', 2, [['broken', 0], ['completed', 1]], false],
];

for (const [what, dispatched, ends, expected] of restarts) {
	test(`an endpoint ${expected ? 'may have been' : 'has not been'} restarted when ${what}`, t => {
		t.is(mayHaveRestarted(dispatched, ends), expected);
	});
}
