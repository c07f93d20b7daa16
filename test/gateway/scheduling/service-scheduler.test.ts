import test from 'ava';
import {ColdRateLimiter} from '../../../src/gateway/limits/cold-rate-limiter.js';
import {ServiceScheduler} from '../../../src/gateway/scheduling/service-scheduler.js';
import type {EndpointRecord} from '../../../src/gateway/site/types.js';
import {bounds, createEndpoint, createService} from '../../fixtures/gateway/documents.js';
import {createWaitingRequest, type RecordedRequest} from '../../fixtures/gateway/waiting-request.js';
import {ManualClock} from '../../fixtures/manual-clock.js';

type Options = {
	readonly records?: readonly EndpointRecord[];
	readonly peerInFlight?: Readonly<Record<string, number>>;
	readonly members?: readonly string[];
	readonly knowsMembers?: boolean;
};

function createScheduler({records = [createEndpoint()], peerInFlight: peerRuns = {}, members = ['own'], knowsMembers = true}: Options = {}) {
	const clock = ManualClock.create(10_000);
	const scheduler = ServiceScheduler.create({
		service: createService(),
		clock,
		coldRateLimiter: ColdRateLimiter.create({bounds, ownHost: 'own'}),
		availabilityZone: 'a',
		peerInFlightAt: id => peerRuns[id] ?? 0,
		members: () => members,
		memberCount: () => members.length,
		knowsMembers: () => knowsMembers,
		random: () => 0.5,
	});
	scheduler.setEndpoints(records, new Set());
	return {clock, scheduler};
}

function request(clock: ManualClock, values: Parameters<typeof createWaitingRequest>[0] = {}): RecordedRequest {
	return createWaitingRequest({arrivedAt: clock.now(), ...values});
}

test('places are given out up to the slots, with the requests of other instances counted', t => {
	const {clock, scheduler} = createScheduler({peerInFlight: {'engine-1': 2}});
	const requests = [0, 1, 2].map(() => request(clock));
	for (const each of requests) {
		scheduler.submit(each);
	}

	t.deepEqual(requests.map(({dispatchedTo: startedAt}) => startedAt.length), [1, 1, 0]);
	scheduler.recordOutcome('engine-1', 'completed');
	t.is(requests[2]!.dispatchedTo.length, 1);
});

test('a higher tier is started before a lower one that came earlier', t => {
	const {clock, scheduler} = createScheduler({peerInFlight: {'engine-1': 3}});
	scheduler.submit(request(clock));
	const low = request(clock, {tier: 2});
	const high = request(clock, {tier: 0});
	scheduler.submit(low);
	scheduler.submit(high);
	scheduler.recordOutcome('engine-1', 'completed');
	t.is(high.dispatchedTo.length, 1);
	t.is(low.dispatchedTo.length, 0);
});

const unusable: Array<[string, EndpointRecord, ReadonlySet<string>]> = [
	['that is leaving', createEndpoint({isLeaving: true}), new Set()],
	['in an evacuated zone', createEndpoint(), new Set(['a'])],
];

for (const [what, record, zones] of unusable) {
	test(`an endpoint ${what} gets no request`, t => {
		const {clock, scheduler} = createScheduler();
		scheduler.setEndpoints([record], zones);
		const waiting = request(clock);
		scheduler.submit(waiting);
		t.is(waiting.dispatchedTo.length, 0);
	});
}

test('a cold endpoint gets this instance\'s part of its rate, and nothing while the others are unknown', t => {
	const records = [createEndpoint({coldRemainingMs: 3000, slots: 100})];
	const members = ['own', 'b', 'c', 'd', 'e', 'f', 'g'];
	const started = (knowsMembers: boolean) => {
		const {clock, scheduler} = createScheduler({records, members, knowsMembers});
		const requests = Array.from({length: 30}, () => request(clock));
		for (const each of requests) {
			scheduler.submit(each);
		}

		return requests.filter(({dispatchedTo: startedAt}) => startedAt.length > 0).length;
	};

	t.is(started(false), 0);
	t.true(started(true) >= 3 && started(true) <= 4, 'a seventh of 27');
});

test('an instance uses only its part of the connections that an endpoint accepts', t => {
	const members = Array.from({length: 40}, (_, index) => index === 0 ? 'own' : `m${index}`);
	const {clock, scheduler} = createScheduler({records: [createEndpoint({slots: 100})], members});
	const requests = Array.from({length: 10}, () => request(clock));
	for (const each of requests) {
		scheduler.submit(each);
	}

	t.is(requests.filter(({dispatchedTo: startedAt}) => startedAt.length > 0).length, 2, 'a fortieth of 80 in 100');
});

test('an endpoint that may have been restarted counts as cold', t => {
	const {clock, scheduler} = createScheduler({records: [createEndpoint({slots: 100})], members: ['own', 'b', 'c']});
	const first = [0, 1].map(() => request(clock));
	for (const each of first) {
		scheduler.submit(each);
	}

	for (const _each of first) {
		scheduler.recordOutcome('engine-1', 'broken');
	}

	clock.advance(1500);
	const requests = Array.from({length: 50}, () => request(clock));
	for (const each of requests) {
		scheduler.submit(each);
	}

	t.is(requests.filter(({dispatchedTo: startedAt}) => startedAt.length > 0).length, 9);
});

test('a request that all endpoints have rejected is refused at once', t => {
	const {clock, scheduler} = createScheduler();
	const rejected = request(clock, {excluded: new Set(['engine-1'])});
	scheduler.submit(rejected);
	t.is(rejected.refusals[0]?.reason, 'no-endpoint');
});

test('a request is refused when its caller would leave before the first event', t => {
	const {clock, scheduler} = createScheduler({records: []});
	const waiting = request(clock, {latestDispatchAt: 10_300});
	scheduler.submit(waiting);
	clock.advance(200);
	scheduler.dispatchWaiting();
	t.is(waiting.refusals.length, 0);
	clock.advance(200);
	scheduler.dispatchWaiting();
	t.is(waiting.refusals[0]?.reason, 'waited-too-long');
});

/** A fast and a slow engine whose speeds have been learnt from one stream each. */
function createUnequalEngines(fastInFlight = 0) {
	const peerRuns: Record<string, number> = {};
	const {clock, scheduler} = createScheduler({records: [createEndpoint({id: 'fast'}), createEndpoint({id: 'slow'})], peerInFlight: peerRuns});
	for (const [id, eventMs] of [['fast', 14], ['slow', 35]] as const) {
		peerRuns.fast = id === 'slow' ? 4 : 0;
		const first = request(clock);
		scheduler.submit(first);
		scheduler.recordOutcome(first.dispatchedTo[0]!, 'completed', {eventIntervalMs: first.dispatchedTo[0] === 'fast' ? 14 : eventMs});
	}

	peerRuns.fast = fastInFlight;
	return {clock, scheduler, peerRuns};
}

test('a long request goes to the fast engine though it is fuller, a short one to the one with more room', t => {
	const {clock, scheduler} = createUnequalEngines(3);
	const short = request(clock, {expectedOutputTokens: 10});
	scheduler.submit(short);
	t.deepEqual(short.dispatchedTo, ['slow']);
	const long = request(clock, {expectedOutputTokens: 400});
	scheduler.submit(long);
	t.deepEqual(long.dispatchedTo, ['fast']);
});

test('a request that a slow engine can\'t finish before its caller gives up waits for a fast one, and others pass it', t => {
	const {clock, scheduler, peerRuns} = createUnequalEngines(4);
	const long = request(clock, {expectedOutputTokens: 400, deadlineAt: clock.now() + 2000});
	const short = request(clock, {expectedOutputTokens: 10, deadlineAt: clock.now() + 2000});
	scheduler.submit(long);
	scheduler.submit(short);
	t.deepEqual(long.dispatchedTo, []);
	t.deepEqual(short.dispatchedTo, ['slow']);
	peerRuns.fast = 3;
	scheduler.dispatchWaiting();
	t.deepEqual(long.dispatchedTo, ['fast']);
});

test('a request does not wait for a fast engine that has already rejected it', t => {
	const {clock, scheduler} = createUnequalEngines(4);
	const long = request(clock, {expectedOutputTokens: 400, deadlineAt: clock.now() + 2000, excluded: new Set(['fast'])});
	scheduler.submit(long);
	t.deepEqual(long.dispatchedTo, ['slow']);
});

test('a request that no engine is expected to finish is started all the same, because lengths are guesses', t => {
	const {clock, scheduler} = createUnequalEngines();
	const long = request(clock, {expectedOutputTokens: 400, deadlineAt: clock.now() + 300});
	scheduler.submit(long);
	t.deepEqual(long.dispatchedTo, ['fast']);
});

type Outcome = {readonly started: number; readonly inTime: number; readonly refusedAfterMs: number[]};

/** Plays a lasting overload: each 10 ms a request of each tier comes, and each 20 ms one place becomes free. */
function simulateOverload(): ReadonlyMap<number, Outcome> {
	const {clock, scheduler} = createScheduler({records: [createEndpoint({slots: 1})]});
	const all: Array<{tier: number; arrivedAt: number; startedAt?: number; refusedAt?: number}> = [];
	for (let step = 0; step < 600; step++) {
		for (const tier of step % 4 === 0 ? [0, 1, 2] : [1, 2]) {
			const record: (typeof all)[number] = {tier, arrivedAt: clock.now()};
			all.push(record);
			scheduler.submit(request(clock, {
				tier,
				dispatch() {
					record.startedAt = clock.now();
				},
				refuse() {
					record.refusedAt = clock.now();
				},
			}));
		}

		if (step % 2 === 0) {
			scheduler.recordOutcome('engine-1', 'completed', {eventIntervalMs: 5});
		}

		clock.advance(10);
	}

	return new Map([0, 1, 2].map(tier => {
		const ofTier = all.filter(record => record.tier === tier);
		return [tier, {
			started: ofTier.filter(({startedAt}) => startedAt !== undefined).length / ofTier.length,
			inTime: ofTier.filter(({startedAt, arrivedAt}) => startedAt !== undefined && startedAt - arrivedAt <= 440).length / ofTier.length,
			refusedAfterMs: ofTier.filter(({refusedAt}) => refusedAt !== undefined).map(({refusedAt, arrivedAt}) => refusedAt! - arrivedAt),
		}];
	}));
}

test('in a lasting overload the top tier is served in time and hopeless requests are refused as they come', t => {
	const outcomes = simulateOverload();
	t.true(outcomes.get(0)!.inTime > 0.98);
	t.true(outcomes.get(1)!.started > outcomes.get(2)!.started);
	const refusals = outcomes.get(2)!.refusedAfterMs;
	t.true(refusals.filter(afterMs => afterMs === 0).length > 0.8 * refusals.length, 'most callers of the lowest tier hear at once that they must come back');
});

test('a request that would be late while late ones get no place is refused as it comes, not when it has become late', t => {
	const refusals = simulateOverload().get(1)!.refusedAfterMs;
	t.true(refusals.length > 100);
	t.true(refusals.filter(afterMs => afterMs === 0).length > 0.8 * refusals.length);
});

test('refused callers may come back spread over a part of their remaining time', t => {
	const {clock, scheduler} = createScheduler({records: []});
	const waiting = request(clock, {latestDispatchAt: clock.now() - 1, deadlineAt: clock.now() + 10_000});
	scheduler.submit(waiting);
	t.is(waiting.refusals[0]?.retryAfterMs, 2650);
});
