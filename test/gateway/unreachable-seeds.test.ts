import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {call} from '../fixtures/gateway/caller.js';
import {bounds} from '../fixtures/gateway/documents.js';
import {GatewaySite, type Gateway} from '../fixtures/gateway/gateway-site.js';
import {until} from '../fixtures/until.js';

/** Hosts that settings name as seeds and where nothing runs. */
const absentSeeds = ['127.99.99.1', '127.99.99.2', '127.99.99.3'];

/** Time for which a process listens before it takes the instances that it has heard for all. */
const listeningMs = 2000;

/** Requests a second that the engines of the site bear while cold, as its configuration says. */
const coldRequestsPerSecond = 20;

const coldBound = (coldRequestsPerSecond * bounds.coldRateFactor) + bounds.coldSlackPerSecond;

const coldMs = 3500;

/** Starts gateways of one site that all name seeds that don't answer, so that none of them hears another one. */
async function startSeparated(t: ExecutionContext, count: number) {
	const site = await GatewaySite.start();
	t.teardown(async () => site.dispose());
	const gateways: Gateway[] = [];
	for (let index = 0; index < count; index++) {
		// eslint-disable-next-line no-await-in-loop -- started one after the other, as they log
		gateways.push(await site.addGateway({seedHosts: absentSeeds}));
	}

	await delay(listeningMs);
	return {site, gateways};
}

/** Sends streams to all gateways in turn. Resolves with the statuses. */
async function sendStreams(gateways: readonly Gateway[], durationMs: number): Promise<number[]> {
	const statuses: Array<Promise<number>> = [];
	const endsAt = performance.now() + durationMs;
	for (let number = 0; performance.now() < endsAt; number++) {
		statuses.push(call(gateways[number % gateways.length]!, {path: '/streams/1', method: 'POST', body: 'x'}).then(({status}) => status, () => 0));
		// eslint-disable-next-line no-await-in-loop -- a steady rate
		await delay(8);
	}

	return Promise.all(statuses);
}

function mostInOneSecond(times: readonly number[]): number {
	return Math.max(...times.map(from => times.filter(time => time >= from && time < from + 1000).length));
}

// Guards against instances that each take the whole limit of a cold endpoint because they hear no other one.
test.serial('instances that reach none of their seeds send no more to a cold endpoint than all of them may, and serve when it is warm', async t => {
	const {site, gateways} = await startSeparated(t, 4);
	// eslint-disable-next-line @typescript-eslint/naming-convention -- the platform's name
	const engine = await site.addEndpoint({id: 'engine', isEngine: true, eventCount: 1}, {slots: 64, cold_remaining_ms: coldMs});
	await until(() => gateways.every(({memoryLog}) => memoryLog.linesOf('endpoint-added').length > 0));
	await sendStreams(gateways, coldMs - 500);
	const most = mostInOneSecond(engine.receivedRequests.map(({receivedAt}) => receivedAt));
	t.true(most <= coldBound, `${most} requests in one second, ${coldBound} allowed`);
	await delay(1000);
	const statuses = await sendStreams(gateways, 500);
	t.true(statuses.includes(200), `statuses ${statuses.join(',')}`);
});

// Guards against instances that each use the whole extra part of the retry budget because they hear no other one.
test.serial('instances that reach none of their seeds retry no more than all of them may', async t => {
	const {site, gateways} = await startSeparated(t, 4);
	const endpoints = [await site.addEndpoint({id: 'e0', isEngine: false}, {slots: 64}), await site.addEndpoint({id: 'e1', isEngine: false}, {slots: 64})];
	await until(() => gateways.every(({memoryLog}) => memoryLog.linesOf('endpoint-added').length === 2));
	const requestsEach = 60;
	for (const endpoint of endpoints) {
		endpoint.faults.push(...Array.from({length: 2 * requestsEach * gateways.length}, () => 'error' as const));
	}

	for (let count = 0; count < requestsEach; count++) {
		// eslint-disable-next-line no-await-in-loop -- one request of each instance at a time
		await Promise.all(gateways.map(async gateway => call(gateway)));
	}

	const requests = requestsEach * gateways.length;
	const retries = endpoints.reduce((sum, {receivedRequests}) => sum + receivedRequests.length, 0) - requests;
	const allowed = (bounds.retryRatio * requests) + bounds.retryExtra;
	t.true(retries <= allowed, `${retries} retries, ${allowed} allowed`);
	t.true(retries > 0);
});
