import test from 'ava';
import {pack} from 'msgpackr';
import {decodeMessage} from '../../../src/gateway/membership/heartbeat-codec.js';
import {encodeStatementReports} from '../../../src/gateway/statements/statement-report-codec.js';

test('a report arrives as it was sent, with its age', t => {
	const report = {
		id: 'engine-1', startedAt: 1_786_000_000_000, heardBy: '10.0.0.1', kind: 'leaving',
	} as const;
	t.deepEqual(decodeMessage(encodeStatementReports([{...report, heardAt: 700}], 1000)), {kind: 'statement-reports', reports: [{...report, ageMs: 300}]});
});

test('a report of another form is rejected', t => {
	const valid = ['engine-1', 1, '10.0.0.1', 5, 0];
	t.notThrows(() => decodeMessage(pack([211, [valid]])));
	for (const content of [
		[211],
		[211, [[]]],
		[211, [[...valid.slice(0, 4), 9]]],
		[211, [[...valid.slice(0, 2), 'instance.example', 5, 0]]],
		[211, [[...valid.slice(0, 3), -5, 0]]],
		[211, [['x'.repeat(300), ...valid.slice(1)]]],
		[211, Array.from({length: 300}, () => valid)],
	]) {
		t.throws(() => decodeMessage(pack(content)), undefined, `accepted: ${JSON.stringify(content).slice(0, 80)}`);
	}
});
