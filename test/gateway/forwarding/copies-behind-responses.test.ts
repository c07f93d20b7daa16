import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {createEndpointDocument} from '../../../standins/platform-documents.js';
import {call, type CallOptions} from '../../fixtures/gateway/caller.js';
import {GatewaySite, type Gateway} from '../../fixtures/gateway/gateway-site.js';
import {
	chunk, RawEndpoint, streamHead, wholeResponse, type RawRequest,
} from '../../fixtures/gateway/raw-endpoint.js';
import {until} from '../../fixtures/until.js';

const booking: CallOptions = {path: '/bookings/1', method: 'POST', body: 'x'};
const lookup: CallOptions = {path: '/lookups/1'};
const event = 'id: 1\ndata: event\n\n';

/** Bytes that a connection hands over in a round of the event loop. */
const bytesPerRound = 131_072;

function error(requestId: string): string {
	return `HTTP/1.1 500 Failed\r\nx-request-id: ${requestId}\r\nx-response-seal: s\r\ncontent-length: 0\r\n\r\n`;
}

async function startSite(t: ExecutionContext, service: string, respond: (request: RawRequest) => void): Promise<{gateway: Gateway; endpoint: RawEndpoint}> {
	const site = await GatewaySite.start();
	t.teardown(async () => site.dispose());
	const endpoint = await RawEndpoint.listen(respond);
	t.teardown(async () => endpoint.dispose());
	site.store.put('servers/only', createEndpointDocument({service, address: endpoint.address, slots: 1}));
	return {gateway: await site.addGateway(), endpoint};
}

/** Sends a request, and a second one that waits for the slot of the first one. Each response has a copy behind it, in one write. */
async function callInTurn(t: ExecutionContext, service: string, options: CallOptions, response: (requestId: string) => string): Promise<{statuses: number[]; requestIds: readonly string[]}> {
	const held: RawRequest[] = [];
	const {gateway, endpoint} = await startSite(t, service, request => {
		if (request.number === 1) {
			held.push(request);
			return;
		}

		request.socket.write(response(request.requestId));
	});
	const first = call(gateway, {...options, headers: {'x-request-id': 'first'}});
	await until(() => held.length === 1);
	const second = call(gateway, {...options, headers: {'x-request-id': 'second'}});
	await delay(50);
	held[0]!.socket.write(response('first') + response('first'));
	const answers = await Promise.all([first, second]);
	return {statuses: answers.map(({status}) => status), requestIds: endpoint.requestIds};
}

type WaitingCase = {readonly service: string; readonly options: CallOptions; readonly response: (requestId: string) => string};

/** Responses that a connection hands over in one round of the event loop, or in several. */
const responses: Readonly<Record<string, WaitingCase>> = {
	'a short response': {service: 'diaries', options: booking, response: wholeResponse},
	'a response longer than a round hands over': {service: 'diaries', options: booking, response: requestId => wholeResponse(requestId, 'x'.repeat(400_000))},
	'a response that fills a round exactly': {
		service: 'diaries',
		options: booking,
		response: requestId => wholeResponse(requestId, 'x'.repeat((2 * bytesPerRound) - wholeResponse(requestId, 'x'.repeat(bytesPerRound)).length)),
	},
	'a draft of more chunks than a round hands over': {
		service: 'engines',
		options: {...booking, path: '/drafts/1'},
		response: requestId => `${streamHead(requestId)}${chunk(event).repeat(1200)}0\r\n\r\n`,
	},
	'blank lines between the two': {service: 'diaries', options: booking, response: requestId => `\r\n\r\n${wholeResponse(requestId)}`},
};

for (const [what, {service, options, response}] of Object.entries(responses)) {
	// Guards against bytes that are held back until the next request is written and then parsed as its answer.
	test(`a request that waits for the end of another is not broken off by a copy in the same write: ${what}`, async t => {
		const {statuses, requestIds} = await callInTurn(t, service, options, response);
		t.deepEqual(statuses, [200, 200]);
		t.deepEqual(requestIds, ['first', 'second']);
	});
}

const earlierResponses: Readonly<Record<string, {readonly status: number; readonly options: CallOptions; readonly response: (requestId: string) => string}>> = {
	success: {status: 200, options: booking, response: wholeResponse},
	error: {status: 500, options: booking, response: error},
	'success of a lookup': {status: 200, options: lookup, response: wholeResponse},
};

for (const [what, {status, options, response}] of Object.entries(earlierResponses)) {
	// Guards against a lost booking: the endpoint has run it, and its answer follows the copy.
	test(`a booking is not broken off by the late copy of an earlier ${what}`, async t => {
		const earlierOn = new WeakSet<RawRequest['socket']>();
		const {gateway, endpoint} = await startSite(t, 'diaries', ({requestId, number, socket}) => {
			const copy = earlierOn.has(socket) ? response('first') : '';
			earlierOn.add(socket);
			socket.write(number === 1 ? response(requestId) : copy + wholeResponse(requestId));
		});
		t.like(await call(gateway, {...options, headers: {'x-request-id': 'first'}}), {status});
		t.like(await call(gateway, booking), {status: 200});
		t.is(endpoint.requestIds.length, 2);
	});
}

for (const kind of ['waits for the end of another', 'arrives later']) {
	// Guards against a lost booking: bytes that arrived before it was written are no answer to it.
	test.serial(`a booking that ${kind} is not broken off by a copy that arrives between its dispatch and its write`, async t => {
		const requests: RawRequest[] = [];
		const {gateway, endpoint} = await startSite(t, 'diaries', request => {
			requests.push(request);
			if (request.number > 1) {
				request.socket.write(wholeResponse(request.requestId));
			}
		});
		const first = call(gateway, {...booking, headers: {'x-request-id': 'first'}});
		await until(() => requests.length === 1);
		const {socket} = requests[0]!;
		gateway.memoryLog.onEvent('request-dispatched', () => {
			socket.write(wholeResponse('first'));
		});
		const sendSecond = async () => call(gateway, {...booking, headers: {'x-request-id': 'second'}});
		const early = kind === 'arrives later' ? undefined : sendSecond();
		await delay(50);
		socket.write(wholeResponse('first'));
		t.like(await first, {status: 200});
		t.like(await (early ?? sendSecond()), {status: 200});
		t.deepEqual(endpoint.requestIds, ['first', 'second']);
	});
}
