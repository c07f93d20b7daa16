import {readFile, writeFile} from 'node:fs/promises';
import process from 'node:process';
import {setTimeout} from 'node:timers/promises';
import anyTest, {type ExecutionContext, type TestFn} from 'ava';
import {decodeSettings} from '../../platform/settings.js';
import {createConfigurationDocument, createPatientConfigurationDocument, createSettingsDocument} from '../../standins/platform-documents.js';
import {PlatformEndpoint} from '../../standins/platform-endpoint.js';
import {PlatformStore} from '../../standins/platform-store.js';
import {call} from '../fixtures/gateway/caller.js';
import {GatewayBundle, type GatewayProgram} from '../fixtures/gateway/gateway-program.js';
import {until} from '../fixtures/until.js';

const test = anyTest as TestFn<{bundle: GatewayBundle}>;

test.before(async t => {
	t.context.bundle = await GatewayBundle.build();
});

test.after.always(async t => {
	await t.context.bundle.dispose();
});

let nextHostNumber = 1;

function createSettings(store: PlatformStore, seeds: readonly string[] = [], bounds?: Readonly<Record<string, number>>) {
	const host = `127.${201 + (process.pid % 50)}.0.${nextHostNumber}`;
	nextHostNumber++;
	return createSettingsDocument({
		host, store: store.address, seeds, bounds,
	});
}

type Settings = ReturnType<typeof createSettings>;

function gatewayOf(settings: Settings) {
	return {settings: decodeSettings(JSON.stringify(settings))};
}

async function startSite(t: ExecutionContext<{bundle: GatewayBundle}>, isEngine = false, beforeResponse?: () => Promise<void>) {
	const store = await PlatformStore.listen();
	store.put('op/config', createConfigurationDocument());
	const endpoint = await PlatformEndpoint.listen({
		id: 'e1', isEngine, eventCount: 40, eventIntervalMs: 25, beforeResponse,
	});
	store.put('servers/e1', {
		service: isEngine ? 'engines' : 'diaries', address: endpoint.address, zone: 'a', slots: 4, state: 'ready', born: 1,
	});
	t.teardown(async () => {
		await endpoint.dispose();
		await store.dispose();
	});
	return {store, endpoint};
}

async function startProgram(t: ExecutionContext<{bundle: GatewayBundle}>, settings: unknown): Promise<GatewayProgram> {
	const program = await t.context.bundle.start(settings);
	t.teardown(async () => program.dispose());
	await until(() => program.hasLogged('ready'));
	return program;
}

test('the bundled program serves a caller, the readiness check and the metrics', async t => {
	const {store} = await startSite(t);
	const settings = createSettings(store);
	await startProgram(t, settings);
	const ready = await fetch(`http://${settings.listen.ready}/api/ready`);
	t.is(ready.status, 200);
	t.like(await call(gatewayOf(settings), {headers: {'x-request-id': 'own'}}), {status: 200, body: 'answer to own'});
	const metrics = await fetch(`http://${settings.ip}:17601/metrics`);
	const text = await metrics.text();
	t.regex(text, /jackdawfork_requests_total\{kind="idempotent",outcome="answered"\} 1/v);
	t.regex(text, /jackdawfork_endpoint_attempts_total\{outcome="completed"\} 1/v);
});

// The endpoint responds only after the program has announced its stop: a head that is sent before can't ask for the connection to be closed.
test('a planned stop finishes the request under way and says so', async t => {
	let isStopping = false;
	const {store, endpoint} = await startSite(t, true, async () => until(() => isStopping));
	const settings = createSettings(store);
	const program = await startProgram(t, settings);
	const response = call(gatewayOf(settings), {path: '/drafts/1', method: 'POST', body: 'x'});
	await until(() => endpoint.receivedRequests.length === 1);
	program.child.kill('SIGTERM');
	await until(() => program.hasLogged('stopping'));
	isStopping = true;
	const result = await response;
	t.true(result.isComplete);
	t.is(result.headers.connection, 'close');
	t.is(await program.exited, 0);
	t.true(program.hasLogged('stopping'));
	t.true(program.hasLogged('stopped'));
});

// Guards against a supervisor that repeats its signal: the second one must not end the process with requests under way.
test('a second signal to stop does not cut the request under way', async t => {
	const {store, endpoint} = await startSite(t, true);
	const settings = createSettings(store);
	const program = await startProgram(t, settings);
	const response = call(gatewayOf(settings), {path: '/drafts/1', method: 'POST', body: 'x'});
	await until(() => endpoint.receivedRequests.length === 1);
	program.child.kill('SIGTERM');
	await until(() => program.hasLogged('stopping'));
	program.child.kill('SIGTERM');
	const result = await response;
	t.true(result.isComplete);
	t.is(await program.exited, 0);
});

// Guards against a process that exits with requests that it could have answered, whatever happens during its grace period.
test('each request is answered before a stopping process exits, with repeated signals, new settings and a configuration meanwhile', async t => {
	const {store, endpoint} = await startSite(t, false, async () => setTimeout(60_000, undefined, {ref: false}));
	store.put('op/config', createPatientConfigurationDocument({version: 2}));
	// eslint-disable-next-line @typescript-eslint/naming-convention -- the platform's name
	const settings = createSettings(store, [], {grace_s: 6});
	const program = await startProgram(t, settings);
	const send = async () => call(gatewayOf(settings), {
		path: '/bookings/1', method: 'POST', body: 'x', headers: {'x-deadline-ms': '20000'},
	});
	const running = Array.from({length: 4}, send);
	await until(() => endpoint.receivedRequests.length === 4);
	const waiting = send();
	await setTimeout(200);
	program.child.kill('SIGTERM');
	await until(() => program.hasLogged('stopping'));
	await writeFile(program.settingsPath, JSON.stringify({...settings, seeds: ['127.0.0.99:18229']}));
	program.child.kill('SIGHUP');
	program.child.kill('SIGTERM');
	await until(() => program.hasLogged('reloaded'));
	const limits = {
		max_header_bytes: 16_384, max_body_bytes: 10_000, header_timeout_ms: 1000, idle_timeout_ms: 1000, // eslint-disable-line @typescript-eslint/naming-convention
	};
	store.put('op/config', createPatientConfigurationDocument({version: 3, limits}));
	t.like(await waiting, {status: 503, isComplete: true});
	for (const response of await Promise.all(running)) {
		t.like(response, {status: 504, isComplete: true});
	}

	t.is(await program.exited, 0);
	t.is(endpoint.receivedRequests.length, 4);
});

test('processes find each other through a seed, and one continues to serve when the other is killed', async t => {
	const {store} = await startSite(t);
	const first = createSettings(store);
	const second = createSettings(store, [first.ip]);
	const killed = await startProgram(t, first);
	const survivor = await startProgram(t, second);
	await until(() => survivor.hasLogged('peer-joined') && killed.hasLogged('peer-joined'));
	killed.child.kill('SIGKILL');
	await killed.exited;
	t.like(await call(gatewayOf(second)), {status: 200});
	await until(() => survivor.hasLogged('peer-silent'));
	t.true(survivor.hasLogged('peer-silent'));
});

test('changed seeds are applied after the signal, and an invalid file changes nothing', async t => {
	const {store} = await startSite(t);
	const settings = createSettings(store);
	const program = await startProgram(t, settings);
	await writeFile(program.settingsPath, 'not JSON');
	program.child.kill('SIGHUP');
	await until(() => program.hasLogged('reload-failed'));
	await writeFile(program.settingsPath, JSON.stringify({...settings, seeds: ['127.0.0.9:1']}));
	program.child.kill('SIGHUP');
	await until(() => program.hasLogged('reloaded'));
	t.true(program.hasLogged('reloaded'));
	t.like(await call(gatewayOf(settings)), {status: 200});
});

test('invalid settings end the program with an error that names each invalid value', async t => {
	const {store} = await startSite(t);
	const program = await t.context.bundle.start({...createSettings(store), ip: 7});
	t.is(await program.exited, 2);
	t.regex(program.output, /ip/v);
});

test('the program handles the signal to reload its settings before it loads anything else', async t => {
	const text = await readFile(new URL('../../src/gateway/main.js', import.meta.url), 'utf8');
	t.is(text.split('\n').find(line => line.startsWith('import')), 'import \'./early-signals.js\';');
});
