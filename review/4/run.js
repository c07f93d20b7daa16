/** A process is killed while it passes on a stream that has no length; all other streams have chunks. */
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
const streamsPerMachine = 24;
const slots = 26;

/** The first stream of this worker has no length. */
const unframedWorker = 'i-engine-1';

/** Streams that this worker has to get, so that those without a length are at most 0.05 of them. */
const minimumStreams = 20;

const eventCount = 42;
const eventIntervalMs = 40;
const killAfterMs = 700;
const deadlineMs = 10_000;

/** Streams that the worker with the unframed stream has got. */
const streamsOfWorker = [];

async function startEngine(address, id, note) {
	const server = createServer(async (request, response) => {
		request.resume();
		const requestId = request.headers['x-request-id'];
		if (request.headers['x-expect-instance'] !== id) {
			response.writeHead(421, {'x-instance-id': id, 'x-request-id': requestId, 'content-length': 0});
			response.end();
			return;
		}

		note(`worker ${id} runs ${requestId}`);
		const headers = {'content-type': 'text/event-stream', 'x-request-id': requestId, 'x-response-seal': `${id}.${requestId}`};
		if (id === unframedWorker) {
			streamsOfWorker.push(requestId);
			if (streamsOfWorker.length === 1) {
				// Without this header, the response ends with its connection.
				response.removeHeader('transfer-encoding');
				headers.connection = 'close';
			}
		}

		response.writeHead(200, headers);
		for (let event = Number(request.headers['last-event-id'] ?? 0) + 1; event <= eventCount && !response.destroyed; event++) {
			response.write(`id: ${event}\ndata: event ${event} of ${requestId}\n\n`);
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
	for (const [index, zone] of ['gt-midrand', 'gt-isando', 'gt-centurion'].entries()) {
		const id = `i-engine-${index + 1}`;
		// eslint-disable-next-line no-await-in-loop
		const server = await startEngine('127.0.0.1', id, note);
		onEnd(() => {
			server.close();
			server.closeAllConnections();
		});
		onEnd(keepRecord(store, id, {
			service: 'engines', address: `127.0.0.1:${server.address().port}`, zone, slots,
		}));
	}

	const gateways = await Gateways.start({count: machineCount, storeAddress: store.address, directory});
	onEnd(async () => gateways.close());
	note('all machines are ready');

	const machineOf = new Map();
	const answers = gateways.hosts.flatMap((host, index) => Array.from({length: streamsPerMachine}, async () => {
		const requestId = createRequestId();
		machineOf.set(requestId, index);
		note(`client sends ${requestId} to machine ${index + 1}`);
		const answer = await send({
			host, port: gateways.frontPort, method: 'POST', path: '/drafts/1', headers: createEngineHeaders(requestId, deadlineMs), body: 'prompt', timeoutMs: deadlineMs,
		});
		const events = countEvents(answer.body);
		const appearance = answer.isWhole ? 'looks whole' : 'does not look whole';
		note(`client gets ${answer.status ?? 'nothing'} for ${requestId}: ${events} of ${eventCount} events, framing: ${answer.framing}, connection: ${answer.ending}, ${appearance}`);
		return {requestId, events, ...answer};
	}));
	await delay(killAfterMs);
	if (streamsOfWorker.length < minimumStreams) {
		throw new Error(`worker ${unframedWorker} got ${streamsOfWorker.length} streams only`);
	}

	const [unframedId] = streamsOfWorker;
	const machine = machineOf.get(unframedId);
	note(`worker ${unframedWorker} has got ${streamsOfWorker.length} streams; that of ${unframedId}, at machine ${machine + 1}, has no length`);
	if (hasTrouble) {
		note(`machine ${machine + 1}: SIGKILL`);
		await gateways.kill(machine);
		gateways.startProcess(machine);
	}

	const ended = await Promise.all(answers);
	if (ended.filter(({status, events}) => status === 200 && events > 0).length < ended.length) {
		throw new Error('not every stream began');
	}

	return ended.filter(({isWhole, events}) => isWhole && events < eventCount)
		.map(({requestId, events}) => `the answer to ${requestId} ended after ${events} of ${eventCount} events and looks whole`);
});
