import {once} from 'node:events';
import {createServer, Socket, type AddressInfo} from 'node:net';
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

