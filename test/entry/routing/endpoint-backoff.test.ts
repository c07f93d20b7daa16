import test from 'ava';
import {EndpointBackoff} from '../../../src/entry/routing/index.js';
import {ManualClock} from '../../fixtures/manual-clock.js';

// Guards against an endpoint that refuses connections and gets every request, because it fails faster than others respond.
test('an unreachable endpoint gets no requests for a time that doubles with each failure', t => {
	const clock = ManualClock.create();
	const backoff = EndpointBackoff.create(clock);
	for (const backoffMs of [250, 500, 1000, 2000, 4000, 4000]) {
		backoff.recordUnreachable('engine-1');
		clock.advance(backoffMs - 1);
		t.false(backoff.mayTry('engine-1'));
		clock.advance(1);
		t.true(backoff.mayTry('engine-1'));
	}

	t.true(backoff.mayTry('engine-2'));
});

// Guards against one burst of failed attempts that is counted as many consecutive failures.
test('failures during the pause do not lengthen it', t => {
	const clock = ManualClock.create();
	const backoff = EndpointBackoff.create(clock);
	for (let attempt = 0; attempt < 10; attempt++) {
		backoff.recordUnreachable('engine-1');
	}

	clock.advance(250);
	t.true(backoff.mayTry('engine-1'));
});

test('after a successful connection the next pause is the shortest again', t => {
	const clock = ManualClock.create();
	const backoff = EndpointBackoff.create(clock);
	backoff.recordUnreachable('engine-1');
	clock.advance(250);
	backoff.recordReached('engine-1');
	backoff.recordUnreachable('engine-1');
	clock.advance(250);
	t.true(backoff.mayTry('engine-1'));
});
