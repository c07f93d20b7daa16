import {Buffer} from 'node:buffer';
import test from 'ava';
import fc from 'fast-check';
import {decodeConfiguration, decodeEndpoint, SnapshotDecoder} from '../../platform/documents.js';
import {decodeStatement} from '../../platform/endpoint-statement.js';
import {platformProtocol} from '../../platform/request-headers.js';
import {decodeSettings} from '../../platform/settings.js';
import {EventSplitter} from '../../src/gateway/forwarding/event-splitter.js';
import {decodeHeartbeat, decodeMessage, encodeHeartbeat} from '../../src/gateway/membership/heartbeat-codec.js';
import {encodePermitGrant, encodePermitRequest} from '../../src/gateway/permits/permit-codec.js';
import {encodeStatementReports} from '../../src/gateway/statements/statement-report-codec.js';
import {createConfigurationDocument, createEndpointDocument, createSettingsDocument} from '../../standins/platform-documents.js';
import {createHeartbeat} from '../fixtures/gateway/heartbeat.js';
import {testSeed} from '../fixtures/seed.js';

const start = {id: 'engine-1', startedAt: 1_786_000_000_000} as const;

const valid = {
	heartbeat: Buffer.from(encodeHeartbeat(createHeartbeat({inFlight: [['e1', 2]], usage: [['wick', 12.5, 3]], knownHosts: ['10.0.0.3']}))),
	statementReports: Buffer.from(encodeStatementReports([{
		...start, kind: 'limit', perSecond: 4.3, heardBy: '10.0.0.1', heardAt: 1,
	}, {
		...start, kind: 'leaving', heardBy: '10.0.0.1', heardAt: 1,
	}], 5)),
	permitRequest: Buffer.from(encodePermitRequest({
		start, sequence: 7, count: 2, limit: {perSecond: 4.3, heardBy: '10.0.0.1', heardAt: 1},
	}, 5)),
	permitGrant: Buffer.from(encodePermitGrant({start, sequence: 7, count: 2})),
	configuration: Buffer.from(JSON.stringify(createConfigurationDocument())),
	endpoint: Buffer.from(JSON.stringify(createEndpointDocument())),
	settings: Buffer.from(JSON.stringify(createSettingsDocument({host: '10.0.0.1', store: {host: '10.0.0.9', port: 1}, seeds: []}))),
	events: Buffer.from('id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n'),
};

/** Each decoder returns a value of its type or throws an `Error`; nothing else may happen. */
const decoders: Readonly<Record<keyof typeof valid, (bytes: Uint8Array) => unknown>> = {
	heartbeat: bytes => decodeHeartbeat(bytes),
	statementReports: bytes => decodeMessage(bytes),
	permitRequest: bytes => decodeMessage(bytes),
	permitGrant: bytes => decodeMessage(bytes),
	configuration: bytes => decodeConfiguration(Buffer.from(bytes).toString('utf8')),
	endpoint: bytes => decodeEndpoint('e1', Buffer.from(bytes).toString('utf8')),
	settings: bytes => decodeSettings(Buffer.from(bytes).toString('utf8')),
	events: bytes => EventSplitter.create().push(bytes),
};

const mutation = fc.record({
	kind: fc.constantFrom('set', 'insert', 'remove', 'repeat'), at: fc.nat(10_000), value: fc.nat(255), count: fc.integer({min: 1, max: 40}),
});

function mutate(bytes: Uint8Array, {kind, at, value, count}: {kind: string; at: number; value: number; count: number}): Uint8Array {
	const position = at % (bytes.length + 1);
	const [before, after] = [bytes.subarray(0, position), bytes.subarray(position)];
	const mutations: Record<string, Uint8Array[]> = {
		set: [before, Uint8Array.of(value), after.subarray(1)],
		insert: [before, new Uint8Array(count).fill(value), after],
		remove: [before, after.subarray(count)],
		repeat: [before, after.subarray(0, count), after],
	};
	return Buffer.concat(mutations[kind]!);
}

for (const [name, decode] of Object.entries(decoders)) {
	// Guards against a malformed message that takes a whole process down.
	test(`mutated bytes of ${name} are decoded or rejected with an error`, t => {
		const seed = testSeed();
		t.log(`seed ${seed}`);
		t.notThrows(() => {
			fc.assert(fc.property(fc.array(mutation, {minLength: 1, maxLength: 6}), mutations => {
				let bytes: Uint8Array = valid[name as keyof typeof valid];
				for (const next of mutations) {
					bytes = mutate(bytes, next);
				}

				try {
					return decode(bytes) !== null;
				} catch (error) {
					return error instanceof Error;
				}
			}), {seed, numRuns: 2000});
		});
	});
}

test('items of the store with any content are decoded or reported as rejected', t => {
	const seed = testSeed();
	t.log(`seed ${seed}`);
	const item = fc.record({key: fc.oneof(fc.constantFrom('op/config', 'servers/e1', 'op/evacuate/a'), fc.string()), value: fc.string(), revision: fc.nat()});
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(item, {maxLength: 5}), items => {
			const snapshot = SnapshotDecoder.create().decode(items, 1);
			return snapshot.endpoints.length === 0 && snapshot.configuration === undefined;
		}), {seed, numRuns: 1000});
	});
});

test('request headers with any values are decoded without an error', t => {
	const seed = testSeed();
	t.log(`seed ${seed}`);
	const name = fc.constantFrom('x-request-id', 'x-deadline-ms', 'authorization', 'x-token-count', 'x-length-hint', 'last-event-id');
	t.notThrows(() => {
		fc.assert(fc.property(fc.string(), fc.dictionary(name, fc.oneof(fc.string(), fc.array(fc.string()))), (host, headers) => {
			const {remainingMs, tokens} = platformProtocol.decodeRequestHeaders({...headers, host});
			return (remainingMs === undefined || Number.isSafeInteger(remainingMs)) && (tokens === undefined || Number.isSafeInteger(tokens.prompt + tokens.output));
		}), {seed, numRuns: 2000});
	});
});

// Guards against a value that stops all requests to an endpoint, or ends an instance, because it is no number that the endpoint means.
test('any text in the statements of an endpoint gives bounded numbers or none', t => {
	const seed = testSeed();
	t.log(`seed ${seed}`);
	const text = fc.oneof(fc.string(), fc.double().map(String), fc.integer().map(String), fc.tuple(fc.nat(200_000), fc.bigInt({min: 0n})).map(parts => parts.join('.')));
	t.notThrows(() => {
		fc.assert(fc.property(fc.oneof(text, fc.array(text, {maxLength: 3})), value => {
			const {requestsPerSecond = 0, retryAfterMs = 0, isLeaving} = decodeStatement(503, {'server-limit': value, 'retry-after': value, 'server-leaving': value});
			return requestsPerSecond >= 0 && requestsPerSecond < 100_000 && retryAfterMs >= 0 && retryAfterMs < 1e8 && typeof isLeaving === 'boolean';
		}), {seed, numRuns: 2000});
	});
});
