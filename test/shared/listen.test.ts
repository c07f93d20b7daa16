import {createServer} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {performance} from 'node:perf_hooks';
import test, {type ExecutionContext} from 'ava';
import {closeAfterReading, listen, readArrivedRequests} from '../../src/shared/listen.js';
import {blockThread} from '../fixtures/block-thread.js';
import {CallerGroup} from '../fixtures/caller-group.js';
import {CallerThread} from '../fixtures/caller-thread.js';
import {keepRoundsLong} from '../fixtures/long-rounds.js';

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
	const closed = closeAfterReading(server, failOnError(t));
	t.regex(await response, /^HTTP\/1\.1 200 .*done$/sv);
	await closed;
});

function failOnError(t: ExecutionContext): (error: unknown) => void {
	return error => {
		t.fail(String(error));
	};
}

/** Opens a connection, sends a request on it and resolves with the response or the code of the error. */
async function sendOnNewConnection(port: number): Promise<string> {
	const socket = connect(port, '127.0.0.1');
	return new Promise(resolve => {
		let response = '';
		socket.on('connect', () => {
			socket.write('GET / HTTP/1.1\r\nhost: office.example\r\n\r\n');
		});
		socket.on('data', (chunk: Uint8Array) => {
			response += chunk.toString();
		});
		socket.on('error', (error: NodeJS.ErrnoException) => {
			resolve(error.code ?? 'unknown');
		});
		socket.on('close', () => {
			resolve(response);
		});
	});
}

// Guards against connections that are reset because the event loop accepts only one in each of its rounds.
test('many connections that wait to be accepted are accepted, and their requests answered, before the server is closed', async t => {
	const {server} = await startServer(t);
	const {port} = server.address() as AddressInfo;
	const responses = Array.from({length: 30}, async () => sendOnNewConnection(port));
	await closeAfterReading(server, failOnError(t));
	const texts = await Promise.all(responses);
	t.deepEqual(texts.filter(text => !text.startsWith('HTTP/1.1 200 ')), []);
});

// Guards against a stop that outlasts its grace period, because callers open a connection in each round of a busy event loop.
test('reading ends although each round accepts a connection', async t => {
	const {server} = await startServer(t);
	const {port} = server.address() as AddressInfo;
	let acceptedCount = 0;
	let isReading = true;
	const open = () => {
		const socket = connect(port, '127.0.0.1');
		t.teardown(() => socket.destroy());
	};

	server.on('connection', () => {
		acceptedCount++;
		if (isReading) {
			open();
			blockThread(20);
		}
	});
	open();
	t.teardown(() => server.close());
	await readArrivedRequests(server);
	isReading = false;
	t.true(acceptedCount > 0);
	t.true(acceptedCount <= 100, `${acceptedCount} connections of 20 ms each were accepted`);
});

test('a request that arrived on a kept connection before the server is closed is answered', async t => {
	const {server, caller} = await startServer(t);
	t.regex(await caller.send(), /^HTTP\/1\.1 200 /v);
	caller.reset();
	const response = caller.send();
	caller.blockUntilSent();
	const closed = closeAfterReading(server, failOnError(t));
	t.regex(await response, /^HTTP\/1\.1 200 .*done$/sv);
	await closed;
});

/** Time that a request needs to arrive, and is given beyond it. A later one may cross the close. */
const transitMs = 50;

// Guards against requests that are reset unread, because the server is closed by what had arrived a long round of the event loop before.
test.serial('requests that arrived on kept connections before the server was closed are answered although each round is long', async t => {
	const {server} = await startServer(t);
	const callers = await CallerGroup.start({host: '127.0.0.1', port: (server.address() as AddressInfo).port});
	t.teardown(async () => callers.dispose());
	const send = async (index: number, afterMs = 0) => callers.send(index, 'GET / HTTP/1.1\r\nhost: office.example\r\n\r\n', afterMs);
	await Promise.all(Array.from({length: 40}, async (_, index) => send(index)));
	let closedAt: number | undefined;
	const closeIdleConnections = server.closeIdleConnections.bind(server);
	server.closeIdleConnections = () => {
		closedAt ??= performance.now();
		closeIdleConnections();
	};

	const endLongRounds = keepRoundsLong(t, 250);
	const outcomes = Promise.all(Array.from({length: 40}, async (_, index) => send(index, 200 + (index * 20))));
	const closed = closeAfterReading(server, failOnError(t));
	const results = await outcomes;
	endLongRounds();
	await closed;
	const before = results.filter(({sentAt}) => sentAt < closedAt! - transitMs);
	t.true(before.length > 0);
	t.deepEqual(before.filter(({result}) => result !== '200').map(({result}) => result), []);
});
