import test from 'ava';
import {createConfigurationDocument, createEndpointDocument} from '../../../standins/platform-documents.js';
import {call} from '../../fixtures/gateway/caller.js';
import {GatewaySite} from '../../fixtures/gateway/gateway-site.js';
import {RawEndpoint, wholeResponse} from '../../fixtures/gateway/raw-endpoint.js';

// Guards against a sound endpoint that gets only the rate of a cold one for seconds, because an answer too many looked like a restart.
test('an endpoint that has sent the copy of an earlier answer does not count as restarted', async t => {
	const site = await GatewaySite.start();
	t.teardown(async () => site.dispose());
	site.store.put('op/config', createConfigurationDocument({
		services: [{
			name: 'diaries', health_path: '/health', max_connections: 100, cold_start_s: 3, cold_per_s: 1, // eslint-disable-line @typescript-eslint/naming-convention
		}],
	}));
	const endpoint = await RawEndpoint.listen(({requestId, number, socket}) => {
		socket.write((number === 2 ? wholeResponse('earlier') : '') + wholeResponse(requestId));
	});
	t.teardown(async () => endpoint.dispose());
	site.store.put('servers/only', createEndpointDocument({service: 'diaries', address: endpoint.address, slots: 50}));
	const gateway = await site.addGateway();
	const booking = {path: '/bookings/1', method: 'POST', body: 'x'};
	t.like(await call(gateway, booking), {status: 200});
	t.like(await call(gateway, booking), {status: 502});
	t.is(gateway.memoryLog.linesOf('foreign-answer').length, 1);
	const later = await Promise.all(Array.from({length: 40}, async () => call(gateway, booking)));
	t.deepEqual(later.map(({status}) => status), Array.from({length: 40}, () => 200));
});
