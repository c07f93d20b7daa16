import anyTest, {type ExecutionContext, type TestFn} from 'ava';
import {GatewayBundle} from '../../fixtures/gateway/gateway-program.js';
import {ProgramSite} from '../../fixtures/gateway/program-site.js';
import {
	chunk, streamHead, unframedHead, wholeResponse,
} from '../../fixtures/gateway/raw-endpoint.js';
import {until} from '../../fixtures/until.js';

const test = anyTest as TestFn<{bundle: GatewayBundle}>;

test.before(async t => {
	t.context.bundle = await GatewayBundle.build();
});

test.after.always(async t => {
	await t.context.bundle.dispose();
});

/** Starts a gateway whose endpoint begins a response without a length to the first request, and answers the second one as given and the others with a whole response. */
async function startSite(t: ExecutionContext<{bundle: GatewayBundle}>, start: (requestId: string) => string, second = (requestId: string) => wholeResponse(requestId)): Promise<ProgramSite> {
	const site = await ProgramSite.start(t.context.bundle, ({requestId, number, socket}) => {
		const respond = [start, second][number - 1] ?? wholeResponse;
		socket.write(respond(requestId));
	});
	t.teardown(async () => site.dispose());
	return site;
}

const responses = {
	stream: {path: '/drafts/1', expected: {status: 200, isComplete: false}, start: (requestId: string) => `${unframedHead(requestId, 'text/event-stream')}id: 1\ndata: a\n\n`},
	body: {path: '/bookings/1', expected: {status: 504, isComplete: true}, start: (requestId: string) => `${unframedHead(requestId, 'text/plain')}part`},
} as const;

async function checkService(t: ExecutionContext, site: ProgramSite): Promise<void> {
	await until(() => site.endpoint.closedConnections > 0);
	t.true(site.endpoint.closedConnections > 0, 'the cancelled request has lost its connection');
	t.like(await site.send('/bookings/2'), {status: 200, isComplete: true});
	t.false(site.program.hasLogged('unexpected-error'));
}

for (const [form, {path, expected, start}] of Object.entries(responses)) {
	// Guards against a process that serves nobody for half a minute because it describes a failed assertion of the HTTP client.
	test(`a caller that leaves a ${form} without a length does not stop the process`, async t => {
		const site = await startSite(t, start);
		const abortController = new AbortController();
		const left = site.send(path, {signal: abortController.signal});
		await until(() => site.endpoint.requestIds.length === 1);
		setTimeout(() => {
			abortController.abort();
		}, 50);
		await left.catch(() => undefined);
		await checkService(t, site);
	});

	test(`a deadline that passes during a ${form} without a length does not stop the process`, async t => {
		const site = await startSite(t, start);
		t.like(await site.send(path, {headers: {'x-deadline-ms': '1000'}}), expected);
		await checkService(t, site);
	});
}

test('a stream without a length that stalls and goes on at another endpoint does not stop the process', async t => {
	const site = await startSite(t, responses.stream.start, requestId => `${streamHead(requestId)}${chunk('id: 2\ndata: b\n\n')}0\r\n\r\n`);
	t.like(await site.send('/streams/1'), {status: 200, isComplete: true, body: 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'});
	t.is(site.endpoint.requestIds.length, 2);
	await checkService(t, site);
});
