import {Buffer} from 'node:buffer';
import test from 'ava';
import {pack} from 'msgpackr';
import {decodeBeat, encodeBeat} from '../../../src/gateway/membership/beat-codec.js';

test('a beat survives its way', t => {
	const beat = {
		host: '10.0.0.2', availabilityZone: 'a', incarnation: 2 ** 46, sequence: 3, isLeaving: false, runs: [['e1', 2]] as const, usage: [['wick', 12.5, -3]] as const, knownHosts: ['10.0.0.3'],
	};
	t.deepEqual(decodeBeat(encodeBeat(beat)), beat);
});

test('other datagrams are errors', t => {
	t.throws(() => decodeBeat(Buffer.from('hello')));
	t.throws(() => decodeBeat(pack([2, 'x'])));
});
