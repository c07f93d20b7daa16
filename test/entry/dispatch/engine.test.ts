import {Buffer} from 'node:buffer';
import test from 'ava';
import fc from 'fast-check';
import {dispatchToEngine, EndpointConnections} from '../../../src/entry/dispatch/index.js';
import {
	createOrder, testRequestId, type OrderOptions, type RecordedOrder,
} from '../../fixtures/dispatch-orders.js';
import {FakeEndpoint, unusedAddress} from '../../fixtures/fake-endpoint.js';
import {FakeEngine, formatEvents} from '../../fixtures/fake-engine.js';
import {testSeed} from '../../fixtures/seed.js';
import {until} from '../../fixtures/until.js';

const connections = EndpointConnections.create();
const tokens = ['{"t":"A"}', '{"t":"late"}', '{"t":"summary"}', '{"t":"é"}'];
const streamPath = `/v1/streams/${testRequestId}`;

test.after.always(async () => {
	await connections.dispose();
});

function streamOrder(address: string, options: Partial<OrderOptions> = {}): RecordedOrder {
	return createOrder({
		address,
		kind: 'engine',
		http: {
			path: '/v1/chat/completions', headers: {'content-type': 'application/json'}, body: Buffer.from('{"stream":true}'), wantsStream: true,
		},
		...options,
	});
}

function documentOrder(address: string, options: Partial<OrderOptions> = {}): RecordedOrder {
	return createOrder({
		address, kind: 'engine', http: {path: '/v1/chat/completions', body: Buffer.from('{}')}, ...options,
	});
}

test('events are relayed in order with their numbers and without the end marker', async t => {
	const engine = await FakeEngine.start(tokens, [{}]);
	const order = streamOrder(engine.address);
	t.deepEqual(await dispatchToEngine(order, connections), {kind: 'completed', symptom: 'none', promptTokensCached: undefined});
	t.is(order.sink.text, formatEvents(tokens).slice(0, -1).join(''));
	t.is(order.sink.head!.headers['content-type'], 'text/event-stream; charset=utf-8');
	t.is(order.sink.completions, 1);
	t.is(engine.submissions[0]!.headers['x-request-id'], testRequestId);
	t.is(engine.submissions[0]!.body, '{"stream":true}');
	t.deepEqual(order.counts, {
		mayWrite: 1, onWrite: 1, onFirstByte: 1, tokens: 3,
	});
	t.deepEqual(engine.cancellations, []);
	await engine.close();
});

// Guards against lost or duplicated tokens when a stream is interrupted and resumed (property G5).
test('a stream that is interrupted at any position and any number of times is relayed completely', async t => {
	const cut = fc.record({cutAfterBytes: fc.integer({min: 1, max: 120}), repeatedEvents: fc.integer({min: 0, max: 4})});
	const seed = testSeed();
	t.log(`seed ${seed}`);
	await fc.assert(
		fc.asyncProperty(fc.array(cut, {maxLength: 3}), async cuts => {
			const engine = await FakeEngine.start(tokens, [...cuts, {repeatedEvents: 2}]);
			const order = streamOrder(engine.address);
			const result = await dispatchToEngine(order, connections);
			await engine.close();
			t.is(result.kind, 'completed');
			t.is(order.sink.text, formatEvents(tokens).slice(0, -1).join(''));
			t.is(order.sink.completions, 1);
			t.is(engine.submissions.length, 1);
		}),
		{seed, numRuns: 40},
	);
});

test('an interrupted stream is resumed after the last complete event', async t => {
	const [first] = formatEvents(tokens);
	const engine = await FakeEngine.start(tokens, [{cutAfterBytes: first!.length + 5}, {}]);
	const order = streamOrder(engine.address);
	const result = await dispatchToEngine(order, connections);
	t.is(result.kind, 'completed');
	t.deepEqual(engine.resumptions, [`${streamPath}?after=1`]);
	t.deepEqual(order.sink.eventData, tokens);
	await engine.close();
});

// Guards against a request that runs twice (property G1): when the connection is lost before the response, it must not be submitted again.
test('after a connection loss before the response, the stream is resumed from the start and the request is not submitted again', async t => {
	const engine = await FakeEngine.start(tokens, [{cutAfterBytes: 0}, {}]);
	const order = streamOrder(engine.address);
	const result = await dispatchToEngine(order, connections);
	t.is(result.kind, 'completed');
	t.is(engine.submissions.length, 1);
	t.deepEqual(engine.resumptions, [`${streamPath}?after=0`]);
	t.deepEqual(order.sink.eventData, tokens);
	await engine.close();
});

test('a stream that the engine can\'t resume fails with an unknown outcome', async t => {
	const engine = await FakeEngine.start(tokens, [{cutAfterBytes: 30}, {status: 404}]);
	const order = streamOrder(engine.address);
	const result = await dispatchToEngine(order, connections);
	t.is(result.kind === 'failed' && result.failure.type, 'answer-interrupted');
	t.is(result.kind === 'failed' && result.failure.outcome, 'unknown');
	t.is(order.sink.completions, 0);
	await engine.close();
});

// Guards against an engine that has restarted and gets its full load for as long as a cancellation takes there.
test('a lost stream shows the restart of its engine before its cancellation is answered', async t => {
	const engine = await FakeEngine.start(tokens, [{cutAfterBytes: 30}, {status: 404}], {ignoresCancellations: true});
	const order = streamOrder(engine.address);
	let hasEnded = false;
	const dispatched = (async () => {
		const result = await dispatchToEngine(order, connections);
		hasEnded = true;
		return result;
	})();
	await until(() => engine.cancellations.length === 1);
	t.false(hasEnded);
	t.deepEqual(order.symptoms, ['reset']);
	const {symptom} = await dispatched;
	t.is(symptom, 'reset');
	await engine.close();
});

test('the number of attempts to resume is limited', async t => {
	const engine = await FakeEngine.start(tokens, [{cutAfterBytes: 30}, ...Array.from({length: 10}, () => ({status: 503}))]);
	const order = streamOrder(engine.address);
	const result = await dispatchToEngine(order, connections);
	t.is(result.kind, 'failed');
	t.is(engine.resumptions.length, 4);
	t.deepEqual(engine.cancellations, [streamPath]);
	await engine.close();
});

// Guards against a truncated stream that looks complete to the caller.
test('a stream that ends without its end marker never counts as complete', async t => {
	const withoutMarker = formatEvents(tokens).slice(0, -1);
	const engine = await FakeEngine.start(tokens, [{events: withoutMarker}]);
	const order = streamOrder(engine.address);
	const result = await dispatchToEngine(order, connections);
	t.is(result.kind, 'failed');
	t.is(order.sink.completions, 0);
	await engine.close();
});

const brokenStreams: Record<string, {events: string[]; relayed: string[]}> = {
	'a missing event': {events: ['id: 1\ndata: a\n\n', 'id: 3\ndata: c\n\n', 'data: [DONE]\n\n'], relayed: ['a']},
	'a missing event before the end marker': {events: ['id: 1\ndata: a\n\n', 'id: 3\ndata: [DONE]\n\n'], relayed: ['a']},
	'an event without a number': {events: ['id: 1\ndata: a\n\n', 'data: b\n\n', 'data: [DONE]\n\n'], relayed: ['a']},
	'an error event': {events: ['id: 1\ndata: a\n\n', 'event: error\ndata: {}\n\n', 'data: [DONE]\n\n'], relayed: ['a']},
};
for (const [title, {events, relayed}] of Object.entries(brokenStreams)) {
	// Guards against a response with missing tokens (property G5): the caller must get a failure instead.
	test(`${title} fails the stream and cancels it`, async t => {
		const engine = await FakeEngine.start(tokens, [{events}]);
		const order = streamOrder(engine.address);
		const result = await dispatchToEngine(order, connections);
		t.is(result.kind, 'failed');
		t.is(result.kind === 'failed' && result.failure.outcome, 'unknown');
		t.deepEqual(order.sink.eventData, relayed);
		t.is(order.sink.completions, 0);
		t.deepEqual(engine.cancellations, [streamPath]);
		await engine.close();
	});
}

// Guards against duplicated tokens when the engine sends an event again.
test('events that are received twice or late are relayed once', async t => {
	const events = ['id: 1\ndata: a\n\n', 'id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n', 'id: 1\ndata: a\n\n', 'data: [DONE]\n\n'];
	const engine = await FakeEngine.start(tokens, [{events}]);
	const order = streamOrder(engine.address);
	const result = await dispatchToEngine(order, connections);
	t.is(result.kind, 'completed');
	t.deepEqual(order.sink.eventData, ['a', 'b']);
	await engine.close();
});

for (const [title, streams] of Object.entries({
	'in the first response': [{requestId: 'entry-2_other_9'}],
	'in a resumed response': [{cutAfterBytes: 30}, {requestId: 'entry-2_other_9'}],
})) {
	// Guards against a caller that gets another caller's response (property G5), because the engine confuses requests.
	test(`the id of another request ${title} fails the stream`, async t => {
		const engine = await FakeEngine.start(tokens, streams);
		const order = streamOrder(engine.address);
		const result = await dispatchToEngine(order, connections);
		t.is(result.kind === 'failed' && result.failure.type, 'answer-interrupted');
		t.true(order.sink.eventData.length < tokens.length);
		t.is(order.sink.completions, 0);
		await engine.close();
	});
}

test('responses of concurrent requests are not mixed up', async t => {
	const endpoint = await FakeEndpoint.start(async (request, response) => {
		const requestId = String(request.headers['x-request-id']);
		response.writeHead(200, {'content-type': 'text/event-stream', 'x-request-id': requestId});
		for (let number = 1; number <= 20; number++) {
			response.write(`id: ${number}\ndata: ${requestId}-${number}\n\n`);
			// eslint-disable-next-line no-await-in-loop
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}

		response.end('data: [DONE]\n\n');
	});
	const orders = Array.from({length: 20}, (_, index) => streamOrder(endpoint.address, {requestId: `entry-1_a_${index + 1}`}));
	await Promise.all(orders.map(async order => dispatchToEngine(order, connections)));
	for (const order of orders) {
		t.deepEqual(order.sink.eventData, Array.from({length: 20}, (_, index) => `${order.submission.requestId}-${index + 1}`));
	}

	await endpoint.close();
});

// Guards against an engine that keeps generating tokens for a caller that has disconnected.
test('an abort cancels the stream at the engine', async t => {
	const endpoint = await FakeEndpoint.start((request, response) => {
		if (request.method === 'DELETE') {
			response.writeHead(204).end();
			return;
		}

		response.writeHead(200, {'content-type': 'text/event-stream'});
		response.write('id: 1\ndata: a\n\n');
	});
	const order = streamOrder(endpoint.address);
	const resultPromise = dispatchToEngine(order, connections);
	while (order.counts.onFirstByte === 0) {
		// eslint-disable-next-line no-await-in-loop
		await new Promise(resolve => {
			setTimeout(resolve, 5);
		});
	}

	order.abort();
	const result = await resultPromise;
	t.is(result.kind === 'failed' && result.failure.type, 'cancelled');
	t.deepEqual(endpoint.requestsOf('DELETE').map(request => request.url), [streamPath]);
	t.deepEqual(endpoint.requestsOf('GET'), []);
	await endpoint.close();
});

test('a stream that stalls fails at the request timeout and is cancelled', async t => {
	const endpoint = await FakeEndpoint.start((request, response) => {
		if (request.method === 'DELETE') {
			response.writeHead(204).end();
			return;
		}

		response.writeHead(200, {'content-type': 'text/event-stream'});
		response.write('id: 1\ndata: a\n\n');
	});
	const order = streamOrder(endpoint.address, {requestTimeoutMilliseconds: 2000});
	const result = await dispatchToEngine(order, connections);
	t.is(result.symptom, 'timeout');
	t.is(endpoint.requestsOf('DELETE').length, 1);
	await endpoint.close();
});

test('after a refused connection or a failed last check, the request is not sent', async t => {
	const refused = streamOrder(await unusedAddress());
	t.deepEqual(await dispatchToEngine(refused, connections), {kind: 'not-sent', reason: 'unreachable', symptom: 'unreachable'});
	const engine = await FakeEngine.start(tokens, [{}]);
	const checked = streamOrder(engine.address, {mayWrite: () => false});
	t.deepEqual(await dispatchToEngine(checked, connections), {kind: 'not-sent', reason: 'refused-by-check', symptom: 'none'});
	t.is(engine.submissions.length, 0);
	t.deepEqual(engine.cancellations, []);
	await engine.close();
});

test('a JSON response is relayed completely and its cached prompt tokens are reported', async t => {
	const document = '{"choices":[],"usage":{"completion_tokens":7,"prompt_tokens_details":{"cached_tokens":64}}}';
	const endpoint = await FakeEndpoint.start((_request, response) => {
		response.writeHead(200, {'content-type': 'application/json'}).end(document);
	});
	const order = documentOrder(endpoint.address);
	t.deepEqual(await dispatchToEngine(order, connections), {kind: 'completed', symptom: 'none', promptTokensCached: 64});
	t.is(order.sink.text, document);
	t.is(order.counts.tokens, 7);
	t.is(order.counts.onFirstByte, 1);
	await endpoint.close();
});

for (const [title, headers, body] of [
	['shorter than its content length', {'content-length': '40'}, '{"choices":[]}'],
	['that is not JSON', {}, '{"choices":['],
] as const) {
	// Guards against a caller that gets an incomplete response (property G5).
	test(`a response ${title} fails before any of it is relayed`, async t => {
		const endpoint = await FakeEndpoint.start((request, response) => {
			if (request.method === 'DELETE') {
				response.writeHead(204).end();
				return;
			}

			response.writeHead(200, {'content-type': 'application/json', ...headers});
			response.end(body, () => {
				response.destroy();
			});
		});
		const order = documentOrder(endpoint.address);
		const result = await dispatchToEngine(order, connections);
		t.is(result.kind, 'failed');
		t.is(result.kind === 'failed' && result.failure.outcome, 'unknown');
		t.is(order.sink.head, undefined);
		await endpoint.close();
	});
}

test('a server error of the engine is a failure, a client error is relayed', async t => {
	const statuses = [500, 400];
	const endpoint = await FakeEndpoint.start((_request, response) => {
		response.writeHead(statuses.shift()!, {'content-type': 'application/json'}).end('{"error":{}}');
	});
	const broken = streamOrder(endpoint.address);
	const result = await dispatchToEngine(broken, connections);
	t.is(result.symptom, 'server-error');
	t.is(result.kind === 'failed' && result.failure.type, 'endpoint-failed');
	t.is(broken.sink.head, undefined);
	const refused = streamOrder(endpoint.address);
	const passedOn = await dispatchToEngine(refused, connections);
	t.is(passedOn.kind, 'completed');
	t.is(refused.sink.head!.status, 400);
	t.is(refused.sink.text, '{"error":{}}');
	await endpoint.close();
});
