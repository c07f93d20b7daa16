import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import type {PlatformEndpoint} from '../../standins/platform-endpoint.js';
import {RandomSource} from '../../standins/random-source.js';
import {call} from '../fixtures/gateway/caller.js';
import {GatewaySite, type Gateway} from '../fixtures/gateway/gateway-site.js';
import {runPromptLoad, type PromptCall} from '../fixtures/gateway/prompt-load.js';
import {
	allowedInWindow, contactMs, findArrivals, findToldTimes, maximumInWindow, tellMs,
} from '../fixtures/gateway/statement-rules.js';
import {testSeed} from '../fixtures/seed.js';
import {until} from '../fixtures/until.js';

const instanceCount = 5;
const engineCount = 6;
const perSecond = 87;
const drainMs = 2000;
const retryAfterSeconds = 4;
const allowedWhileTurnedAway = 2;

type Site = {
	readonly site: GatewaySite;
	readonly engines: PlatformEndpoint[];
	readonly gateways: Gateway[];
	readonly random: RandomSource;
};

async function startSite(t: ExecutionContext): Promise<Site> {
	const seed = testSeed();
	t.log(`seed ${seed}`);
	const site = await GatewaySite.start();
	t.teardown(async () => site.dispose());
	const engines: PlatformEndpoint[] = [];
	for (let index = 0; index < engineCount; index++) {
		// eslint-disable-next-line no-await-in-loop
		engines.push(await site.addEndpoint({
			id: `engine-${index}`, isEngine: true, eventIntervalMs: 10, eventCount: 5,
		}, {slots: 8}));
	}

	const gateways: Gateway[] = [];
	for (let index = 0; index < instanceCount; index++) {
		// eslint-disable-next-line no-await-in-loop
		gateways.push(await site.addGateway());
	}

	await until(() => gateways.every(({memoryLog}) => memoryLog.linesOf('peer-joined').length === instanceCount - 1));
	return {
		site, engines, gateways, random: RandomSource.create(seed),
	};
}

/** Runs a load until the events have happened. */
async function withLoad({random}: Site, gateways: readonly Gateway[], events: () => Promise<void>): Promise<PromptCall[]> {
	const abortController = new AbortController();
	const load = runPromptLoad({
		gateways, random, perSecond, nextParts: () => ['first'],
	}, abortController.signal);
	try {
		await events();
	} finally {
		abortController.abort();
	}

	return load;
}

function assertAllAnswered(t: ExecutionContext, calls: readonly PromptCall[]): void {
	t.true(calls.length > 100);
	t.deepEqual(calls.filter(({status}) => status !== 200).map(({requestId, status, body}) => ({requestId, status, body})), []);
}

// Each site takes most of the thread, so the tests run one after the other.

/** Lets two engines name a limit under load, sent by the callers of the given instances. */
async function assertLimitIsKept(t: ExecutionContext, site: Site, gateways: readonly Gateway[], limit: number): Promise<void> {
	const limited = site.engines.slice(0, 2);
	const named = {at: Infinity};
	const calls = await withLoad(site, gateways, async () => {
		await delay(1000);
		named.at = performance.now();
		for (const engine of limited) {
			engine.statedHeaders = {'server-limit': String(limit)};
		}

		await delay(contactMs + 8000);
		const {host, internalPorts} = site.gateways[1]!.settings;
		const response = await fetch(`http://${host}:${internalPorts.first + 1}/statements`, {signal: AbortSignal.timeout(5000)});
		const status = await response.json() as Array<{readonly endpoint: string; readonly limit: {readonly perSecond: number}}>;
		t.deepEqual(status.map(({endpoint}) => endpoint).toSorted(), limited.map(({options: {id}}) => id));
		t.true(status.every(({limit: {perSecond}}) => perSecond === limit));
	});
	for (const engine of limited) {
		const arrivals = findArrivals(engine, calls);
		const maximum = maximumInWindow(arrivals, findToldTimes(engine, calls, 'server-limit'), named.at);
		t.true(maximum <= allowedInWindow(limit), `${maximum} requests in 4 s, ${allowedInWindow(limit)} allowed`);
		const got = arrivals.filter(({receivedAt}) => receivedAt > named.at + contactMs).length;
		t.true(got >= limit * 8 / 2, `${got} requests in 8 s, ${calls.length} of all callers`);
	}

	assertAllAnswered(t, calls);
}

// Guards against an endpoint that gets more requests than the limit that it names, because no instance reads it or each one keeps to it alone.
test.serial('endpoints that name a limit get most of it and no more than their bound', async t => {
	const site = await startSite(t);
	await assertLimitIsKept(t, site, site.gateways, 4);
});

test.serial('endpoints that name a limit get most of it and no more than their bound, with nine tenths of the callers at one instance', async t => {
	const site = await startSite(t);
	const [first, ...others] = site.gateways;
	await assertLimitIsKept(t, site, [...Array.from({length: 36}, () => first!), ...others], 4);
});

// Guards against an endpoint that gets requests after it has said that it leaves, because its record in the store still says that it is ready.
test.serial('an endpoint that states that it leaves gets no request that was sent after the bound from an instance that passed it on', async t => {
	const site = await startSite(t);
	const leaving = site.engines.slice(0, 2);
	const calls = await withLoad(site, site.gateways, async () => {
		await delay(1000);
		for (const engine of leaving) {
			engine.statedHeaders = {'server-leaving': '1'};
		}

		await delay(1000);
		leaving[1]!.statedHeaders = {};
		await delay(drainMs + 3000);
	});
	for (const engine of leaving) {
		const told = findToldTimes(engine, calls, 'server-leaving');
		t.true(told.size > 0);
		const late = findArrivals(engine, calls).filter(({gateway, sentAt}) => sentAt > (told.get(gateway) ?? Infinity) + drainMs);
		t.is(late.length, 0);
	}

	assertAllAnswered(t, calls);
});

// Guards against an instance that goes on sending to an endpoint that has asked it to wait.
test.serial('an endpoint that turns a request away with a retry time gets at most two more from that instance until then', async t => {
	const site = await startSite(t);
	const spared = site.engines.slice(0, 2);
	for (const engine of spared) {
		engine.rejectionHeaders = {'retry-after': String(retryAfterSeconds)};
	}

	const calls = await withLoad(site, site.gateways, async () => {
		await delay(1000);
		for (let round = 0; round < 60; round++) {
			for (const engine of spared) {
				engine.faults.push('reject');
			}

			// eslint-disable-next-line no-await-in-loop
			await delay(100);
		}
	});
	for (const engine of spared) {
		const arrivals = findArrivals(engine, calls);
		const rejectedIds = new Set(engine.receivedRequests.filter(({isExecuted}) => !isExecuted).map(({requestId}) => requestId));
		t.true(rejectedIds.size > 0);
		const later = engine.receivedRequests.filter(({requestId}) => rejectedIds.has(requestId)).map(({requestId, receivedAt}) => {
			const {gateway} = calls.find(({requestId: id}) => id === requestId)!;
			return arrivals.filter(arrival => arrival.gateway === gateway && arrival.receivedAt > receivedAt + tellMs && arrival.receivedAt < receivedAt + (retryAfterSeconds * 1000)).length;
		});
		t.true(Math.max(...later) <= allowedWhileTurnedAway, `${Math.max(...later)} requests within a retry time`);
	}

	assertAllAnswered(t, calls);
});

// Guards against a value that ends an instance, or the use of an endpoint, because it can't be read.
test.serial('statements that can\'t be read change nothing and are logged', async t => {
	const site = await GatewaySite.start();
	t.teardown(async () => site.dispose());
	const endpoint = await site.addEndpoint({id: 'diary', isEngine: false});
	const gateway = await site.addGateway();
	for (const value of ['many', '-4', '1e999', '9'.repeat(400)]) {
		endpoint.statedHeaders = {'server-limit': value, 'server-leaving': value};
		// eslint-disable-next-line no-await-in-loop
		t.like(await call(gateway), {status: 200});
	}

	endpoint.statedHeaders = {};
	t.like(await call(gateway), {status: 200});
	t.true(gateway.memoryLog.linesOf('endpoint-statement-rejected').some(line => line.includes('many')));
});

// Guards against callers that are held until their deadline, or told to come back too early, while no endpoint takes requests.
test.serial('when all endpoints of a service have turned a request away with a retry time, callers are refused in time and told when to return', async t => {
	const site = await GatewaySite.start();
	t.teardown(async () => site.dispose());
	const endpoints: PlatformEndpoint[] = [];
	for (const id of ['diary-1', 'diary-2']) {
		// eslint-disable-next-line no-await-in-loop
		const endpoint = await site.addEndpoint({id, isEngine: false});
		endpoint.rejectionHeaders = {'retry-after': '9.5'};
		endpoint.faults.push('reject');
		endpoints.push(endpoint);
	}

	const gateway = await site.addGateway();
	t.like(await call(gateway), {status: 503});
	const {status, headers} = await call(gateway, {headers: {'x-deadline-ms': '4000', 'x-request-id': 'refused'}});
	t.is(status, 503);
	t.true(Number(headers['retry-after']) > 8, `retry-after ${headers['retry-after']}`);
	t.true(gateway.memoryLog.linesOf('request-not-started').some(line => line.includes('requestId=refused reason=no-endpoint')), 'refused before it has waited for too long');
	t.deepEqual(endpoints.map(({receivedRequests}) => receivedRequests.length), [1, 1]);
});
