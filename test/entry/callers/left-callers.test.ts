import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {splitAddress} from '../../../src/shared/address.js';
import {blockThread} from '../../fixtures/block-thread.js';
import {CallerServerFixture} from '../../fixtures/caller-servers.js';
import {LeavingCallers, leavings, type Leaving} from '../../fixtures/leaving-callers.js';

const body = '{"model":"summary-8b","stream":true,"messages":[{"role":"user","content":"Summarise the file"}]}';
const request = `POST /v1/chat/completions HTTP/1.1\r\nHost: test\r\nX-Workspace: glasgow\r\nContent-Type: application/json\r\nContent-Length: ${body.length}\r\n\r\n${body}`;

for (const [how, leaving] of Object.entries(leavings) as Array<[string, Leaving]>) {
	// Guards against work for callers that gave up because their requests were not read.
	test.serial(`requests that were not read before their callers left are not submitted (${how})`, async t => {
		const fixture = await CallerServerFixture.start();
		t.teardown(async () => fixture.close());
		const callers = await LeavingCallers.start(splitAddress(fixture.address));
		t.teardown(async () => callers.dispose());
		await delay(100);
		await new Promise<void>(resolve => {
			setImmediate(() => {
				for (const index of [0, 1, 2]) {
					callers.sendAndLeave(index, request, leaving, 100);
				}

				callers.blockUntilLeft(3);
				blockThread(700);
				resolve();
			});
		});
		await delay(300);
		t.deepEqual(fixture.submissions, []);
	});
}
