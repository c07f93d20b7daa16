import {createServer, type AddressInfo} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {EndpointConnectionPool} from '../../../src/gateway/forwarding/endpoint-connection-pool.js';
import {Exchange, type ExchangeEnd} from '../../../src/gateway/forwarding/exchange.js';
import {ReadingProgress} from '../../../src/shared/reading-progress.js';
import {SystemClock} from '../../../src/shared/clock.js';
import {chunk} from '../../fixtures/gateway/raw-endpoint.js';

const clock = SystemClock.create();

/** Most chunks of one connection before it pauses: the limit, and those of a piece that has been handed over. */
const maximumChunksBeforePause = 512 + (4096 / chunk('x').length);

type Received = {readonly end: ExchangeEnd; readonly body: string; readonly largestRound: number};

/** Sends a request and counts the chunks of the response in each round of the event loop. */
async function receive(t: ExecutionContext, response: string): Promise<Received> {
	const server = createServer(socket => {
		socket.on('error', () => {
			// The pool closes connections when it is disposed.
		});
		socket.once('data', () => {
			socket.write(response);
			if (!response.includes('keep-alive')) {
				socket.end();
			}
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	const pool = EndpointConnectionPool.create(`127.0.0.1:${port}`, {clock, readingProgress: ReadingProgress.create(clock, () => undefined), onConnect: () => undefined});
	t.teardown(async () => {
		await pool.dispose();
		server.close();
	});
	let body = '';
	let round = 0;
	let largestRound = 0;
	const end = await new Promise<ExchangeEnd>(resolve => {
		Exchange.start({
			connection: pool.acquire('r1', false),
			method: 'GET',
			path: '/',
			headers: [],
			maySend: () => true,
			onHead: () => undefined,
			onData(data) {
				body += new TextDecoder().decode(data);
				if (round === 0) {
					setImmediate(() => {
						largestRound = Math.max(largestRound, round);
						round = 0;
					});
				}

				round++;
			},
			keepsConnection: () => true,
			onEnd: resolve,
		});
	});
	return {end, body, largestRound};
}

const body = Array.from({length: 100_000}, (_, index) => String.fromCodePoint(97 + (index % 26))).join('');

// Guards against one connection that keeps the event loop busy: a reading of 64 KB has 10,000 chunks of one byte.
test('a connection with many short chunks lets others go first, and its whole body arrives', async t => {
	const chunks = [...body].map(byte => chunk(byte)).join('');
	const {end, body: received, largestRound} = await receive(t, `HTTP/1.1 200 OK\r\nconnection: keep-alive\r\ntransfer-encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`);
	t.is(end.kind, 'complete');
	t.true(received === body);
	// A connection may pause after the reading of a round and go on at its end.
	t.true(largestRound <= 2 * maximumChunksBeforePause, `${largestRound} chunks in a round`);
});

test('a body in short chunks arrives completely although its connection is closed after it', async t => {
	const chunks = [...body].map(byte => chunk(byte)).join('');
	const {end, body: received} = await receive(t, `HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`);
	t.is(end.kind, 'complete');
	t.true(received === body);
});

test('a long body without a length arrives completely', async t => {
	const {end, body: received} = await receive(t, `HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n${body.repeat(20)}`);
	t.is(end.kind, 'complete');
	t.true(received === body.repeat(20));
});

test('a body in short chunks that ends early is broken', async t => {
	const chunks = [...body].map(byte => chunk(byte)).join('');
	const {end, body: received} = await receive(t, `HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n${chunks}`);
	t.is(end.kind, 'broken');
	t.true(received === body);
});
