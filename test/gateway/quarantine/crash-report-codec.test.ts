import test from 'ava';
import {pack} from 'msgpackr';
import {decodeMessage} from '../../../src/gateway/membership/heartbeat-codec.js';
import {encodeCrashReport} from '../../../src/gateway/quarantine/crash-report-codec.js';
import {partKeysOf} from '../../../src/gateway/quarantine/part-keys.js';

test('a report arrives as it was sent', t => {
	const report = {
		crashes: [{
			endpointId: 'engine-1', startedAt: 1_786_000_000_000, ageMs: 120, suspects: [['5c1e07a2', '91bd3f06'], ['5c1e07a2']], comparisons: Object.fromEntries([['10.0.0.1', {survived: 12, crashed: 3}]]),
		}],
		survivals: [{part: '5c1e07a2', ageMs: 4}],
		convictions: [['91bd3f06']],
	};
	t.deepEqual(decodeMessage(encodeCrashReport(report)), {kind: 'crash-report', report});
});

test('a report of another form or with too much content is rejected', t => {
	for (const content of [
		[201],
		[201, [], []],
		[201, [['e', 1, -5, [], []]], [], []],
		[201, [['e', 1, 5, [['x'.repeat(65)]], []]], [], []],
		[201, [], Array.from({length: 300}, () => ['part', 1]), []],
		[201, [['e', 1, Number.POSITIVE_INFINITY, [], []]], [], []],
		[201, [['e', 1, 5, [], [['10.0.0.1', -1, 0]]]], [], []],
		[201, [], [], [[]]],
	]) {
		t.throws(() => decodeMessage(pack(content)));
	}
});

test('ids of any length become keys of bounded length, equal ids equal keys', t => {
	t.deepEqual(partKeysOf(['5c1e07a2', '91bd3f06', '5c1e07a2']), ['5c1e07a2', '91bd3f06']);
	const [key] = partKeysOf(['f'.repeat(10_000)]);
	t.true(key!.length < 32);
	t.deepEqual(partKeysOf(['f'.repeat(10_000)]), [key!]);
	t.notDeepEqual(partKeysOf(['f'.repeat(10_001)]), [key!]);
});
