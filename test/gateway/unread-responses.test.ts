import type {ChildProcess} from 'node:child_process';
import {readdir} from 'node:fs/promises';
import {setTimeout as delay} from 'node:timers/promises';
import anyTest, {type TestFn} from 'ava';
import {instancePorts} from '../../standins/platform-documents.js';
import {GatewayBundle} from '../fixtures/gateway/gateway-program.js';
import {ProgramSite} from '../fixtures/gateway/program-site.js';
import {wholeResponse} from '../fixtures/gateway/raw-endpoint.js';
import {readResidentSize} from '../fixtures/gateway/resident-size.js';
import {UnreadCallers} from '../fixtures/gateway/unread-callers.js';

/** Heap of the process under test. Half of that in `deploy/system.toml`, so that few callers reproduce the fault. */
const heapMegabytes = 64;

/** Most by which a process may grow, and descriptors that it may have open beside those of the callers. */
const maximumGrowthBytes = 80_000_000;
const maximumOtherDescriptors = 100;

const callerCount = 16;
const requestCount = 20_000;

/** Time for which the callers send before the process is looked at. */
const loadMs = 6000;

const sampleIntervalMs = 100;

const test = anyTest as TestFn<{bundle: GatewayBundle}>;

test.before(async t => {
	t.context.bundle = await GatewayBundle.build();
});

test.after.always(async t => {
	await t.context.bundle.dispose();
});

const host = 'Host: office.example\r\n';
const usual = `${host}X-Request-Id: unread\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer key-wick\r\n`;

const plain = 'GET / HTTP/1.1\r\nHost: x\r\n\r\n';
const booking = `POST /bookings/1 HTTP/1.1\r\n${usual}`;
const chunked = `${booking}Transfer-Encoding: chunked\r\n\r\n`;

type Load = {
	readonly what: string;
	readonly text: string;
	/** Default: that of callers. */
	readonly port?: number;
	readonly count?: number;
};

const metricsPort = 17_601;

const loads: readonly Load[] = [
	{what: 'requests without the usual headers', text: `GET /lookups/1 HTTP/1.1\r\n${host}\r\n`.repeat(requestCount)},
	{what: 'requests without host', text: 'GET / HTTP/1.1\r\n\r\n'.repeat(requestCount)},
	{what: 'requests to the ready path on the port of callers', text: `GET /api/ready HTTP/1.1\r\n${host}\r\n`.repeat(requestCount)},
	{what: 'requests to a path without a route', text: `GET /nowhere HTTP/1.1\r\n${usual}\r\n`.repeat(requestCount)},
	{what: 'requests to the ready path on its own port', port: instancePorts.readiness, text: `GET /api/ready HTTP/1.1\r\n${host}\r\n`.repeat(requestCount)},
	{what: 'requests for metrics', port: metricsPort, text: `GET /metrics HTTP/1.1\r\n${host}\r\n`.repeat(2000)},
	{what: 'requests of HTTP/1.0 that keep the connection', text: 'GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n'.repeat(requestCount)},
	{what: 'requests with an expectation that is not met', text: `GET / HTTP/1.1\r\n${host}Expect: x\r\n\r\n`.repeat(requestCount)},
	{what: 'requests behind one whose endpoint does not answer', text: `GET /lookups/1 HTTP/1.1\r\n${usual.replace('unread', 'hang')}\r\n${plain.repeat(requestCount)}`},
	{what: 'requests ahead of a body that is refused', text: `${plain.repeat(requestCount)}${booking}Content-Length: 8000000\r\n\r\n${'x'.repeat(1_000_000)}`},
	{what: 'a refused body and requests behind it', text: `${chunked}2710\r\n${'x'.repeat(10_000)}\r\n1\r\nx\r\n0\r\n\r\n${plain.repeat(requestCount)}`},
	{what: 'bodies that are announced and not sent', count: 200, text: `${booking}Content-Length: 9000\r\n\r\n`},
	{what: 'requests on many connections', count: 300, text: plain.repeat(5000)},
	{what: 'heads that never end', count: 100, text: `GET / HTTP/1.1\r\n${host}${`X-Filler: ${'x'.repeat(40)}\r\n`.repeat(10_000)}`},
	{what: 'a chunk with an extension that never ends', count: 50, text: `${chunked}1;${'x'.repeat(2_000_000)}`},
	{what: 'chunks with an extension each', count: 50, text: `${chunked}${`1;${'x'.repeat(100)}\r\nx\r\n`.repeat(20_000)}`},
];

/** Returns the largest size and the last number of descriptors of a process under load, up to its end. */
async function observe(child: ChildProcess, processId: number): Promise<{peak: number; descriptors: number}> {
	let peak = 0;
	let descriptors = 0;
	for (let sample = 0; sample < loadMs / sampleIntervalMs; sample++) {
		// eslint-disable-next-line no-await-in-loop
		await delay(sampleIntervalMs);
		try {
			// eslint-disable-next-line no-await-in-loop
			({peak} = await readResidentSize(processId));
			// eslint-disable-next-line no-await-in-loop
			const names = await readdir(`/proc/${processId}/fd`);
			descriptors = names.length;
		} catch {
			break;
		}
	}

	// A process that has just ended is reported a moment later.
	await delay(sampleIntervalMs);
	return {peak, descriptors};
}

for (const {what, text, port, count = callerCount} of loads) {
	// Guards against callers that send requests ahead and read no responses: the responses used up the memory of the process, and it aborted.
	test.serial(`${what}, sent ahead by callers that read nothing, cost bounded memory, and an ordinary request is answered`, async t => {
		const site = await ProgramSite.start(t.context.bundle, ({requestId, socket}) => {
			if (requestId !== 'hang') {
				socket.write(wholeResponse(requestId));
			}
		}, {heapMegabytes});
		t.teardown(async () => site.dispose());
		const {child} = site.program;
		const processId = child.pid!;
		t.like(await site.send('/bookings/1'), {status: 200});
		const before = await readResidentSize(processId);
		const callers = UnreadCallers.start({...site.settings.callerAddress, ...(port !== undefined && {port})}, count, text);
		t.teardown(async () => callers.dispose());
		const {peak, descriptors} = await observe(child, processId);
		const growth = peak - before.current;
		t.log(`grew by ${Math.round(growth / 1e6)} MB, ${descriptors} descriptors`);
		t.deepEqual([child.exitCode, child.signalCode], [null, null], 'the process lives');
		t.true(growth < maximumGrowthBytes);
		t.true(descriptors < count + maximumOtherDescriptors);
		t.like(await site.send('/bookings/1'), {status: 200});
	});
}
