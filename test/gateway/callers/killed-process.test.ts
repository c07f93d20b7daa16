import {setTimeout as delay} from 'node:timers/promises';
import anyTest, {type TestFn} from 'ava';
import {GatewayBundle} from '../../fixtures/gateway/gateway-program.js';
import {ProgramSite} from '../../fixtures/gateway/program-site.js';
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
		const response = site.send(path);
		await until(() => site.endpoint.requestIds.length === 1);
		// The caller has received the events by then.
		await delay(100);
		site.program.child.kill('SIGKILL');
		t.like(await response, {status: 200, isComplete: false, body: events[0]! + events[1]!});
	});

	test(`a stream at ${path} without a length is whole when its endpoint ends it in order`, async t => {
		const site = await ProgramSite.start(t.context.bundle, ({requestId, socket}) => {
			socket.end(unframedHead(requestId) + events.join(''));
		});
		t.teardown(async () => site.dispose());
		t.like(await site.send(path), {status: 200, isComplete: true, body: events.join('')});
	});
}
