import test from 'ava';
import {Displacement} from '../../../src/entry/scheduler/displacement.js';
import {ManualClock} from '../../fixtures/manual-clock.js';
import {createSubmission} from '../../fixtures/submission.js';

// Guards against a request that is shed although a lower tier still waits at a peer.
test('a request is shed only after every peer has replied that it has no lower tier waiting', t => {
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

// Guards against a request that waits forever for the reply of a peer that has failed.
test('a peer that does not reply in time is skipped', t => {
	const clock = ManualClock.create();
	const displacement = Displacement.create(clock);
	displacement.start(createSubmission({requestId: 'one'}), 0, ['entry-2', 'entry-3']);
	clock.advance(249);
	t.deepEqual(displacement.tick(), []);
	clock.advance(1);
	t.like(displacement.tick()[0], {kind: 'ask', peer: 'entry-3'});
	// A late reply of the skipped peer is ignored.
	t.is(displacement.receiveReply('one', 'entry-2', false), undefined);
	clock.advance(250);
	t.like(displacement.tick()[0], {kind: 'shed'});
});

test('a request is shed at once when no peer has a lower tier waiting', t => {
	t.like(Displacement.create(ManualClock.create()).start(createSubmission({}), 0, []), {kind: 'shed'});
});
