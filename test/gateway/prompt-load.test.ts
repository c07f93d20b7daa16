import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {splitAddress} from '../../src/shared/address.js';
import {SystemClock} from '../../src/shared/clock.js';
import {RandomSource} from '../../standins/random-source.js';
import type {Gateway} from '../fixtures/gateway/gateway-site.js';
import {MemoryLog} from '../fixtures/gateway/memory-log.js';
import {runPromptLoad} from '../fixtures/gateway/prompt-load.js';
import {RawEndpoint} from '../fixtures/gateway/raw-endpoint.js';

const timeoutMs = 300;

for (const [title, bytes] of [['an answer', ''], ['the rest of its answer', 'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf']] as const) {
	// Guards against a test of the gateway that waits without end, and tells nothing, for a request that the gateway forgot.
	test(`a load reports a request that never gets ${title}, with what its instance has logged of it`, async t => {
		const instance = await RawEndpoint.listen(({socket}) => {
			socket.write(bytes);
		});
		t.teardown(async () => instance.dispose());
		const memoryLog = MemoryLog.create(SystemClock.create());
		const gateway = {settings: {callerAddress: splitAddress(instance.address)}, memoryLog} as unknown as Gateway;
		const abortController = new AbortController();
		const load = runPromptLoad({
			gateways: [gateway], random: RandomSource.create(1), nextParts: () => ['first'], perSecond: 20, timeoutMs,
		}, abortController.signal);
		await delay(100);
		const [requestId] = instance.requestIds;
		memoryLog.log.event('request-dispatched', {requestId});
		memoryLog.log.event('request-dispatched', {requestId: `${requestId}0`});
		abortController.abort();
		const {message} = await t.throwsAsync(load);
		t.regex(message, /^\d+ of \d+ requests have no end:\n/v);
		t.regex(message, new RegExp(String.raw`${requestId} with first, status \w+\n.*request-dispatched.*requestId=${requestId}\n`, 'v'));
		t.false(message.includes(`requestId=${requestId}0`));
	});
}
