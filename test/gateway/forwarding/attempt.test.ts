import {Buffer} from 'node:buffer';
import test from 'ava';
import {platformProtocol} from '../../../platform/index.js';
import {Attempt} from '../../../src/gateway/forwarding/attempt.js';
import {createRoute} from '../../fixtures/gateway/documents.js';

// Guards against an endpoint that gets no requests after a moment of silence, because it seems to be slow.
test('a moment of silence does not count in the interval between events', t => {
	const attempt = Attempt.create({
		endpointId: 'engine-1', requestId: 'r1', method: 'POST', route: createRoute(), protocol: platformProtocol, sentAt: 0, isContinuation: false, isCallerResponseUnframed: false,
	});
	attempt.acceptHead({status: 200, headers: {'x-request-id': 'r1', 'x-response-seal': 's', 'content-type': 'text/event-stream'}}, 100);
	for (const [index, at] of [200, 250, 300, 2200, 2250, 2300].entries()) {
		attempt.acceptData(Buffer.from(`id: ${index + 1}\ndata: event\n\n`), at);
	}

	t.is(attempt.eventIntervalMs, 50);
});
