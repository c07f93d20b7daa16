import test, {type ExecutionContext} from 'ava';
import {Client} from 'undici';
import {lookupServices} from '../../soak/configuration.js';
import {SoakEndpoints, type SoakEndpoint} from '../../soak/endpoints.js';
import {unplannedFaults} from '../../soak/faults.js';
import type {FaultPeriod} from '../../soak/history.js';
import type {SoakSite} from '../../soak/site.js';
import {PlatformStore} from '../../standins/platform-store.js';
import {RandomSource} from '../../standins/random-source.js';
import {until} from '../fixtures/until.js';

type Endpoints = {readonly endpoints: SoakEndpoints; readonly readIds: () => Promise<string[]>; readonly faultPeriods: FaultPeriod[]};

async function startEndpoints(t: ExecutionContext): Promise<Endpoints> {
	const store = await PlatformStore.listen();
	const faultPeriods: FaultPeriod[] = [];
	const endpoints = SoakEndpoints.create({
		store, events: [], faultPeriods, crashingParts: new Set(['bad']),
	});
	t.teardown(async () => {
		await endpoints.dispose();
		await store.dispose();
	});
	await endpoints.start(lookupServices);
	const readIds = async () => {
		const response = await fetch(`http://${store.address.host}:${store.address.port}/api/kv-range?path_prefix=servers/`);
		const {items} = await response.json() as {items: Array<{key: string}>};
		return items.map(({key}) => key.replace('servers/', ''));
	};

	return {endpoints, readIds, faultPeriods};
}

function connectTo(t: ExecutionContext, {proxy}: SoakEndpoint) {
	const client = new Client(`http://${proxy.address}`);
	t.teardown(async () => client.destroy());
	return async (requestId: string, endpointId: string, headers: Record<string, string> = {}) => {
		const {statusCode, body} = await client.request({method: 'POST', path: '/', headers: {'x-request-id': requestId, 'x-expect-instance': endpointId, ...headers}});
		await body.dump();
		return statusCode;
	};
}

function findPlainEndpoint({endpoints}: Endpoints): SoakEndpoint {
	return endpoints.current.find(({service}) => service === lookupServices[0])!;
}

test('an endpoint answers to its new id over an open connection before its record names it', async t => {
	const started = await startEndpoints(t);
	const {endpoints, readIds} = started;
	const endpoint = findPlainEndpoint(started);
	const oldId = endpoint.id;
	const send = connectTo(t, endpoint);
	t.is(await send('before', oldId), 200);
	const told = endpoints.takeNewId(endpoint, 200);
	const newId = endpoint.standIn.id;
	t.is(await send('moved', oldId), 421);
	const untoldIds = await readIds();
	t.true(untoldIds.includes(oldId));
	t.is(await send('moved', newId), 200);
	t.is(endpoint.proxy.connectionCount, 1);
	await told;
	t.is(endpoint.id, newId);
	const ids = await readIds();
	t.deepEqual([ids.includes(oldId), ids.includes(newId)], [false, true]);
});

// Guards against a second run that is not counted because the endpoint has another id by then.
test('runs of one request under both ids of an endpoint are both recorded', async t => {
	const started = await startEndpoints(t);
	const {endpoints} = started;
	const endpoint = findPlainEndpoint(started);
	const oldId = endpoint.id;
	const send = connectTo(t, endpoint);
	await send('twice', oldId);
	await endpoints.takeNewId(endpoint, 0);
	await send('twice', endpoint.id);
	t.deepEqual(endpoints.receivedRequests().map(({requestId, endpoint: id, isExecuted, start}) => [requestId, id, isExecuted, start]), [['twice', oldId, true, 4], ['twice', endpoint.id, true, 4]]);
});

test('an engine that crashes while its new id is not told yet comes back under a third id', async t => {
	const {endpoints, readIds} = await startEndpoints(t);
	const engine = endpoints.current.find(({service}) => service === 'engines')!;
	const {id: oldId, proxy: {address}} = engine;
	const send = connectTo(t, engine);
	const told = endpoints.takeNewId(engine, 400);
	const untoldId = engine.standIn.id;
	await t.throwsAsync(send('crash', untoldId, {'x-prompt-prefix': 'bad:30,own:30'}));
	await told;
	const idsOfCrashed = await readIds();
	t.true(idsOfCrashed.includes(oldId));
	const findReplacement = () => endpoints.current.find(other => other !== engine && other.proxy.address === address);
	await until(() => findReplacement() !== undefined);
	t.false([undefined, oldId, untoldId].includes(findReplacement()?.id));
	const ids = await readIds();
	t.deepEqual([ids.includes(oldId), ids.includes(untoldId)], [false, false]);
});

test('the faults of copies and new ids end within their recorded periods', async t => {
	const {endpoints, faultPeriods, readIds} = await startEndpoints(t);
	const site = {endpoints, faultPeriods} as unknown as SoakSite;
	const firstIds = endpoints.current.map(({id}) => id);
	for (const fault of [unplannedFaults.newIdsAmongCopies, unplannedFaults.copiesOfRefusals, unplannedFaults.newId]) {
		// eslint-disable-next-line no-await-in-loop
		await fault(site, RandomSource.create(1));
		t.true(faultPeriods.every(period => period.until < Infinity));
		t.deepEqual(endpoints.current.filter(({standIn, isTakingId, id}) => standIn.lateCopies.isEnabled || standIn.faults.length > 0 || isTakingId === true || standIn.id !== id), []);
	}

	t.notDeepEqual(endpoints.current.map(({id}) => id), firstIds);
	t.deepEqual(await readIds(), endpoints.current.map(({id}) => id).toSorted());
});

test('no id changes while a limit or a fault of connections is recorded under it', async t => {
	const {endpoints, faultPeriods} = await startEndpoints(t);
	const site = {endpoints, faultPeriods} as unknown as SoakSite;
	const firstIds = endpoints.current.map(({id}) => id);
	for (const {standIn} of endpoints.current) {
		standIn.statedHeaders = {'server-limit': '1'};
	}

	await unplannedFaults.newId(site, RandomSource.create(1));
	t.deepEqual(endpoints.current.map(({id}) => id), firstIds);
	for (const {standIn} of endpoints.current) {
		standIn.statedHeaders = {};
	}

	const all = endpoints.current;
	const [engine] = all;
	endpoints.current = [engine!];
	t.teardown(() => {
		endpoints.current = all;
	});
	const connectionFault = unplannedFaults.endpointConnections(site, RandomSource.create(1));
	await unplannedFaults.newId(site, RandomSource.create(1));
	t.is(engine!.id, firstIds[0]!);
	await connectionFault;
	await unplannedFaults.newId(site, RandomSource.create(1));
	t.not(engine!.id, firstIds[0]!);
});
