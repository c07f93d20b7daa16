import test from 'ava';
import {decodeConfiguration, decodeEndpoint, SnapshotDecoder} from '../../platform/documents.js';
import {encodeValue} from '../fixtures/gateway/documents.js';

/* eslint-disable @typescript-eslint/naming-convention -- the platform's names */
const route = {
	name: 'r-1', host: 'Office.example', path_prefix: '/a/', kind: 'non_idempotent', timeout_ms: 2000, target_latency_ms: 300, priority: 2, service: 'diary', max_attempts: 1,
};

const configuration = {
	version: 7,
	routes: [route, {
		...route, name: 'r-2', kind: 'streaming', service: undefined, backends: [{service: 'x', weight: 90}, {service: 'y', weight: 10}], resumable: true, allow_anonymous: true,
	}],
	services: [{
		name: 'x', max_connections: 490, cold_start_s: 3, cold_per_s: 23, engine: {slots: 17},
	}, {name: 'diary'}],
	limits: {
		max_header_bytes: 1, max_body_bytes: 2, header_timeout_ms: 3, idle_timeout_ms: 4,
	},
	tenants: [
		{
			name: 'wick', api_keys: ['k'], priority: 1, unit: 'tokens', plain_tokens: 200, rate_per_s: 10, burst: 20,
		},
		{
			name: 'free', api_keys: [], rate_per_s: 0, burst: 0,
		},
	],
};

const endpoint = {
	service: 'x', address: '10.0.0.1:80', zone: 'a', slots: 17, state: 'draining', cold_remaining_ms: 900, born: 12, later_field: true,
};
/* eslint-enable @typescript-eslint/naming-convention */

test('decodes a configuration into the types of the gateway', t => {
	const decoded = decodeConfiguration(JSON.stringify(configuration));
	t.is(decoded.version, 7);
	t.like(decoded.routes[0], {
		host: 'office.example', kind: 'non-idempotent', tier: 2, targets: [{service: 'diary', weight: 1}], maximumEndpoints: 1, isResumable: false, allowsAnonymous: false,
	});
	t.like(decoded.routes[1], {kind: 'streaming', isResumable: true, allowsAnonymous: true});
	t.deepEqual(decoded.routes[1]?.targets, [{service: 'x', weight: 90}, {service: 'y', weight: 10}]);
	t.like(decoded.services[0], {
		coldStartMs: 3000, coldRequestsPerSecond: 23, maximumConnections: 490,
	});
	t.like(decoded.services[1], {coldRequestsPerSecond: 0});
	t.like(decoded.limits, {
		headerBytes: 1, bodyBytes: 2, headerTimeoutMs: 3, idleTimeoutMs: 4,
	});
});

// Guards against a configuration without its last workspace that looks like one of a site without keys.
test('an empty list of workspaces differs from none', t => {
	t.deepEqual(decodeConfiguration(JSON.stringify({...configuration, tenants: []})).workspaces, []);
	t.is(decodeConfiguration(JSON.stringify({...configuration, tenants: undefined})).workspaces, undefined);
});

test('a workspace whose rate is 0 has no quota', t => {
	const {workspaces} = decodeConfiguration(JSON.stringify(configuration));
	t.deepEqual(workspaces?.[0]?.quota, {
		unit: 'tokens', perSecond: 10, burst: 20, defaultTokens: 200,
	});
	t.is(workspaces?.[1]?.quota, undefined);
});

test('decodes an endpoint and ignores unknown fields', t => {
	t.deepEqual(decodeEndpoint('i-1', JSON.stringify(endpoint)), {
		id: 'i-1', startedAt: 12, service: 'x', address: '10.0.0.1:80', availabilityZone: 'a', slots: 17, isLeaving: true, coldRemainingMs: 900,
	});
});

const invalidEndpoints: Array<[string, unknown]> = [
	['an unknown state', {...endpoint, state: 'resting'}],
	['a missing service', {...endpoint, service: undefined}],
	['an address without a port', {...endpoint, address: '10.0.0.1'}],
	['slots of another type', {...endpoint, slots: '17'}],
	['text that is not JSON', '{"service":'],
	['port 0', {...endpoint, address: '10.0.0.1:0'}],
	['a port out of range', {...endpoint, address: '10.0.0.1:99999'}],
	['a host out of range', {...endpoint, address: '10.0.0.300:80'}],
	['a cold time beyond all numbers', {...endpoint, cold_remaining_ms: 1e308}], // eslint-disable-line @typescript-eslint/naming-convention
	['a cold time of years', {...endpoint, cold_remaining_ms: 1e12}], // eslint-disable-line @typescript-eslint/naming-convention
	['more slots than any endpoint has', {...endpoint, slots: 1e15}],
	['a start beyond all times', {...endpoint, born: 1e300}],
	['a number that becomes infinite', JSON.stringify(endpoint).replace('"slots":17', '"slots":1e999')],
	['a value that is nested very deeply', `{"service":${'['.repeat(200_000)}${']'.repeat(200_000)}}`],
	['a field that is nested very deeply', JSON.stringify(endpoint).replace('"state"', `"state":${'{"a":'.repeat(100_000)}1${'}'.repeat(100_000)},"x"`)],
];

for (const [defect, value] of invalidEndpoints) {
	test(`a record with ${defect} is rejected and does not affect the others`, t => {
		const snapshot = SnapshotDecoder.create().decode([
			{key: 'servers/broken', value: encodeValue(value), revision: 2},
			{key: 'servers/sound', value: encodeValue(endpoint), revision: 3},
		], 9);
		t.deepEqual(snapshot.endpoints.map(({id}) => id), ['sound']);
		t.deepEqual(snapshot.rejected.map(({key}) => key), ['servers/broken']);
	});
}

test('a value that is not UTF-8 is rejected', t => {
	const {rejected} = SnapshotDecoder.create().decode([{key: 'servers/bytes', value: '/w==', revision: 1}], 1);
	t.is(rejected.length, 1);
});

test('reads evacuated zones from their keys and ignores unknown keys', t => {
	const snapshot = SnapshotDecoder.create().decode([
		{key: 'my/leader', value: encodeValue('x'), revision: 1},
		{key: 'op/evacuate/zone-a', value: encodeValue({}), revision: 2},
	], 2);
	t.deepEqual([...snapshot.evacuatedZones], ['zone-a']);
	t.deepEqual(snapshot.rejected, []);
});

test('an unchanged item is not decoded again, a changed one is', t => {
	const decoder = SnapshotDecoder.create();
	const item = {key: 'op/config', value: encodeValue(configuration), revision: 5};
	const first = decoder.decode([item], 5).configuration;
	t.is(decoder.decode([item], 6).configuration, first);
	t.not(decoder.decode([{...item, revision: 7}], 7).configuration, first);
});

test('a configuration without routes is rejected and reported', t => {
	const {configuration: decoded, rejected} = SnapshotDecoder.create().decode([{key: 'op/config', value: encodeValue({version: 1}), revision: 1}], 1);
	t.is(decoded, undefined);
	t.is(rejected[0]?.key, 'op/config');
});

// Guards against requests that fail because an endpoint has an id that no header can hold.
for (const id of ['with a space', 'line\r\nbreak', 'ümlaut', '', 'x'.repeat(300)]) {
	test(`a record with the id ${JSON.stringify(id.slice(0, 12))} of ${id.length} characters is rejected`, t => {
		const {endpoints, rejected} = SnapshotDecoder.create().decode([{key: `servers/${id}`, value: encodeValue(endpoint), revision: 2}], 9);
		t.deepEqual(endpoints, []);
		t.is(rejected.length, 1);
	});
}

test('a sound record with a deeply nested field that is not known holds', t => {
	const text = JSON.stringify(endpoint).replace('"later_field":true', `"later_field":${'['.repeat(200_000)}${']'.repeat(200_000)}`);
	t.is(decodeEndpoint('i-1', text).slots, 17);
});
