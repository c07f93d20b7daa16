import test from 'ava';
import {createEndpointDocument} from '../../../standins/platform-documents.js';
import {call} from '../../fixtures/gateway/caller.js';
import {GatewaySite} from '../../fixtures/gateway/gateway-site.js';
import {RawEndpoint, wholeResponse, type RawRequest} from '../../fixtures/gateway/raw-endpoint.js';
import {until} from '../../fixtures/until.js';

const booking = {path: '/bookings/1', method: 'POST', body: 'x'} as const;

// Guards against refusals of an earlier start of an endpoint that pause the later one: callers got 503 until their time was over.
test('an endpoint that has started again under its id elsewhere serves although its earlier address answers 421 late', async t => {
	const site = await GatewaySite.start();
	t.teardown(async () => site.dispose());
	const held: RawRequest[] = [];
	const former = await RawEndpoint.listen(request => {
		held.push(request);
	});
	t.teardown(async () => former.dispose());
	const current = await RawEndpoint.listen(({requestId, socket}) => {
		socket.write(wholeResponse(requestId));
	});
	t.teardown(async () => current.dispose());
	site.store.put('servers/same', createEndpointDocument({service: 'diaries', address: former.address, slots: 5}));
	const gateway = await site.addGateway();
	const refused = Array.from({length: 5}, async () => call(gateway, booking));
	await until(() => held.length === 5);
	site.store.put('servers/same', createEndpointDocument({
		service: 'diaries', address: current.address, slots: 5, born: 2000,
	}));
	await until(() => gateway.memoryLog.linesOf('endpoint-restarted').length === 1);
	for (const {requestId, socket} of held) {
		socket.write(`HTTP/1.1 421 Misdirected\r\nx-request-id: ${requestId}\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n`);
	}

	await Promise.all(refused);
	t.like(await call(gateway, booking), {status: 200});
});
