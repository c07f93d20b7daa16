import {Buffer} from 'node:buffer';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {threadId} from 'node:worker_threads';
import anyTest, {type TestFn} from 'ava';
import {decodeSettings} from '../../../platform/settings.js';
import {createConfigurationDocument, createEndpointDocument, createSettingsDocument} from '../../../standins/platform-documents.js';
import {PlatformStore} from '../../../standins/platform-store.js';
import {GatewayBundle} from '../../fixtures/gateway/gateway-program.js';
import {RawCaller} from '../../fixtures/gateway/raw-caller.js';
import {until} from '../../fixtures/until.js';

const test = anyTest as TestFn<{bundle: GatewayBundle}>;

/** More than an endpoint receives without reading, and less than the operating system takes for sending. */
const bodyBytes = 1_000_000;

test.before(async t => {
	t.context.bundle = await GatewayBundle.build();
});

test.after.always(async t => {
	await t.context.bundle.dispose();
});

// Guards against work for a caller that left while its request waited to be sent to the endpoint. The gateway has a process of its own: a child process that another test starts holds the connections of this process until it runs its program, and a reset takes place only then.
test('what an endpoint has not received of a request is not sent to it after the caller has left', async t => {
	const store = await PlatformStore.listen();
	t.teardown(async () => store.dispose());
	const sockets: Socket[] = [];
	const endpoint = createServer({pauseOnConnect: true}, socket => {
		sockets.push(socket);
	});
	await new Promise<void>(resolve => {
		endpoint.listen(0, '127.0.0.1', resolve);
	});
	t.teardown(() => {
		endpoint.close();
	});
	store.put('op/config', createConfigurationDocument({
		limits: {
			max_header_bytes: 16_384, max_body_bytes: bodyBytes, header_timeout_ms: 3000, idle_timeout_ms: 15_000, // eslint-disable-line @typescript-eslint/naming-convention
		},
	}));
	store.put('servers/e1', createEndpointDocument({service: 'diaries', address: `127.0.0.1:${(endpoint.address() as AddressInfo).port}`}));
	const document = createSettingsDocument({host: `127.${201 + (process.pid % 50)}.${1 + (threadId % 250)}.1`, store: store.address, seeds: []});
	const program = await t.context.bundle.start(document);
	t.teardown(async () => program.dispose());
	await until(() => program.hasLogged('ready'));
	const caller = await RawCaller.connect(decodeSettings(JSON.stringify(document)).callerAddress);
	caller.write(`POST /bookings/1 HTTP/1.1\r\nHost: office.example\r\nX-Request-Id: left\r\nX-Deadline-Ms: 5000\r\nAuthorization: Bearer key-wick\r\nContent-Length: ${bodyBytes}\r\n\r\n`);
	caller.write(Buffer.alloc(bodyBytes));
	await until(() => sockets.length === 1);
	await delay(200);
	caller.socket.destroy();
	await until(() => program.hasLogged('request-ended'));
	const [socket] = sockets;
	let receivedBytes = 0;
	socket!.on('data', chunk => {
		receivedBytes += chunk.byteLength;
	});
	socket!.on('error', () => {
		// The reset may be reported as an error.
	});
	socket!.resume();
	await new Promise(resolve => {
		socket!.once('close', resolve);
	});
	t.log(`${receivedBytes} bytes received`);
	t.regex(program.output.split('\n').find(line => line.includes(' event=request-ended '))!, / outcome=caller-left /v);
	t.true(receivedBytes < bodyBytes, `${receivedBytes} bytes`);
});
