import test from 'ava';
import {runBinary} from '../fixtures/run-binary.js';
import {startServingFleet} from '../fixtures/fleet-under-load.js';

// Guards against operator programs that work only with the fake servers of their unit tests.
test.serial('status, wait and audit show a zone that is taken out of a real fleet', async t => {
	const fleet = await startServingFleet(t);
	const {operators} = fleet.entry('entry-1').settings.listen;
	const version = fleet.setAvailabilityZoneState('scotland-d', 'out');
	const wait = await runBinary('fleet-main', 'wait', '--entry', operators, '--version', String(version), '--timeout', '10');
	t.is(wait.exitCode, 0);
	const status = await runBinary('fleet-main', 'status', '--entry', operators, '--json');
	const report = JSON.parse(status.stdout) as {entries: unknown[]};
	t.is(report.entries.length, 3);
	const table = await runBinary('fleet-main', 'status', '--entry', operators);
	t.regex(table.stdout, /scotland-d.*out/v);
	t.log(table.stdout);
	const audit = await runBinary('fleet-main', 'audit', '--entry', operators);
	t.is(audit.exitCode, 0);
	t.regex(audit.stdout, /availability-zone-out/v);
	// No entry can have this version in force.
	const missed = await runBinary('fleet-main', 'wait', '--entry', operators, '--version', String(version + 100), '--timeout', '1');
	t.is(missed.exitCode, 1);
});
