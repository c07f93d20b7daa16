import {Buffer} from 'node:buffer';
import {Agent} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {createConfigurationDocument} from '../../standins/platform-documents.js';
import {call} from '../fixtures/gateway/caller.js';
import {GatewaySite, type Gateway} from '../fixtures/gateway/gateway-site.js';
import {until} from '../fixtures/until.js';

type Values = Record<string, unknown>;
type Outcome = {readonly status?: number; readonly isComplete?: boolean; readonly code?: string};

const baseline = createConfigurationDocument() as {routes: Values[]; services: Values[]; limits: Values; tenants: Values[]};

const tenant = baseline.tenants[0]!;

/** The routes of the baseline, with values that replace those of each. */
function routesWith(values: Values): Values[] {
	return baseline.routes.map(route => ({...route, ...values}));
}

async function startSite(t: ExecutionContext, serviceTimeMs?: number) {
	const site = await GatewaySite.start();
	t.teardown(async () => site.dispose());
	const diary = await site.addEndpoint({id: 'diary', isEngine: false, serviceTimeMs}, {slots: 2});
	const engine = await site.addEndpoint({id: 'engine', isEngine: true, eventIntervalMs: 20});
	const gateway = await site.addGateway();
	let version = 1;
	return {
		site, diary, engine, gateway,
		/** Writes the next configuration and waits until it is in force. */
		async configure(values: Values): Promise<void> {
			version++;
			const text = ` version=${version} `;
			site.store.put('op/config', createConfigurationDocument({version, ...values}));
			await until(() => gateway.memoryLog.linesOf('configuration').some(line => line.includes(text)) || gateway.memoryLog.linesOf('record-rejected').length > 0);
		},
	};
}

async function send(gateway: Gateway, path: string, agent?: Agent): Promise<Outcome> {
	try {
		return await call(gateway, {
			path, method: path.startsWith('/lookups') ? 'GET' : 'POST', body: path.startsWith('/lookups') ? undefined : 'x', agent,
		});
	} catch (error) {
		return {code: (error as NodeJS.ErrnoException).code ?? 'unknown'};
	}
}

const paths = ['/streams/1', '/drafts/1', '/bookings/1', '/lookups/1'];

async function sendToAllRoutes(gateway: Gateway): Promise<Outcome[]> {
	return Promise.all(paths.map(async path => send(gateway, path)));
}

/** Callers with kept connections that send one request after the other until they are stopped. */
class Callers {
	static start(t: ExecutionContext, gateway: Gateway, count: number): Callers {
		const callers = new Callers();
		t.teardown(() => {
			callers.#isStopped = true;
		});
		callers.#ended = Promise.all(Array.from({length: count}, async (_value, index) => callers.#run(gateway, index)));
		return callers;
	}

	readonly outcomes: Outcome[] = [];
	#isStopped = false;
	#ended: Promise<unknown> = Promise.resolve();

	/** Resolves with the outcomes of all requests. */
	async stop(): Promise<Outcome[]> {
		this.#isStopped = true;
		await this.#ended;
		return this.outcomes;
	}

	async #run(gateway: Gateway, index: number): Promise<void> {
		const agent = new Agent({keepAlive: true, maxSockets: 1});
		for (let count = index; !this.#isStopped; count++) {
			// eslint-disable-next-line no-await-in-loop
			this.outcomes.push(await send(gateway, paths[count % paths.length]!, agent));
			// eslint-disable-next-line no-await-in-loop
			await delay((index * 7) % 40);
		}

		agent.destroy();
	}
}

function isAnswered({status, isComplete}: Outcome): boolean {
	return status !== undefined && isComplete === true;
}

/* eslint-disable @typescript-eslint/naming-convention -- the platform's names */
/** Configurations that each change or remove what requests depend on. */
const changes: Values[] = [
	{limits: {header_timeout_ms: 100, idle_timeout_ms: 1000, max_body_bytes: 10}},
	{routes: routesWith({timeout_ms: 3000})},
	{routes: routesWith({service: 'diaries'})},
	{},
	{services: baseline.services.filter(({name}) => name !== 'diaries')},
	{tenants: [{...tenant, rate_per_s: 100_000, burst: 10_000}]},
	{routes: baseline.routes.slice(1)},
	{tenants: [{...tenant, api_keys: ['key-other']}]},
	{tenants: [{...tenant, name: 'other'}], limits: {header_timeout_ms: 3000, idle_timeout_ms: 30_000}},
	{routes: baseline.routes.map(({service, ...route}) => ({...route, backends: [{service, weight: 1}, {service: 'diaries', weight: 1}]}))},
	{routes: routesWith({service: 'none'})},
	{},
];

const unusual: Array<[string, Values]> = [
	['a workspace with a name that no header can hold', {tenants: [{...tenant, name: '\u7B56\n'}]}],
	['a workspace with a name beyond Latin-1', {tenants: [{...tenant, name: '\u7B56'}]}],
	['a workspace with an empty name', {tenants: [{...tenant, name: ''}]}],
	['a timeout below a millisecond', {routes: routesWith({timeout_ms: 0.3})}],
	['timeouts beyond 32 bits', {routes: routesWith({timeout_ms: 1e12, target_latency_ms: 1e12}), limits: {header_timeout_ms: 1e12, idle_timeout_ms: 1e12}}],
	['limits with fractions', {
		limits: {
			header_timeout_ms: 1500.5, idle_timeout_ms: 9000.25, max_header_bytes: 5000.5, max_body_bytes: 5000.5,
		},
	}],
	['negative, fractional and large priorities', {routes: baseline.routes.map((route, index) => ({...route, priority: [-3, 0.5, 1e9, -0.5][index]}))}],
	['no tenants', {tenants: []}],
	['no services', {services: []}],
	['no routes', {routes: []}],
	['two routes of one name and prefix', {routes: [...baseline.routes, ...routesWith({timeout_ms: 100})]}],
	['weights of zero', {routes: baseline.routes.map(({service, ...route}) => ({...route, backends: [{service, weight: 0}]}))}],
	['weights beyond counting', {routes: baseline.routes.map(({service, ...route}) => ({...route, backends: [{service, weight: 1e308}, {service, weight: 1e308}]}))}],
	['a quota of almost nothing', {tenants: [{...tenant, rate_per_s: 1e-9, burst: 0}]}],
	['a quota beyond counting', {tenants: [{...tenant, rate_per_s: 1e308, burst: 1e308}]}],
	['connection and cold limits of almost nothing', {
		services: baseline.services.map(service => ({
			...service, max_connections: 0.5, cold_start_s: 1e9, cold_per_s: 1e-9,
		})),
	}],
];

for (const [what, values] of unusual) {
	// Guards against a value of a configuration that ends whole requests without an answer, or keeps a later configuration from being served.
	test(`with ${what}, each request is answered, and the next configuration is served`, async t => {
		const {gateway, configure} = await startSite(t);
		await configure(values);
		const outcomes = await sendToAllRoutes(gateway);
		t.deepEqual(outcomes.filter(outcome => !isAnswered(outcome)), []);
		await configure({});
		const later = await sendToAllRoutes(gateway);
		t.deepEqual(later.map(({status}) => status), [200, 200, 200, 200]);
	});
}

// Guards against requests on kept connections that end without an answer because of a change of the configuration.
test.serial('twelve configurations in a row leave no request without an answer', async t => {
	const {gateway, configure} = await startSite(t, 300);
	const callers = Callers.start(t, gateway, 24);
	for (const change of changes) {
		// eslint-disable-next-line no-await-in-loop
		await configure(change);
		// eslint-disable-next-line no-await-in-loop
		await delay(1300);
	}

	const outcomes = await callers.stop();
	t.deepEqual(outcomes.filter(outcome => !isAnswered(outcome)), []);
	t.true(outcomes.some(({status}) => status === 200));
});

// Guards against requests that arrive while a large configuration is read and applied.
test.serial('a configuration of thousands of routes leaves no request without an answer', async t => {
	const {gateway, configure} = await startSite(t);
	const callers = Callers.start(t, gateway, 24);
	for (let count = 0; count < 3; count++) {
		const routes = Array.from({length: 6000}, (_value, index) => ({...baseline.routes[0]!, name: `route-${count}-${index}`, path_prefix: `/added/${count}/${index}/`}));
		// eslint-disable-next-line no-await-in-loop
		await configure({routes: [...routes, ...baseline.routes], limits: {header_timeout_ms: 1000, idle_timeout_ms: 1000}});
		// eslint-disable-next-line no-await-in-loop
		await delay(500);
	}

	const outcomes = await callers.stop();
	t.deepEqual(outcomes.filter(outcome => !isAnswered(outcome)), []);
	t.true(outcomes.some(({status}) => status === 200));
});

/** Requests of which two are under way and the others wait. */
const requestCount = 8;

/** Waits until requests are under way or wait, so that a later configuration does not apply to them. */
async function untilAdmitted({settings}: Gateway, count: number): Promise<void> {
	let admitted = 0;
	while (admitted < count) {
		// eslint-disable-next-line no-await-in-loop
		const response = await fetch(`http://${settings.host}:${settings.internalPorts.first + 1}/metrics`);
		// eslint-disable-next-line no-await-in-loop
		const text = await response.text();
		const values = [...text.matchAll(/^jackdawfork_(?:running_requests|waiting_requests\{.*\}) (?<value>\d+)$/gmv)].map(({groups}) => Number(groups!.value));
		admitted = values.reduce((sum, value) => sum + value, 0);
	}
}

for (const [what, change] of [
	['its route moves to another service and back', {routes: routesWith({service: 'engines'})}],
	['its route vanishes', {routes: []}],
	['its service vanishes', {services: []}],
	['its key vanishes', {tenants: [{...tenant, api_keys: []}]}],
	['its workspace vanishes', {tenants: []}],
	['its quota falls to almost nothing', {tenants: [{...tenant, rate_per_s: 1, burst: 1}]}],
	['the timeout of its route falls to a millisecond', {routes: routesWith({timeout_ms: 1})}],
	['the limits fall to a millisecond and a byte', {
		limits: {
			header_timeout_ms: 1, idle_timeout_ms: 1, max_header_bytes: 1, max_body_bytes: 1,
		},
	}],
] as const) {
	// Guards against a change that ends, refuses or forgets what was admitted by the configuration before it.
	test(`requests that are under way or wait when ${what} are served as they were admitted`, async t => {
		const {diary, gateway, configure} = await startSite(t, 600);
		// With a shorter target some would be refused as too late.
		await configure({routes: routesWith({target_latency_ms: 8000})});
		const outcomes = Promise.all(Array.from({length: requestCount}, async () => send(gateway, '/bookings/1')));
		await untilAdmitted(gateway, requestCount);
		await configure(change);
		await configure({});
		const ended = await outcomes;
		t.deepEqual(ended.map(({status, isComplete}) => [status, isComplete]), Array.from({length: requestCount}, () => [200, true]));
		t.is(diary.executedRequestIds.length, requestCount);
	});
}

// Guards against a configuration after which each request of a workspace is refused because its name can't be written into a header.
test.serial('requests of a workspace whose name has characters beyond Latin-1 are served', async t => {
	const {diary, gateway, configure} = await startSite(t);
	await configure({tenants: [{...tenant, name: 'Inbhir Nis – 因弗内斯'}]});
	t.like(await send(gateway, '/bookings/1'), {status: 200, isComplete: true});
	t.is(Buffer.from(diary.receivedRequests.at(-1)!.headers['x-tenant'] as string, 'latin1').toString('utf8'), 'Inbhir Nis – 因弗内斯');
});
/* eslint-enable @typescript-eslint/naming-convention */
