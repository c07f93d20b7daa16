import {existsSync} from 'node:fs';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import test from 'ava';
import {request} from 'undici';
import {audit, countViolations} from '../../bench/audit.js';
import {runLoad, type LoadPlanOptions} from '../../bench/load.js';
import {configurationSchema} from '../../src/shared/configuration/index.js';
import {parseLogLine} from '../../standins/fleet/fleet-process.js';
import {
	Fleet, createClachan, createKaroo, readExampleDeployment, waitFor, type FleetOptions,
} from '../../standins/fleet/index.js';
import {startFleet} from '../fixtures/fleet.js';

const entryMainPath = fileURLToPath(new URL('../fixtures/forwarding-entry.js', import.meta.url));
const options: FleetOptions = {deployment: readExampleDeployment('clachan', {entries: 2}), entryMainPath};
const load: LoadPlanOptions = {
	seed: 1,
	durationMs: 1500,
	requestsPerSecond: 40,
	workspaces: {glasgow: {weight: 1, tiers: {interview: 1, plan: 1}}},
	engine: {
		model: 'casefile-assistant', promptCharacters: {minimum: 100, maximum: 2000}, outputTokens: {minimum: 4, maximum: 40}, prefixCharacters: 1024,
	},
	plain: {service: 'diary', collection: 'bookings', ratio: 0.3},
};

function isAlive(pid: number): boolean {
	try {
		return process.kill(pid, 0);
	} catch {
		return false;
	}
}

async function readLogs(fleet: Fleet) {
	return Promise.all(fleet.endpoints.map(async endpoint => ({endpoint: endpoint.name, dispatches: await endpoint.dispatches()})));
}

// Guards against demo documents that an entry would reject.
test('the documents of both deployments are valid', t => {
	for (const {base, overlay, engines, plainServices} of [createClachan(), createKaroo(), readExampleDeployment('clachan'), readExampleDeployment('karoo')]) {
		const endpoints = Object.fromEntries(Object.entries(overlay.endpoints).map(([name, endpoint]) => [name, {...endpoint, address: '127.0.0.1:1'}]));
		const result = configurationSchema.safeParse({...base, ...overlay, endpoints});
		t.is(result.error?.message, undefined);
		t.deepEqual(Object.keys({...engines, ...plainServices}).toSorted(), Object.keys(overlay.endpoints).toSorted());
	}
});

test('parseLogLine reads quoted values', t => {
	t.deepEqual(parseLogLine(String.raw`time=1 event=ready detail="a \"b\" c" slot=entry-1`), {
		time: '1', event: 'ready', detail: 'a "b" c', slot: 'entry-1',
	});
});

// Guards against a load generator or audit that reports violations of a correct fleet, or counts nothing.
test('a load through a fleet completes and passes the audit', async t => {
	const fleet = await startFleet(t, {...options, endpointsPerProcess: 6});
	await fleet.waitUntilReady();
	const records = await runLoad(load, {targets: () => [...fleet.entries.values()].map(entry => entry.callersUrl)});
	const logs = await readLogs(fleet);
	t.true(records.length > 20);
	t.deepEqual(records.filter(({isCorrect}) => !isCorrect), []);
	t.is(logs.flatMap(({dispatches}) => dispatches).length, records.length);
	t.deepEqual(countViolations(audit(records, logs)), {
		dispatchedTwice: 0, ranAfterRefusal: 0, wrongResponses: 0, responsesWithoutDispatch: 0, coldOverloads: 0,
	});
});

test('an entry can be suspended, resumed, killed, started again and stopped', async t => {
	const fleet = await startFleet(t, {...options, instanceListLagMs: 0});
	await fleet.waitUntilReady();
	const entry = fleet.entry('entry-1');
	entry.suspend();
	await waitFor(async () => !(await entry.isReady()), {what: 'the suspended entry to stop responding'});
	entry.resume();
	await entry.waitUntilReady();

	const {pid} = entry;
	await fleet.killEntry('entry-1');
	t.false(isAlive(pid!));
	t.is(entry.exitStatus?.signal, 'SIGKILL');
	t.deepEqual(fleet.instanceList.visibleListing().instances.filter(({role}) => role === 'entry').map(({name}) => name), ['entry-2']);

	fleet.startEntry('entry-1');
	await entry.waitUntilReady();
	t.not(entry.pid, pid);
	const stopping = fleet.stopEntry('entry-1');
	t.is(fleet.instanceList.visibleListing().instances.find(({name}) => name === 'entry-1')?.state, 'leaving');
	await stopping;
	t.is(entry.exitStatus?.code, 0);
});

// Guards against processes and files that a test leaves behind.
test('disposal ends every process, suspended ones too, and removes the directory', async t => {
	const fleet = await Fleet.start({...options, endpointsPerProcess: 12});
	await fleet.waitUntilReady();
	fleet.entry('entry-1').suspend();
	const pids = [...fleet.entries.values()].map(({pid}) => pid!);
	const {directory} = fleet;
	t.true(pids.every(pid => isAlive(pid)));
	await fleet.dispose();
	t.deepEqual(pids.filter(pid => isAlive(pid)), []);
	t.false(existsSync(directory));
});

test('an entry that ends early is reported with its log file', async t => {
	const fleet = await startFleet(t, {...options, entryMainPath: '/nonexistent/main.js'});
	await t.throwsAsync(fleet.waitUntilReady(), {message: /entry-\d ended with .*entry-\d\.log/v});
});

test('waitFor has a time limit and names the condition', async t => {
	await t.throwsAsync(waitFor(() => false, {what: 'nothing', timeoutMs: 10}), {name: 'DeadlineError', message: 'waited 10 ms for: nothing'});
});

// Guards against a zone change that the entries never see, and against addresses lost by a change.
test('a change of the overlay is published with the addresses of the stand-ins', async t => {
	const fleet = await startFleet(t, {...options, slots: []});
	t.is(fleet.setAvailabilityZoneState('scotland-b', 'out'), 2);
	const response = await request(`http://${fleet.configurationService.address}/v1/snapshot?site=clachan`);
	const {revision, overlay} = await response.body.json() as {revision: number; overlay: {availabilityZones: Record<string, unknown>; endpoints: Record<string, {address: string}>}};
	t.is(revision, 2);
	t.like(overlay.availabilityZones['scotland-b'], {state: 'out'});
	t.is(overlay.endpoints['assistant-1']?.address, fleet.endpoint('assistant-1').address);
});

// Guards against a partition that separates the wrong entry: the proxy must know which process opened a connection.
test('a proxy in front of an endpoint distinguishes the entries', async t => {
	const deployment = readExampleDeployment('clachan', {entries: 2});
	const fleet = await startFleet(t, {...options, deployment, proxies: ['endpoints', 'configuration']});
	await fleet.waitUntilReady();
	for (const name of Object.keys(deployment.overlay.endpoints)) {
		fleet.endpointProxy(name).setFault({resetsConnections: true}, 'entry-1');
	}

	const records = await runLoad({...load, durationMs: 1000}, {targets: () => [fleet.entry('entry-1').callersUrl], maximumOtherEntries: 0});
	t.true(records.length > 5);
	t.deepEqual(records.filter(({isCorrect}) => isCorrect), []);
	const others = await runLoad({...load, durationMs: 1000}, {targets: () => [fleet.entry('entry-2').callersUrl], maximumOtherEntries: 0});
	t.deepEqual(others.filter(({isCorrect}) => !isCorrect), []);
});

test('an endpoint with a process of its own can be killed', async t => {
	const deployment = {...options.deployment, engines: {}, plainServices: {'diary-1': {}, 'diary-2': {}}};
	const fleet = await startFleet(t, {deployment, slots: [], endpointsPerProcess: 1});
	await fleet.killEndpoint('diary-1');
	await t.throwsAsync(fleet.endpoint('diary-1').counters(), {code: 'ECONNREFUSED'});
	t.like(await fleet.endpoint('diary-2').counters(), {running: 0});
});
