import test from 'ava';
import {pack} from 'msgpackr';
import {decodeMessage} from '../../../src/gateway/membership/heartbeat-codec.js';
import {encodePermitGrant, encodePermitRequest} from '../../../src/gateway/permits/permit-codec.js';

const start = {id: 'engine-1', startedAt: 1_786_000_000_000} as const;

test('a request arrives as it was sent, with the age of the limit', t => {
	const datagram = encodePermitRequest({
		start, sequence: 9, count: 3, limit: {perSecond: 4.3, heardBy: '10.0.0.1', heardAt: 600},
	}, 1000);
	t.deepEqual(decodeMessage(datagram), {
		kind: 'permit-request',
		request: {
			start, sequence: 9, count: 3, limit: {perSecond: 4.3, heardBy: '10.0.0.1', ageMs: 400},
		},
	});
});

test('a grant arrives as it was sent', t => {
	const grant = {start, sequence: 9, count: 3};
	t.deepEqual(decodeMessage(encodePermitGrant(grant)), {kind: 'permit-grant', grant});
});

test('messages of another form, or with numbers that no instance sends, are rejected', t => {
	for (const content of [
		[221],
		[222],
		[222, 'engine-1', 1, 9, 0],
		[222, 'engine-1', 1, 9, 1e6],
		[222, 'engine-1', -1, 9, 1],
		[222, 'x'.repeat(300), 1, 9, 1],
		[221, 'engine-1', 1, 9, 1, -4, '10.0.0.1', 5],
		[221, 'engine-1', 1, 9, 1, 1e300, '10.0.0.1', 5],
		[221, 'engine-1', 1, 9, 1, 4, 'instance.example', 5],
		[221, 'engine-1', 1, 9, 1, 4, '10.0.0.1', -5],
	]) {
		t.throws(() => decodeMessage(pack(content)), undefined, `accepted: ${JSON.stringify(content).slice(0, 80)}`);
	}
});
