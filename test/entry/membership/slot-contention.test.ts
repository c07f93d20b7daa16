import test from 'ava';
import {SlotContention} from '../../../src/entry/membership/slot-contention.js';
import {ManualClock} from '../../fixtures/manual-clock.js';

function createContention(): {contention: SlotContention; clock: ManualClock} {
	const clock = ManualClock.create();
	const contention = SlotContention.create({clock, random: () => 0});
	contention.setGroup(new Set(['entry-1', 'entry-2', 'entry-3']), 2000);
	return {contention, clock};
}

test('a slot is contested from a refusal until peers have replied for one lease duration without another', t => {
	const {contention, clock} = createContention();
	t.false(contention.isContested);
	contention.recordRefusal('entry-2', 0, false);
	t.true(contention.isContested);
	clock.advance(2000);
	contention.recordReply('entry-2', true);
	clock.advance(1999);
	contention.recordReply('entry-3', false);
	t.true(contention.isContested);
	clock.advance(1);
	contention.recordReply('entry-2', true);
	t.false(contention.isContested);
});

// Guards against an incarnation that votes again after a silence: nobody refuses one that sends nothing.
test('a slot stays contested while no peer replies', t => {
	const {contention, clock} = createContention();
	contention.recordRefusal('entry-2', 0, false);
	clock.advance(60_000);
	t.true(contention.isContested);
	contention.recordReply('entry-2', true);
	t.true(contention.isContested);
});

test('the grant of the lease ends the contention', t => {
	const {contention, clock} = createContention();
	contention.recordRefusal('entry-2', 0, false);
	contention.reset();
	t.true(contention.isContested, 'the refusal is less than one lease duration old');
	clock.advance(2000);
	t.false(contention.isContested);
});

// Guards against a holder that stops voting or pauses because a second process of its slot was started by mistake.
test('a refusal while the lease is held counts only for one lease duration', t => {
	const {contention, clock} = createContention();
	for (let round = 0; round < 20; round++) {
		contention.recordRefusal('entry-2', clock.now(), true);
		clock.advance(400);
	}

	t.false(contention.isPaused);
	t.is(contention.recentRefusals, 1);
	clock.advance(2000);
	t.false(contention.isContested);
});

test('a contention of two lease durations ends in a pause that outlasts the bindings', t => {
	const {contention, clock} = createContention();
	for (let round = 0; round < 10; round++) {
		contention.recordRefusal('entry-2', clock.now(), false);
		t.false(contention.isPaused);
		clock.advance(400);
	}

	contention.recordRefusal('entry-2', clock.now(), false);
	t.true(contention.isPaused);
	clock.advance(2499);
	t.true(contention.isPaused);
	clock.advance(1);
	t.false(contention.isPaused);
});

test('refusals of slots that left the group do not count', t => {
	const {contention} = createContention();
	contention.recordRefusal('entry-2', 0, false);
	contention.setGroup(new Set(['entry-1', 'entry-3']), 2000);
	t.is(contention.recentRefusals, 0);
});
