import test from 'ava';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {RetryBudgets} from '../../../src/gateway/limits/retry-budgets.js';
import {ExtraAttempts, type SlowRequest} from '../../../src/gateway/scheduling/extra-attempts.js';
import {bounds, createRoute} from '../../fixtures/gateway/documents.js';
import {testSeed} from '../../fixtures/seed.js';

const route = createRoute({kind: 'idempotent', isResumable: false, maximumEndpoints: 3});
const windowMs = 10_000;

function slowRequest(values: Partial<SlowRequest> = {}): SlowRequest {
	return {
		service: 'assistant',
		route,
		endpointId: 'e0',
		sentAt: 0,
		hasBegun: false,
		endpointCount: 1,
		callerLeavesAt: Infinity,
		waiting: 0,
		ratio: 0.1,
		sharingCount: 1,
		...values,
	};
}

function recordSamples(extraAttempts: ExtraAttempts, count: number, durationMs: number): void {
	for (let sample = 0; sample < count; sample++) {
		extraAttempts.recordResponse('assistant', route.name, durationMs, 0);
	}
}

function createUsed({requests = 100, budgets = bounds}: {requests?: number; budgets?: typeof bounds} = {}) {
	const retryBudgets = RetryBudgets.create(budgets);
	const extraAttempts = ExtraAttempts.create(retryBudgets);
	recordSamples(extraAttempts, 40, 100);
	for (let request = 0; request < requests; request++) {
		extraAttempts.recordRequest('assistant', 0);
		retryBudgets.recordRequest('assistant', 0);
	}

	return {extraAttempts, retryBudgets};
}

test('the delay is the 95th percentile of the latest responses of the service and route, from 40 of them on', t => {
	const extraAttempts = ExtraAttempts.create(RetryBudgets.create(bounds));
	recordSamples(extraAttempts, 39, 100);
	t.is(extraAttempts.delayMs('assistant', route.name), undefined);
	recordSamples(extraAttempts, 1, 100);
	t.is(extraAttempts.delayMs('assistant', route.name), 100);
	t.is(extraAttempts.delayMs('assistant', 'others'), undefined);
	t.is(extraAttempts.delayMs('others', route.name), undefined);
	recordSamples(extraAttempts, 1, 900);
	t.is(extraAttempts.delayMs('assistant', route.name), 100);
	recordSamples(extraAttempts, 5, 900);
	const risen = extraAttempts.delayMs('assistant', route.name)!;
	t.true(risen >= 880 && risen <= 920);
	recordSamples(extraAttempts, 360, 50);
	t.is(extraAttempts.delayMs('assistant', route.name), 50);
});

// Guards against a percentile that falls with each extra attempt that wins, until every request gets one.
test('a first attempt that was cancelled counts as having taken longer', t => {
	const extraAttempts = ExtraAttempts.create(RetryBudgets.create(bounds));
	recordSamples(extraAttempts, 60, 100);
	for (let sample = 0; sample < 40; sample++) {
		extraAttempts.recordUnfinished('assistant', route.name, 20, 0);
	}

	t.is(extraAttempts.delayMs('assistant', route.name), 100);
	for (let sample = 0; sample < 10; sample++) {
		extraAttempts.recordUnfinished('assistant', route.name, 200, 0);
	}

	t.true(extraAttempts.delayMs('assistant', route.name)! >= 199);
});

test('each reason withholds an extra attempt', t => {
	const now = 100;
	t.like(createUsed().extraAttempts.decide(slowRequest(), now), {isDue: true, delayMs: 100});
	const reasons: Array<[string, Partial<SlowRequest>]> = [
		['off', {ratio: 0}],
		['begun', {hasBegun: true}],
		['few-samples', {service: 'others'}],
		['not-due', {sentAt: 1}],
		['not-repeatable', {route: createRoute({...route, kind: 'non-idempotent'})}],
		['not-repeatable', {route: createRoute({...route, kind: 'streaming'})}],
		['maximum-endpoints', {endpointCount: 3}],
		['maximum-endpoints', {route: createRoute({...route, maximumEndpoints: 1})}],
		['caller-time-over', {callerLeavesAt: now}],
		['waiting', {waiting: 1}],
		['limit', {ratio: 0.009}],
		['retry-budget', {sharingCount: Infinity}],
	];
	for (const [reason, values] of reasons) {
		const {extraAttempts} = createUsed({budgets: reason === 'retry-budget' ? {...bounds, retryRatio: 0.01} : bounds});
		t.deepEqual(extraAttempts.decide(slowRequest(values), now), {isDue: false, reason} as never);
	}

	const {extraAttempts} = createUsed();
	extraAttempts.recordRefusal('assistant', now);
	t.like(extraAttempts.decide(slowRequest(), now + 999), {isDue: false, reason: 'refused'});
	t.like(extraAttempts.decide(slowRequest(), now + 1000), {isDue: true});
});

test('extra attempts take at most half of the retry budget, and leave the rest for retries', t => {
	const {extraAttempts, retryBudgets} = createUsed({requests: 1000, budgets: {...bounds, retryRatio: 0.02, retryExtra: 0}});
	let taken = 0;
	while (extraAttempts.decide(slowRequest({ratio: 0.2}), 100).isDue) {
		extraAttempts.take(slowRequest(), 100);
		taken++;
	}

	t.is(taken, 7);
	let retries = 0;
	while (retryBudgets.tryTake('assistant', 1, 100)) {
		retries++;
	}

	t.is(retries, 7);
});

test('retries that have used the budget leave nothing for extra attempts', t => {
	const {extraAttempts, retryBudgets} = createUsed({budgets: {...bounds, retryExtra: 0}});
	while (retryBudgets.tryTake('assistant', 1, 100)) {
		// Takes the whole budget.
	}

	t.like(extraAttempts.decide(slowRequest(), 100), {isDue: false, reason: 'retry-budget'});
});

type Event = {readonly at: number; readonly isExtra: boolean};

/** Plays an instance whose requests are all slow, and which restarts at random times. */
function playInstance(random: () => number, ratio: number): Event[][] {
	const lives: Event[][] = [];
	let at = random() * 1000;
	for (let life = 0; life < 4; life++) {
		const {extraAttempts, retryBudgets} = createUsed({requests: 0});
		const events: Event[] = [];
		const endsAt = at + (random() * 40_000);
		while (at < endsAt) {
			// Bursts and pauses.
			at += random() < 0.02 ? random() * 8000 : random() * 60;
			extraAttempts.recordRequest('assistant', at);
			retryBudgets.recordRequest('assistant', at);
			events.push({at, isExtra: false});
			const request = slowRequest({ratio, sentAt: at - 200});
			if (extraAttempts.decide(request, at).isDue) {
				extraAttempts.take(request, at);
				events.push({at, isExtra: true});
			}
		}

		lives.push(events);
	}

	return lives;
}

// Guards against a fixed allowance of each instance, which a large fleet multiplies and a restart renews.
test('the extra attempts of all instances stay within the ratio, also with restarts', t => {
	const seed = testSeed();
	t.log({seed});
	const generator = xoroshiro128plus(seed);
	const random = () => uniformInt(generator, 0, 999_999) / 1_000_000;
	for (const ratio of [0.03, 0.05, 0.2]) {
		const instances = Array.from({length: 65}, () => playInstance(random, ratio));
		const events = instances.flatMap(lives => lives.flat());
		const extra = events.filter(({isExtra}) => isExtra).length;
		const requests = events.length - extra;
		t.log({ratio, requests, extra});
		t.true(extra > requests * ratio / 3);
		t.true(extra <= requests * ratio);
		const exceeded = instances.flat().flatMap(life => life.filter(({isExtra}) => isExtra).filter(({at}) => {
			const inWindow = life.filter(event => event.at > at - windowMs && event.at <= at);
			const extraInWindow = inWindow.filter(({isExtra}) => isExtra).length;
			return extraInWindow > ratio * (inWindow.length - extraInWindow);
		}));
		t.deepEqual(exceeded, []);
	}
});

test('statistics that are not used expire', t => {
	const {extraAttempts} = createUsed();
	extraAttempts.recordPending(slowRequest(), 100);
	t.deepEqual(extraAttempts.slowEndpoints(399), ['e0']);
	t.deepEqual(extraAttempts.slowEndpoints(400), []);
	extraAttempts.expire(600_000);
	t.is(extraAttempts.delayMs('assistant', route.name), 100);
	extraAttempts.expire(600_001);
	t.is(extraAttempts.delayMs('assistant', route.name), undefined);
	t.is(extraAttempts.remaining('assistant', 0.1, 600_001), 0);
});

test('the saved time is what slow requests without an extra attempt took beyond that', t => {
	const {extraAttempts} = createUsed();
	t.is(extraAttempts.savedMs('assistant', route.name, 50), 0);
	extraAttempts.recordExcess('assistant', route.name, 400, 0);
	t.is(extraAttempts.savedMs('assistant', route.name, 50), 350);
	t.is(extraAttempts.savedMs('assistant', route.name, 500), 0);
});
