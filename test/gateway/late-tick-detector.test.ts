import test from 'ava';
import {LateTickDetector} from '../../src/gateway/late-tick-detector.js';

// Guards against running work that is given up or started again elsewhere after a suspension, before the data that arrived meanwhile is read.
test('only the first tick after a suspension is late', t => {
	const detector = LateTickDetector.create(50);
	t.deepEqual([0, 50, 120, 3000, 3050, 3100].map(now => detector.tick(now)), [false, false, false, true, false, false]);
});

// Guards against an instance that judges nothing any more because it never gets enough processor time.
test('of ticks that are all late, every second one counts', t => {
	const detector = LateTickDetector.create(50);
	t.deepEqual([0, 300, 600, 900, 1200, 1250].map(now => detector.tick(now)), [false, true, false, true, false, false]);
});

// Guards against a stop whose stages count from when a busy process read the signal.
test('what is read after a suspension may have arrived since the last tick before it, also when a late tick comes first', t => {
	const detector = LateTickDetector.create(50);
	t.is(detector.earliestArrivalAt(10), 10);
	detector.tick(100);
	t.is(detector.earliestArrivalAt(150), 150);
	t.is(detector.earliestArrivalAt(2000), 100);
	detector.tick(2000);
	t.is(detector.earliestArrivalAt(2010), 100);
	t.is(detector.earliestArrivalAt(2060), 2060);
	detector.tick(2050);
	t.is(detector.earliestArrivalAt(2055), 2055);
});
