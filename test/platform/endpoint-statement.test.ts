import test from 'ava';
import {decodeStatement} from '../../platform/endpoint-statement.js';

test('a response without such headers states nothing', t => {
	t.deepEqual(decodeStatement(200, {'content-length': '3'}), {
		requestsPerSecond: undefined, isLeaving: false, retryAfterMs: undefined, unreadable: {},
	});
});

for (const [text, requestsPerSecond] of [['4', 4], ['4.3', 4.3], ['0', 0], ['0.2', 0.2], [' 7 ', 7], ['4,4', 4], ['5, 3.5', 3.5]] as const) {
	test(`the limit ${JSON.stringify(text)} is read as ${requestsPerSecond} requests a second`, t => {
		t.like(decodeStatement(200, {'server-limit': text}), {requestsPerSecond, unreadable: {}});
	});
}

for (const text of ['', 'four', '-1', '1e999', '9'.repeat(400), 'Infinity', 'NaN', '0x10', '.5', '5.']) {
	// Guards against a value that stops all requests, or allows any number, because it is not a number that the endpoint means.
	test(`a limit and a retry time ${JSON.stringify(text.slice(0, 10))} of ${text.length} characters state nothing and are reported`, t => {
		const statement = decodeStatement(503, {'server-limit': text, 'retry-after': text});
		t.is(statement.requestsPerSecond, undefined);
		t.is(statement.retryAfterMs, undefined);
		t.deepEqual(Object.keys(statement.unreadable), ['server-limit', 'retry-after']);
		t.true(statement.unreadable['server-limit']!.length <= 40);
	});
}

test('of repeated limits the lowest one counts, beside values that can\'t be read', t => {
	t.like(decodeStatement(200, {'server-limit': ['6', 'many', '2']}), {requestsPerSecond: 2, unreadable: {'server-limit': 'many'}});
});

for (const [status, retryAfterMs] of [[503, 1500], [429, 1500], [200, undefined], [500, undefined]] as const) {
	test(`a retry time in a response with status ${status} is read as ${retryAfterMs}`, t => {
		t.is(decodeStatement(status, {'retry-after': '1.5'}).retryAfterMs, retryAfterMs);
	});
}

test('a retry time that is a date states nothing, because the clock of the endpoint is not known', t => {
	t.like(decodeStatement(503, {'retry-after': 'Fri, 31 Dec 2027 23:59:59 GMT'}), {retryAfterMs: undefined, unreadable: {'retry-after': 'Fri'}});
});

for (const [text, isLeaving, unreadable] of [['1', true, {}], ['0', false, {}], ['yes', false, {'server-leaving': 'yes'}]] as const) {
	test(`the leaving statement ${text} is read as ${isLeaving}`, t => {
		t.like(decodeStatement(200, {'server-leaving': text}), {isLeaving, unreadable});
	});
}
