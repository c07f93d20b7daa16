import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import type {CallerResponse} from '../../standins/platform-caller.js';
import {createEndpointDocument} from '../../standins/platform-documents.js';
import {formatStreamEvent, PlatformEndpoint} from '../../standins/platform-endpoint.js';
import {RandomSource} from '../../standins/random-source.js';
import {call} from '../fixtures/gateway/caller.js';
import {GatewaySite, type Gateway} from '../fixtures/gateway/gateway-site.js';
import {SilentRelay} from '../fixtures/gateway/silent-relay.js';
import {testSeed} from '../fixtures/seed.js';
import {until} from '../fixtures/until.js';

const eventCount = 50;
const eventIntervalMs = 50;
const wholeStream = Array.from({length: eventCount}, (_, index) => formatStreamEvent(index + 1)).join('');

type SilentEndpoint = {readonly endpoint: PlatformEndpoint; readonly relay: SilentRelay};

type Site = {
	readonly gateway: Gateway;
	readonly engines: SilentEndpoint[];
	readonly diaries: SilentEndpoint[];
};

async function startSite(t: ExecutionContext, count = 3, slots = 16): Promise<Site> {
	const site = await GatewaySite.start();
	t.teardown(async () => site.dispose());
	const add = async (isEngine: boolean): Promise<SilentEndpoint[]> => Promise.all(Array.from({length: count}, async (_, index) => {
		const id = `${isEngine ? 'engine' : 'diary'}-${index}`;
		const endpoint = await PlatformEndpoint.listen({
			id, isEngine, eventCount, eventIntervalMs, serviceTimeMs: 400,
		});
		const relay = await SilentRelay.start(endpoint.address);
		t.teardown(async () => {
			await relay.dispose();
			await endpoint.dispose();
		});
		site.store.put(`servers/${id}`, createEndpointDocument({service: isEngine ? 'engines' : 'diaries', address: relay.address, slots}));
		return {endpoint, relay};
	}));
	const engines = await add(true);
	const diaries = await add(false);
	return {gateway: await site.addGateway(), engines, diaries};
}

const kinds = {
	stream: {path: '/streams/1', body: wholeStream},
	draft: {path: '/drafts/1', body: wholeStream},
	booking: {path: '/bookings/1', body: undefined},
	lookup: {path: '/lookups/1', body: undefined},
} as const;

type Kind = keyof typeof kinds;

type Call = {readonly requestId: string; readonly kind: Kind; readonly sentAt: number; readonly response?: CallerResponse; readonly error?: unknown};

let nextId = 0;

async function send(gateway: Gateway, kind: Kind, deadlineMs = 9000): Promise<Call> {
	nextId++;
	const requestId = `${kind}-${nextId}`;
	const sentAt = performance.now();
	try {
		const response = await call(gateway, {
			path: kinds[kind].path, method: 'POST', body: 'x', headers: {'x-request-id': requestId, 'x-deadline-ms': String(deadlineMs)},
		});
		return {
			requestId, kind, sentAt, response,
		};
	} catch (error) {
		return {
			requestId, kind, sentAt, error,
		};
	}
}

/** Sends requests of all kinds until the signal is aborted. Returns all of them when they have ended. */
async function runLoad({gateway}: Site, random: RandomSource, signal: AbortSignal): Promise<Call[]> {
	const calls: Array<Promise<Call>> = [];
	while (!signal.aborted) {
		const kind = random.pick(['stream', 'draft', 'booking', 'booking', 'lookup', 'lookup'] as const)!;
		calls.push(send(gateway, kind));
		// eslint-disable-next-line no-await-in-loop
		await delay(random.integer(20, 120));
	}

	return Promise.all(calls);
}

/** Ids of the requests that endpoints have run, one for each run. */
function runs(endpoints: readonly SilentEndpoint[]): string[] {
	return endpoints.flatMap(({endpoint}) => endpoint.executedRequestIds);
}

/** Asserts that all requests were answered, but for streams that could not begin while their callers would have waited: those are refused and have not run. */
function assertServed(t: ExecutionContext, {engines, diaries}: Site, calls: readonly Call[]): void {
	t.true(calls.length > 20);
	const started = new Set(runs(engines));
	const wrong = calls.filter(({requestId, kind, response}) => {
		const isRefusedInTime = kinds[kind].body !== undefined && response?.status === 503 && !started.has(requestId);
		return !isRefusedInTime && (response?.status !== 200 || !response.isComplete || response.body !== (kinds[kind].body ?? response.body));
	});
	t.deepEqual(wrong.map(({requestId, response, error}) => ({
		requestId, status: response?.status, isComplete: response?.isComplete, end: response?.body.slice(-40), error,
	})), []);
	const oneRun = runs([...engines, ...diaries]).filter(requestId => requestId.startsWith('draft') || requestId.startsWith('booking'));
	t.is(new Set(oneRun).size, oneRun.length, 'no request was sent twice that may run only once');
}

/** Attempts that have failed in another way than without an answer to their connection, after which nothing was sent. */
function failedAfterSend({memoryLog}: Gateway): string[] {
	return memoryLog.linesOf('attempt-failed').filter(line => !line.includes('outcome=unanswered'));
}

function receivedBetween({endpoint}: SilentEndpoint, from: number, to: number): number {
	return endpoint.receivedRequests.filter(({receivedAt}) => receivedAt >= from && receivedAt < to).length;
}

for (const service of ['engines', 'diaries'] as const) {
	// Guards against requests that are given up or sent twice, and endpoints that are taken for crashed, because a sound endpoint is silent for a moment.
	test.serial(`requests are served while each of the ${service} in turn falls silent for a moment`, async t => {
		const seed = testSeed();
		t.log(`seed ${seed}`);
		const random = RandomSource.create(seed);
		const site = await startSite(t);
		const abortController = new AbortController();
		const load = runLoad(site, random, abortController.signal);
		await delay(1000);
		const unused: string[] = [];
		for (const silent of site[service]) {
			// eslint-disable-next-line no-await-in-loop
			await silent.relay.suspendFor(random.integer(1000, 1900));
			const resumedAt = performance.now();
			// eslint-disable-next-line no-await-in-loop
			await delay(1500);
			if (receivedBetween(silent, resumedAt + 100, resumedAt + 1500) === 0) {
				unused.push(silent.endpoint.options.id);
			}
		}

		abortController.abort();
		assertServed(t, site, await load);
		t.deepEqual(unused, [], 'each endpoint is used again soon');
		t.deepEqual(site.gateway.memoryLog.linesOf('attempt-failed').filter(line => line.includes('outcome=unreachable') || line.includes('outcome=broken')), []);
	});

	test.serial(`requests are served and none is sent twice while all ${service} fall silent for a moment at once`, async t => {
		const seed = testSeed();
		t.log(`seed ${seed}`);
		const random = RandomSource.create(seed);
		const site = await startSite(t);
		const abortController = new AbortController();
		const load = runLoad(site, random, abortController.signal);
		for (let silence = 0; silence < 3; silence++) {
			// eslint-disable-next-line no-await-in-loop
			await delay(1500);
			const durationMs = random.integer(1000, 1900);
			// eslint-disable-next-line no-await-in-loop
			await Promise.all(site[service].map(async ({relay}) => relay.suspendFor(durationMs)));
		}

		await delay(1500);
		abortController.abort();
		const calls = await load;
		assertServed(t, site, calls);
		t.deepEqual(failedAfterSend(site.gateway), []);
		const all = runs([...site.engines, ...site.diaries]);
		t.is(new Set(all).size, all.length, 'no request was sent twice');
	});
}

function incompleteStreams(calls: readonly Call[]): unknown[] {
	return calls.filter(({response}) => response?.body !== wholeStream || !response.isComplete).map(({requestId, response}) => ({requestId, status: response?.status, end: response?.body.slice(-40)}));
}

// Guards against streams that end with an endpoint that is gone: their callers leave after two seconds without an event.
test.serial('a stream goes on at another endpoint, before its caller leaves, when its endpoint stays silent', async t => {
	const site = await startSite(t);
	const calls = Array.from({length: 6}, async () => send(site.gateway, 'stream'));
	await until(() => site.engines.every(({endpoint}) => endpoint.receivedRequests.length === 2));
	await delay(400);
	await site.engines[0]!.relay.suspend();
	const suspendedAt = performance.now();
	t.deepEqual(incompleteStreams(await Promise.all(calls)), []);
	const continued = site.engines.slice(1).flatMap(({endpoint}) => endpoint.receivedRequests).filter(({headers}) => headers['last-event-id'] !== undefined);
	t.is(continued.length, 2);
	t.true(continued.every(({receivedAt}) => receivedAt < suspendedAt + 1900));
});

// Guards against a stream that is cut because its endpoint is silent for a moment and no other has a free slot.
test.serial('a stream stays at its silent endpoint while the others are full', async t => {
	const site = await startSite(t, 2, 1);
	const calls = [send(site.gateway, 'stream'), send(site.gateway, 'draft')];
	await until(() => runs(site.engines).length === 2);
	await delay(400);
	const holder = site.engines.find(({endpoint}) => endpoint.executedRequestIds.some(requestId => requestId.startsWith('stream')))!;
	await holder.relay.suspendFor(1800);
	t.deepEqual(incompleteStreams(await Promise.all(calls)), []);
	t.is(runs(site.engines).length, 2);
});
