import test, {type ExecutionContext} from 'ava';
import {createEndpointDocument} from '../../../standins/platform-documents.js';
import {call} from '../../fixtures/gateway/caller.js';
import {GatewaySite, type Gateway} from '../../fixtures/gateway/gateway-site.js';
import {RawEndpoint, wholeResponse} from '../../fixtures/gateway/raw-endpoint.js';

type Respond = (requestId: string) => string;

/** Starts a gateway, and an endpoint of the service for each responder. */
async function startSite(t: ExecutionContext, service: string, ...responders: Respond[]): Promise<{gateway: Gateway; endpoints: RawEndpoint[]}> {
	const site = await GatewaySite.start();
	t.teardown(async () => site.dispose());
	const endpoints: RawEndpoint[] = [];
	for (const respond of responders) {
		// eslint-disable-next-line no-await-in-loop
		const endpoint = await RawEndpoint.listen(({requestId, socket}) => {
			const response = respond(requestId);
			socket.write(response);
			if (!response.includes('content-length')) {
				socket.end();
			}
		});
		t.teardown(async () => endpoint.dispose());
		endpoints.push(endpoint);
		site.store.put(`servers/e${endpoints.length}`, createEndpointDocument({service, address: endpoint.address}));
	}

	return {gateway: await site.addGateway(), endpoints};
}

function refusalHead(status: number, requestId: string): string {
	return `HTTP/1.1 ${status} Busy\r\nx-request-id: ${requestId}\r\nx-response-seal: s\r\n`;
}

const forms: Record<string, (status: number) => Respond> = {
	'with a length': status => requestId => `${refusalHead(status, requestId)}content-length: 4\r\n\r\nbusy`,
	'with a retry time': status => requestId => `${refusalHead(status, requestId)}retry-after: 1\r\ncontent-length: 0\r\n\r\n`,
	'after an interim response': status => requestId => `HTTP/1.1 102 Processing\r\n\r\n${refusalHead(status, requestId)}content-length: 0\r\n\r\n`,
	'that ends with its connection': status => requestId => `${refusalHead(status, requestId)}\r\nbusy`,
};

const requests = {
	'an order': {service: 'diaries', path: '/bookings/1'},
	'a stream that may not be resumed': {service: 'engines', path: '/drafts/1'},
} as const;

for (const status of [408, 429, 503]) {
	for (const [form, respondWith] of Object.entries(forms)) {
		for (const [what, {service, path}] of Object.entries(requests)) {
			// Guards against a caller that sends a request again, because the status of an endpoint that has run it says that it has not.
			test(`a ${status} ${form} for ${what}, without a statement that it did not run, is not passed on`, async t => {
				const {gateway, endpoints} = await startSite(t, service, respondWith(status), respondWith(status));
				const response = await call(gateway, {path, method: 'POST', body: 'x'});
				t.like(response, {status: 502, isComplete: true});
				t.is(response.headers['x-response-seal'], undefined);
				t.is(response.headers['retry-after'], undefined);
				t.is(endpoints.flatMap(({requestIds}) => requestIds).length, 1);
			});
		}
	}

	test(`a request that may be repeated is sent to another endpoint after a ${status} without a statement that it did not run`, async t => {
		const {gateway, endpoints} = await startSite(t, 'diaries', forms['with a length']!(status), requestId => wholeResponse(requestId));
		t.like(await call(gateway), {status: 200, isComplete: true});
		t.deepEqual(endpoints.map(({requestIds}) => requestIds.length), [1, 1]);
	});

	test(`a request that may be repeated fails when all endpoints answer it with a ${status} without a statement that it did not run`, async t => {
		const {gateway} = await startSite(t, 'diaries', forms['with a length']!(status), forms['with a length']!(status));
		t.like(await call(gateway), {status: 502, isComplete: true});
	});

	test(`a ${status} with the statement that the request did not run is a refusal`, async t => {
		const respond: Respond = requestId => `${refusalHead(status, requestId)}x-not-executed: 1\r\ncontent-length: 0\r\n\r\n`;
		const {gateway} = await startSite(t, 'diaries', respond, respond);
		t.like(await call(gateway, {path: '/bookings/1', method: 'POST', body: 'x'}), {status: 503, isComplete: true});
	});
}
