import {Buffer} from 'node:buffer';
import {ServerResponse} from 'node:http';
import {setImmediate as turn, setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import type {ReceivedRequest} from '../../../src/gateway/callers/caller-server.js';
import {startCallerServer, type CallerServerFixture} from '../../fixtures/gateway/caller-server.js';
import {LeavingCallers, leavings} from '../../fixtures/leaving-callers.js';
import {RawCaller} from '../../fixtures/gateway/raw-caller.js';
import {until} from '../../fixtures/until.js';

const request = 'GET / HTTP/1.1\r\nHost: test\r\n\r\n';

/** More than the operating system buffers for both ends of a connection. */
const largeBody = Buffer.alloc(32_000_000, 'x');

const closings: Array<[string, (fixture: CallerServerFixture) => Promise<void>]> = [
	['idle connections are closed', async ({server}) => server.closeIdleConnections()],
	['the server is closed', async ({server}) => {
		void server.close();
		await until(() => !server.isListening);
	}],
];

for (const [what, close] of closings) {
	// Guards against a response that is cut after its last byte was written, because its connection counts as idle.
	test(`a response that a slow caller has not taken yet is complete although ${what}`, async t => {
		const fixture = await startCallerServer(t, {}, ({response}) => {
			response.writeHead(200, {'content-length': String(largeBody.length)});
			response.end(largeBody);
		});
		const caller = await RawCaller.connect(fixture.address);
		caller.socket.pause();
		caller.write(request);
		await until(() => fixture.requests.length === 1);
		await close(fixture);
		await delay(50);
		caller.socket.resume();
		await until(() => caller.isEnded || caller.receivedBytes > largeBody.length);
		t.is(caller.text.length - caller.text.indexOf('\r\n\r\n') - 4, largeBody.length);
		t.is(caller.errorCode, undefined);
	});

	for (const [part, bytes, rest] of [['head', 'GET / HTTP/1.1\r\nHo', 'st: test\r\n\r\n'], ['body', 'POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 6\r\n\r\nabc', 'def']] as const) {
		for (const [connection, before] of [['a new', ''], ['a kept', request]] as const) {
			test(`a request whose ${part} is arriving on ${connection} connection is answered although ${what}`, async t => {
				const fixture = await startCallerServer(t);
				const caller = await RawCaller.connect(fixture.address);
				caller.write(before);
				const responseCount = before === '' ? 0 : 1;
				await caller.receiveResponses(responseCount);
				caller.write(bytes);
				await delay(50);
				await close(fixture);
				caller.write(rest);
				const text = await caller.receiveResponses(responseCount + 1);
				t.is(text.split('\r\n\r\ndone').length - 1, responseCount + 1);
			});
		}
	}

	// Guards against callers whose first request crosses the end of a connection that was accepted a moment ago.
	test(`a request on a connection that was accepted right before is answered although ${what}`, async t => {
		const fixture = await startCallerServer(t);
		const caller = await RawCaller.connect(fixture.address);
		await close(fixture);
		caller.write(request);
		t.regex(await caller.receiveResponses(1), /^HTTP\/1\.1 200 /v);
	});

	for (const [connection, before] of [['that never carried a request', ''], ['that is kept', request]] as const) {
		// Guards against callers that reuse a connection of an instance that is about to end.
		test(`a connection ${connection} is closed in order when ${what}`, async t => {
			const fixture = await startCallerServer(t, {idleTimeoutMs: 600_000});
			const caller = await RawCaller.connect(fixture.address);
			caller.write(before);
			await caller.receiveResponses(before === '' ? 0 : 1);
			await delay(1100);
			await close(fixture);
			await caller.waitForEnd();
			t.is(caller.errorCode, undefined);
		});
	}
}

// Guards against a refusal that the caller can't read, because the unread rest of its request resets the connection.
for (const [what, limits, head, status] of [
	['a body that is too large', {bodyBytes: 1000}, 'Content-Length: 20000000\r\n\r\n', 413],
	['a head that is too large', {headerBytes: 100}, `X-Filler: ${'x'.repeat(200)}\r\nContent-Length: 20000000\r\n\r\n`, 431],
	['bytes that are not HTTP', {}, '\u0001\u0002\r\n\r\n', 400],
] as const) {
	test(`a caller that sends ${what} and goes on reads the refusal`, async t => {
		const fixture = await startCallerServer(t, limits);
		const caller = await RawCaller.connect(fixture.address);
		caller.socket.pause();
		caller.write(`POST / HTTP/1.1\r\nHost: test\r\n${head}`);
		for (let count = 0; count < 20; count++) {
			caller.write(largeBody.subarray(0, 500_000));
			// eslint-disable-next-line no-await-in-loop
			await delay(5);
		}

		caller.socket.resume();
		await caller.waitForEnd();
		t.is(caller.text.split(' ')[1], String(status), `${caller.text} ${caller.errorCode}`);
	});
}

function respond({response}: ReceivedRequest): void {
	response.writeHead(200, {'content-length': '4'});
	response.end(Buffer.from('done'));
}

// Guards against a response that is spoiled by the refusal of what follows its request.
test('bytes that are not HTTP behind a request are refused after its response', async t => {
	const fixture = await startCallerServer(t, {}, () => {
		// The test responds.
	});
	const caller = await RawCaller.connect(fixture.address);
	caller.write(request);
	await until(() => fixture.requests.length === 1);
	const [received] = fixture.requests;
	received!.response.writeHead(200, {'content-length': '4'});
	received!.response.write(Buffer.from('do'));
	caller.write('\u0001\u0002\r\n\r\n');
	await delay(100);
	received!.response.end(Buffer.from('ne'));
	await caller.waitForEnd();
	t.regex(caller.text, /^HTTP\/1\.1 200 .*\r\n\r\ndoneHTTP\/1\.1 400 /sv);
});

// Guards against a request that was read and passed on behind one whose response closes the connection.
test('requests that were read before a stop begins are all answered, in order, and the last response closes the connection', async t => {
	const fixture = await startCallerServer(t, {}, () => {
		// The test responds.
	});
	const caller = await RawCaller.connect(fixture.address);
	caller.write(request + request + request);
	await until(() => fixture.requests.length === 3);
	fixture.server.beginStop();
	for (const index of [1, 0, 2]) {
		respond(fixture.requests[index]!);
	}

	await caller.waitForEnd();
	t.regex(caller.text, /^HTTP\/1\.1 200 .*done.*HTTP\/1\.1 200 .*done.*HTTP\/1\.1 200 .*done$/sv);
	t.is(caller.text.match(/connection: close\r\n/giv)?.length, 1);
});

// Guards against connections that stay open for ever with requests that can no longer be answered.
test('a response that ends with its connection ends the requests behind it, too', async t => {
	const fixture = await startCallerServer(t, {}, () => {
		// The test responds.
	});
	const caller = await RawCaller.connect(fixture.address);
	// HTTP/1.0 has no chunks, so a response without a length ends with its connection.
	const oldRequest = request.replace('HTTP/1.1', 'HTTP/1.0').replace('\r\n', '\r\nconnection: keep-alive\r\n');
	caller.write(oldRequest + oldRequest);
	await until(() => fixture.requests.length === 2);
	const {response} = fixture.requests[0]!;
	response.writeHead(200, {});
	response.end(Buffer.from('done'));
	await caller.waitForEnd();
	t.true(caller.text.endsWith('\r\n\r\ndone'));
	caller.socket.destroy();
	await until(() => fixture.server.openRequests === 0);
	t.is(fixture.server.openRequests, 0);
});

test('a response without a length is sent in chunks, and the requests behind it are answered', async t => {
	const fixture = await startCallerServer(t, {}, ({response}) => {
		response.writeHead(200, {});
		response.end(Buffer.from('done'));
	});
	const caller = await RawCaller.connect(fixture.address);
	caller.write(request + request);
	await until(() => caller.text.endsWith('0\r\n\r\n') && caller.text.split('HTTP/1.1 200').length === 3);
	t.is(caller.text.match(/\r\n\r\n4\r\ndone\r\n0\r\n\r\n/gv)?.length, 2);
	caller.socket.destroy();
});

// Guards against a response that was cut off and looks whole to a caller that knows no chunks.
test('a response without a length that is cut off for an HTTP/1.0 caller is reset', async t => {
	const fixture = await startCallerServer(t, {}, ({response}) => {
		response.writeHead(200, {});
		response.write(Buffer.from('do'));
	});
	const caller = await RawCaller.connect(fixture.address);
	caller.write(request.replace('HTTP/1.1', 'HTTP/1.0'));
	await until(() => caller.text.endsWith('\r\n\r\ndo'));
	fixture.requests[0]!.response.destroy();
	await until(() => caller.errorCode !== undefined);
	t.is(caller.errorCode, 'ECONNRESET');
});

test('a request behind a response that closes the connection is not passed on', async t => {
	const fixture = await startCallerServer(t);
	const caller = await RawCaller.connect(fixture.address);
	fixture.server.beginStop();
	caller.write(request);
	await caller.receiveResponses(1);
	caller.write(request);
	await caller.waitForEnd();
	await delay(50);
	t.is(fixture.requests.length, 1);
	t.is(caller.errorCode, undefined);
});

// Guards against requests that are never ended, and keep a stop from ending early, because they wait for the response before them.
test('all requests of a connection end when the caller closes it', async t => {
	const disconnected: number[] = [];
	const fixture = await startCallerServer(t, {}, ({onDisconnect}) => {
		const index = fixture.requests.length;
		onDisconnect(() => {
			disconnected.push(index);
		});
	});
	const caller = await RawCaller.connect(fixture.address);
	caller.write(request + request + request);
	await until(() => fixture.requests.length === 3);
	caller.socket.destroy();
	await until(() => fixture.server.openRequests === 0);
	t.is(fixture.server.openRequests, 0);
	t.deepEqual(disconnected, [1, 2, 3]);
});

// Guards against a single connection that keeps the process busy for seconds.
test('reading a request does not look at each request before it on its connection', async t => {
	const count = 500;
	const path = '/many';
	let lookUps = 0;
	const {getHeader} = ServerResponse.prototype;
	t.teardown(() => {
		ServerResponse.prototype.getHeader = getHeader;
	});
	ServerResponse.prototype.getHeader = function (this: ServerResponse, name) {
		lookUps += this.req.url === path ? 1 : 0;
		return getHeader.call(this, name);
	};

	const fixture = await startCallerServer(t, {}, () => {
		// No response, so that all requests stay open.
	});
	const caller = await RawCaller.connect(fixture.address);
	caller.write(request.replace('/', path).repeat(count));
	await until(() => fixture.requests.length === count);
	caller.socket.destroy();
	t.true(lookUps <= count, `${lookUps} look-ups of header fields`);
});

for (const [how, leaving] of Object.entries(leavings)) {
	// Guards against endpoints that work on for callers that have left, as on a busy process each round of the event loop takes long.
	test.serial(`a disconnect is reported without delay once it is read (${how})`, async t => {
		const fixture = await startCallerServer(t, {}, () => {
			// The caller leaves without a response.
		});
		const callers = await LeavingCallers.start(fixture.address);
		t.teardown(async () => callers.dispose());
		callers.sendAndLeave(0, request, leaving, 100);
		await until(() => fixture.requests.length === 1);
		let isReported = false;
		fixture.requests[0]!.onDisconnect(() => {
			isReported = true;
		});
		callers.blockUntilLeft(1);
		await turn();
		t.true(isReported);
	});
}
