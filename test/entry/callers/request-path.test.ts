import {Buffer} from 'node:buffer';
import test from 'ava';
import {
	dispatchToEngine, dispatchToPlainService, EndpointConnections, type DispatchResult,
} from '../../../src/entry/dispatch/index.js';
import {requestStates, type ResponseSink, type Submission} from '../../../src/entry/requests/index.js';
import {createFailure} from '../../../src/shared/failure.js';
import {CallerServerFixture} from '../../fixtures/caller-servers.js';
import {until} from '../../fixtures/until.js';
import {FakeEndpoint, unusedAddress} from '../../fixtures/fake-endpoint.js';
import {FakeEngine, formatEvents} from '../../fixtures/fake-engine.js';

const chat = '/v1/chat/completions';
const streamBody = '{"model":"summary-8b","stream":true,"messages":[{"role":"user","content":"Summarise the file"}]}';

/** An entry that immediately dispatches every request to one endpoint, without a queue and units. */
async function startEntry(address: string) {
	const connections = EndpointConnections.create();
	const aborts = new Map<string, AbortController>();
	const results: DispatchResult[] = [];
	const dispatchRequest = async (fixture: CallerServerFixture, submission: Submission, sink: ResponseSink) => {
		const controller = new AbortController();
		aborts.set(submission.requestId, controller);
		const dispatch = submission.kind === 'engine' ? dispatchToEngine : dispatchToPlainService;
		const result = await dispatch({
			submission,
			endpoint: {name: 'endpoint-1', address, requestTimeoutMilliseconds: 10_000},
			mayWrite: () => fixture.registry.mayDispatch(submission.requestId),
			onWrite() {
				fixture.registry.transition(submission.requestId, requestStates.dispatching);
			},
			onFirstByte: () => undefined,
			onTokens: () => undefined,
			onSymptom: () => undefined,
			sink,
			signal: controller.signal,
		}, connections);
		results.push(result);
		if (result.kind === 'failed') {
			sink.fail(result.failure);
		} else if (result.kind === 'not-sent') {
			sink.fail(createFailure('endpoint-unreachable', 'no endpoint could be reached'));
		}
	};

	const fixture: CallerServerFixture = await CallerServerFixture.start({
		onSubmit(submission, sink) {
			void dispatchRequest(fixture, submission, sink);
		},
	});
	return {
		fixture,
		aborts,
		results,
		async close() {
			await fixture.close();
			await connections.dispose();
		},
	};
}

// Guards against lost or duplicated tokens at the caller when connections to the engine are lost (property G5).
test('a caller gets the complete stream of an engine whose connections are lost', async t => {
	const tokens = ['{"t":"A"}', '{"t":"late"}', '{"t":"summary"}'];
	const engine = await FakeEngine.start(tokens, [{cutAfterBytes: 30}, {cutAfterBytes: 12, repeatedEvents: 1}, {}]);
	const entry = await startEntry(engine.address);
	const response = await entry.fixture.send(chat, {body: streamBody});
	t.is(await response.text(), formatEvents(tokens).join(''));
	t.is(engine.submissions.length, 1);
	t.is(engine.submissions[0]!.headers['x-request-id'], response.headers.get('x-request-id')!);
	await Promise.all([entry.close(), engine.close()]);
});

test('a lost engine ends the caller\'s stream with an error event', async t => {
	const engine = await FakeEngine.start(['a', 'b', 'c'], [{cutAfterBytes: 20}, {status: 404}]);
	const entry = await startEntry(engine.address);
	const response = await entry.fixture.send(chat, {body: streamBody});
	const text = await response.text();
	t.true(text.startsWith('id: 1\ndata: a\n\nevent: error\n'));
	t.is(entry.fixture.registry.findRecord(response.headers.get('x-request-id')!)!.state, 'failed');
	await Promise.all([entry.close(), engine.close()]);
});

test('a stream whose caller disconnects is cancelled at the engine', async t => {
	const endpoint = await FakeEndpoint.start((request, response) => {
		if (request.method === 'DELETE') {
			response.writeHead(204).end();
			return;
		}

		response.writeHead(200, {'content-type': 'text/event-stream'});
		response.write('id: 1\ndata: a\n\n');
	});
	const entry = await startEntry(endpoint.address);
	const controller = new AbortController();
	const response = await entry.fixture.send(chat, {body: streamBody, signal: controller.signal});
	controller.abort();
	await until(() => entry.fixture.callersGone.length === 1);
	const [requestId] = entry.fixture.callersGone;
	t.is(requestId, response.headers.get('x-request-id')!);
	entry.aborts.get(requestId!)!.abort();
	await until(() => entry.results.length === 1);
	t.is(entry.results[0]!.kind, 'failed');
	t.deepEqual(endpoint.requestsOf('DELETE').map(request => request.url), [`/v1/streams/${requestId}`]);
	await Promise.all([entry.close(), endpoint.close()]);
});

// Guards against a retry that makes a second booking (properties G1 and G7): after a connection loss the outcome is unknown.
test('a booking whose connection is lost has an unknown outcome for every retry and runs once', async t => {
	const endpoint = await FakeEndpoint.start((_request, response) => {
		response.destroy();
	});
	const entry = await startEntry(endpoint.address);
	const key = await entry.fixture.issueKey();
	for (let count = 0; count < 3; count++) {
		// eslint-disable-next-line no-await-in-loop
		const response = await entry.fixture.send('/v1/services/diary/bookings', {body: '{"slot":9}', headers: {'idempotency-key': key}});
		t.is(response.status, 502);
		// eslint-disable-next-line no-await-in-loop
		const {outcome} = await response.json() as {outcome: string};
		t.is(outcome, 'unknown');
	}

	t.is(endpoint.requests.length, 1);
	await Promise.all([entry.close(), endpoint.close()]);
});

test('a slow caller gets a large response completely', async t => {
	const size = 8_000_000;
	const endpoint = await FakeEndpoint.start((_request, response) => {
		response.writeHead(200, {'content-length': String(size)}).end(Buffer.alloc(size, 'x'));
	});
	const entry = await startEntry(endpoint.address);
	const response = await entry.fixture.send('/v1/services/diary/bookings', {method: 'GET'});
	let bytes = 0;
	for await (const chunk of response.body as unknown as AsyncIterable<Uint8Array>) {
		bytes += chunk.byteLength;
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	t.is(bytes, size);
	await Promise.all([entry.close(), endpoint.close()]);
});

test('a request whose endpoint can\'t be reached is refused as not run', async t => {
	const entry = await startEntry(await unusedAddress());
	const response = await entry.fixture.send(chat, {body: streamBody});
	t.is(response.status, 503);
	const {outcome} = await response.json() as {outcome: string};
	t.is(outcome, 'not-run');
	await entry.close();
});
