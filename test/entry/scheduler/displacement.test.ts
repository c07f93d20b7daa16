import test from 'ava';
import {Displacement} from '../../../src/entry/scheduler/displacement.js';
import {ManualClock} from '../../fixtures/manual-clock.js';
import {createSubmission} from '../../fixtures/submission.js';

// Guards against shedding a request although a peer still has a lower tier waiting.
test('a request is shed only after every peer has answered that it has nothing lower', t => {
	const displacement = Displacement.create(ManualClock.create());
	const submission = createSubmission({requestId: 'one'});
	t.like(displacement.start(submission, 0, ['entry-2', 'entry-3']), {kind: 'ask', peer: 'entry-2'});
	t.like(displacement.receiveReply('one', 'entry-2', false), {kind: 'ask', peer: 'entry-3'});
	t.like(displacement.receiveReply('one', 'entry-3', false), {kind: 'shed'});
	t.is(displacement.size, 0);
});

test('a request is admitted when a peer has displaced a lower tier', t => {
	const displacement = Displacement.create(ManualClock.create());
	displacement.start(createSubmission({requestId: 'one'}), 0, ['entry-2']);
	t.like(displacement.receiveReply('one', 'entry-2', true), {kind: 'admit'});
	t.is(displacement.receiveReply('one', 'entry-2', true), undefined);
});

// Guards against a request that waits for ever for a peer which has died.
test('a peer that does not answer in time is passed over', t => {
	const clock = ManualClock.create();
	const displacement = Displacement.create(clock);
	displacement.start(createSubmission({requestId: 'one'}), 0, ['entry-2', 'entry-3']);
	clock.advance(249);
	t.deepEqual(displacement.tick(), []);
	clock.advance(1);
	t.like(displacement.tick()[0], {kind: 'ask', peer: 'entry-3'});
	// A late answer of the peer that was passed over decides nothing.
	t.is(displacement.receiveReply('one', 'entry-2', false), undefined);
	clock.advance(250);
	t.like(displacement.tick()[0], {kind: 'shed'});
});

test('without peers that have lower tiers a request is shed at once', t => {
	t.like(Displacement.create(ManualClock.create()).start(createSubmission({}), 0, []), {kind: 'shed'});
});
