import test from 'ava';
import {platformProtocol} from '../../platform/index.js';

const {decodeRequestHeaders, encodeEndpointHeaders, decodeResponseHeaders, encodeCallerHeaders} = platformProtocol;

function toHeaderMap(headers: readonly string[]): Map<string, string> {
	const map = new Map<string, string>();
	for (let index = 0; index < headers.length; index += 2) {
		map.set(headers[index]!.toLowerCase(), headers[index + 1]!);
	}

	return map;
}

test('decodes the request headers that the gateway uses', t => {
	t.deepEqual(decodeRequestHeaders({
		host: 'Office.example:8080',
		'x-request-id': 'r1',
		'x-deadline-ms': '1500',
		authorization: 'Bearer secret',
		'x-token-count': '1460,80',
		'x-length-hint': '42',
		'last-event-id': '12',
		'x-prompt-prefix': '5C1E07A2:800, 91bd3f06:410,e4402b7d:250',
	}), {
		requestId: 'r1',
		host: 'office.example',
		remainingMs: 1500,
		key: 'secret',
		tokens: {prompt: 1460, output: 80},
		expectedOutputTokens: 42,
		lastEventId: '12',
		sharedPromptParts: ['5c1e07a2', '91bd3f06'],
	});
});

// Guards against a malformed key, which no workspace holds, that is taken for no key.
test('all that follows the scheme of bearer credentials is the key, and other credentials carry none', t => {
	const keyOf = (authorization: string | undefined) => decodeRequestHeaders({host: 'a', authorization}).key;
	t.deepEqual(['Bearer secret', 'bearer   secret', 'BEARER\tsecret', 'Bearer two keys', 'Bearer'].map(text => keyOf(text)), ['secret', 'secret', 'secret', 'two keys', '']);
	t.deepEqual([undefined, '', 'secret', 'Basic c2VjcmV0', 'Bearers secret'].map(text => keyOf(text)), Array.from({length: 5}, () => undefined));
});

test('a prompt without parts, or with its own part alone, has no shared parts', t => {
	for (const value of [undefined, '', ',', 'e4402b7d:250', ':4,:5']) {
		t.deepEqual(decodeRequestHeaders({host: 'a', 'x-prompt-prefix': value}).sharedPromptParts, []);
	}
});

test('the number of parts that are read from a prompt is bounded', t => {
	const value = Array.from({length: 2000}, (_, index) => `${index}:1`).join(',');
	t.is(decodeRequestHeaders({host: 'a', 'x-prompt-prefix': value}).sharedPromptParts.length, 16);
});

test('values that are not whole numbers count as missing', t => {
	t.like(decodeRequestHeaders({
		host: 'a', 'x-deadline-ms': '1e3', 'x-token-count': '-4,x', 'x-length-hint': 'long',
	}), {
		remainingMs: undefined, tokens: undefined, expectedOutputTokens: undefined,
	});
});

test('the key, headers that a caller may not set, and headers of its connection are not forwarded', t => {
	const headers = toHeaderMap(encodeEndpointHeaders({
		rawHeaders: [
			'Host',
			'office.example',
			'X-Request-Id',
			'r1',
			'Authorization',
			'Bearer secret',
			'X-Tenant',
			'forged',
			'X-Hold',
			'h',
			'X-Pin-Ms',
			'1',
			'X-Kv-Backup',
			'b',
			'Kv-From',
			'k',
			'Kv-Fetch',
			'f',
			'X-Expect-Version',
			'3',
			'Connection',
			'keep-alive, X-Hop',
			'X-Hop',
			'1',
			'Transfer-Encoding',
			'chunked',
			'X-Model',
			'm',
			'X-Deadline-Ms',
			'99999',
		],
		endpointId: 'i-1', remainingMs: 800, workspace: 'wick',
	}));
	t.deepEqual([...headers], [
		['host', 'office.example'],
		['x-request-id', 'r1'],
		['x-model', 'm'],
		['x-expect-instance', 'i-1'],
		['x-deadline-ms', '800'],
		['x-tenant', 'wick'],
	]);
});

test('a resumed stream names the last event that the caller has received', t => {
	const rawHeaders = ['Last-Event-Id', '3'];
	t.is(toHeaderMap(encodeEndpointHeaders({rawHeaders, endpointId: 'i', lastEventId: '9'})).get('last-event-id'), '9');
	t.is(toHeaderMap(encodeEndpointHeaders({rawHeaders, endpointId: 'i'})).get('last-event-id'), '3');
});

test('a request counts as not run only when the endpoint says so', t => {
	t.true(decodeResponseHeaders(503, {'x-not-executed': '1'}).isNotRun);
	t.true(decodeResponseHeaders(421, {}).isNotRun);
	t.false(decodeResponseHeaders(503, {'x-response-seal': 's'}).isNotRun);
});

test('a response without the signature header is not sealed', t => {
	t.false(decodeResponseHeaders(200, {}).isSealed);
	t.true(decodeResponseHeaders(200, {'x-response-seal': 's', 'content-encoding': 'gzip'}).hasContentEncoding);
});

test('callers receive the headers of the response but not those of its connection', t => {
	t.deepEqual(encodeCallerHeaders({
		'x-response-seal': 's', connection: 'close', 'keep-alive': 'timeout=5', 'transfer-encoding': 'chunked',
	}), {'x-response-seal': 's'});
});
