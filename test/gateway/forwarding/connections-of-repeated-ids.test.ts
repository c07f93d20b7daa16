import test from 'ava';
import {createEndpointDocument} from '../../../standins/platform-documents.js';
import {call} from '../../fixtures/gateway/caller.js';
import {GatewaySite} from '../../fixtures/gateway/gateway-site.js';
import {RawEndpoint, wholeResponse} from '../../fixtures/gateway/raw-endpoint.js';

// Guards against an endpoint whose connections are used up by idle ones: each request opens another, because the idle ones have carried its id.
test('a caller that repeats its id, one request at a time, does not use up the connections of an endpoint', async t => {
	const site = await GatewaySite.start();
	t.teardown(async () => site.dispose());
	const maximumConnections = 20;
	const endpoint = await RawEndpoint.listen(({requestId, socket}) => {
		if (endpoint.openConnections > maximumConnections) {
			socket.resetAndDestroy();
		} else {
			socket.write(wholeResponse(requestId));
		}
	});
	t.teardown(async () => endpoint.dispose());
	site.store.put('servers/only', createEndpointDocument({service: 'diaries', address: endpoint.address}));
	const gateway = await site.addGateway();
	const booking = {
		path: '/bookings/1', method: 'POST', body: 'x', headers: {'x-request-id': 'same'},
	};
	for (let request = 0; request < 2 * maximumConnections; request++) {
		// eslint-disable-next-line no-await-in-loop -- one at a time
		t.like(await call(gateway, booking), {status: 200}, `request ${request + 1}, with ${endpoint.openConnections} connections open`);
	}
});
