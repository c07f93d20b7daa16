import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {
	assertInvariants, countResults, createLoadPlan, runFleetLoad, startServingFleet,
} from '../fixtures/fleet-under-load.js';
import {statusOf, waitForVersion} from '../fixtures/service-changes.js';

// Guards against entries that stop serving while the configuration service is unavailable, and against a new entry that returns to an older version.
test.serial('entries keep serving during an outage of the configuration service, and a new entry takes the newest version from its peers', async t => {
	const fleet = await startServingFleet(t);
	const version = fleet.setAvailabilityZoneState('scotland-c', 'out');
	await waitForVersion(fleet, ['entry-1', 'entry-2', 'entry-3'], version);
	// The service returns to its first revision for all entries.
	fleet.configurationService.setBehaviour({frozenRevision: 1});
	await fleet.killEntry('entry-2');
	fleet.startEntry('entry-2');
	await fleet.waitUntilReady(['entry-2']);
	const restarted = await statusOf(fleet, 'entry-2');
	t.is(restarted.configuration?.version, version);
	fleet.configurationService.setBehaviour({availability: 'down'});
	const records = await runFleetLoad(fleet, createLoadPlan({seed: 15, durationMs: 4000, requestsPerSecond: 10}));
	t.log(countResults(records));
	t.deepEqual(records.filter(({result}) => result !== 'completed'), []);
	const reports = await Promise.all(['entry-1', 'entry-2', 'entry-3'].map(async slot => statusOf(fleet, slot)));
	t.deepEqual(reports.map(({configuration}) => configuration?.version), [version, version, version]);
	t.true(reports.every(({configurationService}) => !configurationService.isReachable));
	await assertInvariants(t, fleet, records);
});

// Guards against an invalid or outdated document that replaces the one in force.
test.serial('after concurrent and invalid documents the newest valid one is in force on every entry', async t => {
	const fleet = await startServingFleet(t);
	fleet.setAvailabilityZoneState('scotland-a', 'out');
	fleet.setAvailabilityZoneState('scotland-b', 'out');
	const version = fleet.setAvailabilityZoneState('scotland-a', 'in');
	// The service only returns its latest revision, so an invalid one published immediately would hide the valid one from every entry.
	await waitForVersion(fleet, ['entry-1', 'entry-2', 'entry-3'], version);
	fleet.changeOverlay(overlay => ({...overlay, regions: []}));
	await sleep(1000);
	const reports = await Promise.all(['entry-1', 'entry-2', 'entry-3'].map(async slot => statusOf(fleet, slot)));
	for (const {configuration, availabilityZones, problems} of reports) {
		t.is(configuration?.version, version);
		t.deepEqual(availabilityZones.filter(({state}) => state === 'out').map(zone => zone.availabilityZone), ['scotland-b']);
		t.true(problems.some(({type}) => type === 'configuration-rejected'));
	}
});
