import test from 'ava';
import {StoreClient, type StoreError} from '../../platform/store-client.js';
import {PlatformStore} from '../../standins/platform-store.js';

async function createClient(t: {teardown(callback: () => Promise<void>): void}, pageSize = 2): Promise<{store: PlatformStore; client: StoreClient}> {
	const store = await PlatformStore.listen({pageSize});
	const client = StoreClient.create(store.address);
	t.teardown(async () => {
		await client.dispose();
		await store.dispose();
	});
	return {store, client};
}

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
