import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import test from 'ava';
import {Client, type buildConnector, type Dispatcher} from 'undici';
import {EndpointConnections} from '../../../src/entry/dispatch/index.js';
import {exchange, type ExchangeOptions} from '../../../src/entry/dispatch/exchange.js';
import {FakeEndpoint, FakeSocketEndpoint, unusedAddress} from '../../fixtures/fake-endpoint.js';
import {until} from '../../fixtures/until.js';

function connectionOf(client: Client): ExchangeOptions['connection'] {
	return {
		dispatcher: client,
		pause: () => undefined,
		resume: () => undefined,
		destroy() {
			void client.destroy();
		},
	};
}

function options(client: Client, changes: Partial<ExchangeOptions> = {}): ExchangeOptions {
	return {
		connection: connectionOf(client),
		method: 'POST',
		path: '/bookings',
		headers: {},
		body: Buffer.from('body'),
		signal: new AbortController().signal,
		mayWrite: () => true,
		onHead: () => undefined,
		onData: () => undefined,
		ready: async () => undefined,
		...changes,
	};
}

// Guards against a request that is sent without a lease (properties G1, G3 and G4): a lease that expires while the connection is being established must still stop the request.
test('the last check is made on an established connection, and nothing is written if it fails', async t => {
	const endpoint = await FakeSocketEndpoint.start(() => undefined);
	const client = new Client(`http://${endpoint.address}`);
	const end = await exchange(options(client, {mayWrite: () => false}));
	t.is(end.kind, 'not-sent');
	t.is(end.kind === 'not-sent' && end.reason, 'refused-by-check');
	await Promise.all(endpoint.closed);
	t.is(endpoint.closed.length, 1);
	t.is(endpoint.received, '');
	await client.destroy();
	await endpoint.close();
});

// Guards against a check that is made too early, so that its result is outdated when the request is written.
test('the last check is not made before the connection is established', async t => {
	const endpoint = await FakeEndpoint.start((_request, response) => {
		response.end('ok');
	});
	const steps: string[] = [];
	const [host, port] = endpoint.address.split(':');
	const connector: buildConnector.connector = (_options, callback) => {
		const socket: Socket = connect(Number(port), host, () => {
			steps.push('connected');
			setTimeout(() => {
				steps.push('handed over');
				callback(null, socket);
			}, 20);
		});
	};

	const client = new Client(`http://${endpoint.address}`, {connect: connector});
	const end = await exchange(options(client, {
		mayWrite() {
			steps.push('checked');
			return true;
		},
	}));
	t.is(end.kind, 'complete');
	t.deepEqual(steps, ['connected', 'handed over', 'checked']);
	await client.destroy();
	await endpoint.close();
});

// Guards against a write in a later step than the check: the lease could be lost in between.
test('the request is written in the synchronous step of the check', async t => {
	const endpoint = await FakeEndpoint.start((_request, response) => {
		response.end('ok');
	});
	let socket: Socket | undefined;
	const [host, port] = endpoint.address.split(':');
	const connector: buildConnector.connector = (_options, callback) => {
		const created: Socket = connect(Number(port), host, () => {
			socket = created;
			callback(null, created);
		});
	};

	const client = new Client(`http://${endpoint.address}`, {connect: connector});
	const bytes: number[] = [];
	await exchange(options(client, {
		mayWrite() {
			bytes.push(socket!.bytesWritten);
			// A microtask runs as soon as the current synchronous step has ended.
			queueMicrotask(() => {
				bytes.push(socket!.bytesWritten);
			});
			return true;
		},
	}));
	t.is(bytes[0], 0);
	t.true(bytes[1]! > 0);
	await client.destroy();
	await endpoint.close();
});

test('after a refused connection, the request is not sent and the check is not made', async t => {
	const client = new Client(`http://${await unusedAddress()}`);
	let checks = 0;
	const end = await exchange(options(client, {
		mayWrite() {
			checks++;
			return true;
		},
	}));
	t.is(end.kind === 'not-sent' && end.reason, 'unreachable');
	t.is(checks, 0);
	await client.destroy();
});

// Guards against a request that is written after its dispatch was reported as `not-sent`.
test('the request of an exchange that is aborted while connecting is never written', async t => {
	const endpoint = await FakeSocketEndpoint.start(() => undefined);
	const [host, port] = endpoint.address.split(':');
	let onConnected: (() => void) | undefined;
	const connected = new Promise<void>(resolve => {
		onConnected = resolve;
	});
	let passSocketToClient: (() => void) | undefined;
	const connector: buildConnector.connector = (_options, callback) => {
		const socket: Socket = connect(Number(port), host, () => {
			passSocketToClient = () => {
				callback(null, socket);
			};

			onConnected!();
		});
	};

	const client = new Client(`http://${endpoint.address}`, {connect: connector});
	const controller = new AbortController();
	let checks = 0;
	const endPromise = exchange(options(client, {
		signal: controller.signal,
		mayWrite() {
			checks++;
			return true;
		},
	}));
	await connected;
	controller.abort(new Error('no longer needed'));
	const end = await endPromise;
	t.is(end.kind === 'not-sent' && end.reason, 'aborted');
	passSocketToClient!();
	await Promise.all(endpoint.closed);
	t.is(checks, 0);
	t.is(endpoint.received, '');
	await client.destroy();
	await endpoint.close();
});

// Guards against unbounded memory use when an endpoint sends faster than the caller reads.
test('while the reader is not ready, no more than one read of the socket is consumed', async t => {
	const size = 4_000_000;
	const endpoint = await FakeEndpoint.start((_request, response) => {
		response.end(Buffer.alloc(size));
	});
	const connections = EndpointConnections.create();
	const waitingReaders = new Set<() => void>();
	let isReady = false;
	let bytes = 0;
	const endPromise = exchange({
		...options(new Client(`http://${endpoint.address}`)),
		connection: connections.open(endpoint.address),
		onData(chunk) {
			bytes += chunk.byteLength;
		},
		async ready() {
			if (!isReady) {
				await new Promise<void>(resolve => {
					waitingReaders.add(resolve);
				});
			}
		},
	});
	await until(() => bytes > 0);
	// Leaves time for chunks that must not be read.
	await new Promise(resolve => {
		setTimeout(resolve, 200);
	});
	// One read of a socket returns at most 64 KiB.
	t.true(bytes > 0 && bytes <= 65_536, `${bytes} bytes were read`);
	isReady = true;
	for (const release of waitingReaders) {
		release();
	}

	const end = await endPromise;
	t.is(end.kind, 'complete');
	t.is(bytes, size);
	t.is(connections.size, 0);
	await endpoint.close();
});

// Guards against a process crash when the connection ends along with the response while the reader is not ready.
test('a response whose connection ends while the reader is not ready is complete', async t => {
	const endpoint = await FakeEndpoint.start((_request, response) => {
		response.setHeader('connection', 'close');
		response.end('whole');
	});
	const connections = EndpointConnections.create();
	const chunks: Uint8Array[] = [];
	const end = await exchange({
		...options(new Client(`http://${endpoint.address}`)),
		connection: connections.open(endpoint.address),
		onData(chunk) {
			chunks.push(chunk);
		},
		async ready() {
			await new Promise(resolve => {
				setTimeout(resolve, 100);
			});
		},
	});
	t.is(end.kind, 'complete');
	t.is(Buffer.concat(chunks).toString(), 'whole');
	await endpoint.close();
});

// Guards against a request that runs twice (property G1): undici in some cases restarts requests whose connection was lost.
test('a request that is started twice is written once', async t => {
	const aborted: number[] = [];
	let checks = 0;
	const dispatcher = {
		dispatch(_options: unknown, handler: Dispatcher.DispatchHandler) {
			for (const start of [1, 2]) {
				const controller = {
					abort() {
						aborted.push(start);
					},
				} as unknown as Dispatcher.DispatchController;
				handler.onRequestStart?.(controller, {});
			}

			handler.onResponseError?.(undefined as unknown as Dispatcher.DispatchController, new Error('connection lost'));
			return true;
		},
	} as unknown as Dispatcher;
	const end = await exchange({
		...options(new Client('http://127.0.0.1:1')),
		connection: {
			dispatcher, pause: () => undefined, resume: () => undefined, destroy: () => undefined,
		},
		mayWrite() {
			checks++;
			return true;
		},
	});
	t.is(end.kind, 'broken');
	t.is(checks, 1);
	t.deepEqual(aborted, [2]);
});
