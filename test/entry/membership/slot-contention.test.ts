import test from 'ava';
import {SlotContention} from '../../../src/entry/membership/slot-contention.js';
import {ManualClock} from '../../fixtures/manual-clock.js';

function createContention(): {contest: SlotContention; clock: ManualClock} {
	const clock = ManualClock.create();
	const contest = SlotContention.create({clock, random: () => 0});
	contest.applyGroup(new Set(['entry-1', 'entry-2', 'entry-3']), 2000);
	return {contest, clock};
}

test('a slot is contested from a refusal until peers have answered for one lease without another', t => {
	const {contest, clock} = createContention();
	t.false(contest.isContested);
	contest.recordRefusal('entry-2', 0, false);
	t.true(contest.isContested);
	clock.advance(2000);
	contest.recordReply('entry-2', true);
	clock.advance(1999);
	contest.recordReply('entry-3', false);
	t.true(contest.isContested);
	clock.advance(1);
	contest.recordReply('entry-2', true);
	t.false(contest.isContested);
});

// Guards against a vote after a silence: nobody refuses an incarnation that sends nothing.
test('a slot stays contested while no peer answers', t => {
	const {contest, clock} = createContention();
	contest.recordRefusal('entry-2', 0, false);
	clock.advance(60_000);
	t.true(contest.isContested);
	contest.recordReply('entry-2', true);
	t.true(contest.isContested);
});

test('the grant of the lease ends a contest', t => {
	const {contest, clock} = createContention();
	contest.recordRefusal('entry-2', 0, false);
	contest.reset();
	t.true(contest.isContested, 'the refusal is less than one lease old');
	clock.advance(2000);
	t.false(contest.isContested);
});

// Guards against a holder that stops voting or pauses because a second process of its slot was started by mistake.
test('a refusal while the lease is held counts only as long as it is fresh', t => {
	const {contest, clock} = createContention();
	for (let round = 0; round < 20; round++) {
		contest.recordRefusal('entry-2', clock.now(), true);
		clock.advance(400);
	}

	t.false(contest.isPaused);
	t.is(contest.recentRefusals, 1);
	clock.advance(2000);
	t.false(contest.isContested);
});

test('a contest of two leases ends in a pause that outlasts the bindings', t => {
	const {contest, clock} = createContention();
	for (let round = 0; round < 10; round++) {
		contest.recordRefusal('entry-2', clock.now(), false);
		t.false(contest.isPaused);
		clock.advance(400);
	}

	contest.recordRefusal('entry-2', clock.now(), false);
	t.true(contest.isPaused);
	clock.advance(2499);
	t.true(contest.isPaused);
	clock.advance(1);
	t.false(contest.isPaused);
});

test('refusals of slots that left the group do not count', t => {
	const {contest} = createContention();
	contest.recordRefusal('entry-2', 0, false);
	contest.applyGroup(new Set(['entry-1', 'entry-3']), 2000);
	t.is(contest.recentRefusals, 0);
});
