import {Buffer} from 'node:buffer';
import test from 'ava';
import type {ReceivedRequest} from '../../../src/gateway/callers/caller-server.js';
import {respondWithDone, startCallerServer} from '../../fixtures/gateway/caller-server.js';
import {RawCaller} from '../../fixtures/gateway/raw-caller.js';
import {until} from '../../fixtures/until.js';

/** What the bodies of all requests, and the responses, may hold. */
const memoryBytes = 16_000_000;

const largeBytes = 9_000_000;

const limits = {bodyBytes: 10_000_000};

function head(length: number): string {
	return `POST / HTTP/1.1\r\nhost: office.example\r\ncontent-length: ${length}\r\n\r\n`;
}

const smallRequest = `${head(1)}x`;

// Guards against bodies that use up the memory although each one stays below its limit.
test('of bodies that are too large together the largest is refused, and smaller requests go on', async t => {
	const {address, requests} = await startCallerServer(t, limits, respondWithDone, {memoryBytes});
	const callers: RawCaller[] = [];
	for (let count = 0; count < 3; count++) {
		// eslint-disable-next-line no-await-in-loop
		const caller = await RawCaller.connect(address);
		// The body stays incomplete.
		caller.write(head(largeBytes));
		caller.write(Buffer.alloc(largeBytes - 1, 'x'));
		callers.push(caller);
	}

	await until(() => callers.filter(({text}) => text.startsWith('HTTP/1.1 503 ')).length >= 2);
	t.deepEqual(callers.map(({text}) => text).filter(text => text !== '').map(text => [text.startsWith('HTTP/1.1 503 '), text.includes('memoryExhausted')]), [[true, true], [true, true]]);
	const small = await RawCaller.connect(address);
	small.write(smallRequest);
	t.regex(await small.receiveResponses(1), /^HTTP\/1\.1 200 /v);
	t.is(requests.length, 1);
});

test('the body of a request that has been received stays, and its memory is used again after its response', async t => {
	const received: ReceivedRequest[] = [];
	const {address} = await startCallerServer(t, limits, request => {
		received.push(request);
	}, {memoryBytes});
	const first = await RawCaller.connect(address);
	first.write(head(largeBytes));
	first.write(Buffer.alloc(largeBytes, 'a'));
	await until(() => received.length === 1);
	const second = await RawCaller.connect(address);
	second.write(head(largeBytes));
	second.write(Buffer.alloc(largeBytes, 'b'));
	await until(() => second.text.includes('memoryExhausted'));
	t.regex(second.text, /^HTTP\/1\.1 503 /v);
	t.is(received.length, 1);
	t.true(Buffer.from(received[0]!.body!).equals(Buffer.alloc(largeBytes, 'a')));
	respondWithDone(received[0]!);
	await first.receiveResponses(1);
	const third = await RawCaller.connect(address);
	third.write(head(largeBytes));
	third.write(Buffer.alloc(largeBytes, 'c'));
	await until(() => received.length === 2);
	t.true(Buffer.from(received[1]!.body!).equals(Buffer.alloc(largeBytes, 'c')));
	respondWithDone(received[1]!);
	t.regex(await third.receiveResponses(1), /^HTTP\/1\.1 200 /v);
});

// Guards against responses that stay in memory because their callers don't read.
test('responses that are not read hold bounded memory together, and smaller ones go on', async t => {
	const responses: ReceivedRequest[] = [];
	const {address} = await startCallerServer(t, limits, request => {
		responses.push(request);
		if (responses.length > 3) {
			respondWithDone(request);
			return;
		}

		request.response.writeHead(200, {'content-length': String(largeBytes)});
		request.response.end(Buffer.alloc(largeBytes, 'x'));
	}, {memoryBytes});
	const slow: RawCaller[] = [];
	for (let count = 1; count <= 3; count++) {
		// eslint-disable-next-line no-await-in-loop
		const caller = await RawCaller.connect(address);
		caller.socket.pause();
		caller.write(smallRequest);
		slow.push(caller);
		// eslint-disable-next-line no-await-in-loop
		await until(() => responses.length === count);
	}

	const small = await RawCaller.connect(address);
	small.write(smallRequest);
	t.regex(await small.receiveResponses(1), /^HTTP\/1\.1 200 /v);
	for (const caller of slow) {
		caller.socket.resume();
	}

	const isWhole = ({receivedBytes}: RawCaller) => receivedBytes > largeBytes;
	await until(() => slow.every(caller => isWhole(caller) || caller.isEnded));
	t.is(slow.filter(caller => isWhole(caller)).length, 1);
});

/** Takes 41 kB with what is decoded of it. */
const largeHead = `GET /${'x'.repeat(20_000)} HTTP/1.1\r\nhost: office.example\r\n\r\n`;
const smallHeads = 15;

function refuseWhenMemoryIsNeeded(request: ReceivedRequest): void {
	request.onMemoryExceeded(() => {
		request.response.fail({type: 'memoryExhausted', retryAfterMs: 1000});
	});
}

// Guards against heads that use up the memory although each request is alone on its connection.
for (const isSent of [false, true]) {
	test(`of requests whose heads are too large together ${isSent ? 'the one that is being sent stays' : 'the largest that waits is refused'}`, async t => {
		const received: ReceivedRequest[] = [];
		const {address} = await startCallerServer(t, {headerBytes: 30_000}, request => {
			received.push(request);
			refuseWhenMemoryIsNeeded(request);
			if (isSent) {
				request.keepInMemory();
			}
		}, {memoryBytes: 55_000});
		const large = await RawCaller.connect(address);
		large.write(largeHead);
		await until(() => received.length === 1);
		const small = await Promise.all(Array.from({length: smallHeads}, async () => {
			const caller = await RawCaller.connect(address);
			caller.write('GET / HTTP/1.1\r\nhost: office.example\r\n\r\n');
			return caller;
		}));
		await until(() => [large, ...small].some(({text}) => text.includes('memoryExhausted')));
		t.is(large.text.includes('memoryExhausted'), !isSent);
		await until(() => isSent || received.length === smallHeads + 1);
		t.is(small.some(({text}) => text.includes('memoryExhausted')), isSent);
	});
}

// Guards against an error in the refusal of one request that refuses another one.
test('a refusal that waits behind an open request arrives after its response, and refuses no other request that needs memory', async t => {
	const received: ReceivedRequest[] = [];
	const {address} = await startCallerServer(t, {headerBytes: 30_000}, request => {
		received.push(request);
		if (request.message.url!.length > 1) {
			request.response.fail({type: 'unknownRoute'});
		}
	}, {memoryBytes: 55_000});
	const pipelining = await RawCaller.connect(address);
	pipelining.write(`GET / HTTP/1.1\r\nhost: office.example\r\n\r\n${largeHead}`);
	await until(() => received.length === 2);
	const small = await Promise.all(Array.from({length: 2 * smallHeads}, async () => {
		const caller = await RawCaller.connect(address);
		caller.write('GET / HTTP/1.1\r\nhost: office.example\r\n\r\n');
		return caller;
	}));
	await until(() => received.length === 2 + small.length || small.some(({text}) => text !== ''));
	t.deepEqual(small.map(({text}) => text).filter(text => text !== ''), []);
	t.false(pipelining.isEnded);
	respondWithDone(received[0]!);
	await until(() => pipelining.text.includes('unknownRoute'));
	t.regex(pipelining.text, /^HTTP\/1\.1 200 .*done.*HTTP\/1\.1 404 /sv);
});
