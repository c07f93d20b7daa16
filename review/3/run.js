/** Workers reset streams that have no length; all other streams have chunks. */
import {createServer} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {hasTrouble, runCase} from '../support/case.js';
import {send} from '../support/client.js';
import {
	configuration, createEngineHeaders, createRequestId, keepRecord,
} from '../support/deployment.js';
import {Gateways} from '../support/gateways.js';
import {Store} from '../support/store.js';

const machineCount = 3;
const workerCount = 4;
const streamCount = 480;
const intervalMs = 10;
const eventCount = 20;
const eventIntervalMs = 20;
const deadlineMs = 10_000;

/** Workers that reset the connection of each twentieth stream, which has no length. */
const failingWorkers = new Set(['i-engine-1', 'i-engine-2']);
const failsEvery = 20;

/** Event after which it resets the connection. */
const lastEventBeforeReset = 10;

async function startEngine(address, id, note) {
	let streams = 0;
	const server = createServer(async (request, response) => {
		request.resume();
		const requestId = request.headers['x-request-id'];
		if (request.headers['x-expect-instance'] !== id) {
			response.writeHead(421, {'x-instance-id': id, 'x-request-id': requestId, 'content-length': 0});
			response.end();
			return;
		}

		const first = Number(request.headers['last-event-id'] ?? 0) + 1;
		streams++;
		const isUnframed = failingWorkers.has(id) && streams % failsEvery === 0;
		const fails = hasTrouble && isUnframed;
		note(`worker ${id} runs ${requestId} from event ${first} on`);
		const headers = {'content-type': 'text/event-stream', 'x-request-id': requestId, 'x-response-seal': `${id}.${requestId}`};
		if (isUnframed) {
			// Without this header, the response ends with its connection.
			response.removeHeader('transfer-encoding');
			headers.connection = 'close';
		}

		response.writeHead(200, headers);
		for (let event = first; event <= eventCount && !response.destroyed; event++) {
			response.write(`id: ${event}\ndata: event ${event} of ${requestId}\n\n`);
			if (fails && event === lastEventBeforeReset) {
				setImmediate(() => {
					note(`worker ${id} resets the connection of ${requestId} after event ${event}`);
					request.socket.resetAndDestroy();
				});
				return;
			}

			// eslint-disable-next-line no-await-in-loop
			await delay(eventIntervalMs);
		}

		note(`worker ${id} ends ${requestId}${response.destroyed ? ' because its connection is closed' : ' after the last event'}`);
		response.end();
	});
	await new Promise(resolve => {
		server.listen(0, address, resolve);
	});
	return server;
}

function countEvents(body) {
	return body.split('\n\n').length - 1;
}

await runCase(import.meta.dirname, async ({note, directory, onEnd}) => {
	const store = await Store.listen('127.0.0.1');
	onEnd(() => {
		store.close();
	});
	store.put('op/config', configuration);
	for (let index = 0; index < workerCount; index++) {
		const zone = ['gt-midrand', 'gt-isando', 'gt-centurion'][index % 3];
		const id = `i-engine-${index + 1}`;
		// eslint-disable-next-line no-await-in-loop
		const server = await startEngine('127.0.0.1', id, note);
		onEnd(() => {
			server.close();
			server.closeAllConnections();
		});
		onEnd(keepRecord(store, id, {service: 'engines', address: `127.0.0.1:${server.address().port}`, zone}));
	}

	const gateways = await Gateways.start({count: machineCount, storeAddress: store.address, directory});
	onEnd(async () => gateways.close());
	note('all machines are ready');

	const answers = [];
	for (let number = 0; number < streamCount; number++) {
		const machine = number % machineCount;
		const requestId = createRequestId();
		note(`client sends ${requestId} to machine ${machine + 1}`);
		answers.push(send({
			host: gateways.hosts[machine], port: gateways.frontPort, method: 'POST', path: '/drafts/1', headers: createEngineHeaders(requestId, deadlineMs), body: 'prompt', timeoutMs: deadlineMs,
		}).then(answer => {
			const events = countEvents(answer.body);
			const appearance = answer.isWhole ? 'looks whole' : 'does not look whole';
			note(`client gets ${answer.status ?? 'nothing'} for ${requestId}: ${events} of ${eventCount} events, framing: ${answer.framing}, connection: ${answer.ending}, ${appearance}`);
			return {requestId, events, ...answer};
		}));
		// eslint-disable-next-line no-await-in-loop
		await delay(intervalMs);
	}

	const ended = await Promise.all(answers);
	return ended.filter(({status, isWhole, events}) => status === 200 && isWhole && events < eventCount)
		.map(({requestId, events}) => `the answer to ${requestId} ended after ${events} of ${eventCount} events and looks whole`);
});
