import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import process from 'node:process';
import test from 'ava';
import type {ResponseHead, ResponseSink, Submission} from '../../../src/entry/requests/index.js';
import {createFailure} from '../../../src/shared/failure.js';
import {PrefixBlockHasher} from '../../../src/shared/prefix-blocks.js';
import {CallerServerFixture} from '../../fixtures/caller-servers.js';
import {ManualClock} from '../../fixtures/manual-clock.js';
import {until} from '../../fixtures/until.js';

type Problem = {type: string; status: number; outcome: string; requestId: string};

const chat = '/v1/chat/completions';
const chatBody = '{"model":"summary-8b","messages":[{"role":"user","content":"Summarise the file"}]}';
const streamBody = '{"model":"summary-8b","stream":true,"messages":[{"role":"user","content":"Summarise the file"}]}';
const eventStream = {status: 200, headers: {'content-type': 'text/event-stream; charset=utf-8'}};

function respondWith(fixture: () => CallerServerFixture, chunks: readonly string[], head: ResponseHead) {
	return ({requestId}: Submission) => {
		const sink = fixture().dispatch(requestId);
		sink.start(head);
		for (const chunk of chunks) {
			sink.write(Buffer.from(chunk));
		}

		sink.complete();
	};
}

const json: ResponseHead = {status: 200, headers: {'content-type': 'application/json'}};

async function startResponding(chunks: readonly string[], head = json): Promise<CallerServerFixture> {
	const fixture: CallerServerFixture = await CallerServerFixture.start({onSubmit: respondWith(() => fixture, chunks, head)});
	return fixture;
}

async function problemOf(response: Response): Promise<Problem> {
	return await response.json() as Problem;
}

async function rawExchange(address: string, text: string): Promise<string> {
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const socket = connect(Number(port), host, () => {
			socket.write(text);
		});
		let received = '';
		socket.on('data', data => {
			received += data.toString();
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			resolve(received);
		});
	});
}

test('a chat request is submitted unchanged with its estimates', async t => {
	const fixture = await startResponding(['{"choices":[]}']);
	const prompt = 'p'.repeat(1300);
	const body = `{ "model": "summary-8b", "messages": [{"role": "system", "content": "${prompt}"}, {"content": [{"type": "text", "text": "end"}]}], "max_tokens": 40 }`;
	const response = await fixture.send(chat, {body, headers: {'x-tier': 'interview', 'x-timeout-ms': '1500'}});
	t.is(response.status, 200);
	t.is(await response.text(), '{"choices":[]}');
	const [submission] = fixture.submissions;
	t.is(response.headers.get('x-request-id'), submission!.requestId);
	t.is(Buffer.from(submission!.http.body).toString(), body);
	t.is(submission!.service, 'assistant');
	t.is(submission!.tier, 'interview');
	t.is(submission!.promptTokens, Math.ceil((1300 + 1 + 3) / 4));
	t.is(submission!.outputTokens, 40);
	t.false(submission!.isIdempotent);
	t.is(submission!.queueDeadlineAt, submission!.receivedAt + 1500);
	const hasher = await PrefixBlockHasher.create();
	t.deepEqual(submission!.prefixBlocks, hasher.hash(`${prompt}\nend`, 512));
	t.is(submission!.prefixBlocks.length, 2);
	await fixture.close();
});

test('prompts share as many hashes as they share complete blocks', async t => {
	const hasher = await PrefixBlockHasher.create();
	const first = hasher.hash('aaaabbbbccccd', 4);
	const second = hasher.hash('aaaabbbbxxxxcccc', 4);
	t.is(first.length, 3);
	t.deepEqual(first.slice(0, 2), second.slice(0, 2));
	t.not(first[2], second[2]);
	t.false(second.includes(first[2]!));
});

test('a completion request is submitted to the service of its model with default estimates', async t => {
	const fixture = await startResponding(['{}']);
	const response = await fixture.send('/v1/completions', {body: '{"model":"summary-8b","prompt":"12345678"}'});
	t.is(response.status, 200);
	const [submission] = fixture.submissions;
	t.deepEqual([submission!.promptTokens, submission!.outputTokens, submission!.tier], [2, 256, 'letters']);
	await fixture.close();
});

test('a stream ends with its end marker', async t => {
	const fixture = await startResponding(['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n'], eventStream);
	const response = await fixture.send(chat, {body: streamBody});
	t.is(response.headers.get('content-type'), 'text/event-stream; charset=utf-8');
	t.is(await response.text(), 'id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: [DONE]\n\n');
	t.true(fixture.submissions[0]!.http.wantsStream);
	t.deepEqual(fixture.callersGone, []);
	await fixture.close();
});

type Refusal = {path?: string; method?: string; headers?: Record<string, string>; body?: string; status: number; type: string};
const refusals: Record<string, Refusal> = {
	'an unknown path': {path: '/v2/chat', status: 404, type: 'unknown-path'},
	'a malformed path': {path: '/%ZZ', status: 404, type: 'unknown-path'},
	'a wrong method': {
		path: chat, method: 'GET', status: 405, type: 'method-not-allowed',
	},
	'no workspace': {headers: {'x-workspace': ''}, status: 400, type: 'missing-workspace'},
	'an unknown workspace': {headers: {'x-workspace': 'perth'}, status: 403, type: 'unknown-workspace'},
	'a workspace that only the object prototype has': {headers: {'x-workspace': 'constructor'}, status: 403, type: 'unknown-workspace'},
	'an unknown tier': {headers: {'x-tier': 'gold'}, status: 400, type: 'unknown-tier'},
	'a tier above the highest of the workspace': {headers: {'x-workspace': 'oban', 'x-tier': 'interview'}, status: 403, type: 'tier-not-allowed'},
	'another content type': {headers: {'content-type': 'text/plain'}, status: 415, type: 'unsupported-media-type'},
	'malformed JSON': {body: '{"model":', status: 400, type: 'malformed-request'},
	'JSON without messages': {body: '{"model":"summary-8b"}', status: 400, type: 'malformed-request'},
	'a malformed timeout': {headers: {'x-timeout-ms': 'soon'}, status: 400, type: 'malformed-request'},
	'an unknown model': {body: chatBody.replace('summary-8b', 'poem-1b'), status: 404, type: 'unknown-service'},
	'an unknown service': {path: '/v1/services/orders/kits', status: 404, type: 'unknown-service'},
	'an engine as a plain service': {path: '/v1/services/assistant/bookings', status: 404, type: 'unknown-service'},
	'an unknown operation': {path: '/v1/services/diary/people', status: 404, type: 'unknown-operation'},
	'a path that starts with the prefix but not with all of its segments': {path: '/v1/services/diary/bookings-old', status: 404, type: 'unknown-operation'},
	'a method that the operation does not have': {
		path: '/v1/services/diary/bookings', method: 'DELETE', status: 404, type: 'unknown-operation',
	},
	'an idempotency key that the caller chose itself': {headers: {'idempotency-key': 'booking-17'}, status: 400, type: 'idempotency-key-not-issued'},
	'an idempotency key that was not issued': {headers: {'idempotency-key': 'entry-1_a1_999'}, status: 400, type: 'idempotency-key-not-issued'},
	'a body that is too large': {body: JSON.stringify({pad: 'x'.repeat(5000)}), status: 413, type: 'body-too-large'},
};
for (const [title, {path = chat, method = 'POST', headers = {}, body = chatBody, status, type}] of Object.entries(refusals)) {
	test(`${title} is refused as not run`, async t => {
		const fixture = await CallerServerFixture.start({policy: {maximumBodyBytes: 4096}});
		const response = await fixture.send(path, {method, headers, body: method === 'POST' ? body : undefined});
		const problem = await problemOf(response);
		t.is(response.status, status);
		t.is(response.headers.get('content-type'), 'application/problem+json');
		t.is(problem.type, `urn:jackdawfork:${type}`);
		t.is(problem.status, status);
		t.is(problem.outcome, 'not-run');
		t.is(response.headers.get('x-request-id'), problem.requestId);
		t.deepEqual(fixture.messages, []);
		await fixture.close();
	});
}

// Guards against unbounded memory use when a body has no declared length.
test('a body without a declared length is refused as soon as it is too large', async t => {
	const fixture = await CallerServerFixture.start({policy: {maximumBodyBytes: 1000, bodyTimeoutMilliseconds: 500}});
	const chunk = `${(800).toString(16)}\r\n${'x'.repeat(800)}\r\n`;
	const head = `POST ${chat} HTTP/1.1\r\nhost: entry\r\nx-workspace: glasgow\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n`;
	// The body never ends, so a response can only be sent before its end.
	const received = await rawExchange(fixture.address, head + chunk + chunk);
	t.true(received.startsWith('HTTP/1.1 413'));
	t.true(received.includes('body-too-large'));
	await fixture.close();
});

// Guards against callers that occupy connections and memory by sending slowly.
test('a body that is not received in time is refused', async t => {
	const fixture = await CallerServerFixture.start({policy: {bodyTimeoutMilliseconds: 100}});
	const head = `POST ${chat} HTTP/1.1\r\nhost: entry\r\nx-workspace: glasgow\r\ncontent-type: application/json\r\ncontent-length: 50\r\n\r\n{"model"`;
	const received = await rawExchange(fixture.address, head);
	t.true(received.startsWith('HTTP/1.1 408'));
	t.true(received.includes('"outcome":"not-run"'));
	t.deepEqual(fixture.messages, []);
	await fixture.close();
});

test('an entry that is not ready or stopping refuses and says when to retry', async t => {
	const fixture = await CallerServerFixture.start();
	for (const readiness of ['not-ready', 'shutting-down'] as const) {
		fixture.readiness = readiness;
		// eslint-disable-next-line no-await-in-loop
		const response = await fixture.send(chat, {body: chatBody});
		t.is(response.status, 503);
		t.is(response.headers.get('retry-after'), '1');
		// eslint-disable-next-line no-await-in-loop
		const problem = await problemOf(response);
		t.is(problem.type, `urn:jackdawfork:${readiness}`);
		t.is(problem.outcome, 'not-run');
	}

	fixture.readiness = 'ready';
	fixture.configuration = undefined;
	const response = await fixture.send(chat, {body: chatBody});
	const problem = await problemOf(response);
	t.is(problem.type, 'urn:jackdawfork:not-ready');
	t.deepEqual(fixture.messages, []);
	await fixture.close();
});

test('a failure before the response is a problem document', async t => {
	const fixture = await CallerServerFixture.start({
		onSubmit(_submission, sink) {
			sink.fail(createFailure('overloaded', 'too much work'));
		},
	});
	const response = await fixture.send(chat, {body: streamBody});
	t.is(response.status, 503);
	t.is(response.headers.get('retry-after'), '2');
	const problem = await problemOf(response);
	t.is(problem.outcome, 'not-run');
	t.is(problem.requestId, fixture.submissions[0]!.requestId);
	await fixture.close();
});

// Guards against a truncated stream that looks complete to the caller.
test('a stream that fails ends with an error event that contains the problem document', async t => {
	const fixture: CallerServerFixture = await CallerServerFixture.start({
		onSubmit({requestId}) {
			const sink = fixture.dispatch(requestId);
			sink.start(eventStream);
			sink.write(Buffer.from('id: 1\ndata: a\n\n'));
			sink.fail(createFailure('answer-interrupted', 'connection lost'));
		},
	});
	const response = await fixture.send(chat, {body: streamBody});
	const text = await response.text();
	t.true(text.startsWith('id: 1\ndata: a\n\nevent: error\ndata: {'));
	t.false(text.includes('[DONE]'));
	const problem = JSON.parse(text.split('data: ').at(-1)!) as Problem;
	t.is(problem.outcome, 'unknown');
	t.is(problem.requestId, fixture.submissions[0]!.requestId);
	await fixture.close();
});

test('a response that is not a stream and fails after its head destroys the connection', async t => {
	const fixture: CallerServerFixture = await CallerServerFixture.start({
		onSubmit({requestId}) {
			const sink = fixture.dispatch(requestId);
			sink.start({status: 200, headers: {'content-type': 'text/plain'}});
			sink.write(Buffer.from('half'));
			sink.fail(createFailure('answer-interrupted', 'connection lost'));
		},
	});
	await t.throwsAsync(async () => {
		const response = await fixture.send('/v1/services/diary/bookings', {body: '{}'});
		await response.text();
	});
	// The server still accepts other requests.
	const next = await fixture.send('/v1/unknown');
	t.is(next.status, 404);
	await fixture.close();
});

test('a caller that disconnects is reported once, before the response and during it', async t => {
	const sinks: ResponseSink[] = [];
	const fixture: CallerServerFixture = await CallerServerFixture.start({
		onSubmit({requestId}) {
			sinks.push(fixture.dispatch(requestId));
		},
	});
	const earlyAbort = new AbortController();
	const earlyResponse = fixture.send(chat, {body: streamBody, signal: earlyAbort.signal});
	await until(() => fixture.submissions.length === 1);
	earlyAbort.abort();
	// The runtime's abort error is a DOMException.
	await t.throwsAsync(earlyResponse, {any: true});
	await until(() => fixture.callersGone.length === 1);

	const lateAbort = new AbortController();
	const lateResponse = fixture.send(chat, {body: streamBody, signal: lateAbort.signal});
	await until(() => sinks.length === 2);
	sinks[1]!.start(eventStream);
	sinks[1]!.write(Buffer.from('id: 1\ndata: a\n\n'));
	const response = await lateResponse;
	lateAbort.abort();
	await t.throwsAsync(response.text(), {any: true});
	await until(() => fixture.callersGone.length === 2);
	t.deepEqual(fixture.callersGone, fixture.submissions.map(submission => submission.requestId));
	// The writer must not wait for a reader that has disconnected.
	sinks[1]!.write(Buffer.alloc(1_000_000));
	await t.notThrowsAsync(sinks[1]!.ready());
	await fixture.close();
});

// Guards against unbounded memory use for a caller that reads slowly.
test('the writer of a response waits for a caller that does not read', async t => {
	const sinks: ResponseSink[] = [];
	const fixture: CallerServerFixture = await CallerServerFixture.start({
		onSubmit({requestId}) {
			sinks.push(fixture.dispatch(requestId));
		},
	});
	const [host, port] = fixture.address.split(':');
	const socket = connect(Number(port), host);
	socket.on('error', () => undefined);
	socket.pause();
	socket.write(`POST ${chat} HTTP/1.1\r\nhost: entry\r\nx-workspace: glasgow\r\ncontent-type: application/json\r\ncontent-length: ${streamBody.length}\r\n\r\n${streamBody}`);
	await until(() => sinks.length === 1);
	const sink = sinks[0]!;
	sink.start(eventStream);
	let isBlocked = false;
	let written = 0;
	while (!isBlocked && written < 200) {
		written++;
		sink.write(Buffer.alloc(1_000_000));
		// eslint-disable-next-line no-await-in-loop
		isBlocked = await Promise.race([
			(async () => {
				await sink.ready();
				return false;
			})(),
			new Promise<boolean>(resolve => {
				setTimeout(resolve, 500, true);
			}),
		]);
	}

	t.true(isBlocked);
	socket.destroy();
	await t.notThrowsAsync(sink.ready());
	await fixture.close();
});

test('a request to a plain service keeps its path, query and headers, except for the headers meant for the entry', async t => {
	const fixture = await startResponding(['{"booked":true}']);
	const response = await fixture.send('/v1/services/diary/bookings/17?day=monday', {method: 'GET', headers: {'x-client': 'kept', 'x-tier': 'letters'}});
	t.is(await response.text(), '{"booked":true}');
	const [submission] = fixture.submissions;
	t.is(submission!.http.path, '/bookings/17?day=monday');
	t.is(submission!.http.method, 'GET');
	t.true(submission!.isIdempotent);
	t.is(submission!.http.headers['x-client'], 'kept');
	t.is(submission!.http.headers['x-tier'], undefined);
	t.is(submission!.http.headers.host, undefined);
	t.is(submission!.promptTokens, 0);
	await fixture.close();
});

// Guards against a path that bypasses the configured operations.
test('dot segments in a service path are resolved before the operation is looked up', async t => {
	const fixture = await CallerServerFixture.start();
	const received = await rawExchange(fixture.address, 'POST /v1/services/diary/bookings/../people HTTP/1.1\r\nhost: entry\r\nx-workspace: glasgow\r\ncontent-length: 0\r\nconnection: close\r\n\r\n');
	t.true(received.includes('unknown-operation'));
	t.deepEqual(fixture.messages, []);
	await fixture.close();
});

test('the response to a HEAD request has no body, and its end is not mistaken for a disconnected caller', async t => {
	const fixture = await startResponding([], {status: 200, headers: {'content-type': 'text/plain'}});
	const response = await fixture.send('/v1/services/diary/bookings', {method: 'HEAD'});
	t.is(response.status, 200);
	t.is(await response.text(), '');
	t.deepEqual(fixture.callersGone, []);
	await fixture.close();
});

test('responses of concurrent requests are not mixed up', async t => {
	let delay = 60;
	const fixture: CallerServerFixture = await CallerServerFixture.start({
		onSubmit({requestId, http}) {
			const sink = fixture.dispatch(requestId);
			// Later requests get their response first.
			delay--;
			setTimeout(() => {
				sink.start(eventStream);
				sink.write(Buffer.from(http.body));
				sink.complete();
			}, delay);
		},
	});
	const bodies = Array.from({length: 40}, (_, index) => streamBody.replace('file', `file ${index}`));
	const texts = await Promise.all(bodies.map(async body => {
		const response = await fixture.send(chat, {body});
		return response.text();
	}));
	t.deepEqual(texts, bodies.map(body => `${body}data: [DONE]\n\n`));
	await fixture.close();
});

// Guards against a request that runs although its caller has disconnected: the scheduler ignores `caller-gone` for a request that has not been submitted yet.
test('a caller that disconnected before its request was submitted is reported after the submission', async t => {
	// Requests that are read late are not submitted when their caller has left.
	const fixture = await CallerServerFixture.start({readingClock: ManualClock.create()});
	const [host, port] = fixture.address.split(':');
	for (let count = 0; count < 20; count++) {
		const socket = connect(Number(port), host);
		socket.on('error', () => undefined);
		socket.end(`POST ${chat} HTTP/1.1\r\nhost: entry\r\nx-workspace: glasgow\r\ncontent-type: application/json\r\ncontent-length: ${chatBody.length}\r\n\r\n${chatBody}`, () => {
			socket.destroy();
		});
	}

	await until(() => fixture.callersGone.length === fixture.submissions.length && fixture.submissions.length > 0);
	t.true(fixture.callersGone.length > 0);
	for (const requestId of fixture.callersGone) {
		const kinds = fixture.messages.filter(message => (message.kind === 'submit' ? message.submission.requestId : message.requestId) === requestId).map(message => message.kind);
		t.deepEqual(kinds, ['submit', 'caller-gone']);
	}

	await fixture.close();
});

test('a request with an invalid host header still gets a response', async t => {
	const fixture = await CallerServerFixture.start();
	for (const host of ['', 'a b', '[::', 'x:99999']) {
		// eslint-disable-next-line no-await-in-loop
		const received = await rawExchange(fixture.address, `GET /v1/nothing HTTP/1.1\r\nhost: ${host}\r\nconnection: close\r\n\r\n`);
		t.true(received.includes('unknown-path'));
		t.true(received.includes('x-request-id: entry-1_a1_'));
	}

	await fixture.close();
});

// Guards against requests that are cut off by a shutdown (property G9): the signal handler of the HTTP library would end requests in flight after five seconds.
test('the server installs no signal handlers of its own', async t => {
	const count = () => process.listenerCount('SIGTERM') + process.listenerCount('SIGINT');
	const before = count();
	const fixture = await CallerServerFixture.start();
	t.is(count(), before);
	await fixture.close();
});
