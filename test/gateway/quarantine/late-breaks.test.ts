import test from 'ava';
import {crashMoments, PlatformEndpoint} from '../../../standins/platform-endpoint.js';
import {blockThread} from '../../fixtures/block-thread.js';
import {call} from '../../fixtures/gateway/caller.js';
import {GatewaySite} from '../../fixtures/gateway/gateway-site.js';
import {until} from '../../fixtures/until.js';

/** Longer than a request has to run to count as a survival. */
const busyMs = 400;

// Guards against a part at fault that counts as sound, because a busy instance reads late that the connection of its request broke.
test('a request whose connection broke right after its first event is no survival, however late the instance reads it', async t => {
	const site = await GatewaySite.start();
	t.teardown(async () => site.dispose());
	const engine: PlatformEndpoint = await PlatformEndpoint.listen({
		id: 'engine', isEngine: true, crashingParts: new Set(['bad']), crashMoment: crashMoments.afterEvent,
		onCrash() {
			void engine.dispose();
			blockThread(busyMs);
		},
	});
	t.teardown(async () => engine.dispose());
	site.register(engine);
	const gateway = await site.addGateway();
	const {body} = await call(gateway, {
		path: '/drafts/1', method: 'POST', body: 'x', headers: {'x-prompt-prefix': 'first:50,bad:50,own:50'},
	});
	t.true(body.includes('id: 1'));
	await until(() => gateway.memoryLog.linesOf('endpoint-crashed').length > 0);
	t.true(gateway.memoryLog.linesOf('endpoint-crashed').some(line => line.includes('suspects=1')));
});
