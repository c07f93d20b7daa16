import test, {type ExecutionContext} from 'ava';
import {request} from 'undici';
import {expectedCompletion} from '../../standins/completion.js';
import {Engine} from '../../standins/engine.js';
import type {EngineOptions} from '../../standins/engine-settings.js';
import {readEvents, type ServerSentEvent} from '../../bench/server-sent-events.js';
import {waitFor} from '../../standins/fleet/index.js';
import {
	chatBody, postCompletion, readAllEvents, textOf,
} from '../fixtures/engine-client.js';

async function startEngine(t: ExecutionContext, options: Partial<EngineOptions> = {}): Promise<Engine> {
	const engine = await Engine.start({
		name: 'engine', decodeTokensPerSecond: 2000, prefillTokensPerSecond: 100_000, ...options,
	});
	t.teardown(async () => engine.dispose());
	return engine;
}

// Guards against a check that a wrong or partial response would pass.
test('the streamed and the unstreamed response are the expected completion', async t => {
	const engine = await startEngine(t);
	const body = chatBody('hello', {max_tokens: 20}); // eslint-disable-line @typescript-eslint/naming-convention
	const {text, tokens} = expectedCompletion('request-1', body);

	const streamed = await postCompletion(engine.address, 'request-1', {...body, stream: true});
	const events = await readAllEvents(streamed.body as AsyncIterable<Uint8Array>);
	t.is(streamed.headers['x-request-id'], 'request-1');
	t.deepEqual(events.map(({id}) => id), [...tokens.map((_, index) => String(index + 1)), undefined]);
	t.is(events.at(-1)?.data, '[DONE]');
	t.is(textOf(events), text);

	const whole = await postCompletion(engine.address, 'request-1', body);
	const document = await whole.body.json() as {choices: Array<{message: {content: string}}>};
	t.is(document.choices[0]?.message.content, text);
	t.not(expectedCompletion('request-2', body).text, text);
	t.not(expectedCompletion('request-1', chatBody('hello!', {max_tokens: 20})).text, text); // eslint-disable-line @typescript-eslint/naming-convention
});

// Guards against a resumed stream that loses or repeats tokens.
test('a stream continues after its connection is reset and can be resumed after any event', async t => {
	const engine = await startEngine(t, {decodeTokensPerSecond: 200});
	const body = chatBody('hello', {max_tokens: 60, stream: true}); // eslint-disable-line @typescript-eslint/naming-convention
	const {text, tokens} = expectedCompletion('request-1', body);
	const response = await postCompletion(engine.address, 'request-1', body);
	const reading = readAllEvents(response.body as AsyncIterable<Uint8Array>);
	await waitFor(() => engine.cutStreams() === 1, {what: 'a stream to cut'});
	await t.throwsAsync(reading);

	for (const after of [0, 3, tokens.length]) {
		// eslint-disable-next-line no-await-in-loop
		const resumed = await request(`http://${engine.address}/v1/streams/request-1?after=${after}`);
		// eslint-disable-next-line no-await-in-loop
		const events = await readAllEvents(resumed.body as AsyncIterable<Uint8Array>);
		t.is(textOf(events), tokens.slice(after).join(''));
		t.is(events.at(-1)?.data, '[DONE]');
	}

	t.is(tokens.join(''), text);
	t.is(engine.dispatches.length, 1);
});

// Guards against units that stay in use after a cancellation, and against cancelled prefill that is not counted as wasted.
test('a cancelled stream ends without an end marker and its prefill counts as wasted', async t => {
	const engine = await startEngine(t, {decodeTokensPerSecond: 10});
	const response = await postCompletion(engine.address, 'request-1', chatBody('x'.repeat(400), {stream: true}));
	const reading = readAllEvents(response.body as AsyncIterable<Uint8Array>);
	await waitFor(async () => firstEventArrived(engine), {what: 'the end of the prefill'});
	const cancelled = await request(`http://${engine.address}/v1/streams/request-1`, {method: 'DELETE'});
	t.is(cancelled.statusCode, 204);
	await t.throwsAsync(reading);
	t.like(engine.counters, {running: 0, cancelled: 1, promptTokensWasted: 100});
	const resumed = await request(`http://${engine.address}/v1/streams/request-1`);
	t.is(resumed.statusCode, 404);
});

async function firstEventArrived(engine: Engine): Promise<boolean> {
	const resumed = await request(`http://${engine.address}/v1/streams/request-1`);
	const first: IteratorResult<ServerSentEvent, unknown> = await readEvents(resumed.body as AsyncIterable<Uint8Array>).next();
	return !first.done;
}

// Guards against a delivered response whose prefill is counted as wasted when the stream is discarded.
test('the prefill of an undelivered response counts as wasted and that of a delivered one does not', async t => {
	const engine = await startEngine(t, {retentionMilliseconds: 1, decodeTokensPerSecond: 100});
	const delivered = await postCompletion(engine.address, 'request-1', chatBody('x'.repeat(400)));
	await delivered.body.dump();
	t.is(engine.counters.promptTokensWasted, 0);

	const response = await postCompletion(engine.address, 'request-2', chatBody('y'.repeat(400), {stream: true}));
	const reading = readAllEvents(response.body as AsyncIterable<Uint8Array>);
	await waitFor(() => engine.cutStreams() === 1, {what: 'a stream to cut'});
	await t.throwsAsync(reading);
	await waitFor(() => engine.counters.promptTokensWasted === 100, {what: 'the waste to be counted'});
	t.like(engine.counters, {completed: 2, promptTokensComputed: 200, promptTokensUndelivered: 0});
});

// Guards against a bench that ends before undelivered streams are discarded and reports too little waste.
test('the prefill of a response that may still be fetched is reported separately', async t => {
	const engine = await startEngine(t, {retentionMilliseconds: 60_000, decodeTokensPerSecond: 100});
	const response = await postCompletion(engine.address, 'request-1', chatBody('x'.repeat(400), {stream: true}));
	const reading = readAllEvents(response.body as AsyncIterable<Uint8Array>);
	await waitFor(() => engine.cutStreams() === 1, {what: 'a stream to cut'});
	await t.throwsAsync(reading);
	await waitFor(() => engine.counters.completed === 1, {what: 'the stream to end'});
	t.like(engine.counters, {promptTokensWasted: 0, promptTokensUndelivered: 100});

	const resumed = await request(`http://${engine.address}/v1/streams/request-1`);
	await resumed.body.dump();
	await waitFor(() => engine.counters.promptTokensUndelivered === 0, {what: 'the delivery to be seen'});
	t.is(engine.counters.promptTokensWasted, 0);
});

// Guards against a cold engine that sustains full load, which would hide limits that are not enforced.
test('a cold engine fails requests above its cold units and counts them', async t => {
	const engine = await startEngine(t, {units: 4, coldUnits: 2, decodeTokensPerSecond: 100});
	engine.turnCold({milliseconds: 60_000});
	const responses = await Promise.all(['1', '2', '3'].map(async id => postCompletion(engine.address, id, chatBody('hello'))));
	t.deepEqual(responses.map(({statusCode}) => statusCode).toSorted((one, other) => one - other), [200, 200, 500]);
	t.like(engine.counters, {
		coldOverloads: 1, admitted: 2, highestConcurrency: 2, phase: 'cold',
	});
	t.deepEqual(engine.dispatches.map(({outcome}) => outcome).toSorted(), ['admitted', 'admitted', 'overload']);
	await Promise.all(responses.map(async ({body}) => body.dump()));

	engine.turnWarm();
	t.is(engine.counters.phase, 'warm');
});

test('a warm engine serves requests above its units and counts them', async t => {
	const engine = await startEngine(t, {units: 2, coldUnits: 1, decodeTokensPerSecond: 100});
	const responses = await Promise.all(['1', '2', '3'].map(async id => postCompletion(engine.address, id, chatBody('hello'))));
	t.deepEqual(responses.map(({statusCode}) => statusCode), [200, 200, 200]);
	t.like(engine.counters, {warmOverloads: 1, coldOverloads: 0, highestConcurrency: 3});
	await Promise.all(responses.map(async ({body}) => body.dump()));
});

// Guards against a restart that can't be noticed from the load report.
test('turning cold changes the start id and empties the prefix cache', async t => {
	const engine = await startEngine(t, {loadLagMilliseconds: 0});
	const prompt = chatBody('x'.repeat(1024));
	const readLoad = async () => {
		const response = await request(`http://${engine.address}/v1/load`);
		return await response.body.json() as {startId: string; phase: string};
	};

	const before = await readLoad();
	for (const id of ['1', '2']) {
		// eslint-disable-next-line no-await-in-loop
		const response = await postCompletion(engine.address, id, prompt);
		// eslint-disable-next-line no-await-in-loop
		await response.body.dump();
	}

	t.is(engine.counters.promptTokensSaved, 255);
	engine.turnCold({milliseconds: 60_000});
	await waitFor(async () => {
		const after = await readLoad();
		return after.startId !== before.startId && after.phase === 'cold';
	}, {what: 'the load report to show the cold start'});
	const response = await postCompletion(engine.address, '3', prompt);
	await response.body.dump();
	t.is(engine.counters.promptTokensSaved, 255);
});

// Guards against load reports that are more recent than those of the platform.
test('load reports show an earlier load', async t => {
	const readLoad = async (engine: Engine) => {
		const response = await request(`http://${engine.address}/v1/load`);
		return await response.body.json() as {running: number; ageMilliseconds: number};
	};

	const start = async (loadLagMilliseconds: number) => {
		const engine = await startEngine(t, {loadLagMilliseconds, decodeTokensPerSecond: 10});
		const {body} = await postCompletion(engine.address, '1', chatBody('hello', {stream: true}));
		body.on('error', () => undefined);
		t.is(engine.counters.running, 1);
		return engine;
	};

	const [late, later] = await Promise.all([start(100), start(60_000)]);
	await waitFor(async () => {
		const report = await readLoad(late);
		return report.running === 1 && report.ageMilliseconds >= 100;
	}, {what: 'the load report to show the request'});
	t.like(await readLoad(later), {running: 0});
});

test('an order with an old fencing number is rejected only where the engine checks it', async t => {
	const post = async (engine: Engine, fencingNumber: number) => {
		const response = await request(`http://${engine.address}/v1/orders`, {method: 'POST', body: JSON.stringify({fencingNumber})});
		await response.body.dump();
		return response.statusCode;
	};

	const checking = await startEngine(t, {checksFencing: true});
	t.deepEqual([await post(checking, 5), await post(checking, 4), await post(checking, 5)], [202, 409, 202]);
	const ignoring = await startEngine(t);
	t.deepEqual([await post(ignoring, 5), await post(ignoring, 4)], [202, 202]);
});

// Guards against faults that never reach the entry, so that its checks for foreign and incomplete streams would go untested.
test('queued faults skip an event or name a foreign request', async t => {
	const engine = await startEngine(t);
	const body = chatBody('hello', {stream: true});
	engine.queueFaults('gap', 1);
	const gap = await postCompletion(engine.address, '1', body);
	const events = await readAllEvents(gap.body as AsyncIterable<Uint8Array>);
	t.deepEqual(events.slice(0, 2).map(({id}) => id), ['1', '3']);

	engine.queueFaults('foreign-id', 1);
	const foreign = await postCompletion(engine.address, '2', body);
	t.not(foreign.headers['x-request-id'], '2');
	await foreign.body.dump();

	const normal = await postCompletion(engine.address, '3', body);
	t.is(textOf(await readAllEvents(normal.body as AsyncIterable<Uint8Array>)), expectedCompletion('3', body).text);
});

// Guards against a reset request that is missing from the log, which shows that nothing was dispatched twice.
test('a reset request is logged as not executed', async t => {
	const engine = await startEngine(t);
	engine.resetConnections(true);
	await t.throwsAsync(postCompletion(engine.address, '1', chatBody('hello')));
	engine.resetConnections(false);
	const response = await postCompletion(engine.address, '1', chatBody('hello'));
	await response.body.dump();
	t.deepEqual(engine.dispatches.map(({requestId, outcome}) => [requestId, outcome]), [['1', 'reset'], ['1', 'admitted']]);
});
