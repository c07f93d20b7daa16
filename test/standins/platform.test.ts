import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {request} from 'undici';
import {ConfigurationService, type ConfigurationServiceOptions} from '../../standins/configuration-service.js';
import {waitFor} from '../../standins/fleet/index.js';
import {InstanceList} from '../../standins/instance-list.js';

type Snapshot = {readonly revision: number; readonly base: Record<string, unknown>; readonly overlay: Record<string, unknown>};

async function startService(t: ExecutionContext, options: ConfigurationServiceOptions = {}): Promise<ConfigurationService> {
	const service = await ConfigurationService.start(options);
	t.teardown(async () => service.dispose());
	return service;
}

async function read(url: string, headersTimeout = 5000): Promise<Snapshot> {
	const response = await request(url, {headersTimeout});
	return await response.body.json() as Snapshot;
}

test('a published document raises the revision and is returned with the overlay of the site', async t => {
	const service = await startService(t);
	const put = await request(`http://${service.address}/control/documents`, {method: 'PUT', body: JSON.stringify({base: {tiers: 1}, overlay: {site: 'one'}, site: 'one'})});
	t.deepEqual(await put.body.json(), {revision: 1});
	service.publish({overlay: {site: 'any'}});
	t.deepEqual(await read(`http://${service.address}/v1/snapshot?site=one`), {revision: 2, base: {tiers: 1}, overlay: {site: 'one'}});
	t.deepEqual(await read(`http://${service.address}/v1/snapshot?site=two`), {revision: 2, base: {tiers: 1}, overlay: {site: 'any'}});
});

// Guards against watches that return without a change, which would exceed the platform's limit of reads.
test('a watch waits for one change and counts as one read', async t => {
	const service = await startService(t);
	service.publish({base: {step: 1}});
	t.like(await read(`http://${service.address}/v1/watch?site=one&after=0`), {revision: 1});
	const waiting = read(`http://${service.address}/v1/watch?site=one&after=1`);
	await waitFor(() => service.counters.waitingWatches === 1, {what: 'the watch to wait'});
	service.publish({base: {step: 2}});
	t.like(await waiting, {revision: 2, base: {step: 2}});
	t.like(service.counters, {reads: 2, waitingWatches: 0});
});

test('a watch without a change returns the current revision after its time limit', async t => {
	const service = await startService(t, {watchMilliseconds: 20});
	service.publish({base: {}});
	t.like(await read(`http://${service.address}/v1/watch?site=one&after=1`), {revision: 1});
});

// Guards against a stand-in that serves the same document to all clients, so that tests of entries with different revisions would test nothing.
test('the service can respond differently to clients with their own address', async t => {
	const service = await startService(t);
	const [stale, altered, down, hanging] = await Promise.all(['stale', 'altered', 'down', 'hanging'].map(async client => service.addClient(client)));
	service.publish({base: {step: 1}});
	service.publish({base: {step: 2}});
	service.setBehaviour({frozenRevision: 1}, 'stale');
	service.setBehaviour({alteredBase: {step: 3}}, 'altered');
	service.setBehaviour({availability: 'down'}, 'down');
	service.setBehaviour({availability: 'hanging'}, 'hanging');
	t.like(await read(`http://${stale}/v1/snapshot?site=one`), {revision: 1, base: {step: 1}});
	t.like(await read(`http://${altered}/v1/snapshot?site=one`), {revision: 2, base: {step: 3}});
	await t.throwsAsync(read(`http://${down}/v1/snapshot?site=one`));
	await t.throwsAsync(read(`http://${hanging}/v1/snapshot?site=one`, 50));
	service.resetBehaviours();
	t.like(await read(`http://${stale}/v1/snapshot?site=one`), {revision: 2});
	t.like(await read(`http://${down}/v1/snapshot?site=one`), {revision: 2});
});

test('waiting watches end when the service goes backward or down', async t => {
	const service = await startService(t);
	service.publish({base: {step: 1}});
	service.publish({base: {step: 2}});
	const backward = read(`http://${service.address}/v1/watch?site=one&after=2`);
	await waitFor(() => service.counters.waitingWatches === 1, {what: 'the watch to wait'});
	service.setBehaviour({frozenRevision: 1});
	t.like(await backward, {revision: 1, base: {step: 1}});

	const reset = t.throwsAsync(read(`http://${service.address}/v1/watch?site=one&after=2`));
	await waitFor(() => service.counters.waitingWatches === 1, {what: 'the watch to wait'});
	service.setBehaviour({availability: 'down'});
	await reset;
});

// Guards against a list without delay, which would hide an entry that relies on an up-to-date list.
test('the instance list shows a change only after its delay', async t => {
	const list = await InstanceList.start({lagMilliseconds: 300});
	t.teardown(async () => list.dispose());
	list.put({
		name: 'entry-1', role: 'entry', availabilityZone: 'zone-a', addresses: {peers: '127.0.0.1:1'},
	});
	t.deepEqual(list.visibleListing().instances, []);
	await waitFor(() => list.visibleListing().instances.length === 1, {what: 'the instance to appear'});
	list.put({...list.instances[0]!, state: 'leaving'});
	list.remove('entry-2');
	t.is(list.visibleListing().instances[0]!.state, 'live');
	await delay(350);
	const response = await request(`http://${list.address}/v1/instances`);
	t.deepEqual(await response.body.json(), {
		revision: 4, instances: [{
			name: 'entry-1', role: 'entry', state: 'leaving', availabilityZone: 'zone-a', addresses: {peers: '127.0.0.1:1'},
		}],
	});
	list.setAvailability('down');
	await t.throwsAsync(request(`http://${list.address}/v1/instances`));
});
