import {once} from 'node:events';
import {createSocket} from 'node:dgram';
import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {HttpResponse} from '../../../src/gateway/callers/http-response.js';
import {encodeCrashReport} from '../../../src/gateway/quarantine/crash-report-codec.js';
import {createEndpointDocument} from '../../../standins/platform-documents.js';
import type {PlatformEndpoint} from '../../../standins/platform-endpoint.js';
import {call} from '../../fixtures/gateway/caller.js';
import {GatewaySite, type Gateway} from '../../fixtures/gateway/gateway-site.js';
import {until} from '../../fixtures/until.js';

type Site = {
	readonly site: GatewaySite;
	readonly gateway: Gateway;
	readonly endpoints: PlatformEndpoint[];
};

async function startSite(t: ExecutionContext, isEngine: boolean, count = 2, options: {eventIntervalMs?: number; eventCount?: number} = {}): Promise<Site> {
	const site = await GatewaySite.start();
	t.teardown(async () => site.dispose());
	const endpoints: PlatformEndpoint[] = [];
	for (let index = 0; index < count; index++) {
		// eslint-disable-next-line no-await-in-loop
		endpoints.push(await site.addEndpoint({id: `e${index}`, isEngine, ...options}));
	}

	return {site, gateway: await site.addGateway(), endpoints};
}

/** Makes the next request fail at whichever endpoint gets it. */
function addFaultToEach(endpoints: readonly PlatformEndpoint[], fault: PlatformEndpoint['faults'][number]): void {
	for (const endpoint of endpoints) {
		endpoint.faults.push(fault);
	}
}

function executedRequests(endpoints: readonly PlatformEndpoint[]): string[] {
	return endpoints.flatMap(endpoint => endpoint.executedRequestIds);
}

const completeStream = [1, 2, 3, 4, 5].map(event => `id: ${event}\ndata: event ${event}\n\n`).join('');

test('request and response are forwarded unchanged, apart from the headers of the platform', async t => {
	const {gateway, endpoints} = await startSite(t, false, 1);
	const result = await call(gateway, {
		path: '/bookings/7?x=1', method: 'POST', body: 'slot 9', headers: {'x-request-id': 'own', 'x-tenant': 'forged'},
	});
	t.like(result, {status: 200, body: 'answer to own', isComplete: true});
	t.is(result.headers['x-response-seal'], 'e0.own');
	t.like(endpoints[0]!.receivedRequests[0], {path: '/bookings/7?x=1', body: 'slot 9', requestId: 'own'});
	const {headers} = endpoints[0]!.receivedRequests[0]!;
	t.is(headers['x-tenant'], 'wick');
	t.is(headers.authorization, undefined);
	t.is(headers.host, 'office.example');
	t.true(Number(headers['x-deadline-ms']) <= 3000 && Number(headers['x-deadline-ms']) > 2000);
});

for (const fault of ['reset', 'foreign', 'unsealed', 'error'] as const) {
	test(`an idempotent request is retried at another endpoint after the fault ${fault}`, async t => {
		const {gateway, endpoints: [first, second]} = await startSite(t, false);
		first!.faults.push(fault);
		const result = await call(gateway, {headers: {'x-request-id': 'own'}});
		t.like(result, {status: 200, body: 'answer to own'});
		t.is(first!.receivedRequests.length, 1);
		t.is(second!.receivedRequests.length, 1);
	});

	test(`a request that may run only once is not retried after the fault ${fault}`, async t => {
		const {gateway, endpoints} = await startSite(t, false);
		addFaultToEach(endpoints, fault);
		const result = await call(gateway, {path: '/bookings/1', method: 'POST', body: 'x'});
		t.is(result.status, fault === 'error' ? 500 : 502);
		t.is(executedRequests(endpoints).length, 1);
	});
}

test('a rejected request that may run only once is sent to another endpoint, because it has not run', async t => {
	const {gateway, endpoints} = await startSite(t, false);
	endpoints[0]!.faults.push('reject');
	const result = await call(gateway, {path: '/bookings/1', method: 'POST', body: 'x'});
	t.is(result.status, 200);
	t.is(executedRequests(endpoints).length, 1);
});

test('a request that every endpoint has rejected is refused immediately as not run', async t => {
	const {gateway, endpoints} = await startSite(t, false);
	addFaultToEach(endpoints, 'reject');
	const result = await call(gateway, {path: '/bookings/1', method: 'POST', body: 'x'});
	t.is(result.status, 503);
	t.true(Number(result.headers['retry-after']) > 0);
	t.deepEqual(executedRequests(endpoints), []);
	t.regex(gateway.memoryLog.linesOf('request-ended')[0]!, /outcome=noEndpoint/v);
});

// Guards against a response that looks whole when this process dies in the middle of it.
test('a response without a length is forwarded in chunks', async t => {
	const {gateway, endpoints} = await startSite(t, false, 1);
	endpoints[0]!.faults.push('unframed');
	const result = await call(gateway, {headers: {'x-request-id': 'own'}});
	t.like(result, {status: 200, body: 'answer to own'});
	t.is(result.headers['content-length'], undefined);
	t.is(result.headers['transfer-encoding'], 'chunked');
	t.is(result.headers.connection, 'keep-alive');
});

test('a stream is forwarded completely', async t => {
	const {gateway} = await startSite(t, true, 1);
	t.like(await call(gateway, {path: '/streams/1', method: 'POST', body: 'x'}), {status: 200, body: completeStream, isComplete: true});
});

for (const fault of ['cut-stream', 'silent-stream'] as const) {
	test(`a resumable stream continues at another endpoint after the fault ${fault}, after its last complete event and with the head of its first response`, async t => {
		const {gateway, endpoints: [first, second]} = await startSite(t, true);
		// Of equally loaded endpoints, the first one gets the request.
		first!.faults.push(fault);
		const result = await call(gateway, {
			path: '/streams/1', method: 'POST', body: 'x', headers: {'x-request-id': 'own'},
		});
		t.like(result, {status: 200, body: completeStream, isComplete: true});
		t.is(result.headers['x-response-seal'], 'e0.own');
		t.true(first!.receivedRequests[0]!.isClosedEarly);
		t.is(second!.receivedRequests[0]!.headers['last-event-id'], '2');
	});
}

test('an error response of the endpoint that should continue a stream is not forwarded as part of the stream', async t => {
	const {gateway, endpoints: [first, second]} = await startSite(t, true);
	first!.faults.push('cut-stream');
	second!.faults.push('not-found');
	const result = await call(gateway, {path: '/streams/1', method: 'POST', body: 'x'});
	t.is(second!.receivedRequests.length, 1);
	t.false(result.isComplete);
	t.notRegex(result.body, /nothing here/v);
});

test('a stream that breaks off long after its start continues at another endpoint', async t => {
	const {gateway, endpoints: [first, second]} = await startSite(t, true, 2, {eventIntervalMs: 900});
	first!.faults.push('cut-stream');
	const result = await call(gateway, {
		path: '/streams/1', method: 'POST', body: 'x', headers: {'x-deadline-ms': '9000'},
	});
	t.like(result, {status: 200, body: completeStream, isComplete: true});
	t.is(second!.receivedRequests[0]!.headers['last-event-id'], '2');
});

test('a stream that is not resumable ends incomplete when it breaks off', async t => {
	const {gateway, endpoints} = await startSite(t, true);
	addFaultToEach(endpoints, 'cut-stream');
	const result = await call(gateway, {path: '/drafts/1', method: 'POST', body: 'x'});
	t.false(result.isComplete);
	t.is(executedRequests(endpoints).length, 1);
});

test('the endpoint stops working on a request when the caller disconnects', async t => {
	const {gateway, endpoints} = await startSite(t, true, 1, {eventIntervalMs: 50, eventCount: 100});
	const disconnect = new AbortController();
	const result = call(gateway, {
		path: '/drafts/1', method: 'POST', body: 'x', signal: disconnect.signal,
	});
	await until(() => endpoints[0]!.receivedRequests.length === 1);
	await delay(100);
	disconnect.abort();
	await t.throwsAsync(result.then(({isComplete}) => {
		if (!isComplete) {
			throw new Error('incomplete');
		}
	}));
	await until(() => endpoints[0]!.receivedRequests[0]!.isClosedEarly);
	t.true(endpoints[0]!.receivedRequests[0]!.isClosedEarly);
});

test('a request without a response ends at its deadline with an unknown outcome', async t => {
	const {gateway, endpoints: [endpoint]} = await startSite(t, false, 1);
	endpoint!.faults.push('silent');
	const send = async (id: string) => call(gateway, {
		path: '/bookings/1', method: 'POST', body: 'x', headers: {'x-request-id': id, 'x-deadline-ms': '300'},
	});
	let result = await send('0');
	const refusedIds: string[] = [];
	// A process that does not run for a while may refuse a request that it can't write within its deadline.
	while (result.status === 503 && refusedIds.length < 10) {
		refusedIds.push(String(refusedIds.length));
		// eslint-disable-next-line no-await-in-loop
		result = await send(String(refusedIds.length));
	}

	t.is(result.status, 504);
	t.is(result.headers['retry-after'], undefined);
	t.deepEqual(endpoint!.receivedRequests.filter(({requestId}) => refusedIds.includes(requestId)), []);
});

test('a request for a service without endpoints is refused as not run', async t => {
	const {gateway} = await startSite(t, false, 0);
	const result = await call(gateway, {
		path: '/bookings/1', method: 'POST', body: 'x', headers: {'x-deadline-ms': '300'},
	});
	t.is(result.status, 503);
});

test('an endpoint does not run requests that are meant for a removed endpoint with the same address', async t => {
	const {site, gateway, endpoints} = await startSite(t, false, 1);
	site.register(endpoints[0]!, {address: endpoints[0]!.address});
	site.store.put('servers/old', {
		service: 'diaries', address: endpoints[0]!.address, zone: 'a', slots: 4, state: 'ready', born: 5,
	});
	site.store.remove('servers/e0');
	await until(() => gateway.memoryLog.linesOf('endpoint-removed').length > 0);
	const result = await call(gateway, {
		path: '/bookings/1', method: 'POST', body: 'x', headers: {'x-deadline-ms': '400'},
	});
	t.is(result.status, 503);
	t.deepEqual(endpoints[0]!.executedRequestIds, []);
});

// Guards against a request that stays open, and a slot that stays taken, when a response can't be written.
test.serial('an unexpected error while a response ends fails the request and releases its slot', async t => {
	const {gateway, endpoints} = await startSite(t, false, 1);
	const {writeHead} = HttpResponse.prototype;
	HttpResponse.prototype.writeHead = () => {
		throw new TypeError('no such header');
	};

	const requests = [1, 2, 3, 4, 5].map(async () => call(gateway, {path: '/bookings/1', method: 'POST', body: 'x'}));
	const failed = await Promise.all(requests).finally(() => {
		HttpResponse.prototype.writeHead = writeHead;
	});
	t.deepEqual(failed.map(({status}) => status), [500, 500, 500, 500, 500]);
	t.like(await call(gateway, {
		path: '/bookings/1', method: 'POST', body: 'x', headers: {'x-request-id': 'next'},
	}), {status: 200, body: 'answer to next'});
	t.is(gateway.memoryLog.linesOf('request-error').length, 5);
	t.is(executedRequests(endpoints).length, 6);
});

/** Requests of another instance with which crashes are compared. */
const manySurvived = Object.fromEntries([['10.0.0.9', {survived: 20, crashed: 0}]]);

/** Tells an instance of crashes that convict a part. */
async function reportCrashes({settings}: Gateway, part: string): Promise<void> {
	const socket = createSocket('udp4');
	const report = encodeCrashReport({
		crashes: [0, 1000, 2000, 3000].map(ageMs => ({
			endpointId: `crashed-${ageMs}`, startedAt: 1, ageMs, suspects: [[part]], comparisons: manySurvived,
		})),
		survivals: [],
		convictions: [],
	});
	socket.send(report, settings.internalPorts.first, settings.host);
	await once(socket, 'listening');
	await delay(100);
	socket.close();
}

// Guards against a stream that crashes a further engine, because it already waited to be continued when its prompt was found to crash engines.
test('a started stream that waits for another endpoint is not continued there when its prompt has to be withheld', async t => {
	const site = await GatewaySite.start();
	t.teardown(async () => site.dispose());
	const busy = await site.addEndpoint({
		id: 'busy', isEngine: true, eventIntervalMs: 150, eventCount: 8,
	}, {slots: 1});
	const gateway = await site.addGateway();
	const occupying = call(gateway, {path: '/streams/1', method: 'POST', body: 'x'});
	await until(() => busy.receivedRequests.length === 1);
	const broken = await site.addEndpoint({id: 'broken', isEngine: true});
	await until(() => gateway.memoryLog.linesOf('endpoint-added').length === 2);
	broken.faults.push('cut-stream');
	const waiting = call(gateway, {
		path: '/streams/2', method: 'POST', body: 'x', headers: {'x-request-id': 'waiting', 'x-prompt-prefix': 'bad:50,own:50'},
	});
	await until(() => gateway.memoryLog.linesOf('attempt-failed').length === 1);
	await reportCrashes(gateway, 'bad');
	t.like(await waiting, {status: 200, isComplete: false});
	t.like(await occupying, {status: 200, isComplete: true});
	await delay(200);
	t.deepEqual(busy.executedRequestIds.filter(id => id === 'waiting'), []);
	t.is(gateway.memoryLog.linesOf('request-withheld').length, 1);
});

test('a booking for an endpoint whose address another one has taken is run elsewhere, and the answer counts as misdirected', async t => {
	const site = await GatewaySite.start();
	t.teardown(async () => site.dispose());
	const other = await site.addEndpoint({id: 'other', isEngine: false});
	// Of equally loaded endpoints, the first one gets the request.
	site.store.put('servers/absent', createEndpointDocument({service: 'diaries', address: other.address}));
	const gateway = await site.addGateway();
	t.like(await call(gateway, {path: '/bookings/1', method: 'POST', body: 'x'}), {status: 200});
	t.is(other.executedRequestIds.length, 1);
	t.regex(gateway.memoryLog.linesOf('attempt-failed')[0]!, /endpoint=absent outcome=misdirected/v);
});
