import test, {type ExecutionContext} from 'ava';
import {ConfigurationServiceClient, type ConfigurationServiceClientOptions} from '../../../src/entry/platform/configuration-service-client.js';
import {InstanceListClient, type InstanceListClientOptions} from '../../../src/entry/platform/instance-list-client.js';
import {jsonResponder, ScriptedServer, type Responder} from './scripted-server.js';

const {signal} = new AbortController();

async function serve(t: ExecutionContext, responder: Responder): Promise<ScriptedServer> {
	const server = await ScriptedServer.start(responder);
	t.teardown(() => {
		server.stop();
	});
	return server;
}

function configurationClient(t: ExecutionContext, url: string, options: Partial<ConfigurationServiceClientOptions> = {}): ConfigurationServiceClient {
	const client = ConfigurationServiceClient.create({url, site: 'clachan', ...options});
	t.teardown(async () => client.dispose());
	return client;
}

function instanceClient(t: ExecutionContext, url: string, options: Partial<InstanceListClientOptions> = {}): InstanceListClient {
	const client = InstanceListClient.create({url, ...options});
	t.teardown(async () => client.dispose());
	return client;
}

test('a snapshot and a watch are read for the site', async t => {
	const snapshot = {revision: 4, base: {a: 1}, overlay: {b: 2}};
	const server = await serve(t, jsonResponder(snapshot));
	const client = configurationClient(t, server.url);
	t.deepEqual(await client.readSnapshot(signal), snapshot);
	t.deepEqual(await client.watch(3, signal), snapshot);
	t.deepEqual(server.requests, ['/v1/snapshot?site=clachan', '/v1/watch?site=clachan&after=3']);
});

test('a site without an overlay has an empty one', async t => {
	const server = await serve(t, jsonResponder({revision: 4, base: {a: 1}, overlay: null}));
	t.deepEqual(await configurationClient(t, server.url).readSnapshot(signal), {revision: 4, base: {a: 1}, overlay: {}});
});

test('a watch that the service ends without a change returns undefined', async t => {
	const server = await serve(t, (_request, response) => {
		response.writeHead(204);
		response.end();
	});
	t.is(await configurationClient(t, server.url).watch(3, signal), undefined);
});

test('instances are read with their states and addresses', async t => {
	const listing = {
		revision: 9,
		instances: [
			{
				name: 'node-1', role: 'entry', state: 'live', availabilityZone: 'zone-a', addresses: {peers: '127.0.0.1:7000'},
			},
			{
				name: 'engine-1', role: 'endpoint', state: 'leaving', availabilityZone: 'zone-b', addresses: {},
			},
		],
	};
	const server = await serve(t, jsonResponder(listing));
	t.deepEqual(await instanceClient(t, server.url).readListing(signal), listing as never);
	t.deepEqual(server.requests, ['/v1/instances']);
});

const malformedResponses: Readonly<Record<string, Responder>> = {
	'text that is not JSON': jsonResponder('<html>'),
	'an empty body': jsonResponder(''),
	'a list': jsonResponder([]),
	null: jsonResponder('null'),
	'a revision in text form': jsonResponder({
		revision: '4', base: {}, overlay: {}, instances: [],
	}),
	'a negative revision': jsonResponder({
		revision: -4, base: {}, overlay: {}, instances: [],
	}),
	'a huge body': jsonResponder({revision: 1, base: 'x'.repeat(5 * 1024 * 1024), instances: []}),
};

// Guards against an entry that crashes or adopts invalid data because a platform service is faulty.
for (const [description, responder] of Object.entries(malformedResponses)) {
	test(`a response with ${description} is malformed`, async t => {
		const server = await serve(t, responder);
		await t.throwsAsync(configurationClient(t, server.url).readSnapshot(signal), {name: 'PlatformError', message: /^malformed: /v});
		await t.throwsAsync(instanceClient(t, server.url).readListing(signal), {name: 'PlatformError', message: /^malformed: /v});
	});
}

test('an instance with an unknown state makes the list malformed', async t => {
	const server = await serve(t, jsonResponder({
		revision: 1, instances: [{
			name: 'a', role: 'entry', state: 'tired', availabilityZone: 'z', addresses: {},
		}],
	}));
	await t.throwsAsync(instanceClient(t, server.url).readListing(signal), {message: /^malformed: .*instances\.0\.state/v});
});

test('a status other than success is reported', async t => {
	const server = await serve(t, jsonResponder({revision: 1, base: {}, overlay: {}}, 503));
	await t.throwsAsync(configurationClient(t, server.url).readSnapshot(signal), {message: 'status: /v1/snapshot answered 503'});
});

// Guards against a read loop that waits forever for a service that accepts connections and does not respond.
test('a read times out when the service does not respond or its response is incomplete', async t => {
	const silent = await serve(t, () => undefined);
	await t.throwsAsync(configurationClient(t, silent.url, {snapshotTimeoutMs: 50}).readSnapshot(signal), {message: /^timeout: /v});
	await t.throwsAsync(configurationClient(t, silent.url, {watchTimeoutMs: 50}).watch(1, signal), {message: /^timeout: /v});
	const halting = await serve(t, (_request, response) => {
		response.writeHead(200);
		response.write('{"revision": 1,');
	});
	await t.throwsAsync(instanceClient(t, halting.url, {timeoutMs: 50}).readListing(signal), {message: /^timeout: /v});
});

test('a refused or broken connection is reported as unreachable', async t => {
	const server = await serve(t, request => {
		request.socket.destroy();
	});
	await t.throwsAsync(configurationClient(t, server.url).readSnapshot(signal), {message: /^unreachable: /v});
	const {url} = server;
	server.stop();
	await t.throwsAsync(configurationClient(t, url).readSnapshot(signal), {message: /^unreachable: /v});
});

// Guards against a shutdown that waits until a long poll ends.
test('an aborted watch ends immediately', async t => {
	const abort = new AbortController();
	const server = await serve(t, () => {
		abort.abort();
	});
	await t.throwsAsync(configurationClient(t, server.url).watch(1, abort.signal), {message: /^aborted: /v});
});
