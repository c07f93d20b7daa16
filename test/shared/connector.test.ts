import {once} from 'node:events';
import {createServer, Socket, type AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {createConnector} from '../../src/shared/connector.js';
import {blockThread} from '../fixtures/block-thread.js';

/** Opens a connection to a port, and resolves with the error when it fails. */
async function connectTo(t: ExecutionContext, port: number, busyMs: number): Promise<Error | undefined> {
	const connect = createConnector({timeoutMs: 50, createSocket: () => new Socket(), onSocket: () => undefined});
	const connected = new Promise<Error | undefined>(resolve => {
		connect({
			hostname: '127.0.0.1', host: `127.0.0.1:${port}`, port: String(port), protocol: 'http:',
		}, (error, socket) => {
			t.teardown(() => socket?.destroy());
			resolve(error ?? undefined);
		});
	});
	blockThread(busyMs);
	return connected;
}

// Guards against an endpoint that counts as unreachable, because a busy instance reads after the timeout that it is connected.
test('a connection that was opened while the thread was busy is used', async t => {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	t.teardown(() => server.close());
	await once(server, 'listening');
	t.is(await connectTo(t, (server.address() as AddressInfo).port, 200), undefined);
});

// Guards against a request without an end on a connection that its endpoint closed before the HTTP client had it.
for (const method of ['end', 'resetAndDestroy'] as const) {
	test(`a connection that is closed before it may be used is not used (${method})`, async t => {
		const server = createServer(socket => {
			socket[method]();
		});
		server.listen(0, '127.0.0.1');
		t.teardown(() => server.close());
		await once(server, 'listening');
		const {port} = server.address() as AddressInfo;
		const connect = createConnector({
			timeoutMs: 1000,
			createSocket: () => new Socket(),
			onSocket: () => undefined,
			whenUsable(callback) {
				setTimeout(callback, 100);
			},
		});
		const outcomes: unknown[] = [];
		connect({
			hostname: '127.0.0.1', host: `127.0.0.1:${port}`, port: String(port), protocol: 'http:',
		}, (error, socket) => {
			outcomes.push(error);
			socket?.destroy();
		});
		await delay(200);
		t.is(outcomes.length, 1);
		t.true(outcomes[0] instanceof Error);
	});
}
