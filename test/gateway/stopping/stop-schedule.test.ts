import test from 'ava';
import {createStopSchedule} from '../../../src/gateway/stopping/stop-schedule.js';

for (const graceMs of [500, 2000, 4000, 8000, 30_000]) {
	test(`the stages of a stop with a grace period of ${graceMs} ms follow each other, and requests under way are ended in its last sixth only`, t => {
		const {acceptUntil, dispatchUntil, endRequestsAt, exitAt} = createStopSchedule({earliest: 1000, latest: 1000}, graceMs);
		t.true(acceptUntil > 1000);
		t.true(acceptUntil <= dispatchUntil);
		t.true(dispatchUntil < endRequestsAt);
		t.true(endRequestsAt >= 1000 + (graceMs * 5 / 6));
		t.true(endRequestsAt <= exitAt);
		t.true(exitAt < 1000 + graceMs);
	});
}

test('a request to stop that was read late shortens the stages, but ends no request before the last sixth of the grace period', t => {
	const {
		acceptUntil, listenUntil, dispatchUntil, endRequestsAt, exitAt,
	} = createStopSchedule({earliest: 1000, latest: 1900}, 8000);
	t.is(acceptUntil, 4000);
	t.is(listenUntil, 4900);
	t.is(dispatchUntil, 5000);
	t.true(endRequestsAt >= 1900 + (8000 * 5 / 6));
	t.true(endRequestsAt < exitAt);
	t.true(exitAt < 9000);
});
