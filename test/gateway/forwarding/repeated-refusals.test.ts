import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {createEndpointDocument} from '../../../standins/platform-documents.js';
import {call} from '../../fixtures/gateway/caller.js';
import {GatewaySite, type Gateway} from '../../fixtures/gateway/gateway-site.js';
import {RawEndpoint, wholeResponse, type RawRequest} from '../../fixtures/gateway/raw-endpoint.js';

/** Time for which a connection is idle between two requests. */
const idleMs = 150;

function refusal(requestId: string, status: number): string {
	return `HTTP/1.1 ${status} Refused\r\nx-request-id: ${requestId}\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n`;
}

type Moment = (options: {readonly request: RawRequest; readonly copy: string}) => void;

/** How an endpoint writes the refusal of the first request once more. It runs all later requests. */
const moments: Readonly<Record<string, Moment>> = {
	'with the refusal'({request: {socket, requestId, number}, copy}) {
		socket.write(number === 1 ? copy + copy : wholeResponse(requestId));
	},
	'after a pause, on the idle connection'({request: {socket, requestId, number}, copy}) {
		socket.write(number === 1 ? copy : wholeResponse(requestId));
		if (number === 1) {
			setTimeout(() => {
				socket.write(copy);
			}, idleMs / 2);
		}
	},
	'in two parts, before and after the next request is sent'({request: {socket, requestId, number}, copy}) {
		socket.write(number === 1 ? copy + copy.slice(0, 20) : copy.slice(20) + wholeResponse(requestId));
	},
	'before the next response'({request: {socket, requestId, number}, copy}) {
		socket.write(number === 1 ? copy : copy + wholeResponse(requestId));
	},
	'long before the next response'({request: {socket, requestId, number}, copy}) {
		socket.write(copy);
		if (number > 1) {
			setTimeout(() => {
				socket.write(wholeResponse(requestId));
			}, 50);
		}
	},
	'inside the head of the next response'({request: {socket, requestId, number}, copy}) {
		const response = wholeResponse(requestId);
		socket.write(number === 1 ? copy : response.slice(0, 40) + copy + response.slice(40));
	},
	'after the next response'({request: {socket, requestId, number}, copy}) {
		socket.write(number === 1 ? copy : wholeResponse(requestId) + copy);
	},
};

async function startSite(t: ExecutionContext, status: number, moment: Moment): Promise<{gateway: Gateway; runIds: string[]; faulty: RawEndpoint}> {
	const site = await GatewaySite.start();
	t.teardown(async () => site.dispose());
	const runIds: string[] = [];
	let refusedId: string | undefined;
	const faulty = await RawEndpoint.listen(request => {
		refusedId ??= request.requestId;
		if (request.number > 1) {
			runIds.push(request.requestId);
		}

		moment({request, copy: refusal(refusedId, status)});
	});
	const sound = await RawEndpoint.listen(({requestId, socket}) => {
		runIds.push(requestId);
		socket.write(wholeResponse(requestId));
	});
	for (const [id, endpoint] of Object.entries({faulty, sound})) {
		t.teardown(async () => endpoint.dispose());
		// Of equally loaded endpoints, the first one gets a request.
		site.store.put(`servers/${id}`, createEndpointDocument({service: 'diaries', address: endpoint.address}));
	}

	return {gateway: await site.addGateway(), runIds, faulty};
}

for (const status of [503, 421]) {
	for (const [when, moment] of Object.entries(moments)) {
		// Guards against callers that are told "not run" for a request that an endpoint has run, and against a second run elsewhere.
		test(`a refusal with status ${status} that is written once more ${when} refuses no other request`, async t => {
			const {gateway, runIds, faulty} = await startSite(t, status, moment);
			const statuses = new Map<string, number>();
			for (const requestId of ['first', 'second', 'third', 'fourth']) {
				// eslint-disable-next-line no-await-in-loop
				const response = await call(gateway, {
					path: '/bookings/1', method: 'POST', body: 'x', headers: {'x-request-id': requestId},
				});
				statuses.set(requestId, response.status);
				// eslint-disable-next-line no-await-in-loop
				await delay(idleMs);
			}

			t.true(faulty.requestIds.length > 1, 'the endpoint got a request after its refusal');
			t.is(new Set(runIds).size, runIds.length, `runs: ${runIds.join(', ')}`);
			t.deepEqual(runIds.filter(requestId => [408, 421, 429, 503].includes(statuses.get(requestId)!)), []);
		});
	}
}
