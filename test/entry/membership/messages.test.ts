import test from 'ava';
import fc from 'fast-check';
import {pack} from 'msgpackr';
import {
	decodeMessage, encodeMessage, MalformedMessageError, messageSchemas, UnknownMessageKindError, type PeerMessage,
} from '../../../src/entry/membership/messages.js';
import {testSeed} from '../../fixtures/seed.js';

const examples: PeerMessage[] = [
	{
		kind: 'hello',
		slot: 'entry-1',
		incarnation: 'a',
		region: 'region',
		availabilityZone: 'zone-a',
		protocol: 1,
		addresses: {callers: '127.0.0.1:1', peers: '127.0.0.1:2', operators: '127.0.0.1:3'},
		peers: [{slot: 'entry-2', incarnation: 'b', address: '127.0.0.1:4'}],
	},
	{
		kind: 'heartbeat',
		sequence: 1,
		incarnation: 'a',
		configurationVersion: 7,
		configurationDigest: 'd',
		leaving: false,
		waitingByTier: {drafts: Object.fromEntries([['0', 3], ['4', 1]])},
		freeUnits: {'engine-1': 4},
		phases: [{
			endpoint: 'engine-1', epoch: 3, phase: 'cold', limit: 2,
		}],
	},
	{
		kind: 'heartbeat-reply', sequence: 1, configurationVersion: 7, accepted: true, bindingId: 'b/1', bindingMilliseconds: 2000,
	},
	{
		kind: 'heartbeat-reply', sequence: 1, configurationVersion: 7, accepted: false, reason: 'slot-bound',
	},
	{kind: 'goodbye', incarnation: 'a', clean: true},
	{kind: 'configuration-request', atLeast: 3},
	{
		kind: 'configuration-document', version: 3, base: {tiers: {}}, overlay: {},
	},
	{
		kind: 'borrow-request', borrowId: 'a/1', endpoint: 'engine-1', units: 2, tier: 0,
	},
	{
		kind: 'borrow-reply', borrowId: 'a/1', loanId: 'b/1', units: [0, 5],
	},
	{kind: 'borrow-reply', borrowId: 'a/1', units: []},
	{kind: 'borrow-cancel', borrowId: 'a/1'},
	{kind: 'loan-renew', loanIds: ['b/1']},
	{kind: 'loan-return', loanId: 'b/1'},
	{
		kind: 'displace-request', displaceId: 'a/2', service: 'drafts', tier: 1,
	},
	{kind: 'displace-reply', displaceId: 'a/2', displaced: false},
	{
		kind: 'endpoint-phase', endpoint: 'engine-1', epoch: 4, phase: 'warming', limit: 4, reason: 'answers at normal speed',
	},
	{
		kind: 'endpoint-answer', endpoint: 'engine-1', epoch: 4, firstTokenMilliseconds: 120.5, uncertaintyMilliseconds: 40, requestId: 'entry-1_a_1', isStream: false,
	},
	{kind: 'units-above-limit', endpoint: 'engine-1', units: 2},
];

// Guards against a field that the schema drops or the encoding changes.
test('every kind of message is unchanged after encoding and decoding', t => {
	for (const message of examples) {
		t.deepEqual(decodeMessage(encodeMessage(message)), message);
	}

	t.deepEqual([...new Set(examples.map(({kind}) => kind))].toSorted(), Object.keys(messageSchemas).toSorted());
});

// Guards against treating messages of a later version as malformed: unknown kinds don't count towards closing a connection.
test('a message of an unknown kind is distinguished from a malformed one', t => {
	t.throws(() => decodeMessage(pack({kind: 'toString'})), {name: 'UnknownMessageKindError', message: 'unknown message kind "toString"'});
});

// Guards against invalid values that reach the scheduler's totals.
test('messages with missing, invalid or negative fields are malformed', t => {
	const invalid: unknown[] = [
		undefined,
		null,
		7,
		'goodbye',
		[],
		{},
		{kind: 3},
		{kind: 'goodbye', incarnation: 'a'},
		{kind: 'goodbye', incarnation: '', clean: true},
		{kind: 'configuration-request', atLeast: -1},
		{kind: 'configuration-request', atLeast: 0.5},
		{
			kind: 'borrow-request', borrowId: 'a', endpoint: 'e', units: 0, tier: 0,
		},
		{
			kind: 'heartbeat-reply', sequence: 1, configurationVersion: 1, accepted: false, reason: 'no',
		},
	];
	for (const value of invalid) {
		t.throws(() => decodeMessage(pack(value)), {name: 'MalformedMessageError'}, `${JSON.stringify(value)}`);
	}
});

// Guards against a corrupted or malicious message that ends the process with an unexpected error.
test('any bytes decode to a message or a typed error', t => {
	const seed = testSeed();
	t.log(`seed ${seed}; repeat with TEST_SEED=${seed}`);
	const corrupted = fc.record({
		example: fc.constantFrom(...examples), position: fc.nat(), value: fc.nat({max: 255}), length: fc.nat(),
	}).map(({example, position, value, length}) => {
		const bytes = Uint8Array.from(encodeMessage(example));
		bytes[position % bytes.length] = value;
		return bytes.subarray(0, 1 + (length % bytes.length));
	});
	const result = fc.check(fc.property(fc.oneof(fc.uint8Array({maxLength: 64}), corrupted), bytes => {
		try {
			return Object.hasOwn(messageSchemas, decodeMessage(bytes).kind);
		} catch (error) {
			return error instanceof MalformedMessageError || error instanceof UnknownMessageKindError;
		}
	}), {seed, numRuns: 5000});
	t.false(result.failed, `${fc.defaultReportMessage(result)}`);
});
