import {once} from 'node:events';
import {Agent} from 'node:http';
import {connect} from 'node:net';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {createPatientConfigurationDocument} from '../../standins/platform-documents.js';
import type {CallerResponse} from '../../standins/platform-caller.js';
import {blockThread} from '../fixtures/block-thread.js';
import {call} from '../fixtures/gateway/caller.js';
import {bounds} from '../fixtures/gateway/documents.js';
import {GatewaySite, type Gateway} from '../fixtures/gateway/gateway-site.js';
import {RawEndpoint, type RawRequest} from '../fixtures/gateway/raw-endpoint.js';
import {until} from '../fixtures/until.js';

const stopGraceMs = 6000;

/** A time after which nothing may be dispatched, well before requests under way are ended. */
const lateInGraceMs = 4000;

/** Work of an endpoint that goes on beyond the grace period. */
const longServiceTimeMs = 20_000;

const booking = {path: '/bookings/1', method: 'POST', body: 'x'};

type Outcome = {readonly status?: number; readonly failure?: string; readonly retryAfter?: string; readonly isComplete: boolean; readonly error?: string};

async function outcomeOf(response: Promise<CallerResponse>): Promise<Outcome> {
	try {
		const {status, headers, body, isComplete} = await response;
		return {
			status, isComplete, retryAfter: headers['retry-after'], failure: /urn:jackdawfork:(?<type>\w+)/v.exec(body)?.groups?.type,
		};
	} catch (error) {
		return {isComplete: false, error: (error as NodeJS.ErrnoException).code};
	}
}

const refused = {
	status: 503, isComplete: true, retryAfter: '0.000', failure: 'stopping',
};

async function startSite(t: ExecutionContext, graceMs = stopGraceMs): Promise<{site: GatewaySite; gateway: Gateway}> {
	const site = await GatewaySite.start();
	t.teardown(async () => site.dispose());
	site.store.put('op/config', createPatientConfigurationDocument({version: 2}));
	return {site, gateway: await site.addGateway({bounds: {...bounds, stopGraceMs: graceMs}})};
}

/** Sends requests on connections that stay open, with a deadline after the end of the grace period. */
function createCaller(t: ExecutionContext, gateway: Gateway) {
	const agent = new Agent({keepAlive: true});
	t.teardown(() => {
		agent.destroy();
	});
	return async (options: Parameters<typeof call>[1]) => outcomeOf(call(gateway, {...options, agent, headers: {'x-deadline-ms': '20000', ...options?.headers}}));
}

/** Stops a gateway and ends its connections, as the end of its process does. */
async function stopAndExit({process}: Gateway): Promise<void> {
	await process.stop();
	await process.dispose();
}

async function addBusyEndpoint(site: GatewaySite, gateway: Gateway, send: ReturnType<typeof createCaller>) {
	const busy = await site.addEndpoint({id: 'busy', isEngine: false, serviceTimeMs: longServiceTimeMs}, {slots: 1});
	await until(() => gateway.memoryLog.linesOf('endpoint-added').length === 1);
	const running = send(booking);
	await until(() => busy.receivedRequests.length === 1);
	return {busy, running};
}

async function untilOpen({settings}: Gateway, count: number): Promise<void> {
	let text = '';
	while (!text.includes(`jackdawfork_open_requests ${count}\n`)) {
		// eslint-disable-next-line no-await-in-loop
		const response = await fetch(`http://${settings.host}:${settings.internalPorts.first + 1}/metrics`);
		// eslint-disable-next-line no-await-in-loop
		text = await response.text();
	}
}

async function addRawEndpoint(t: ExecutionContext, site: GatewaySite, gateway: Gateway, respond: (request: RawRequest) => void): Promise<RawEndpoint> {
	const endpoint = await RawEndpoint.listen(respond);
	t.teardown(async () => endpoint.dispose());
	site.store.put('servers/raw', {
		service: 'diaries', address: endpoint.address, zone: 'a', slots: 4, state: 'ready', born: 1,
	});
	await until(() => gateway.memoryLog.linesOf('endpoint-added').some(line => /endpoint=raw\b/v.test(line)));
	return endpoint;
}

function rejection(requestId: string): string {
	return `HTTP/1.1 503 Busy\r\nx-request-id: ${requestId}\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n`;
}

// Serial, because it blocks the thread of all tests of this file.
test.serial('a process that is busy over the end of its grace period still answers its requests', async t => {
	const {site, gateway} = await startSite(t);
	const send = createCaller(t, gateway);
	const {running} = await addBusyEndpoint(site, gateway, send);
	const waiting = send(booking);
	const exited = stopAndExit(gateway);
	await delay(lateInGraceMs - 1500);
	// Over the end of the dispatches.
	blockThread(1500);
	await delay(900);
	// Until a moment before the kill.
	blockThread(900);
	t.deepEqual(await waiting, refused);
	t.like(await running, {status: 504, isComplete: true});
	await exited;
});

// Serial, because it blocks the thread of all tests of this file. The kill comes at its time even if a busy process has read the signal late.
test.serial('a process that was busy when it was asked to stop answers its requests before the kill', async t => {
	const graceMs = 8000;
	const {site, gateway} = await startSite(t, graceMs);
	const {running} = await addBusyEndpoint(site, gateway, createCaller(t, gateway));
	const signalledAt = performance.now();
	blockThread(900);
	const exited = stopAndExit(gateway);
	t.like(await running, {status: 504, isComplete: true, failure: 'endedByStop'});
	await exited;
	t.true(performance.now() - signalledAt < graceMs);
});

test('a request that waits when the grace period ends is refused as not run before the process ends', async t => {
	const {site, gateway} = await startSite(t);
	const send = createCaller(t, gateway);
	const {busy} = await addBusyEndpoint(site, gateway, send);
	const before = send(booking);
	await untilOpen(gateway, 2);
	const exited = stopAndExit(gateway);
	await delay(2400);
	const after = send(booking);
	const lookup = send({path: '/lookups/1'});
	t.deepEqual(await before, refused);
	for (const outcome of await Promise.all([after, lookup])) {
		t.like(outcome, {status: 503, isComplete: true});
	}

	await exited;
	t.is(busy.receivedRequests.length, 1);
});

test('a request under way at the end of the grace period gets an answer that promises nothing, and not before the last sixth', async t => {
	const {site, gateway} = await startSite(t);
	const send = createCaller(t, gateway);
	const {running} = await addBusyEndpoint(site, gateway, send);
	const stoppedAt = performance.now();
	const exited = stopAndExit(gateway);
	t.like(await running, {status: 504, isComplete: true, failure: 'endedByStop'});
	t.true(performance.now() - stoppedAt >= stopGraceMs * 5 / 6);
	await exited;
});

test('a request that would be cut by the end of the grace period, as runs of its service take longer, is refused at once and not run', async t => {
	const {site, gateway} = await startSite(t);
	const endpoint = await site.addEndpoint({id: 'e0', isEngine: false, serviceTimeMs: 3500});
	await until(() => gateway.memoryLog.linesOf('endpoint-added').length === 1);
	const send = createCaller(t, gateway);
	t.like(await send(booking), {status: 200});
	const exited = stopAndExit(gateway);
	await delay(2400);
	t.deepEqual(await send(booking), refused);
	await exited;
	t.is(endpoint.receivedRequests.length, 1);
});

test('a stream that has begun is broken off at the end of the grace period and not framed as whole', async t => {
	const {site, gateway} = await startSite(t);
	await site.addEndpoint({
		id: 'engine', isEngine: true, eventIntervalMs: 50, eventCount: 10_000,
	});
	await until(() => gateway.memoryLog.linesOf('endpoint-added').length === 1);
	const send = createCaller(t, gateway);
	const running = send({path: '/drafts/1', method: 'POST', body: 'x'});
	const stoppedAt = performance.now();
	await stopAndExit(gateway);
	t.like(await running, {status: 200, isComplete: false});
	t.true(performance.now() - stoppedAt >= stopGraceMs * 5 / 6);
});

test('requests whose first attempt has failed and that wait for their second are answered before the process ends', async t => {
	const {site, gateway} = await startSite(t);
	const send = createCaller(t, gateway);
	const {busy} = await addBusyEndpoint(site, gateway, send);
	const requests: RawRequest[] = [];
	const raw = await addRawEndpoint(t, site, gateway, request => {
		requests.push(request);
	});
	const broken = send({path: '/lookups/1'});
	await until(() => requests.length === 1);
	const rejected = send(booking);
	await until(() => requests.length === 2);
	requests[0]!.socket.resetAndDestroy();
	requests[1]!.socket.write(rejection(requests[1]!.requestId));
	await until(() => gateway.memoryLog.linesOf('attempt-failed').length === 2);
	await stopAndExit(gateway);
	t.like(await broken, {status: 502, isComplete: true, failure: 'endpointFailed'});
	t.deepEqual(await rejected, refused);
	t.is(busy.receivedRequests.length, 1);
	t.is(raw.requestIds.length, 2);
});

test('an attempt that fails late in the grace period is not sent to another endpoint, and its caller is answered at once', async t => {
	const {site, gateway} = await startSite(t);
	const send = createCaller(t, gateway);
	const requests: RawRequest[] = [];
	await addRawEndpoint(t, site, gateway, request => {
		requests.push(request);
	});
	const broken = send({path: '/lookups/1'});
	await until(() => requests.length === 1);
	const rejected = send(booking);
	await until(() => requests.length === 2);
	const other = await site.addEndpoint({id: 'other', isEngine: false, serviceTimeMs: longServiceTimeMs});
	await until(() => gateway.memoryLog.linesOf('endpoint-added').length === 2);
	const exited = stopAndExit(gateway);
	await delay(lateInGraceMs);
	requests[0]!.socket.resetAndDestroy();
	requests[1]!.socket.write(rejection(requests[1]!.requestId));
	t.like(await broken, {status: 502, isComplete: true});
	t.deepEqual(await rejected, refused);
	t.deepEqual(other.receivedRequests, []);
	await exited;
});

test('a request whose body arrives while new requests become unacceptable is refused and never passed on', async t => {
	const {site, gateway} = await startSite(t);
	const send = createCaller(t, gateway);
	const {busy} = await addBusyEndpoint(site, gateway, send);
	const free = await site.addEndpoint({id: 'free', isEngine: false});
	await until(() => gateway.memoryLog.linesOf('endpoint-added').length === 2);
	const {host, port} = gateway.settings.callerAddress;
	const socket = connect(port, host);
	t.teardown(() => {
		socket.destroy();
	});
	let received = '';
	socket.on('data', chunk => {
		received += chunk.toString('latin1');
	});
	const head = (id: string) => `POST /bookings/1 HTTP/1.1\r\nhost: office.example\r\nauthorization: Bearer key-wick\r\nx-request-id: ${id}\r\nx-deadline-ms: 20000\r\ncontent-length: 4\r\n\r\n`;
	socket.write(`${head('kept')}1234`);
	await until(() => received.includes('answer to kept'));
	received = '';
	const exited = stopAndExit(gateway);
	await delay(2800);
	socket.write(`${head('late')}12`);
	await delay(400);
	socket.write('3');
	await delay(100);
	socket.write('4');
	await once(socket, 'end');
	t.regex(received, /^HTTP\/1\.1 503 /v);
	t.regex(received, /urn:jackdawfork:stopping/v);
	t.deepEqual(free.executedRequestIds, ['kept']);
	t.is(busy.receivedRequests.length, 1);
	await exited;
});

test('a configuration and new settings within the grace period neither extend it nor let waiting requests run late', async t => {
	const {site, gateway} = await startSite(t);
	const send = createCaller(t, gateway);
	const {running} = await addBusyEndpoint(site, gateway, send);
	const waiting = send(booking);
	await untilOpen(gateway, 2);
	const stoppedAt = performance.now();
	const exited = stopAndExit(gateway);
	void gateway.process.stop();
	await delay(lateInGraceMs);
	gateway.process.reload(gateway.settings);
	site.store.put('op/config', createPatientConfigurationDocument({version: 3}));
	const later = await site.addEndpoint({id: 'later', isEngine: false});
	await until(() => gateway.memoryLog.linesOf('endpoint-added').length === 2);
	t.deepEqual(await waiting, refused);
	t.like(await running, {status: 504, isComplete: true});
	await exited;
	t.true(performance.now() - stoppedAt < stopGraceMs);
	t.deepEqual(later.receivedRequests, []);
});
