import test from 'ava';
import {defaultCallerConnections} from '../../../src/gateway/callers/connection-limit.js';
import type {ReceivedRequest} from '../../../src/gateway/callers/caller-server.js';
import {respondWithDone, startCallerServer} from '../../fixtures/gateway/caller-server.js';
import {RawCaller} from '../../fixtures/gateway/raw-caller.js';
import {until} from '../../fixtures/until.js';

const request = 'GET / HTTP/1.1\r\nhost: office.example\r\n\r\n';
const unsentBody = 'POST / HTTP/1.1\r\nhost: office.example\r\ncontent-length: 5\r\n\r\n';

test('connections beyond the limit close the one that has been idle for longest', async t => {
	const {address} = await startCallerServer(t, {}, respondWithDone, {maximumConnections: 2});
	const first = await RawCaller.connect(address);
	first.write(request);
	await first.receiveResponses(1);
	const second = await RawCaller.connect(address);
	second.write(request);
	await second.receiveResponses(1);
	const third = await RawCaller.connect(address);
	third.write(request);
	t.regex(await third.receiveResponses(1), /^HTTP\/1\.1 200 /v);
	await first.waitForEnd();
	t.is(first.errorCode, undefined);
	t.false(second.isEnded);
});

test('a connection whose body is not sent is closed before one that became idle later', async t => {
	const {address} = await startCallerServer(t, {}, respondWithDone, {maximumConnections: 2});
	const slow = await RawCaller.connect(address);
	slow.write(unsentBody);
	const idle = await RawCaller.connect(address);
	idle.write(request);
	await idle.receiveResponses(1);
	const newest = await RawCaller.connect(address);
	newest.write(request);
	t.regex(await newest.receiveResponses(1), /^HTTP\/1\.1 200 /v);
	await slow.waitForEnd();
	t.false(idle.isEnded);
});

// Guards against requests that are cut after they were passed on.
test('a connection whose request waits for the gateway stays open, and the newest one is closed unread', async t => {
	const received: ReceivedRequest[] = [];
	const {address} = await startCallerServer(t, {}, item => {
		received.push(item);
	}, {maximumConnections: 1});
	const waiting = await RawCaller.connect(address);
	waiting.write(request);
	await until(() => received.length === 1);
	await t.throwsAsync(async () => {
		const newest = await RawCaller.connect(address);
		await newest.waitForEnd();
		throw new Error(newest.errorCode);
	}, {message: /ECONNRESET/v});
	respondWithDone(received[0]!);
	t.regex(await waiting.receiveResponses(1), /^HTTP\/1\.1 200 /v);
});

test('callers may use three quarters of the descriptors beyond 200, and 2,922 at most', t => {
	t.deepEqual([600, 4096, 1_000_000, undefined].map(descriptors => defaultCallerConnections(descriptors)), [300, 2922, 2922, 2922]);
});

// Guards against a limit that ordinary callers meet where the operating system states one for files alone.
test('a limit of descriptors that is too low for any gateway is ignored', t => {
	t.deepEqual([0, 200, 256, 400].map(descriptors => defaultCallerConnections(descriptors)), [2922, 2922, 2922, 2922]);
});
