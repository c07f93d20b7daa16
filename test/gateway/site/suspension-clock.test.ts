import test from 'ava';
import {SuspensionClock} from '../../../src/gateway/site/suspension-clock.js';
import type {Clock} from '../../../src/shared/clock.js';

function createClock(): {inner: {monotonic: number; wall: number}; clock: SuspensionClock} {
	const inner = {monotonic: 100, wall: 5000};
	const source: Clock = {now: () => inner.monotonic, wallTime: () => inner.wall};
	return {inner, clock: SuspensionClock.create(source)};
}

test('follows the monotonic clock while both clocks advance together', t => {
	const {inner, clock} = createClock();
	inner.monotonic += 40;
	inner.wall += 41;
	t.is(clock.now(), 140);
});

test('counts the time of a suspension, during which the monotonic clock stops', t => {
	const {inner, clock} = createClock();
	inner.monotonic += 10;
	inner.wall += 4010;
	t.is(clock.now(), 4110);
	inner.monotonic += 5;
	inner.wall += 5;
	t.is(clock.now(), 4115);
	t.is(clock.suspendedMs, 4000);
});

test('setting the wall clock back does not make time go backward, and correcting it does not count twice', t => {
	const {inner, clock} = createClock();
	inner.wall -= 2000;
	inner.monotonic += 10;
	t.is(clock.now(), 110);
	inner.wall += 2010;
	inner.monotonic += 10;
	t.true(clock.now() >= 120);
});
