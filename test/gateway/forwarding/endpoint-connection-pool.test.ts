import test, {type ExecutionContext} from 'ava';
import {EndpointConnectionPool} from '../../../src/gateway/forwarding/endpoint-connection-pool.js';
import {Exchange, type ExchangeEnd} from '../../../src/gateway/forwarding/exchange.js';
import {SystemClock} from '../../../src/shared/clock.js';
import {ReadingProgress} from '../../../src/shared/reading-progress.js';
import {RawEndpoint, wholeResponse} from '../../fixtures/gateway/raw-endpoint.js';

type Listener = {readonly pool: EndpointConnectionPool; readonly countConnections: () => number};

async function listen(t: ExecutionContext): Promise<Listener> {
	const endpoint = await RawEndpoint.listen(({requestId, socket}) => {
		socket.write(wholeResponse(requestId));
	});
	const clock = SystemClock.create();
	let connections = 0;
	const pool = EndpointConnectionPool.create(endpoint.address, {
		clock,
		readingProgress: ReadingProgress.create(clock, () => undefined),
		onConnect() {
			connections++;
		},
	});
	t.teardown(async () => {
		await pool.dispose();
		await endpoint.dispose();
	});
	return {pool, countConnections: () => connections};
}

async function send({pool}: Listener, requestId: string, keepsConnection = true): Promise<ExchangeEnd> {
	return new Promise(resolve => {
		Exchange.start({
			connection: pool.acquire(requestId, true),
			method: 'GET',
			path: '/',
			headers: ['x-request-id', requestId],
			maySend: () => true,
			onHead: () => undefined,
			onData: () => undefined,
			keepsConnection: () => keepsConnection,
			onEnd: resolve,
		});
	});
}

test('a connection carries the requests of several ids', async t => {
	const listener = await listen(t);
	for (const requestId of ['a', 'b', 'c']) {
		// eslint-disable-next-line no-await-in-loop
		t.like(await send(listener, requestId), {kind: 'complete'});
	}

	t.is(listener.countConnections(), 1);
});

test('an id that comes again gets another connection, which replaces the first one', async t => {
	const listener = await listen(t);
	for (const requestId of ['a', 'a', 'b', 'c']) {
		// eslint-disable-next-line no-await-in-loop
		t.like(await send(listener, requestId), {kind: 'complete'});
	}

	t.is(listener.countConnections(), 2);
	t.is(listener.pool.size, 1);
});

test('a connection that may carry no other request is closed', async t => {
	const listener = await listen(t);
	t.like(await send(listener, 'a', false), {kind: 'complete'});
	t.is(listener.pool.size, 0);
	t.like(await send(listener, 'b'), {kind: 'complete'});
	t.is(listener.countConnections(), 2);
});

// Guards against ids that are remembered without end.
test('a connection is closed after its last request', async t => {
	const listener = await listen(t);
	for (let request = 0; request < 257; request++) {
		// eslint-disable-next-line no-await-in-loop
		t.like(await send(listener, `r${request}`), {kind: 'complete'});
	}

	t.is(listener.countConnections(), 2);
	t.is(listener.pool.size, 1);
});
