import test from 'ava';
import {createEndpointDocument} from '../../standins/platform-documents.js';
import {call} from '../fixtures/gateway/caller.js';
import {GatewaySite} from '../fixtures/gateway/gateway-site.js';
import {until} from '../fixtures/until.js';

/* eslint-disable @typescript-eslint/naming-convention -- the platform's names */
const oddRecords: Readonly<Record<string, string>> = {
	'port-0': JSON.stringify(createEndpointDocument({service: 'diaries', address: '127.0.0.1:0'})),
	'port-99999': JSON.stringify(createEndpointDocument({service: 'diaries', address: '127.0.0.1:99999'})),
	'host-300': JSON.stringify(createEndpointDocument({service: 'diaries', address: '127.0.0.300:80'})),
	cold: JSON.stringify(createEndpointDocument({service: 'diaries', cold_remaining_ms: 1e308})),
	'line\r\nbreak': JSON.stringify(createEndpointDocument({service: 'diaries'})),
	nested: `{"service":${'['.repeat(100_000)}${']'.repeat(100_000)}}`,
	infinite: '{"slots":1e999}',
};
/* eslint-enable @typescript-eslint/naming-convention */

// Guards against instances that end, no longer follow the store, or lose requests because of one entry of another writer.
test.serial('odd entries among the records of endpoints affect no request, and later changes are followed', async t => {
	const site = await GatewaySite.start();
	t.teardown(async () => site.dispose());
	const first = await site.addEndpoint({id: 'first', isEngine: false});
	const gateway = await site.addGateway();
	for (const [id, value] of Object.entries(oddRecords)) {
		site.store.putText(`servers/${id}`, value);
	}

	await until(() => gateway.memoryLog.linesOf('record-rejected').length === Object.keys(oddRecords).length);
	const second = await site.addEndpoint({id: 'second', isEngine: false});
	site.store.put('servers/first', createEndpointDocument({service: 'diaries', address: first.address, state: 'draining'}));
	await until(() => gateway.memoryLog.linesOf('endpoint-changed').length === 1);
	const responses = await Promise.all(Array.from({length: 12}, async () => call(gateway, {path: '/bookings/1', method: 'POST', body: 'x'})));
	t.deepEqual(responses.filter(({status}) => status !== 200), []);
	t.is(second.executedRequestIds.length, 12);
	t.deepEqual(gateway.memoryLog.linesOf('request-error'), []);
});
