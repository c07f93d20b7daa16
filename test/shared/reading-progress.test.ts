import {Socket} from 'node:net';
import {setImmediate as turn} from 'node:timers/promises';
import test from 'ava';
import {ReadingProgress} from '../../src/shared/reading-progress.js';
import {ManualClock} from '../fixtures/manual-clock.js';

const lateMs = 500;

function createProgress() {
	const clock = ManualClock.create();
	const errors: unknown[] = [];
	return {
		clock, errors, progress: ReadingProgress.create(clock, error => {
			errors.push(error);
		}),
	};
}

async function turnRounds(count: number): Promise<void> {
	for (let round = 0; round < count; round++) {
		// eslint-disable-next-line no-await-in-loop
		await turn();
	}
}

test('a process that has not read for a while is late until everything that had arrived is read', async t => {
	const {clock, progress} = createProgress();
	t.false(progress.isLate());
	clock.advance(lateMs);
	t.true(progress.isLate());
	progress.update();
	await turnRounds(1);
	t.true(progress.isLate());
	await turnRounds(1);
	t.false(progress.isLate());
	t.is(progress.unreadMs(), 0);
});

// Guards against a connection whose caller left in the backlog, and that is accepted when everything else has been read.
test('a connection may have waited since the last round in which none was accepted', async t => {
	const {clock, progress} = createProgress();
	clock.advance(lateMs);
	progress.update();
	await turnRounds(1);
	const late = new Socket();
	progress.recordConnection(late);
	await turnRounds(1);
	t.false(progress.isLate());
	// Another connection in that round shows that more may wait.
	const next = new Socket();
	progress.recordConnection(next);
	t.true(progress.isLate(progress.takeWaitingSince(late)));
	t.true(progress.isLate(progress.takeWaitingSince(next)));
	t.is(progress.takeWaitingSince(next), undefined);
	progress.update();
	await turnRounds(2);
	const prompt = new Socket();
	progress.recordConnection(prompt);
	t.false(progress.isLate(progress.takeWaitingSince(prompt)));
});

test('what is added while something is read waits until more is read', async t => {
	const {progress} = createProgress();
	const calls: string[] = [];
	progress.afterReading(() => {
		calls.push('first');
	});
	await turnRounds(1);
	progress.afterReading(() => {
		calls.push('second');
	});
	await turnRounds(1);
	t.deepEqual(calls, ['first']);
	await turnRounds(1);
	t.deepEqual(calls, ['first', 'second']);
});

test('an unexpected error of one request does not keep the others from going on', async t => {
	const {errors, progress} = createProgress();
	let isCalled = false;
	progress.afterReading(() => {
		throw new Error('unexpected');
	});
	progress.afterReading(() => {
		isCalled = true;
	});
	await turnRounds(2);
	t.true(isCalled);
	t.is(errors.length, 1);
});

// Guards against the last of many requests that are sent on a state as old as the handling of all others.
test('what comes after long work on others waits until more is read', async t => {
	const {clock, progress} = createProgress();
	const calls: string[] = [];
	for (const name of ['first', 'second', 'third']) {
		progress.afterReading(() => {
			calls.push(name);
			clock.advance(100);
		});
	}

	await turnRounds(2);
	t.deepEqual(calls, ['first', 'second']);
	await turnRounds(2);
	t.deepEqual(calls, ['first', 'second', 'third']);
});
