import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {createConfigurationDocument} from '../../../standins/platform-documents.js';
import {call} from '../../fixtures/gateway/caller.js';
import {GatewaySite, type Gateway} from '../../fixtures/gateway/gateway-site.js';
import {until} from '../../fixtures/until.js';

async function startSite(t: ExecutionContext) {
	const site = await GatewaySite.start();
	t.teardown(async () => site.dispose());
	const endpoint = await site.addEndpoint({id: 'e0', isEngine: false});
	return {endpoint, site, gateway: await site.addGateway()};
}

/** Time for which more is awaited after the first bytes: a second response, or a request that must not be taken for one. */
const quietMs = 400;

/** Sends text over a new connection and returns everything that is received until it closes or has been quiet for a while. */
async function exchange({settings}: Gateway, text: string, firstBytesTimeoutMs = 10_000): Promise<string> {
	const socket = connect(settings.callerAddress);
	const chunks: Uint8Array[] = [];
	socket.on('data', (chunk: Uint8Array) => {
		chunks.push(chunk);
	});
	socket.on('error', () => {
		// A reset ends the exchange like a graceful close.
	});
	const closed = new Promise(resolve => {
		socket.once('close', resolve);
	});
	const answered = new Promise(resolve => {
		socket.once('data', resolve);
	});
	socket.write(text);
	await Promise.race([closed, answered, delay(firstBytesTimeoutMs)]);
	await Promise.race([closed, delay(quietMs)]);
	socket.destroy();
	return Buffer.concat(chunks).toString();
}

const malformed: Array<[string, string]> = [
	['two different content lengths', 'POST /bookings/1 HTTP/1.1\r\nHost: office.example\r\nContent-Length: 3\r\nContent-Length: 40\r\n\r\nabc'],
	['a content length and a chunked body', 'POST /bookings/1 HTTP/1.1\r\nHost: office.example\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /lookups/1 HTTP/1.1\r\nHost: office.example\r\nX-Request-Id: smuggled\r\nAuthorization: Bearer key-wick\r\n\r\n'],
	['no host', 'GET /lookups/1 HTTP/1.1\r\nX-Request-Id: r\r\n\r\n'],
	['bytes that are not HTTP', '\u0001\u0002\u0003\r\n\r\n'],
];

for (const [what, text] of malformed) {
	test(`a request with ${what} reaches no endpoint and gets 400`, async t => {
		const {endpoint, gateway} = await startSite(t);
		t.regex(await exchange(gateway, text), /^HTTP\/1\.1 400 /v);
		t.deepEqual(endpoint.receivedRequests, []);
	});
}

test('a body beyond the configured limit is refused, and its connection is closed', async t => {
	const {endpoint, gateway} = await startSite(t);
	const result = await call(gateway, {path: '/bookings/1', method: 'POST', body: 'x'.repeat(10_001)});
	t.is(result.status, 413);
	t.is(result.headers.connection, 'close');
	t.deepEqual(endpoint.receivedRequests, []);
});

for (const [what, bytes] of [['beyond the configured limit', 16_400], ['beyond the limit of the HTTP server', 70_000]] as const) {
	test(`headers ${what} get 431, and the request reaches no endpoint`, async t => {
		const {endpoint, gateway} = await startSite(t);
		const text = `GET /lookups/1 HTTP/1.1\r\nHost: office.example\r\nX-Request-Id: r\r\nAuthorization: Bearer key-wick\r\nX-Filler: ${'f'.repeat(bytes)}\r\n\r\n`;
		t.regex(await exchange(gateway, text), /^HTTP\/1\.1 431 /v);
		t.deepEqual(endpoint.receivedRequests, []);
	});
}

test('headers up to the configured limit are accepted', async t => {
	const {gateway} = await startSite(t);
	// The failure of an unknown key shows that the request was read; the stand-in endpoint does not accept headers of this length.
	const head = 'GET /lookups/1 HTTP/1.1\r\nHost: office.example\r\nX-Request-Id: r\r\nAuthorization: Bearer unknown\r\nX-Filler: ';
	t.regex(await exchange(gateway, `${head}${'f'.repeat(16_384 - head.length - 4)}\r\n\r\n`), /^HTTP\/1\.1 401 /v);
});

test('a chunked body is forwarded completely', async t => {
	const {endpoint, gateway} = await startSite(t);
	await exchange(gateway, 'POST /bookings/1 HTTP/1.1\r\nHost: office.example\r\nX-Request-Id: r\r\nAuthorization: Bearer key-wick\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n');
	t.is(endpoint.receivedRequests[0]?.body, 'abcde');
	t.is(endpoint.receivedRequests[0]?.headers['content-length'], '5');
});

test('a request inside the body of another is not treated as a request', async t => {
	const {endpoint, gateway} = await startSite(t);
	const inner = 'GET /lookups/2 HTTP/1.1\r\nHost: office.example\r\nX-Request-Id: inner\r\n\r\n';
	await exchange(gateway, `POST /bookings/1 HTTP/1.1\r\nHost: office.example\r\nX-Request-Id: r\r\nAuthorization: Bearer key-wick\r\nContent-Length: ${inner.length}\r\n\r\n${inner}`);
	t.deepEqual(endpoint.receivedRequests.map(({requestId}) => requestId), ['r']);
	t.is(endpoint.receivedRequests[0]?.body, inner);
});

test('responses on one connection come in the order of its requests', async t => {
	const {gateway} = await startSite(t);
	const request = (id: string) => `GET /lookups/1 HTTP/1.1\r\nHost: office.example\r\nX-Request-Id: ${id}\r\nAuthorization: Bearer key-wick\r\n\r\n`;
	const text = await exchange(gateway, request('one') + request('two'));
	t.true(text.indexOf('answer to one') > 0 && text.indexOf('answer to one') < text.indexOf('answer to two'));
});

// Guards against a request that can't be written to any endpoint and makes each of them look unreachable: the endpoints would be paused, and all callers with them.
const unusual: Array<[string, string]> = [
	['two hosts', 'GET /lookups/1 HTTP/1.1\r\nHost: office.example\r\nHost: other.example\r\n'],
	['an upgrade', 'GET /lookups/1 HTTP/1.1\r\nHost: office.example\r\nConnection: upgrade\r\nUpgrade: websocket\r\n'],
	['an expectation', 'GET /lookups/1 HTTP/1.1\r\nHost: office.example\r\nExpect: a miracle\r\n'],
	['bytes above ASCII in a header', 'GET /lookups/1 HTTP/1.1\r\nHost: office.example\r\nX-Note: caf\u00E9\r\n'],
	['bytes above ASCII in its path', 'GET /lookups/caf\u00E9 HTTP/1.1\r\nHost: office.example\r\n'],
	['a full URL as its path', 'GET http://office.example/lookups/1 HTTP/1.1\r\nHost: office.example\r\n'],
	['an asterisk as its path', 'OPTIONS * HTTP/1.1\r\nHost: office.example\r\n'],
	['the method CONNECT', 'CONNECT office.example:80 HTTP/1.1\r\nHost: office.example\r\n'],
	['the method TRACE', 'TRACE /lookups/1 HTTP/1.1\r\nHost: office.example\r\n'],
	['a body with GET', 'GET /lookups/1 HTTP/1.1\r\nHost: office.example\r\nContent-Length: 0\r\n'],
	['a trailer', 'GET /lookups/1 HTTP/1.1\r\nHost: office.example\r\nTrailer: x\r\nTE: trailers\r\n'],
];

for (const [what, text] of unusual) {
	test(`a request with ${what} does not disturb the next one`, async t => {
		const {endpoint, gateway} = await startSite(t);
		await exchange(gateway, `${text}X-Request-Id: odd\r\nAuthorization: Bearer key-wick\r\n\r\n`, quietMs);
		t.like(await call(gateway, {
			path: '/bookings/1', method: 'POST', body: 'x', headers: {'x-request-id': 'next'},
		}), {status: 200, body: 'answer to next'});
		t.true(endpoint.receivedRequests.filter(({requestId}) => requestId === 'odd').length <= 1);
		t.deepEqual(gateway.memoryLog.linesOf('attempt-failed').filter(line => line.includes('unreachable')), []);
	});
}

// Guards against connections that are held for ever by callers that stop in the middle of a body.
test('a body that stops is refused as not run after the idle timeout', async t => {
	const {endpoint, gateway, site} = await startSite(t);
	site.store.put('op/config', createConfigurationDocument({
		version: 2,
		// eslint-disable-next-line @typescript-eslint/naming-convention -- the platform's names
		limits: {idle_timeout_ms: 150},
	}));
	await until(() => gateway.memoryLog.linesOf('configuration').length > 1);
	const response = await exchange(gateway, 'POST /bookings/1 HTTP/1.1\r\nHost: office.example\r\nX-Request-Id: r\r\nAuthorization: Bearer key-wick\r\nContent-Length: 10\r\n\r\nabc');
	t.regex(response, /^HTTP\/1\.1 408 /v);
	t.regex(response, /connection: close/iv);
	t.deepEqual(endpoint.receivedRequests, []);
});
