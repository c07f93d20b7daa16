import test from 'ava';
import {createStopSchedule} from '../../../src/gateway/stopping/stop-schedule.js';

for (const graceMs of [500, 2000, 4000, 8000, 30_000]) {
	test(`the stages of a stop with a grace period of ${graceMs} ms follow each other, and requests under way are ended in its last sixth only`, t => {
		const {acceptUntil, dispatchUntil, endRequestsAt, exitAt} = createStopSchedule(1000, graceMs);
		t.true(acceptUntil > 1000);
		t.true(acceptUntil <= dispatchUntil);
		t.true(dispatchUntil < endRequestsAt);
		t.true(endRequestsAt >= 1000 + (graceMs * 5 / 6));
		t.true(endRequestsAt <= exitAt);
		t.true(exitAt < 1000 + graceMs);
	});
}
