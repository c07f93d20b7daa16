/** A client leaves a stream that has no length; all other streams have chunks. */
import {createServer} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {hasTrouble, runCase} from '../support/case.js';
import {send} from '../support/client.js';
import {
	configuration, createEngineHeaders, createHeaders, createRequestId, keepRecord,
} from '../support/deployment.js';
import {Gateways} from '../support/gateways.js';
import {Store} from '../support/store.js';

const machineCount = 3;
const streamsPerMachine = 24;
const slots = 26;

/** The first stream of this worker has no length. */
const unframedWorker = 'i-engines-1';

/** Streams that this worker has to get, so that those without a length are at most 0.05 of them. */
const minimumStreams = 20;

const eventCount = 100;
const eventIntervalMs = 40;
const streamDeadlineMs = 12_000;

/** When one of the streams' clients leaves. */
const leavesAfterMs = 1000;

/** Requests for stock: a tenth of a second apart, from the moment at which the client leaves. */
const requestCount = 10;
const requestIntervalMs = 100;
const requestDeadlineMs = 10_000;

/** Time after the route's timeout within which a request has to be answered. */
const marginMs = 500;

const routeTimeoutMs = configuration.routes.find(({name}) => name === 'stock').timeout_ms;

/** Streams that the worker with the unframed stream has got. */
const streamsOfWorker = [];

async function stream(request, response, id) {
	const requestId = request.headers['x-request-id'];
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

	response.end();
}

function answer(request, response, id) {
	const requestId = request.headers['x-request-id'];
	response.writeHead(200, {'x-request-id': requestId, 'x-response-seal': `${id}.${requestId}`, 'content-type': 'text/plain'});
	response.end('stock');
}

async function startWorker(id, respond, note) {
	const server = createServer((request, response) => {
		request.resume();
		const requestId = request.headers['x-request-id'];
		if (request.headers['x-expect-instance'] !== id) {
			response.writeHead(421, {'x-instance-id': id, 'x-request-id': requestId, 'content-length': 0});
			response.end();
			return;
		}

		note(`worker ${id} runs ${requestId}`);
		respond(request, response, id);
	});
	await new Promise(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return server;
}

await runCase(import.meta.dirname, async ({note, directory, onEnd}) => {
	const store = await Store.listen('127.0.0.1');
	onEnd(() => {
		store.close();
	});
	store.put('op/config', configuration);
	for (const [index, zone] of ['gt-midrand', 'gt-isando', 'gt-centurion'].entries()) {
		for (const [service, respond] of [['engines', stream], ['kit-orders', answer]]) {
			const id = `i-${service}-${index + 1}`;
			// eslint-disable-next-line no-await-in-loop
			const server = await startWorker(id, respond, note);
			onEnd(() => {
				server.close();
				server.closeAllConnections();
			});
			onEnd(keepRecord(store, id, {
				service, address: `127.0.0.1:${server.address().port}`, zone, slots,
			}));
		}
	}

	const gateways = await Gateways.start({count: machineCount, storeAddress: store.address, directory});
	onEnd(async () => gateways.close());
	note('all machines are ready');

	/** What lets the client of a stream leave, by request. */
	const leaveOf = new Map();
	const machineOf = new Map();
	const beginStream = async machine => {
		const requestId = createRequestId();
		machineOf.set(requestId, machine);
		const leave = new Promise(resolve => {
			leaveOf.set(requestId, resolve);
		});
		note(`client sends stream ${requestId} to machine ${machine + 1}`);
		const {status, ending, framing, isWhole, body} = await send({
			host: gateways.hosts[machine],
			port: gateways.frontPort,
			method: 'POST',
			path: '/drafts/1',
			headers: createEngineHeaders(requestId, streamDeadlineMs),
			body: 'prompt',
			timeoutMs: streamDeadlineMs,
			leave,
		});
		note(`stream ${requestId} of machine ${machine + 1}: status ${status ?? 'none'}, framing: ${framing}, ${body.split('\n\n').length - 1} of ${eventCount} events, ${isWhole ? 'whole' : ending}`);
	};

	const streams = gateways.hosts.flatMap((_, machine) => Array.from({length: streamsPerMachine}, async () => beginStream(machine)));
	await delay(leavesAfterMs);
	if (streamsOfWorker.length < minimumStreams) {
		throw new Error(`worker ${unframedWorker} got ${streamsOfWorker.length} streams only`);
	}

	const [unframedId] = streamsOfWorker;
	note(`worker ${unframedWorker} has got ${streamsOfWorker.length} streams; that of ${unframedId}, at machine ${machineOf.get(unframedId) + 1}, has no length`);
	if (hasTrouble) {
		note(`the client of ${unframedId} closes its connection`);
		leaveOf.get(unframedId)();
	}

	const requests = [];
	for (let number = 0; number < requestCount; number++) {
		requests.push(...gateways.hosts.map(async (host, machine) => {
			const requestId = createRequestId();
			const sentAt = performance.now();
			note(`client sends request ${requestId} to machine ${machine + 1}`);
			const {status, ending} = await send({
				host, port: gateways.frontPort, method: 'GET', path: '/stock/1', headers: createHeaders(requestId, requestDeadlineMs), timeoutMs: requestDeadlineMs,
			});
			const answeredAfterMs = status === undefined ? Infinity : performance.now() - sentAt;
			note(`request ${requestId} to machine ${machine + 1}: ${status === undefined ? `no answer, ${ending}` : `status ${status} after ${Math.round(answeredAfterMs)} ms`}`);
			return {requestId, machine, answeredAfterMs};
		}));
		// eslint-disable-next-line no-await-in-loop
		await delay(requestIntervalMs);
	}

	const results = await Promise.all(requests);
	await Promise.all(streams);
	const unanswered = results.filter(({answeredAfterMs}) => answeredAfterMs > routeTimeoutMs);
	const late = unanswered.filter(({answeredAfterMs}) => answeredAfterMs > routeTimeoutMs + marginMs);
	note(`unanswered at the route's timeout of ${routeTimeoutMs} ms: ${unanswered.length} of ${results.length}; ${marginMs} ms later: ${late.length}`);
	return late.length > unanswered.length / 2
		? late.map(({requestId, machine}) => `request ${requestId} to machine ${machine + 1} had no answer ${marginMs} ms after its route's timeout`)
		: [];
});
