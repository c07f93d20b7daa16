import test, {type ExecutionContext} from 'ava';
import {createEndpointDocument} from '../../../standins/platform-documents.js';
import {call, type CallOptions} from '../../fixtures/gateway/caller.js';
import {GatewaySite, type Gateway} from '../../fixtures/gateway/gateway-site.js';
import {
	chunk, RawEndpoint, streamHead, wholeResponse, type RawRequest,
} from '../../fixtures/gateway/raw-endpoint.js';
import {until} from '../../fixtures/until.js';

function refusal(requestId: string, status: number): string {
	return `HTTP/1.1 ${status} Refused\r\nx-request-id: ${requestId}\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n`;
}

function stream(requestId: string): string {
	return streamHead(requestId) + chunk('id: 1\ndata: event 1\n\n') + '0\r\n\r\n';
}

/** An endpoint whose first response to an id is sent once more when the id arrives again, ahead of the response that is due. */
class CopyingEndpoint {
	static async listen(t: ExecutionContext, firstResponse: (requestId: string) => string, laterResponse = wholeResponse): Promise<CopyingEndpoint> {
		const runIds: string[] = [];
		const copied = new WeakMap<RawRequest['socket'], string>();
		const endpoint = await RawEndpoint.listen(({requestId, socket}) => {
			if (endpoint.requestIds.filter(id => id === requestId).length === 1) {
				copied.set(socket, firstResponse(requestId));
				socket.write(firstResponse(requestId));
				return;
			}

			runIds.push(requestId);
			socket.write((copied.get(socket) ?? '') + laterResponse(requestId));
		});
		t.teardown(async () => endpoint.dispose());
		return new CopyingEndpoint(endpoint, runIds);
	}

	private constructor(readonly endpoint: RawEndpoint, readonly runIds: readonly string[]) {}
}

/** Registers an endpoint under two ids, as it happens for a moment after a restart at the same address. */
async function startWithTwoIds(t: ExecutionContext, service: string, {endpoint}: CopyingEndpoint): Promise<Gateway> {
	const site = await GatewaySite.start();
	t.teardown(async () => site.dispose());
	for (const id of ['old', 'new']) {
		site.store.put(`servers/${id}`, createEndpointDocument({service, address: endpoint.address}));
	}

	return site.addGateway();
}

const onceOnly: Readonly<Record<string, {readonly service: string; readonly options: CallOptions; readonly response: (requestId: string) => string}>> = {
	booking: {service: 'diaries', options: {path: '/bookings/1', method: 'POST', body: 'x'}, response: wholeResponse},
	draft: {service: 'engines', options: {path: '/drafts/1', method: 'POST', body: 'x'}, response: stream},
};

for (const status of [421, 429, 503]) {
	for (const [kind, {service, options, response}] of Object.entries(onceOnly)) {
		// Guards against a refusal for a request that has run, because a copy of an earlier refusal bears its id.
		test(`a ${kind} refused with ${status} under one id of an endpoint and run under another is not refused by the copy`, async t => {
			const copying = await CopyingEndpoint.listen(t, requestId => refusal(requestId, status), response);
			const gateway = await startWithTwoIds(t, service, copying);
			const {status: answered} = await call(gateway, options);
			t.is(copying.runIds.length, 1);
			t.is(answered, 200);
		});

		test(`a ${kind} that its caller sends again under the same id after a ${status} is not refused by the copy`, async t => {
			const copying = await CopyingEndpoint.listen(t, requestId => refusal(requestId, status), response);
			const site = await GatewaySite.start();
			t.teardown(async () => site.dispose());
			site.store.put('servers/only', createEndpointDocument({service, address: copying.endpoint.address}));
			const gateway = await site.addGateway();
			const sameId = {...options, headers: {'x-request-id': 'same'}};
			t.like(await call(gateway, sameId), {status: 503});
			const {status: answered} = await call(gateway, sameId);
			t.is(copying.runIds.length, 1);
			t.is(answered, 200);
		});
	}
}

// Guards against a second run at another endpoint: the copy of the 421 is taken for the refusal of the run that has just begun.
test('a booking is not run a second time elsewhere after its endpoint has taken a new id at its address', async t => {
	const site = await GatewaySite.start();
	t.teardown(async () => site.dispose());
	const held: RawRequest[] = [];
	const busyRunIds: string[] = [];
	const busy = await RawEndpoint.listen(request => {
		if (request.number === 1) {
			held.push(request);
			return;
		}

		busyRunIds.push(request.requestId);
		request.socket.write(wholeResponse(request.requestId));
	});
	t.teardown(async () => busy.dispose());
	const {endpoint, runIds} = await CopyingEndpoint.listen(t, requestId => {
		site.store.remove('servers/old');
		site.store.put('servers/new', createEndpointDocument({service: 'diaries', address: endpoint.address}));
		return refusal(requestId, 421);
	});
	site.store.put('servers/busy', createEndpointDocument({service: 'diaries', address: busy.address, slots: 1}));
	const gateway = await site.addGateway();
	const {service: _, options} = onceOnly.booking!;
	const first = call(gateway, options);
	await until(() => held.length === 1);
	site.store.put('servers/old', createEndpointDocument({service: 'diaries', address: endpoint.address}));
	await until(() => gateway.memoryLog.linesOf('endpoint-added').some(line => line.includes('old')));
	const moved = call(gateway, {...options, headers: {'x-request-id': 'moved'}});
	await until(() => runIds.length === 1);
	held[0]!.socket.write(wholeResponse(held[0]!.requestId));
	t.like(await first, {status: 200});
	t.like(await moved, {status: 200});
	t.deepEqual([...runIds, ...busyRunIds], ['moved']);
});

// Guards against an answer that belongs to an earlier run of the same id.
test('a copied error is not the answer to the repeat of a lookup at the same address', async t => {
	const copying = await CopyingEndpoint.listen(t, requestId => `HTTP/1.1 500 Failed\r\nx-request-id: ${requestId}\r\nx-response-seal: s\r\ncontent-length: 0\r\n\r\n`);
	const gateway = await startWithTwoIds(t, 'diaries', copying);
	t.like(await call(gateway), {status: 200, isComplete: true});
});

test('a copied success is not the answer to a later request of a caller under the same id', async t => {
	const copying = await CopyingEndpoint.listen(t, requestId => wholeResponse(requestId, 'earlier'), requestId => wholeResponse(requestId, 'later'));
	const gateway = await startWithTwoIds(t, 'diaries', copying);
	const sameId = {headers: {'x-request-id': 'same'}};
	t.like(await call(gateway, sameId), {status: 200, body: 'earlier'});
	t.like(await call(gateway, sameId), {status: 200, body: 'later'});
});

// Guards against an old statement that counts as a new one.
test('what a copied refusal states about its endpoint is not recorded a second time', async t => {
	const copying = await CopyingEndpoint.listen(t, requestId => refusal(requestId, 503).replace('content-length', 'server-leaving: 1\r\ncontent-length'));
	const gateway = await startWithTwoIds(t, 'diaries', copying);
	const {status} = await call(gateway, onceOnly.booking!.options);
	t.is(gateway.memoryLog.linesOf('endpoint-states-leaving').length, 1);
	t.is(status, 200);
});

// Guards against a lost booking: the copy of a refusal meets another request and breaks it off.
for (const status of [421, 429, 503]) {
	test(`a booking after a ${status} is not broken off by a copy of that refusal`, async t => {
		const site = await GatewaySite.start();
		t.teardown(async () => site.dispose());
		const refusedOn = new WeakSet<RawRequest['socket']>();
		const endpoint = await RawEndpoint.listen(({requestId, number, socket}) => {
			const isCopied = refusedOn.has(socket);
			if (number === 1) {
				refusedOn.add(socket);
				socket.write(refusal(requestId, status));
			} else {
				socket.write((isCopied ? refusal('first', status) : '') + wholeResponse(requestId));
			}
		});
		t.teardown(async () => endpoint.dispose());
		site.store.put('servers/only', createEndpointDocument({service: 'diaries', address: endpoint.address}));
		const gateway = await site.addGateway();
		const {options} = onceOnly.booking!;
		t.like(await call(gateway, {...options, headers: {'x-request-id': 'first'}}), {status: 503});
		t.like(await call(gateway, options), {status: 200});
		t.is(endpoint.requestIds.length, 2);
	});
}

// Guards against answers of one endpoint that meet requests to another, which has taken its address.
test('a connection that was opened to one endpoint carries no request to another at the same address', async t => {
	const sockets: Array<RawRequest['socket']> = [];
	const endpoint = await RawEndpoint.listen(({requestId, socket}) => {
		sockets.push(socket);
		socket.write(wholeResponse(requestId));
	});
	t.teardown(async () => endpoint.dispose());
	const site = await GatewaySite.start();
	t.teardown(async () => site.dispose());
	site.store.put('servers/old', createEndpointDocument({service: 'diaries', address: endpoint.address}));
	const gateway = await site.addGateway();
	t.like(await call(gateway), {status: 200});
	t.like(await call(gateway), {status: 200});
	site.store.remove('servers/old');
	site.store.put('servers/new', createEndpointDocument({service: 'diaries', address: endpoint.address}));
	await until(() => gateway.memoryLog.linesOf('endpoint-removed').length === 1);
	t.like(await call(gateway), {status: 200});
	t.is(sockets[1], sockets[0]);
	t.not(sockets[2], sockets[0]);
});
