import test from 'ava';
import {pack} from 'msgpackr';
import {decodeMessage} from '../../../src/gateway/membership/heartbeat-codec.js';
import {encodeStatementReports} from '../../../src/gateway/statements/statement-report-codec.js';

const source = {id: 'engine-1', startedAt: 1_786_000_000_000, heardBy: '10.0.0.1'} as const;

for (const statement of [{kind: 'leaving'}, {kind: 'limit', perSecond: 4.3}, {kind: 'limit', perSecond: undefined}] as const) {
	test(`the report ${JSON.stringify(statement)} arrives as it was sent, with its age`, t => {
		const datagram = encodeStatementReports([{...source, ...statement, heardAt: 700}], 1000);
		t.deepEqual(decodeMessage(datagram), {kind: 'statement-reports', reports: [{...source, ...statement, ageMs: 300}]});
	});
}

test('a report of another form is rejected', t => {
	const valid = ['engine-1', 1, '10.0.0.1', 5, 'leaving'];
	t.notThrows(() => decodeMessage(pack([211, [valid]])));
	for (const content of [
		[211],
		[211, [[]]],
		[211, [[...valid.slice(0, 4), 'other']]],
		[211, [[...valid.slice(0, 2), 'instance.example', 5, 'leaving']]],
		[211, [[...valid.slice(0, 3), -5, 'leaving']]],
		[211, [['x'.repeat(300), ...valid.slice(1)]]],
		[211, [[...valid.slice(0, 4), 'limit', -1]]],
		[211, [[...valid.slice(0, 4), 'limit', 1e300]]],
		[211, Array.from({length: 300}, () => valid)],
	]) {
		t.throws(() => decodeMessage(pack(content)), undefined, `accepted: ${JSON.stringify(content).slice(0, 80)}`);
	}
});
