import {Buffer} from 'node:buffer';
import test from 'ava';
import {dispatchToPlainService, EndpointConnections} from '../../../src/entry/dispatch/index.js';
import {createOrder, testRequestId} from '../../fixtures/dispatch-orders.js';
import {FakeEndpoint, FakeSocketEndpoint, unusedAddress} from '../../fixtures/fake-endpoint.js';

const connections = EndpointConnections.create();

test.after.always(async () => {
	await connections.dispose();
});

test('a request is forwarded with its id and without hop-by-hop headers, and its response is relayed without them', async t => {
	const endpoint = await FakeEndpoint.start((_request, response) => {
		response.writeHead(201, {'x-booking': '17', 'keep-alive': 'timeout=5', 'content-type': 'text/plain'});
		response.write('bo');
		response.end('oked');
	});
	const order = createOrder({
		address: endpoint.address,
		http: {
			path: '/bookings?day=monday',
			headers: {
				'content-type': 'application/json', connection: 'x-private', 'x-private': 'yes', te: 'trailers', 'x-client': 'kept',
			},
			body: Buffer.from('{"slot":9}'),
		},
	});
	const result = await dispatchToPlainService(order, connections);
	t.deepEqual(result, {kind: 'completed', symptom: 'none'});
	const [request] = endpoint.requests;
	t.is(request!.url, '/bookings?day=monday');
	t.is(request!.body, '{"slot":9}');
	t.is(request!.headers['x-request-id'], testRequestId);
	t.is(request!.headers['x-client'], 'kept');
	t.is(request!.headers['x-private'], undefined);
	t.is(request!.headers.te, undefined);
	t.is(order.sink.head!.status, 201);
	t.is(order.sink.head!.headers['x-booking'], '17');
	t.is(order.sink.head!.headers['keep-alive'], undefined);
	t.is(order.sink.text, 'booked');
	t.is(order.sink.completions, 1);
	t.deepEqual(order.counts, {
		mayWrite: 1, onWrite: 1, onFirstByte: 1, tokens: 0,
	});
	await endpoint.close();
});

// Guards against a request that runs twice (property G1): a request that may be retried at another endpoint must not have reached the first one.
test('after a refused connection, the request is not sent and the check is not made', async t => {
	const order = createOrder({address: await unusedAddress()});
	t.deepEqual(await dispatchToPlainService(order, connections), {kind: 'not-sent', reason: 'unreachable', symptom: 'unreachable'});
	t.is(order.counts.mayWrite, 0);
	t.is(order.counts.onWrite, 0);
});

test('if the check fails, nothing is written and no write is announced', async t => {
	const endpoint = await FakeSocketEndpoint.start(() => undefined);
	const order = createOrder({address: endpoint.address, mayWrite: () => false});
	t.deepEqual(await dispatchToPlainService(order, connections), {kind: 'not-sent', reason: 'refused-by-check', symptom: 'none'});
	await Promise.all(endpoint.closed);
	t.is(endpoint.received, '');
	t.is(order.counts.onWrite, 0);
	await endpoint.close();
});

// Guards against a request that is written although the registry rejected its state transition.
test('if announcing the write throws, nothing is written', async t => {
	const endpoint = await FakeSocketEndpoint.start(() => undefined);
	const order = createOrder({
		address: endpoint.address,
		onWrite() {
			throw new Error('dispatched twice');
		},
	});
	await t.throwsAsync(dispatchToPlainService(order, connections), {message: 'dispatched twice'});
	await Promise.all(endpoint.closed);
	t.is(endpoint.received, '');
	await endpoint.close();
});

// Guards against a false `not-sent`: only a dispatch that announced no write may report it.
test('a connection reset before the request results in not-sent exactly when no write was announced', async t => {
	const endpoint = await FakeSocketEndpoint.start(socket => {
		socket.resetAndDestroy();
	});
	for (let round = 0; round < 20; round++) {
		const order = createOrder({address: endpoint.address});
		// eslint-disable-next-line no-await-in-loop
		const result = await dispatchToPlainService(order, connections);
		t.is(result.kind === 'not-sent', order.counts.onWrite === 0);
		t.true(result.kind === 'not-sent' || (result.kind === 'failed' && result.failure.outcome === 'unknown'));
	}

	await endpoint.close();
});

// Guards against a booking that is made twice (properties G1 and G7): after a connection loss it may have been made, so it must not be sent again.
test('after a connection reset that follows the request, the outcome is unknown and the request is not retried', async t => {
	const endpoint = await FakeSocketEndpoint.start(socket => {
		socket.once('data', () => {
			socket.resetAndDestroy();
		});
	});
	const order = createOrder({address: endpoint.address, http: {body: Buffer.from('{}')}});
	const result = await dispatchToPlainService(order, connections);
	t.is(result.kind, 'failed');
	t.is(result.symptom, 'reset');
	t.is(result.kind === 'failed' && result.failure.type, 'outcome-unknown');
	t.is(result.kind === 'failed' && result.failure.outcome, 'unknown');
	t.is(endpoint.closed.length, 1);
	t.is(order.sink.head, undefined);
	await endpoint.close();
});

// Guards against a truncated response that looks complete to the caller (property G5).
const cutResponses: Record<string, string> = {
	'shorter than its content length': 'HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf',
	'without its last chunk': 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n',
	'shorter than its content length on a closing connection': 'HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 10\r\n\r\nhalf',
	'without its last chunk on a closing connection': 'HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n',
	'without any length': 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf',
};
for (const [title, response] of Object.entries(cutResponses)) {
	for (const ending of ['end', 'resetAndDestroy'] as const) {
		test(`a response ${title} does not count as complete (${ending})`, async t => {
			const endpoint = await FakeSocketEndpoint.start(socket => {
				socket.once('data', () => {
					socket.write(response, () => {
						socket[ending]();
					});
				});
			});
			const order = createOrder({address: endpoint.address});
			const result = await dispatchToPlainService(order, connections);
			t.is(result.kind, 'failed');
			t.is(result.kind === 'failed' && result.failure.outcome, 'unknown');
			t.is(order.sink.completions, 0);
			await endpoint.close();
		});
	}
}

test('a request without a response fails at the request timeout', async t => {
	const endpoint = await FakeEndpoint.start(() => undefined);
	const order = createOrder({address: endpoint.address, requestTimeoutMilliseconds: 2000});
	const result = await dispatchToPlainService(order, connections);
	t.is(result.symptom, 'timeout');
	t.is(result.kind === 'failed' && result.failure.type, 'outcome-unknown');
	await endpoint.close();
});

// Guards against a dispatch that keeps its units indefinitely because its caller does not read.
test('a dispatch whose reader is never ready fails at the request timeout', async t => {
	const endpoint = await FakeEndpoint.start((_request, response) => {
		response.end(Buffer.alloc(1_000_000));
	});
	const order = createOrder({address: endpoint.address, requestTimeoutMilliseconds: 200});
	order.sink.block();
	const result = await dispatchToPlainService(order, connections);
	t.is(result.symptom, 'timeout');
	t.is(order.sink.completions, 0);
	await endpoint.close();
});

test('after an abort before the write the request is not sent, after a later abort the outcome is unknown', async t => {
	const early = createOrder({address: await unusedAddress()});
	early.abort();
	t.deepEqual(await dispatchToPlainService(early, connections), {kind: 'not-sent', reason: 'aborted', symptom: 'none'});

	const orders: Array<ReturnType<typeof createOrder>> = [];
	const endpoint = await FakeEndpoint.start(() => {
		orders[0]!.abort();
	});
	const late = createOrder({address: endpoint.address});
	orders.push(late);
	const result = await dispatchToPlainService(late, connections);
	t.is(result.kind === 'failed' && result.failure.type, 'cancelled');
	t.is(result.kind === 'failed' && result.failure.outcome, 'unknown');
	await endpoint.close();
});

test('an error response of the service is relayed unchanged', async t => {
	const endpoint = await FakeEndpoint.start((_request, response) => {
		response.writeHead(503, {'content-length': '4'}).end('full');
	});
	const order = createOrder({address: endpoint.address});
	t.deepEqual(await dispatchToPlainService(order, connections), {kind: 'completed', symptom: 'server-error'});
	t.is(order.sink.head!.status, 503);
	t.is(order.sink.text, 'full');
	await endpoint.close();
});

// Guards against an unknown outcome: a booking must not be sent on an idle connection that the endpoint may just be closing.
test('each request has its own connection, which is closed afterwards', async t => {
	const endpoint = await FakeEndpoint.start((_request, response) => {
		response.end('ok');
	});
	const ownConnections = EndpointConnections.create();
	for (let round = 0; round < 3; round++) {
		// eslint-disable-next-line no-await-in-loop
		await dispatchToPlainService(createOrder({address: endpoint.address}), ownConnections);
	}

	t.is(endpoint.connections, 3);
	t.true(endpoint.requests.every(request => request.headers.connection === 'close'));
	t.is(ownConnections.size, 0);
	await endpoint.close();
});

test('a response without a body is complete', async t => {
	const endpoint = await FakeEndpoint.start((_request, response) => {
		response.writeHead(204).end();
	});
	const order = createOrder({address: endpoint.address, http: {method: 'DELETE'}});
	t.deepEqual(await dispatchToPlainService(order, connections), {kind: 'completed', symptom: 'none'});
	t.is(order.sink.completions, 1);
	await endpoint.close();
});

test('a request that can\'t be written is refused as not run', async t => {
	const endpoint = await FakeEndpoint.start((_request, response) => {
		response.end('ok');
	});
	const order = createOrder({address: endpoint.address, http: {headers: {'x-broken': 'a\nb'}}});
	const result = await dispatchToPlainService(order, connections);
	t.is(result.kind === 'failed' && result.failure.type, 'malformed-request');
	t.is(result.kind === 'failed' && result.failure.outcome, 'not-run');
	t.is(endpoint.requests.length, 0);
	await endpoint.close();
});
