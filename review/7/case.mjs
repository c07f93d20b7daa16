/* eslint-disable camelcase, no-await-in-loop -- the platform's names; machines and workers follow one another */
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {createConfiguration, delay, runCase} from '../support-2/harness.mjs';

const machineCount = 7;
const seedCount = 3;

/** Requests a second of all clients for the model workers, as in calm on the sheet of the site. */
const requestsPerSecond = 110;

/** The machines that are not seeds start again after this time, and the seeds, which have lost power, after the other one. */
const restartMs = 300;
const darkMs = 3500;

/** Time for which the model workers are down, and for which they are cold afterwards. */
const workersDownMs = 2300;
const coldMs = 3000;

/** Cold workers get no more requests in a second than this. */
const bounds = {cold_overage: 1.5, cold_slack: 5};

/** Answers with a stream of one event. */
async function stream(request, response, worker) {
	const id = request.headers['x-request-id'];
	response.writeHead(200, {'x-request-id': id, 'x-response-seal': `${worker.id}.${id}`, 'content-type': 'text/event-stream'});
	await delay(30);
	response.end('id: 1\ndata: tag\n\n');
}

/** Returns the most requests that were sent and arrived within one second. */
function mostInOneSecond(arrivals, sentAt) {
	let most = 0;
	for (const first of arrivals) {
		const from = sentAt.get(first.id);
		const count = arrivals.filter(({id, at}) => sentAt.get(id) >= from && at < from + 1000).length;
		most = Math.max(most, count);
	}

	return most;
}

await runCase(path.dirname(fileURLToPath(import.meta.url)), async (site, hasTrouble) => {
	const configuration = createConfiguration();
	site.configure(configuration);
	const workers = [];
	for (let count = 0; count < 2; count++) {
		workers.push(await site.addWorker({answer: stream, entry: {service: 'llm', slots: 17}}));
	}

	await site.startMachines(machineCount);
	await delay(3000);
	const others = site.machines.slice(seedCount);
	const sends = [];
	const abortController = new AbortController();
	const sending = (async () => {
		for (let number = 0; !abortController.signal.aborted; number++) {
			const {host} = others[number % others.length];
			sends.push(site.send({
				host, path: '/plan/1', key: 'key-wick-1', headers: {'x-token-count': '100,20'}, deadlineMs: 3000,
			}));
			await delay(1000 / requestsPerSecond);
		}
	})();

	await delay(2000);
	const startedAt = site.now();
	const until = async ms => delay(Math.max(0, startedAt + ms - site.now()));
	for (const worker of workers) {
		await worker.crash();
	}

	if (hasTrouble) {
		for (const machine of site.machines) {
			machine.signal('SIGKILL');
		}

		await until(restartMs);
		for (const machine of others) {
			machine.start();
		}
	}

	await until(workersDownMs);
	const returnedAt = site.now();
	for (const worker of workers) {
		worker.entry.cold_remaining_ms = coldMs;
		await worker.start();
		site.record('cold-return', {worker: worker.id});
	}

	// The entry holds what is left when it is written.
	const timer = setInterval(() => {
		for (const {entry} of workers) {
			entry.cold_remaining_ms = Math.max(0, Math.round(coldMs - (site.now() - returnedAt)));
		}
	}, 50);
	if (hasTrouble) {
		await until(darkMs);
		for (const machine of site.machines.slice(0, seedCount)) {
			machine.start();
		}
	}

	await delay(Math.max(0, returnedAt + coldMs - site.now()));
	abortController.abort();
	clearInterval(timer);
	await sending;
	const results = await Promise.all(sends);
	const sentAt = new Map(results.map(result => [result.id, result.sentAt]));
	const {cold_per_s: coldPerSecond} = configuration.services.find(({name}) => name === 'llm');
	const bound = (coldPerSecond * bounds.cold_overage) + bounds.cold_slack;
	const counts = workers.map(({arrivals}) => mostInOneSecond(arrivals.filter(({at, isRun}) => isRun && at >= returnedAt && at < returnedAt + coldMs), sentAt));
	site.record('most-in-one-second', {counts: counts.join(','), bound});
	return {isBroken: counts.some(count => count > bound), summary: `the cold workers got ${counts.join(' and ')} requests in one second; the bound is ${bound}`};
});
