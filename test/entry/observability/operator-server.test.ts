import test, {type ExecutionContext} from 'ava';
import {
	AuditTrail, Metrics, OperatorServer, type Readiness,
} from '../../../src/entry/observability/index.js';
import {auditReportSchema, type AuditReport} from '../../../src/shared/audit.js';
import {statusReportSchema, type StatusReport} from '../../../src/shared/status.js';
import {ManualClock} from '../../fixtures/manual-clock.js';
import {createStatusReport} from '../../fixtures/status-report.js';

type ServerSetup = {
	readonly audit: AuditTrail;
	readonly metrics: Metrics;
	readonly errors: unknown[];
	get(path: string, method?: string): Promise<{status: number; type: string | undefined; text: string}>;
};

async function startServer(t: ExecutionContext, options: {readonly readiness?: () => Readiness; readonly status?: () => StatusReport} = {}): Promise<ServerSetup> {
	const clock = ManualClock.create(1000);
	const audit = AuditTrail.create({clock, capacity: 3});
	const metrics = Metrics.create();
	const errors: unknown[] = [];
	const listen = {callers: '127.0.0.1:0', peers: '127.0.0.1:0', operators: '127.0.0.1:0'};
	const server = OperatorServer.create({
		settings: {slot: 'entry-1', listen},
		clock,
		metrics,
		audit,
		status: options.status ?? (() => createStatusReport()),
		readiness: options.readiness ?? (() => ({ready: true})),
		onError(error) {
			errors.push(error);
		},
	});
	await server.listen();
	t.teardown(async () => server.dispose());
	return {
		audit,
		metrics,
		errors,
		async get(path, method = 'GET') {
			const response = await fetch(`http://${server.address}${path}`, {method});
			return {status: response.status, type: response.headers.get('content-type')?.split(';')[0], text: await response.text()};
		},
	};
}

// Guards against a load balancer that sends requests to an entry that is not ready and refuses them.
test('readiness is 200 when ready, else 503 with the reason, while liveness stays 200', async t => {
	let readiness: Readiness = {ready: true};
	const {get} = await startServer(t, {readiness: () => readiness});
	t.like(await get('/readyz'), {status: 200, text: '{"ready":true}'});
	readiness = {ready: false, reason: 'lease-not-held'};
	t.like(await get('/readyz'), {status: 503, text: '{"ready":false,"reason":"lease-not-held"}'});
	t.like(await get('/livez'), {status: 200});
	t.like(await get('/readyz', 'HEAD'), {status: 503});
});

test('the status matches the schema that the operator programs read', async t => {
	const {get} = await startServer(t);
	const {status, text} = await get('/v1/status');
	t.is(status, 200);
	t.deepEqual(statusReportSchema.parse(JSON.parse(text)), createStatusReport());
});

test('metrics are served in the Prometheus text format', async t => {
	const {get, metrics} = await startServer(t);
	metrics.countRefusal('overloaded');
	const {status, type, text} = await get('/metrics');
	t.deepEqual([status, type], [200, 'text/plain']);
	t.true(text.includes('jackdawfork_refusals_total{type="overloaded"} 1'));
});

// Guards against missing entries when reading continues from a sequence number, and against overwritten entries that go unnoticed.
test('audit entries are read from a sequence number on, and the report shows the oldest one left', async t => {
	const {audit, get} = await startServer(t);
	for (let index = 1; index <= 5; index++) {
		audit.record({event: 'lease-lost', reason: `reason ${index}`});
	}

	const read = async (path: string): Promise<AuditReport> => {
		const {text} = await get(path);
		return auditReportSchema.parse(JSON.parse(text));
	};

	const first = await read('/v1/audit');
	t.deepEqual([first.entries.map(entry => entry.sequence), first.oldestSequence, first.next], [[3, 4, 5], 3, 5]);
	audit.record({event: 'lease-gained'});
	const second = await read(`/v1/audit?after=${first.next}`);
	t.deepEqual([second.entries.map(entry => entry.event), second.slot, second.incarnation], [['lease-gained'], 'entry-1', 'incarnation-1']);
});

// Guards against errors of the operator interface that have no problem type.
for (const [path, method, status, type] of [
	['/v1/audit?after=-1', 'GET', 400, 'malformed-request'],
	['/v1/audit?after=', 'GET', 400, 'malformed-request'],
	['/v1/audit?after=99999999999999999999', 'GET', 400, 'malformed-request'],
	['/v1/nothing', 'GET', 404, 'unknown-path'],
	['/v1/status', 'POST', 405, 'method-not-allowed'],
] as const) {
	test(`${method} ${path} gets a problem document of type ${type}`, async t => {
		const {get, errors} = await startServer(t);
		const response = await get(path, method);
		t.deepEqual([response.status, response.type], [status, 'application/problem+json']);
		t.is((JSON.parse(response.text) as {type: string}).type, `urn:jackdawfork:${type}`);
		t.deepEqual(errors, []);
	});
}

// Guards against internal details in a response, and against an error that is not reported to the process.
test('an error while building the status gives internal-error without its message and is reported', async t => {
	const failure = new Error('secret detail');
	const {get, errors} = await startServer(t, {
		status() {
			throw failure;
		},
	});
	const response = await get('/v1/status');
	t.deepEqual([response.status, response.type], [500, 'application/problem+json']);
	t.false(response.text.includes('secret'));
	t.deepEqual(errors, [failure]);
});

// Guards against a port that stays in use, and against a test or shutdown that waits for idle connections.
test('dispose closes the port even with an idle keep-alive connection, and can be called twice', async t => {
	const clock = ManualClock.create();
	const server = OperatorServer.create({
		settings: {slot: 'entry-1', listen: {callers: '127.0.0.1:0', peers: '127.0.0.1:0', operators: '127.0.0.1:0'}},
		clock,
		metrics: Metrics.create(),
		audit: AuditTrail.create({clock}),
		status: () => createStatusReport(),
		readiness: () => ({ready: true}),
	});
	await server.listen();
	const {address} = server;
	const response = await fetch(`http://${address}/livez`);
	await response.text();
	await server.dispose();
	await server.dispose();
	await t.throwsAsync(fetch(`http://${address}/livez`));
});

test('listening on a port that is in use fails', async t => {
	const clock = ManualClock.create();
	const create = (operators: string): OperatorServer => OperatorServer.create({
		settings: {slot: 'entry-1', listen: {callers: '127.0.0.1:0', peers: '127.0.0.1:0', operators}},
		clock,
		metrics: Metrics.create(),
		audit: AuditTrail.create({clock}),
		status: () => createStatusReport(),
		readiness: () => ({ready: true}),
	});
	const first = create('127.0.0.1:0');
	await first.listen();
	t.teardown(async () => first.dispose());
	await t.throwsAsync(create(first.address).listen(), {code: 'EADDRINUSE'});
});
