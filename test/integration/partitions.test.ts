import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {
	assertInvariants, countResults, createLoadPlan, runFleetLoad, startServingFleet, testPolicy, waitUntilServing,
} from '../fixtures/fleet-under-load.js';
import {assertZoneEvacuated, statusOf, waitForVersion} from '../fixtures/service-changes.js';

// Guards against an entry that continues to dispatch into the zone because it can't read the configuration service.
test.serial('an entry that is cut off from the configuration service learns of a zone change from its peers', async t => {
	const fleet = await startServingFleet(t, {proxies: ['configuration']});
	fleet.configurationProxy('entry-1').setFault({blackHole: 'both'});
	const load = runFleetLoad(fleet, createLoadPlan({seed: 12, durationMs: 7000, requestsPerSecond: 15}));
	await sleep(1500);
	const changedAt = Date.now();
	const version = fleet.setAvailabilityZoneState('scotland-b', 'out');
	await waitForVersion(fleet, ['entry-1', 'entry-2', 'entry-3'], version);
	const records = await load;
	t.log(countResults(records));
	await assertZoneEvacuated(t, fleet, changedAt);
	await assertInvariants(t, fleet, records);
});

// Guards against an entry on the minority side of a partition that dispatches according to an old configuration.
test.serial('an isolated entry stops dispatching and serves again after the partition', async t => {
	const fleet = await startServingFleet(t, {proxies: ['peers', 'configuration']});
	const load = runFleetLoad(fleet, createLoadPlan({seed: 13, durationMs: 9000, requestsPerSecond: 15}));
	await sleep(1500);
	fleet.isolateEntry('entry-1');
	fleet.configurationProxy('entry-1').setFault({blackHole: 'both'});
	const changedAt = Date.now();
	fleet.setAvailabilityZoneState('scotland-b', 'out');
	await sleep(testPolicy.leaseMilliseconds + 1000);
	const {lease, readiness} = await statusOf(fleet, 'entry-1');
	t.false(lease.isHeld);
	t.false(readiness.ready);
	await sleep(1500);
	fleet.clearPeerFaults();
	fleet.configurationProxy('entry-1').clearFaults();
	const records = await load;
	t.log(countResults(records));
	await assertZoneEvacuated(t, fleet, changedAt);
	fleet.setAvailabilityZoneState('scotland-b', 'in');
	await fleet.waitUntilReady();
	await waitUntilServing(fleet);
	await assertInvariants(t, fleet, records);
});

// Guards against an acknowledgement rule that counts a peer which does not receive this entry's messages.
test.serial('an entry whose messages do not arrive stops dispatching', async t => {
	const fleet = await startServingFleet(t, {proxies: ['peers']});
	fleet.blockOneWay('entry-1', 'entry-2');
	fleet.blockOneWay('entry-1', 'entry-3');
	await fleet.waitFor(async () => {
		const {lease} = await statusOf(fleet, 'entry-1');
		return !lease.isHeld;
	}, {what: 'entry-1 loses its lease', timeoutMs: testPolicy.leaseMilliseconds + 2000});
	t.true(await fleet.entry('entry-2').isReady());
	t.true(await fleet.entry('entry-3').isReady());
	fleet.clearPeerFaults();
	await fleet.waitUntilReady();
});

