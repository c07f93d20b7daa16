import test from 'ava';
import {createConfigurationDocument} from '../../standins/platform-documents.js';
import {call} from '../fixtures/gateway/caller.js';
import {GatewaySite, type Gateway} from '../fixtures/gateway/gateway-site.js';
import {until} from '../fixtures/until.js';

type Values = Record<string, unknown>;

/* eslint-disable @typescript-eslint/naming-convention -- the platform's names */
const baseline = createConfigurationDocument() as {routes: Values[]; tenants: Values[]};
const routes = baseline.routes.map(route => ({...route, allow_anonymous: route.name === 'lookups'}));
const tenant = {...baseline.tenants[0]!, api_keys: ['key-kept', 'key-revoked']};

/** Sends a request without credentials, or with these, to the route that allows anonymous callers or to one that does not. */
async function statusOf(gateway: Gateway, credentials: string | undefined, path = '/lookups/1'): Promise<number> {
	const {status} = await call(gateway, {path, method: path.startsWith('/lookups') ? 'GET' : 'POST', headers: {authorization: credentials ?? ''}});
	return status;
}

// Guards against requests that run with a key that was taken away, as if they had none, on a route that needs no key.
test('a key that was taken away or never existed is refused on a route that allows anonymous callers, by all instances', async t => {
	const site = await GatewaySite.start();
	t.teardown(async () => site.dispose());
	site.store.put('op/config', createConfigurationDocument({version: 2, routes, tenants: [tenant]}));
	const diary = await site.addEndpoint({id: 'diary', isEngine: false});
	const gateways = [await site.addGateway(), await site.addGateway()];
	for (const gateway of gateways) {
		// eslint-disable-next-line no-await-in-loop -- one request at a time
		t.is(await statusOf(gateway, 'Bearer key-revoked'), 200);
		t.is(diary.receivedRequests.at(-1)!.headers['x-tenant'], 'wick');
	}

	site.store.put('op/config', createConfigurationDocument({version: 3, routes, tenants: [{...tenant, api_keys: ['key-kept']}]}));
	await until(() => gateways.every(({memoryLog}) => memoryLog.linesOf('configuration').some(line => line.includes(' version=3 '))));
	const executedBefore = diary.executedRequestIds.length;
	for (const gateway of gateways) {
		for (const credentials of ['Bearer key-revoked', 'bearer  key-revoked', 'Bearer key-never-known', 'Bearer key-kept key-revoked', 'Bearer']) {
			for (const path of ['/lookups/1', '/bookings/1']) {
				// eslint-disable-next-line no-await-in-loop -- one request at a time
				t.is(await statusOf(gateway, credentials, path), 401, `${credentials} at ${path}`);
			}
		}
	}

	t.is(diary.executedRequestIds.length, executedBefore);
	for (const gateway of gateways) {
		// eslint-disable-next-line no-await-in-loop -- one request at a time
		t.is(await statusOf(gateway, 'Bearer key-kept'), 200);
		t.is(diary.receivedRequests.at(-1)!.headers['x-tenant'], 'wick');
		t.true(gateway.memoryLog.linesOf('request-refused').every(line => line.includes(' hasKey=true')));
	}
});

// Guards against refusals of callers who send no key where none is needed.
test('a request without a key is served on a route that allows anonymous callers, for no workspace', async t => {
	const site = await GatewaySite.start();
	t.teardown(async () => site.dispose());
	site.store.put('op/config', createConfigurationDocument({version: 2, routes, tenants: [tenant]}));
	const diary = await site.addEndpoint({id: 'diary', isEngine: false});
	const gateway = await site.addGateway();
	for (const credentials of [undefined, 'Basic d2ljazo=']) {
		// eslint-disable-next-line no-await-in-loop -- one request at a time
		t.is(await statusOf(gateway, credentials), 200);
		t.false('x-tenant' in diary.receivedRequests.at(-1)!.headers);
		t.false('authorization' in diary.receivedRequests.at(-1)!.headers);
		// eslint-disable-next-line no-await-in-loop -- one request at a time
		t.is(await statusOf(gateway, credentials, '/bookings/1'), 401);
	}

	t.true(gateway.memoryLog.linesOf('request-refused').every(line => line.includes(' hasKey=false')));
});
/* eslint-enable @typescript-eslint/naming-convention */
