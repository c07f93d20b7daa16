import test from 'ava';
import {ProcessPauses} from '../../../src/entry/scheduler/process-pauses.js';

function createPauses(...ticks: number[]): ProcessPauses {
	const pauses = ProcessPauses.create();
	for (const tick of ticks) {
		pauses.recordTick(tick);
	}

	return pauses;
}

test('only the part of a pause that lies between the two times counts', t => {
	const pauses = createPauses(0, 50, 1050, 1100, 1600, 1650);
	t.is(pauses.pausedMs(0, 1650, 1650), 1500);
	t.is(pauses.pausedMs(550, 1300, 1650), 700);
	t.is(pauses.pausedMs(1050, 1100, 1650), 0);
});

test('ticks that come a little late are no pause', t => {
	t.is(createPauses(0, 50, 240, 300, 480).pausedMs(0, 480, 480), 0);
});

// Guards against a pause that is missed because events that arrived in it are handled before the next tick.
test('a pause counts before a tick has shown its end', t => {
	t.is(createPauses(0, 50).pausedMs(100, 1000, 1000), 900);
	t.is(ProcessPauses.create().pausedMs(100, 1000, 1000), 0);
});

test('the number of remembered pauses is bounded', t => {
	const pauses = createPauses(...Array.from({length: 1000}, (_, index) => index * 300));
	t.is(pauses.pausedMs(0, Infinity, 999 * 300), 64 * 300);
});
