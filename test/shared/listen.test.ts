import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {closeAfterReading, listen} from '../../src/shared/listen.js';
import {CallerThread} from '../fixtures/caller-thread.js';

async function startServer(t: ExecutionContext) {
	const server = createServer((_request, response) => {
		response.end('done');
	});
	await listen(server, {host: '127.0.0.1', port: 0});
	const caller = CallerThread.create({host: '127.0.0.1', port: (server.address() as AddressInfo).port});
	await caller.waitUntilStarted();
	t.teardown(async () => {
		await caller.dispose();
		server.closeAllConnections();
	});
	return {server, caller};
}

// Guards against a request that is cut without an answer because it arrived while a process that ends was busy.
test('a request that arrived on a new connection before the server is closed is answered', async t => {
	const {server, caller} = await startServer(t);
	const response = caller.send();
	caller.blockUntilSent();
	const closed = closeAfterReading(server);
	t.regex(await response, /^HTTP\/1\.1 200 .*done$/sv);
	await closed;
});

test('a request that arrived on a kept connection before the server is closed is answered', async t => {
	const {server, caller} = await startServer(t);
	t.regex(await caller.send(), /^HTTP\/1\.1 200 /v);
	caller.reset();
	const response = caller.send();
	caller.blockUntilSent();
	const closed = closeAfterReading(server);
	t.regex(await response, /^HTTP\/1\.1 200 .*done$/sv);
	await closed;
});
