import {createServer, type AddressInfo, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {StoreClient, type StoreError} from '../../platform/store-client.js';
import {createConfigurationDocument, createEndpointDocument} from '../../standins/platform-documents.js';
import {PlatformStore} from '../../standins/platform-store.js';
import {StalledStore} from '../fixtures/gateway/stalled-store.js';

async function createClient(t: {teardown(callback: () => Promise<void>): void}, pageSize = 2): Promise<{store: PlatformStore; client: StoreClient}> {
	const store = await PlatformStore.listen({pageSize});
	const client = StoreClient.create(store.address);
	t.teardown(async () => {
		await client.dispose();
		await store.dispose();
	});
	return {store, client};
}

const filler = 'x'.repeat(65_536);
const server = createServer();

test('reads all pages of the list', async t => {
	const {store, client} = await createClient(t);
	for (const zone of ['a', 'b', 'c', 'd', 'e']) {
		store.put(`op/evacuate/${zone}`, {});
	}

	const snapshot = await client.read(1000);
	t.deepEqual([...snapshot.evacuatedZones], ['a', 'b', 'c', 'd', 'e']);
	t.is(snapshot.revision, store.revision);
	t.is(store.calls, 3);
});

test('a refused request fails as rejected', async t => {
	const {store, client} = await createClient(t);
	store.fault = {kind: 'status', status: 503};
	const error = await t.throwsAsync<StoreError>(client.read(1000), {name: 'StoreError'});
	t.is(error.failure, 'rejected');
});

test('a read without a response times out, and the next one uses another connection', async t => {
	const {store, client} = await createClient(t);
	store.fault = {kind: 'silent'};
	const error = await t.throwsAsync<StoreError>(client.read(50), {name: 'StoreError'});
	t.is(error.failure, 'unreachable');
	store.fault = undefined;
	await t.notThrowsAsync(client.read(1000));
});

test('a response of another format fails as malformed', async t => {
	const {store, client} = await createClient(t);
	store.fault = {kind: 'body', body: '{"items":3}'};
	const error = await t.throwsAsync<StoreError>(client.read(1000), {name: 'StoreError'});
	t.is(error.failure, 'malformed');
});

// Guards against memory that grows while a faulty store sends bytes without end.
test('a page without end fails as malformed and closes its connection', async t => {
	let sentBytes = 0;
	const closed = new Promise<void>(resolve => {
		server.on('connection', (socket: Socket) => {
			socket.on('error', () => undefined);
			socket.on('close', () => {
				resolve();
			});
			socket.write('HTTP/1.1 200 OK\r\n\r\n');
			const write = () => {
				do {
					sentBytes += filler.length;
				} while (socket.write(filler));
			};

			socket.on('drain', write);
			write();
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const client = StoreClient.create({host: '127.0.0.1', port: (server.address() as AddressInfo).port});
	t.teardown(async () => {
		await client.dispose();
		server.close();
	});
	const error = await t.throwsAsync<StoreError>(client.read(10_000), {name: 'StoreError'});
	t.is(error.failure, 'malformed');
	await closed;
	t.true(sentBytes < 64_000_000);
});

// Guards against reads that hang while a connection is being opened: its packets are sent again only after seconds, so the return of the store is noticed late.
test('a read does not outlast its time limit while the store accepts no connection', async t => {
	const store = await StalledStore.listen();
	const client = StoreClient.create(store.address);
	t.teardown(async () => {
		await client.dispose();
		await store.dispose();
	});
	await store.stall();
	const reads = Promise.allSettled([1, 2, 3].map(async () => client.read(600)));
	const outcome = await Promise.race([reads, delay(6000, 'pending')]);
	t.not(outcome, 'pending');
	t.true((outcome as Array<PromiseSettledResult<unknown>>).every(({status}) => status === 'rejected'));
	await store.resume();
	const snapshot = await client.read(5000);
	t.is(snapshot.revision, 7);
});

// Guards against reads of a large configuration that has not changed.
test('a read of the records keeps the configuration that was read last, and has the same digest', async t => {
	const {store, client} = await createClient(t);
	store.put('op/config', createConfigurationDocument());
	store.put('servers/e1', createEndpointDocument({service: 'engines', address: '127.0.0.1:1'}));
	store.put('servers/e2', createEndpointDocument({service: 'engines', address: '127.0.0.1:2'}));
	const all = await client.read(1000);
	t.is(all.endpoints.length, 2);
	const records = await client.readRecords(1000);
	t.deepEqual({...records, revision: all.revision}, all);
	store.remove('servers/e1');
	store.put('op/evacuate/a', {});
	const changed = await client.readRecords(1000);
	t.is(changed.configuration, all.configuration);
	t.deepEqual([...changed.evacuatedZones], ['a']);
	t.deepEqual(changed.endpoints.map(({id}) => id), ['e2']);
	const changedAll = await client.read(1000);
	t.is(changed.digest, changedAll.digest);
});
