import test, {type ExecutionContext} from 'ava';
import {request} from 'undici';
import {PlainService, type PlainServiceOptions, type StoredItem} from '../../standins/plain-service.js';

async function startService(t: ExecutionContext, options: Partial<PlainServiceOptions> = {}): Promise<PlainService> {
	const service = await PlainService.start({name: 'diary-1', serviceMilliseconds: 5, ...options});
	t.teardown(async () => service.dispose());
	return service;
}

async function book(service: PlainService, requestId: string, content: unknown) {
	return request(`http://${service.address}/bookings`, {
		method: 'POST', headers: {'x-request-id': requestId}, body: JSON.stringify(content),
	});
}

// Guards against a service that hides a repeated call, which would make every scheduler seem correct.
test('each call creates a booking and is logged, also a repeated one', async t => {
	const service = await startService(t);
	const items: StoredItem[] = [];
	for (const content of [{slot: 1}, {slot: 1}]) {
		// eslint-disable-next-line no-await-in-loop
		const response = await book(service, 'request-1', content);
		t.is(response.statusCode, 201);
		// eslint-disable-next-line no-await-in-loop
		items.push(await response.body.json() as StoredItem);
	}

	t.not(items[0]!.id, items[1]!.id);
	t.like(items[0], {requestId: 'request-1', content: {slot: 1}});
	t.deepEqual(service.dispatches.map(({requestId, outcome}) => [requestId, outcome]), [['request-1', 'admitted'], ['request-1', 'admitted']]);

	const read = await request(`http://${service.address}/bookings/${items[1]!.id}`);
	t.deepEqual(await read.body.json(), items[1]);
	const missing = await request(`http://${service.address}/bookings/none`);
	t.is(missing.statusCode, 404);
	t.like(service.counters, {created: 2, read: 2});
});

test('a cold service fails calls above its cold units', async t => {
	const service = await startService(t, {coldUnits: 1, coldMilliseconds: 60_000, serviceMilliseconds: 200});
	const responses = await Promise.all([book(service, '1', {}), book(service, '2', {})]);
	t.deepEqual(responses.map(({statusCode}) => statusCode).toSorted((one, other) => one - other), [201, 500]);
	t.like(service.counters, {coldOverloads: 1, created: 1});
	await Promise.all(responses.map(async ({body}) => body.dump()));
});
