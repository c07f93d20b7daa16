import test from 'ava';
import {EndpointLoad, type AttemptOutcome} from '../../../src/gateway/scheduling/endpoint-load.js';
import {createEndpoint} from '../../fixtures/gateway/documents.js';

function createLoad(values = {}): EndpointLoad {
	return EndpointLoad.create(createEndpoint(values), 0);
}

test('pauses an endpoint after a broken connection, longer with each consecutive failure', t => {
	const load = createLoad();
	load.recordDispatch();
	load.recordOutcome('broken', 1000);
	t.true(load.isPaused(1200));
	t.false(load.isPaused(1300));
	load.recordDispatch();
	load.recordOutcome('broken', 2000);
	t.true(load.isPaused(2400));
	load.recordDispatch();
	load.recordOutcome('completed', 3000);
	load.recordDispatch();
	load.recordOutcome('broken', 4000);
	t.false(load.isPaused(4300));
});

test('an endpoint that fails most requests is failing, one that fails a few is not', t => {
	const load = createLoad();
	for (let request = 0; request < 40; request++) {
		load.recordDispatch();
		load.recordOutcome(request % 7 === 0 ? 'failed' : 'completed', request);
	}

	t.false(load.isFailing);
	for (let request = 0; request < 8; request++) {
		load.recordDispatch();
		load.recordOutcome('failed', 100 + request);
	}

	t.true(load.isFailing);
});

test('cancelled and rejected requests do not affect the failure ratio', t => {
	const load = createLoad();
	for (const outcome of ['cancelled', 'rejected'] as const) {
		load.recordDispatch();
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

test('a restart of the endpoint clears earlier failures', t => {
	const load = createLoad();
	load.recordDispatch();
	load.recordOutcome('broken', 0);
	load.update(createEndpoint({startedAt: 2000, coldRemainingMs: 3000}), 100);
	t.false(load.isPaused(110));
	t.true(load.isCold(110));
});

/** Dispatches requests, ends some of them as given, and returns whether the last end indicates a restart. */
function mayHaveRestarted(dispatched: number, ends: ReadonlyArray<readonly [outcome: AttemptOutcome, at: number]>): boolean {
	const load = createLoad();
	for (let request = 0; request < dispatched; request++) {
		load.recordDispatch();
	}

	return ends.map(([outcome, at]) => load.recordOutcome(outcome, at)).at(-1)!;
}

const restarts: Array<[string, number, ReadonlyArray<readonly [AttemptOutcome, number]>, boolean]> = [
	['all connections break', 3, [['broken', 0], ['broken', 1], ['broken', 2]], true],
	['no connection can be opened', 3, [['unreachable', 0]], true],
	['one response is lost while other requests are in flight', 3, [['broken', 0]], false],
	['the connection of the only request breaks', 1, [['broken', 0]], true],
	['the last request is completed', 2, [['broken', 0], ['completed', 1]], false],
];

for (const [what, dispatched, ends, expected] of restarts) {
	test(`an endpoint ${expected ? 'may have been' : 'has not been'} restarted when ${what}`, t => {
		t.is(mayHaveRestarted(dispatched, ends), expected);
	});
}
