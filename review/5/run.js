/** All processes are killed at the same moment, twice, while workers turn away part of the requests. */
import {createServer} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {hasTrouble, runCase} from '../support/case.js';
import {send} from '../support/client.js';
import {
	configuration, createHeaders, createRequestId, keepRecord,
} from '../support/deployment.js';
import {bounds, Gateways} from '../support/gateways.js';
import {Store} from '../support/store.js';

const machineCount = 3;
const workerCount = 6;
const killTimesMs = [3400, 6900];
const rejectedShare = 0.45;

/** Two periods of 6,500 ms, one after the other. */
const rejectingMs = 2 * 6500;

const requestsPerSecond = 26;
const lengthMs = 14_000;
const deadlineMs = 3000;
const service = 'kit-orders';

/** A worker of the plain service, which says of part of the requests that it has not run them. */
async function startWorker(address, id, {note, arrivals, now, isRejecting}) {
	const server = createServer((request, response) => {
		request.resume();
		const requestId = request.headers['x-request-id'];
		if (request.headers['x-expect-instance'] !== id) {
			response.writeHead(421, {'x-instance-id': id, 'x-request-id': requestId, 'content-length': 0});
			response.end();
			return;
		}

		arrivals.push({requestId, at: now()});
		if (isRejecting() && Math.random() < rejectedShare) {
			note(`worker ${id} rejects ${requestId}`);
			response.writeHead(503, {'x-request-id': requestId, 'x-not-executed': '1', 'content-length': 0});
			response.end();
			return;
		}

		note(`worker ${id} runs ${requestId}`);
		response.writeHead(200, {'x-request-id': requestId, 'x-response-seal': `${id}.${requestId}`});
		response.end('stock');
	});
	await new Promise(resolve => {
		server.listen(0, address, resolve);
	});
	return server;
}

/** Finds the window in which the repeats exceed what is allowed by most. */
function findWorstWindow(requests, arrivals) {
	const windowMs = bounds.budget_window_s * 1000;
	const count = (times, from) => times.filter(at => at >= from && at < from + windowMs).length;
	const known = new Set();
	const repeats = [];
	for (const {requestId, at} of arrivals.toSorted((a, b) => a.at - b.at)) {
		if (known.has(requestId)) {
			repeats.push(at);
		}

		known.add(requestId);
	}

	let worst = {from: 0, repeats: 0, allowed: Infinity};
	for (const end of repeats) {
		const from = end - windowMs + 1;
		const counted = Math.max(...[0, windowMs / 2, windowMs].map(earlier => count(requests, from - earlier)));
		const window = {from, repeats: count(repeats, from), allowed: (bounds.retry_budget_ratio * counted) + bounds.retry_budget_extra};
		if (window.repeats - window.allowed > worst.repeats - worst.allowed) {
			worst = window;
		}
	}

	return worst;
}

await runCase(import.meta.dirname, async ({note, directory, onEnd}) => {
	const store = await Store.listen('127.0.0.1');
	onEnd(() => {
		store.close();
	});
	store.put('op/config', configuration);
	const now = () => performance.now();
	/** Arrivals at workers. */
	const arrivals = [];
	let startedAt = Infinity;
	const isRejecting = () => now() - startedAt < rejectingMs;
	for (let index = 1; index <= workerCount; index++) {
		const id = `i-orders-${index}`;
		// eslint-disable-next-line no-await-in-loop
		const server = await startWorker('127.0.0.1', id, {
			note, arrivals, now, isRejecting,
		});
		onEnd(() => {
			server.close();
			server.closeAllConnections();
		});
		onEnd(keepRecord(store, id, {
			service, address: `127.0.0.1:${server.address().port}`, zone: ['gt-midrand', 'gt-isando', 'gt-centurion'][index % 3], slots: 6,
		}));
	}

	const gateways = await Gateways.start({count: machineCount, storeAddress: store.address, directory});
	onEnd(async () => gateways.close());
	note('all machines are ready');
	await delay(3000);

	/** Times at which clients sent requests. */
	const requests = [];
	startedAt = now();
	const kills = hasTrouble
		? killTimesMs.map(async at => {
			await delay(at);
			note('SIGKILL to all machines');
			await Promise.all(Array.from({length: machineCount}, async (_, index) => {
				await gateways.kill(index);
				gateways.startProcess(index);
				await gateways.waitUntilReady(index);
				note(`machine ${index + 1} is ready`);
			}));
		})
		: [];
	const answers = [];
	for (let number = 0; now() - startedAt < lengthMs; number++) {
		const requestId = createRequestId();
		const machine = number % machineCount;
		requests.push(now());
		answers.push(send({
			host: gateways.hosts[machine], port: gateways.frontPort, method: 'GET', path: '/stock/1', headers: createHeaders(requestId, deadlineMs), timeoutMs: deadlineMs,
		}).then(({status}) => {
			note(`client gets ${status ?? 'nothing'} for ${requestId} from machine ${machine + 1}`);
		}));
		// eslint-disable-next-line no-await-in-loop
		await delay(1000 / requestsPerSecond);
	}

	await Promise.all([...answers, ...kills]);
	const {from, repeats, allowed} = findWorstWindow(requests, arrivals);
	note(`worst window: ${repeats} repeats from ${((from - startedAt) / 1000).toFixed(1)} s on, ${allowed.toFixed(1)} allowed`);
	return repeats > allowed ? [`${repeats} arrivals beyond the first of each request within ${bounds.budget_window_s} s, ${allowed.toFixed(1)} allowed`] : [];
});
