import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {
	assertInvariants, countResults, createLoadPlan, runFleetLoad, startServingFleet,
} from '../fixtures/fleet-under-load.js';
import {assertZoneEvacuated, lastDispatchBoundMs, findLastDispatchAt} from '../fixtures/service-changes.js';

// Guards against dispatches into a zone that was taken out of service, and against a zone that gets none after its return.
test.serial('an availability zone is taken out of service and returned under load without an interrupted request', async t => {
	const fleet = await startServingFleet(t, {entryCount: 4});
	const load = runFleetLoad(fleet, createLoadPlan({seed: 11, durationMs: 10_000, requestsPerSecond: 15}));
	await sleep(2000);
	const changedAt = Date.now();
	fleet.setAvailabilityZoneState('scotland-b', 'out');
	await sleep(4000);
	await assertZoneEvacuated(t, fleet, changedAt);
	const returnedAt = Date.now();
	fleet.setAvailabilityZoneState('scotland-b', 'in');
	const records = await load;
	t.log(countResults(records));
	t.true(await findLastDispatchAt(fleet, 'scotland-b') > returnedAt);
	t.deepEqual(records.filter(({result}) => result !== 'completed'), []);
	await assertInvariants(t, fleet, records);
});

// Guards against dispatches to an endpoint that the instance list shows as leaving.
test.serial('a leaving endpoint gets no new requests', async t => {
	const fleet = await startServingFleet(t);
	const load = runFleetLoad(fleet, createLoadPlan({seed: 14, durationMs: 7000, requestsPerSecond: 20}));
	await sleep(1500);
	const changedAt = Date.now();
	fleet.setInstanceState('engine-1', 'leaving');
	const records = await load;
	const dispatches = await fleet.endpoint('engine-1').dispatches();
	const last = Math.max(0, ...dispatches.map(({time}) => time));
	t.log(`last dispatch ${last - changedAt} ms after the change`, countResults(records));
	t.true(last - changedAt < lastDispatchBoundMs);
	await assertInvariants(t, fleet, records);
});

