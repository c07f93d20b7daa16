import {Buffer} from 'node:buffer';
import {setImmediate as turn, setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {startCallerServer, type CallerServerFixture} from '../../fixtures/gateway/caller-server.js';
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
			response.writeHead(200, {'content-length': String(largeBody.length)}, true);
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

	for (const [connection, before] of [['that never carried a request', ''], ['that is kept', request]] as const) {
		// Guards against callers that reuse a connection of an instance that is about to end.
		test(`a connection ${connection} is closed in order when ${what}`, async t => {
			const fixture = await startCallerServer(t, {idleTimeoutMs: 600_000});
			const caller = await RawCaller.connect(fixture.address);
			caller.write(before);
			await caller.receiveResponses(before === '' ? 0 : 1);
			await turn();
			await close(fixture);
			await caller.waitForEnd();
			t.is(caller.errorCode, undefined);
		});
	}
}
