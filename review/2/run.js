/** Workers fail orders after they have run them, with a status that promises the opposite. */
import {createServer} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {hasTrouble, runCase} from '../support/case.js';
import {send} from '../support/client.js';
import {
	configuration, createHeaders, createRequestId, keepRecord,
} from '../support/deployment.js';
import {Gateways} from '../support/gateways.js';
import {Store} from '../support/store.js';

const machineCount = 3;
const orderCount = 30;
const intervalMs = 100;
const workMs = 20;
const deadlineMs = 3000;

/** One in so many orders fails after it has run. */
const failEvery = 5;

/** Statuses that promise the client that its request has not run and never will. */
const promises = new Set([408, 421, 429, 503]);

/** A worker of the order service. Its health is good all the time. */
async function startWorker(address, id, {note, runs}) {
	const server = createServer(async (request, response) => {
		request.resume();
		const requestId = request.headers['x-request-id'];
		if (request.headers['x-expect-instance'] !== id) {
			response.writeHead(421, {'x-instance-id': id, 'x-request-id': requestId, 'content-length': 0});
			response.end();
			return;
		}

		runs.push(requestId);
		await delay(workMs);
		const fails = hasTrouble && runs.length % failEvery === 0;
		note(`worker ${id} has run ${requestId} and answers ${fails ? 503 : 200} without X-Not-Executed`);
		response.writeHead(fails ? 503 : 200, {'x-request-id': requestId, 'x-response-seal': `${id}.${requestId}`, 'content-type': 'text/plain'});
		response.end(fails ? 'failed after the order was booked' : `booked by ${requestId}`);
	});
	await new Promise(resolve => {
		server.listen(0, address, resolve);
	});
	return server;
}

await runCase(import.meta.dirname, async ({note, directory, onEnd}) => {
	const store = await Store.listen('127.0.0.1');
	onEnd(() => {
		store.close();
	});
	store.put('op/config', configuration);
	/** Ids of the requests that workers have run. */
	const runs = [];
	for (const [index, zone] of ['gt-midrand', 'gt-isando', 'gt-centurion'].entries()) {
		const id = `i-orders-${index + 1}`;
		// eslint-disable-next-line no-await-in-loop
		const server = await startWorker('127.0.0.1', id, {note, runs});
		onEnd(() => {
			server.close();
			server.closeAllConnections();
		});
		onEnd(keepRecord(store, id, {
			service: 'kit-orders', address: `127.0.0.1:${server.address().port}`, zone, slots: 6,
		}));
	}

	const gateways = await Gateways.start({count: machineCount, storeAddress: store.address, directory});
	onEnd(async () => gateways.close());
	note('all machines are ready');

	const orders = [];
	for (let order = 1; order <= orderCount; order++) {
		orders.push(placeOrder(order));
		// eslint-disable-next-line no-await-in-loop
		await delay(intervalMs);
	}

	/** Sends an order, and once more after a promise that it has not run, as clients do. */
	async function placeOrder(order) {
		const attempts = [];
		for (let attempt = 1; attempt <= 2; attempt++) {
			const requestId = createRequestId();
			const machine = (order + attempt) % machineCount;
			note(`client sends order ${order} as ${requestId} to machine ${machine + 1}`);
			// eslint-disable-next-line no-await-in-loop
			const {status, headers} = await send({
				host: gateways.hosts[machine],
				port: gateways.frontPort,
				method: 'POST',
				path: '/orders/1',
				headers: createHeaders(requestId, deadlineMs),
				body: `order ${order}`,
				timeoutMs: deadlineMs,
			});
			note(`client gets ${status ?? 'nothing'} for ${requestId}, seal ${headers['x-response-seal'] ?? 'none'}`);
			attempts.push({requestId, status});
			if (!promises.has(status)) {
				break;
			}
		}

		return {order, attempts};
	}

	const placed = await Promise.all(orders);
	for (const {order, attempts} of placed) {
		const runCount = attempts.filter(({requestId}) => runs.includes(requestId)).length;
		if (runCount > 1) {
			note(`order ${order} was booked ${runCount} times`);
		}
	}

	return placed.flatMap(({attempts}) => attempts).filter(({requestId, status}) => promises.has(status) && runs.includes(requestId))
		.map(({requestId, status}) => `${requestId} was answered ${status} and has run`);
});
