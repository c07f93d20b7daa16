import {readdir} from 'node:fs/promises';
import {setTimeout as delay} from 'node:timers/promises';
import anyTest, {type TestFn} from 'ava';
import type {CallerResponse} from '../../standins/platform-caller.js';
import {instancePorts} from '../../standins/platform-documents.js';
import {Crowd, type CrowdOptions} from '../fixtures/gateway/crowd.js';
import {GatewayBundle} from '../fixtures/gateway/gateway-program.js';
import {ProgramSite} from '../fixtures/gateway/program-site.js';
import {RawCaller} from '../fixtures/gateway/raw-caller.js';
import {wholeResponse} from '../fixtures/gateway/raw-endpoint.js';
import {readResidentSize} from '../fixtures/gateway/resident-size.js';

/** Memory of the smallest machine, and the heap limit of the deploy file. */
const machineMegabytes = 200;
const deployedHeapMegabytes = 128;

/** Heap and descriptors of the process under test. Both are lower than on a machine, so that a small crowd reproduces the faults. */
const heapMegabytes = 64;
const maximumDescriptors = 600;

/** The machine is taken to be smaller by what the heap is. */
const maximumBytes = (machineMegabytes - (deployedHeapMegabytes - heapMegabytes)) * 1_000_000;

/** Time for which a crowd sends before the process is looked at. */
const loadMs = 6000;

const sampleIntervalMs = 100;

/** How often an ordinary caller sends a request that is refused, and the time until it comes back. */
const ordinaryAttempts = 3;
const retryDelayMs = 1000;

const test = anyTest as TestFn<{bundle: GatewayBundle}>;

test.before(async t => {
	t.context.bundle = await GatewayBundle.build();
});

test.after.always(async t => {
	await t.context.bundle.dispose();
});

const host = 'Host: office.example\r\n';
const usual = `${host}X-Request-Id: crowd\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer key-wick\r\n`;

/** Lines of a head whose names differ. */
function distinctLines(count: number): string {
	return Array.from({length: count}, (_, index) => `n${index}:${index}\r\n`).join('');
}

/** Four bytes, of which a head within the header limit has some 4,000. */
const shortLine = 'a:\r\n';

/** Header limit of the site. */
const headerLimitBytes = 16_384;

const readyPort = instancePorts.readiness;
const metricsPort = 17_601;

type Part = Omit<CrowdOptions, 'host' | 'port'> & {
	/** Default: that of callers. */
	readonly port?: number;
};

type Load = Part & {
	readonly what: string;
	/** Crowds that send at the same time. */
	readonly others?: readonly Part[];
};

const connections = 300;
const repeats = 400;

const loads: readonly Load[] = [
	{
		what: 'heads with 2,500 short lines ahead of bodies that are announced and not sent',
		connections: 450,
		text: `POST /bookings/1 HTTP/1.1\r\n${usual}Content-Length: 9000\r\n${shortLine.repeat(2500)}\r\n`,
		repeats: 1,
	},
	{
		what: 'heads with lines of different names ahead of bodies that are announced and not sent',
		connections: 450,
		text: `POST /bookings/1 HTTP/1.1\r\n${usual}Content-Length: 9000\r\n${distinctLines(1200)}\r\n`,
		repeats: 1,
	},
	{
		what: 'requests with 2,500 short lines',
		connections,
		text: `GET /lookups/1 HTTP/1.1\r\n${usual}${shortLine.repeat(2500)}\r\n`,
		repeats,
	},
	{
		what: 'requests with 3,200 short lines at a path without a route',
		connections,
		text: `GET /nowhere/ HTTP/1.1\r\n${host}${shortLine.repeat(3200)}\r\n`,
		repeats,
	},
	{
		what: 'requests with lines of different names at a path without a route',
		connections,
		text: `GET /nowhere/ HTTP/1.1\r\n${usual}${distinctLines(1200)}\r\n`,
		repeats,
	},
	{
		what: 'requests with paths of 15 kB',
		connections,
		text: `GET /lookups/${'x'.repeat(15_000)} HTTP/1.1\r\n${usual}\r\n`,
		repeats,
	},
	{
		what: 'requests with an id of 15 kB',
		connections,
		text: `GET /lookups/1 HTTP/1.1\r\n${usual.replace('crowd', 'x'.repeat(15_000))}\r\n`,
		repeats,
	},
	{
		what: 'heads with 3,000 short lines that do not end',
		connections: 450,
		text: `GET /lookups/1 HTTP/1.1\r\n${usual}${shortLine.repeat(3000)}`,
		repeats: 1,
	},
	{
		what: 'short lines of heads without end',
		connections,
		first: `GET /lookups/1 HTTP/1.1\r\n${usual}`,
		text: shortLine,
		repeats: 1_000_000,
	},
	{
		what: 'short lines of trailers without end',
		connections,
		first: `POST /bookings/1 HTTP/1.1\r\n${usual}Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n`,
		text: shortLine,
		repeats: 1_000_000,
	},
	{
		what: 'short lines of heads without end to the ready path',
		port: readyPort,
		connections,
		first: `GET /api/ready HTTP/1.1\r\n${host}`,
		text: shortLine,
		repeats: 1_000_000,
	},
	{
		what: 'heads that arrive in single bytes',
		connections,
		text: `GET /lookups/1 HTTP/1.1\r\n${usual}${'b: c\r\n'.repeat(1000)}`,
		repeats: 1,
		bytesPerWrite: 1,
	},
	{
		what: 'chunked bodies with 3,000 trailers that do not end',
		connections: 450,
		text: `POST /bookings/1 HTTP/1.1\r\n${usual}Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n${shortLine.repeat(3000)}`,
		repeats: 1,
	},
	{
		what: 'requests with 3,000 trailers',
		connections,
		text: `POST /bookings/1 HTTP/1.1\r\n${usual}Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n${shortLine.repeat(3000)}\r\n`,
		repeats,
	},
	{
		what: 'requests for responses of 64 kB',
		connections,
		text: `GET /lookups/1 HTTP/1.1\r\n${usual.replace('crowd', 'large')}\r\n`,
		repeats,
	},
	{
		what: 'several kinds of requests at once',
		connections: 60,
		text: `GET /lookups/1 HTTP/1.1\r\n${usual}${shortLine.repeat(2500)}\r\n`,
		repeats,
		others: [
			{connections: 60, text: `GET /lookups/${'x'.repeat(15_000)} HTTP/1.1\r\n${usual}\r\n`, repeats},
			{connections: 60, text: `POST /bookings/1 HTTP/1.1\r\n${usual}Content-Length: 9000\r\n${distinctLines(1200)}\r\n`, repeats: 1},
			{
				connections: 60, first: `POST /bookings/1 HTTP/1.1\r\n${usual}Content-Length: 1000000\r\n\r\n`, text: 'x'.repeat(1000), repeats: 500,
			},
			{connections: 60, text: `GET /lookups/1 HTTP/1.1\r\n${usual.replace('crowd', 'large')}\r\n`, repeats},
			{
				port: readyPort, connections: 60, text: `GET /api/ready HTTP/1.1\r\n${host}${shortLine.repeat(3200)}\r\n`, repeats,
			},
		],
	},
	{
		what: 'requests with 3,200 short lines to the ready path',
		port: readyPort,
		connections,
		text: `GET /api/ready HTTP/1.1\r\n${host}${shortLine.repeat(3200)}\r\n`,
		repeats,
	},
	{
		what: 'heads with 3,000 short lines that do not end to the ready path',
		port: readyPort,
		connections: 450,
		text: `GET /api/ready HTTP/1.1\r\n${host}${shortLine.repeat(3000)}`,
		repeats: 1,
	},
	{
		what: 'requests for metrics with 3,200 short lines',
		port: metricsPort,
		connections,
		text: `GET /metrics HTTP/1.1\r\n${host}${shortLine.repeat(3200)}\r\n`,
		repeats,
	},
	{
		what: 'bodies for metrics that do not end',
		port: metricsPort,
		connections: 450,
		first: `POST /metrics HTTP/1.1\r\n${host}Content-Length: 90000000\r\n\r\n`,
		text: 'x'.repeat(1000),
		repeats: 10_000,
	},
	{
		what: 'connections without a request, more than there are descriptors',
		connections: 700,
		text: '',
		repeats: 0,
		mayReconnect: true,
	},
	{
		what: 'heads that do not end on more connections than there are descriptors',
		connections: 700,
		text: `GET /lookups/1 HTTP/1.1\r\n${usual}`,
		repeats: 1,
		mayReconnect: true,
	},
	{
		what: 'bodies that are not sent on more connections than there are descriptors',
		connections: 700,
		text: `POST /bookings/1 HTTP/1.1\r\n${usual}Content-Length: 9000\r\n\r\n`,
		repeats: 1,
		mayReconnect: true,
	},
	{
		what: 'connections to the ready path, more than there are descriptors',
		port: readyPort,
		connections: 700,
		text: '',
		repeats: 0,
		mayReconnect: true,
	},
	{
		what: 'connections to the metrics port, more than there are descriptors',
		port: metricsPort,
		connections: 700,
		text: '',
		repeats: 0,
		mayReconnect: true,
	},
	{
		what: 'connections to all ports, more than there are descriptors',
		connections: 700,
		text: '',
		repeats: 0,
		mayReconnect: true,
		others: [readyPort, metricsPort].map(port => ({
			port, connections: 300, text: '', repeats: 0, mayReconnect: true,
		})),
	},
];

/** Sends a request as ordinary callers do, which come back after a refusal. */
async function sendOrdinary(site: ProgramSite): Promise<CallerResponse> {
	let response: CallerResponse;
	let attempt = 0;
	do {
		attempt++;
		// eslint-disable-next-line no-await-in-loop
		response = await site.send('/bookings/1', {headers: {'x-deadline-ms': '9000'}});
		// eslint-disable-next-line no-await-in-loop
		await delay(response.status === 503 ? retryDelayMs : 0);
	} while (response.status === 503 && attempt < ordinaryAttempts);

	return response;
}

/** Returns the largest resident size and the largest number of descriptors of a process under load, up to its end. */
async function observe(processId: number): Promise<{peak: number; descriptors: number}> {
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
			descriptors = Math.max(descriptors, names.length);
		} catch {
			break;
		}
	}

	// A process that has just ended is reported a moment later.
	await delay(sampleIntervalMs);
	return {peak, descriptors};
}

for (const {what, others = [], ...load} of loads) {
	// Guards against limits on the number of requests, lines or connections, which limit no memory where callers choose what each of them costs.
	test.serial(`${what} cost bounded memory and descriptors, and an ordinary request is answered`, async t => {
		const site = await ProgramSite.start(t.context.bundle, ({requestId, socket}) => {
			socket.write(wholeResponse(requestId, requestId === 'large' ? 'x'.repeat(64_000) : undefined));
		}, {heapMegabytes, maximumDescriptors});
		t.teardown(async () => site.dispose());
		const {child} = site.program;
		t.like(await site.send('/bookings/1'), {status: 200});
		const before = await readResidentSize(child.pid!);
		for (const {port, ...part} of [load, ...others]) {
			const crowd = Crowd.start({...site.settings.callerAddress, ...(port !== undefined && {port}), ...part});
			t.teardown(async () => crowd.dispose());
		}

		const {peak, descriptors} = await observe(child.pid!);
		t.log(`had ${Math.round(before.current / 1e6)} MB, at most ${Math.round(peak / 1e6)} MB, ${descriptors} descriptors`);
		t.deepEqual([child.exitCode, child.signalCode], [null, null], 'the process lives');
		t.true(peak < maximumBytes);
		t.true(descriptors < maximumDescriptors);
		t.like(await sendOrdinary(site), {status: 200});
	});
}

// Guards against a limit that a single caller within the header limit meets, and against lines that are dropped.
test.serial('a request with as many header lines as the header limit allows is forwarded with all of them', async t => {
	let head = '';
	const site = await ProgramSite.start(t.context.bundle, request => {
		({head} = request);
		request.socket.write(wholeResponse(request.requestId, 'done'));
	}, {heapMegabytes, maximumDescriptors});
	t.teardown(async () => site.dispose());
	const lines = 3900;
	const caller = await RawCaller.connect(site.settings.callerAddress);
	t.teardown(() => {
		caller.socket.destroy();
	});
	const text = `GET /lookups/1 HTTP/1.1\r\n${shortLine.repeat(lines)}${usual}\r\n`;
	t.true(text.length <= headerLimitBytes);
	caller.write(text);
	t.regex(await caller.receiveResponses(1), /^HTTP\/1\.1 200 /v);
	t.is(head.split(/\r\na: ?(?=\r\n)/v).length - 1, lines);
});
