import {setImmediate as turn, setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import type {CallerLimits} from '../../../src/gateway/site/types.js';
import {blockThread} from '../../fixtures/block-thread.js';
import {CallerThread} from '../../fixtures/caller-thread.js';
import {callerLimits, startCallerServer} from '../../fixtures/gateway/caller-server.js';
import {RawCaller} from '../../fixtures/gateway/raw-caller.js';

const request = 'GET / HTTP/1.1\r\nHost: test\r\n\r\n';

async function startWithCallerThread(t: ExecutionContext, limits: Partial<CallerLimits>) {
	const fixture = await startCallerServer(t, limits);
	const caller = CallerThread.create(fixture.address);
	t.teardown(async () => caller.dispose());
	await caller.waitUntilStarted();
	return {...fixture, caller};
}

/** Sends from the thread of the caller while this one is busy, and resolves with the response. After an immediate, timers run before anything is read. */
async function sendWhileBusy(caller: CallerThread, afterMs: number, busyMs: number, text?: string): Promise<string> {
	await delay(afterMs);
	return new Promise(resolve => {
		setImmediate(() => {
			caller.reset();
			resolve(caller.send(text));
			caller.blockUntilSent();
			blockThread(busyMs);
		});
	});
}

// Guards against a request that is reset because the idle timeout expired while the process was busy and had not read it.
test.serial('a request that arrives on an idle connection while the process is busy beyond the idle timeout is answered', async t => {
	const {caller} = await startWithCallerThread(t, {idleTimeoutMs: 500});
	for (let count = 0; count < 3; count++) {
		// eslint-disable-next-line no-await-in-loop
		t.regex(await caller.send(), /^HTTP\/1\.1 200 .*done$/sv);
		// eslint-disable-next-line no-await-in-loop
		t.regex(await sendWhileBusy(caller, 400, 2500), /^HTTP\/1\.1 200 .*done$/sv);
	}
});

// Guards against connections that stay open for ever after a request that came late.
test.serial('an idle connection is closed, not before the announced timeout, also after a request that came late', async t => {
	const {address} = await startCallerServer(t, {idleTimeoutMs: 1000});
	const caller = await RawCaller.connect(address);
	caller.write(request);
	t.regex(await caller.receiveResponses(1), /keep-alive: timeout=1\r\n/iv);
	blockThread(2500);
	caller.write(request);
	await caller.receiveResponses(2);
	await turn();
	const answeredAt = performance.now();
	await caller.waitForEnd();
	t.true(performance.now() - answeredAt >= 1000);
	t.is(caller.errorCode, undefined);
});

// Guards against a lowered limit that closes connections whose callers were told a longer one.
test.serial('a lowered idle timeout leaves connections open for the time that their callers were told', async t => {
	const {address, server} = await startCallerServer(t, {idleTimeoutMs: 4000}, ({response}) => {
		// The limit changes while the request is under way.
		server.setLimits({...callerLimits, idleTimeoutMs: 100});
		response.writeHead(200, {'content-length': '4'});
		response.end(new TextEncoder().encode('done'));
	});
	const caller = await RawCaller.connect(address);
	caller.write(request);
	t.regex(await caller.receiveResponses(1), /keep-alive: timeout=4\r\n/iv);
	await delay(3200);
	t.false(caller.isEnded);
	caller.write(request);
	const text = await caller.receiveResponses(2);
	t.is(text.match(/HTTP\/1\.1 200 /gv)?.length, 2);
});

// Guards against idle connections that are closed by the limit of an older configuration.
test.serial('a raised idle timeout holds for connections that are idle already', async t => {
	const {address, server} = await startCallerServer(t, {idleTimeoutMs: 100});
	const caller = await RawCaller.connect(address);
	caller.write(request);
	await caller.receiveResponses(1);
	server.setLimits({...callerLimits, idleTimeoutMs: 4000});
	await delay(3200);
	t.false(caller.isEnded);
});

// Guards against callers that open a connection ahead of their first request and are told that it was malformed.
test.serial('a connection without a request is closed in order and without a response after the idle timeout', async t => {
	const {address} = await startCallerServer(t, {headerTimeoutMs: 200, idleTimeoutMs: 1000});
	const caller = await RawCaller.connect(address);
	const connectedAt = performance.now();
	await caller.waitForEnd();
	t.true(performance.now() - connectedAt >= 1000);
	t.is(caller.text, '');
	t.is(caller.errorCode, undefined);
});

for (const [what, before] of [['a new connection', ''], ['a kept connection', request]] as const) {
	// Guards against a refusal that promises nothing, and against connections that are held by a head that stops.
	test.serial(`a head that stops on ${what} is refused as not run after the header timeout`, async t => {
		const {address, requests} = await startCallerServer(t, {headerTimeoutMs: 300});
		const caller = await RawCaller.connect(address);
		if (before !== '') {
			caller.write(before);
			await caller.receiveResponses(1);
		}

		const responsesBefore = caller.text;
		const sentAt = performance.now();
		caller.write('GET / HTTP/1.1\r\nHost: te');
		await caller.waitForEnd();
		t.true(performance.now() - sentAt >= 300);
		t.regex(caller.text.slice(responsesBefore.length), /^HTTP\/1\.1 408 .*connection: close\r\n/isv);
		t.is(requests.length, before === '' ? 0 : 1);
	});
}

// Guards against a request that is refused because the header timeout expired while the process was busy and had not read it.
test.serial('a head whose rest arrives while the process is busy beyond the header timeout is accepted', async t => {
	const {caller} = await startWithCallerThread(t, {headerTimeoutMs: 1500});
	await caller.connect();
	await caller.write('GET / HTTP/1.1\r\nHo');
	t.regex(await sendWhileBusy(caller, 700, 2500, 'st: test\r\n\r\n'), /^HTTP\/1\.1 200 .*done$/sv);
});

// Guards against an empty line after a request that is taken for the head of the next one.
test.serial('an empty line between requests does not close the connection', async t => {
	const {address} = await startCallerServer(t, {headerTimeoutMs: 100, idleTimeoutMs: 3000});
	const caller = await RawCaller.connect(address);
	caller.write(`${request}\r\n`);
	await caller.receiveResponses(1);
	await delay(1500);
	t.false(caller.isEnded);
	caller.write(request);
	const text = await caller.receiveResponses(2);
	t.is(text.match(/HTTP\/1\.1 200 /gv)?.length, 2);
});

// Guards against a request that is refused because the timer of its body expired while the process was busy and had not read it.
test.serial('a body whose rest arrives while the process is busy beyond the idle timeout is accepted', async t => {
	const {caller} = await startWithCallerThread(t, {idleTimeoutMs: 600});
	await caller.connect();
	await caller.write('POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 6\r\n\r\nabc');
	t.regex(await sendWhileBusy(caller, 300, 1500, 'def'), /^HTTP\/1\.1 200 .*done$/sv);
});

// Guards against a body that is refused by a limit that is newer than the request.
test.serial('limits that are lowered while a body arrives do not apply to it', async t => {
	const {address, server} = await startCallerServer(t);
	const caller = await RawCaller.connect(address);
	caller.write('POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 6\r\n\r\nabc');
	await delay(100);
	server.setLimits({
		headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
	});
	await delay(1500);
	caller.write('def');
	t.regex(await caller.receiveResponses(1), /^HTTP\/1\.1 200 /v);
});

// Guards against a timer that expires at once because its time is too long.
test.serial('a body that arrives in parts is accepted with an idle timeout of years', async t => {
	const {address} = await startCallerServer(t, {idleTimeoutMs: 1e12});
	const caller = await RawCaller.connect(address);
	caller.write('POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 6\r\n\r\nabc');
	await delay(200);
	caller.write('def');
	t.regex(await caller.receiveResponses(1), /^HTTP\/1\.1 200 /v);
});
