import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {createPatientConfigurationDocument} from '../../standins/platform-documents.js';
import type {PlatformEndpointOptions} from '../../standins/platform-endpoint.js';
import {blockThread} from '../fixtures/block-thread.js';
import {call} from '../fixtures/gateway/caller.js';
import {GatewaySite} from '../fixtures/gateway/gateway-site.js';
import {LeavingCallers, leavings, type Leaving} from '../fixtures/leaving-callers.js';
import {until} from '../fixtures/until.js';

/** Time between the disconnect of the callers and the end of the pause. It is above the bound for requests that still reach an endpoint. */
const pauseAfterLeavingMs = 700;

const callerCount = 4;

function lookup(id: string): string {
	return `GET /lookups/1 HTTP/1.1\r\nHost: office.example\r\nX-Request-Id: ${id}\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer key-wick\r\n\r\n`;
}

async function startSite(t: ExecutionContext, options: Partial<PlatformEndpointOptions> = {}, slots = callerCount) {
	const site = await GatewaySite.start();
	t.teardown(async () => site.dispose());
	site.store.put('op/config', createPatientConfigurationDocument());
	const endpoint = await site.addEndpoint({
		id: 'e0', isEngine: false, serviceTimeMs: 20, ...options,
	}, {slots});
	const gateway = await site.addGateway();
	const callers = await LeavingCallers.start(gateway.settings.callerAddress);
	t.teardown(async () => callers.dispose());
	return {
		site, endpoint, gateway, callers,
		/** Opens connections to the endpoint, which are kept. */
		async warmUp() {
			await Promise.all(Array.from({length: callerCount}, async () => call(gateway)));
		},
		/** Requests of callers that had left. */
		receivedLeftRequests: () => endpoint.receivedRequests.map(({requestId}) => requestId).filter(id => id.startsWith('left')),
	};
}

/** Blocks this thread until a number of callers have left, and for a time that is above the bound. */
function pauseUntilLeft(callers: LeavingCallers, count: number): void {
	callers.blockUntilLeft(count);
	blockThread(pauseAfterLeavingMs);
}

for (const [how, leaving] of Object.entries(leavings) as Array<[string, Leaving]>) {
	for (const isKept of [false, true]) {
		// Guards against work for callers that gave up because their requests were not read.
		test.serial(`requests that were not read before their callers left are not sent to an endpoint (${how}, ${isKept ? 'kept' : 'new'} connections)`, async t => {
			const {callers, gateway, warmUp, receivedLeftRequests} = await startSite(t);
			const indexes = Array.from({length: callerCount}, (_, index) => index);
			if (isKept) {
				await Promise.all(indexes.map(async index => callers.send(index, lookup(`kept-${index}`))));
			}

			await warmUp();
			await new Promise<void>(resolve => {
				setImmediate(() => {
					for (const index of indexes) {
						callers.sendAndLeave(index, lookup(`left-${index}`), leaving, 100);
					}

					pauseUntilLeft(callers, callerCount);
					resolve();
				});
			});
			await delay(300);
			t.deepEqual(receivedLeftRequests(), []);
			t.like(await call(gateway), {status: 200});
		});
	}
}

// Guards against a periodic check that runs before what has arrived is read.
test.serial('a request that waits for the retry time of its endpoint is not sent after its caller left during a pause', async t => {
	const {callers, endpoint, gateway, warmUp, receivedLeftRequests} = await startSite(t);
	await warmUp();
	endpoint.faults.push('reject');
	endpoint.rejectionHeaders = {'retry-after': '0.6'};
	t.like(await call(gateway, {headers: {'x-deadline-ms': '300'}}), {status: 503});
	callers.sendAndLeave(0, lookup('left-0'), leavings.close, 150);
	await delay(100);
	pauseUntilLeft(callers, 1);
	await delay(300);
	t.deepEqual(receivedLeftRequests(), []);
	t.like(await call(gateway), {status: 200});
});

// Guards against a slot that becomes free in the round of the event loop in which the disconnect is read, but before it.
test.serial('a request that waits for a slot is not sent after its caller left during a pause', async t => {
	let release = () => undefined as void;
	const released = new Promise<void>(resolve => {
		release = resolve;
	});
	const {callers, gateway, receivedLeftRequests} = await startSite(t, {
		serviceTimeMs: 0,
		async beforeResponse() {
			await released;
			process.nextTick(() => {
				// This timer runs right after the one that sends the response.
				setTimeout(() => {
					pauseUntilLeft(callers, 1);
				}, 1);
			});
		},
	}, 1);
	const held = call(gateway);
	await until(() => gateway.memoryLog.linesOf('request-dispatched').length === 1);
	callers.sendAndLeave(0, lookup('left-0'), leavings.close, 300);
	await delay(150);
	release();
	t.like(await held, {status: 200});
	await delay(300);
	t.deepEqual(receivedLeftRequests(), []);
});

// Guards against a connection that is established in the same round of the event loop in which the disconnect is read, but before it.
test.serial('a request that waits for its connection to an endpoint is not sent after its caller left during a pause', async t => {
	const {callers, gateway, receivedLeftRequests} = await startSite(t);
	await delay(100);
	callers.sendAndLeave(0, lookup('left-0'), leavings.close, 100);
	await new Promise<void>(resolve => {
		gateway.memoryLog.onEvent('request-dispatched', () => {
			setImmediate(() => {
				pauseUntilLeft(callers, 1);
				resolve();
			});
		});
	});
	await delay(300);
	t.deepEqual(receivedLeftRequests(), []);
	t.like(await call(gateway), {status: 200});
});

// Guards against an engine that works for a caller whose disconnect was read late.
test.serial('a request of a caller that left is cancelled as soon as that is read', async t => {
	const {callers, endpoint, gateway} = await startSite(t, {serviceTimeMs: 3000});
	callers.sendAndLeave(0, lookup('left-0'), leavings.close, 300);
	await until(() => endpoint.receivedRequests.length === 1);
	pauseUntilLeft(callers, 1);
	await until(() => endpoint.receivedRequests[0]!.closedAt !== undefined);
	t.true(endpoint.receivedRequests[0]!.isClosedEarly);
	t.regex(gateway.memoryLog.linesOf('request-ended')[0]!, / outcome=caller-left .*disconnectedAfterMs=\d+/v);
});
