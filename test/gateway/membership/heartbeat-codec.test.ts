import {Buffer} from 'node:buffer';
import test from 'ava';
import {pack} from 'msgpackr';
import {decodeHeartbeat, encodeHeartbeat} from '../../../src/gateway/membership/heartbeat-codec.js';

test('encoding and decoding a heartbeat returns the same values', t => {
	const heartbeat = {
		host: '10.0.0.2', availabilityZone: 'a', incarnation: 2 ** 46, sequence: 3, isLeaving: false, inFlight: [['e1', 2]] as const, usage: [['wick', 12.5, -3]] as const, knownHosts: ['10.0.0.3'],
	};
	t.deepEqual(decodeHeartbeat(encodeHeartbeat(heartbeat)), heartbeat);
});

test('datagrams that are not heartbeats of this format are rejected', t => {
	t.throws(() => decodeHeartbeat(Buffer.from('hello')));
	t.throws(() => decodeHeartbeat(pack([2, 'x'])));
});
