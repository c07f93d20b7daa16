import anyTest, {type TestFn} from 'ava';
import {GatewayBundle} from '../../fixtures/gateway/gateway-program.js';
import {ProgramSite} from '../../fixtures/gateway/program-site.js';
import {RawCaller} from '../../fixtures/gateway/raw-caller.js';
import {unframedHead} from '../../fixtures/gateway/raw-endpoint.js';
import {until} from '../../fixtures/until.js';

const test = anyTest as TestFn<{bundle: GatewayBundle}>;

const events = [1, 2, 3].map(id => `id: ${id}\ndata: event ${id}\n\n`);

test.before(async t => {
	t.context.bundle = await GatewayBundle.build();
});

test.after.always(async t => {
	await t.context.bundle.dispose();
});

for (const path of ['/streams/1', '/drafts/1']) {
	// Guards against a stream that looks whole because the operating system closes the connections of a killed process in order.
	test(`a stream at ${path} without a length does not look whole when its process is killed in the middle of it`, async t => {
		const site = await ProgramSite.start(t.context.bundle, ({requestId, socket}) => {
			socket.write(unframedHead(requestId) + events[0]! + events[1]!);
		});
		t.teardown(async () => site.dispose());
		const caller = await RawCaller.connect(site.settings.callerAddress);
		caller.write(`POST ${path} HTTP/1.1\r\nHost: office.example\r\nX-Request-Id: killed\r\nX-Deadline-Ms: 5000\r\nAuthorization: Bearer key-wick\r\nContent-Length: 1\r\n\r\nx`);
		await until(() => caller.text.includes(events[1]!));
		site.program.child.kill('SIGKILL');
		await caller.waitForEnd();
		t.regex(caller.text, /^HTTP\/1\.1 200 .*transfer-encoding: chunked\r\n/isv);
		t.true(caller.text.includes(events[1]!));
		t.false(caller.text.endsWith('0\r\n\r\n'), 'the last chunk is missing');
	});

	test(`a stream at ${path} without a length is whole when its endpoint ends it in order`, async t => {
		const site = await ProgramSite.start(t.context.bundle, ({requestId, socket}) => {
			socket.end(unframedHead(requestId) + events.join(''));
		});
		t.teardown(async () => site.dispose());
		t.like(await site.send(path), {status: 200, isComplete: true, body: events.join('')});
	});
}
