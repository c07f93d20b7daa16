import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {RandomSource} from '../../standins/random-source.js';
import {GatewaySite, type Gateway} from '../fixtures/gateway/gateway-site.js';
import {addEndingEngines, receivedWithPart, runPromptLoad} from '../fixtures/gateway/prompt-load.js';
import {until} from '../fixtures/until.js';
import {testSeed} from '../fixtures/seed.js';

/** Time after the fifth end within which the instances have to know the part, and number of requests with it that may reach engines later. */
const contactMs = 3000;
const allowedLater = 3;

// Guards against engines that end one after the other, because each instance sends the next request with the same part to the next engine.
test('requests with a part of their prompt that ends engines are withheld after the fifth end, and no others', async t => {
	const seed = testSeed();
	t.log(`seed ${seed}`);
	const random = RandomSource.create(seed);
	const site = await GatewaySite.start();
	t.teardown(async () => site.dispose());
	const engines = await addEndingEngines(site, 18, new Set(['bad']), {eventIntervalMs: 30, eventCount: 8});
	t.teardown(async () => engines.dispose());
	const gateways: Gateway[] = [];
	for (let count = 0; count < 5; count++) {
		// eslint-disable-next-line no-await-in-loop
		gateways.push(await site.addGateway());
	}

	await until(() => gateways.every(({memoryLog}) => memoryLog.linesOf('peer-joined').length === 4));
	await delay(2000);
	const abortController = new AbortController();
	const nextFirstPart = () => random.pick(['first-a', 'first-b', 'first-c'])!;
	const sound = runPromptLoad({
		gateways, random, perSecond: 55, nextParts: () => [nextFirstPart(), `middle-${random.integer(1, 40)}`],
	}, abortController.signal);
	await delay(1000);
	const ending = runPromptLoad({
		gateways, random, perSecond: 6, nextParts: () => ['first-a', 'bad'],
	}, abortController.signal);
	await until(() => engines.endedAt.length >= 5);
	await delay((2 * contactMs) + 3000);
	abortController.abort();
	const [soundCalls] = await Promise.all([sound, ending]);

	t.true(engines.endedAt.length >= 5, `${engines.endedAt.length} engines ended`);
	const knownAt = engines.endedAt[4]! + contactMs;
	const later = receivedWithPart(engines, 'bad').filter(receivedAt => receivedAt > knownAt);
	t.true(later.length <= allowedLater, `${later.length} requests with the part reached engines after ${contactMs} ms, ${engines.endedAt.length} engines ended`);
	const isBegun = new Set(engines.started.flatMap(({receivedRequests}) => receivedRequests.map(({requestId}) => requestId)));
	const soundLater = soundCalls.filter(({parts, sentAt}) => parts[0] === 'first-a' && sentAt > knownAt + contactMs);
	t.true(soundLater.filter(({requestId}) => isBegun.has(requestId)).length >= soundLater.length / 2, 'sound requests with the same first part begin');
	t.deepEqual(soundCalls.filter(({body}) => body?.includes('withheld')), []);
});
