import test from 'ava';
import fc from 'fast-check';
import {AuditTrail} from '../../../src/entry/observability/index.js';
import {auditEntrySchema, type AuditEntry} from '../../../src/shared/audit.js';
import {ManualClock} from '../../fixtures/manual-clock.js';

// Guards against an audit trail that grows without bound, and against entries that are missing or duplicated when an operator continues reading from a sequence number.
test('the trail keeps the latest entries up to its capacity, in order', t => {
	fc.assert(fc.property(fc.integer({min: 1, max: 20}), fc.integer({min: 0, max: 60}), fc.integer({min: 0, max: 70}), (capacity, recorded, after) => {
		const trail = AuditTrail.create({clock: ManualClock.create(), capacity});
		for (let index = 0; index < recorded; index++) {
			trail.record({event: 'lease-lost', reason: `reason ${index}`});
		}

		const expected: number[] = [];
		for (let sequence = Math.max(after, recorded - capacity) + 1; sequence <= recorded; sequence++) {
			expected.push(sequence);
		}

		t.deepEqual(trail.entries({after}).map(entry => entry.sequence), expected);
		t.is(trail.oldestSequence, recorded === 0 ? undefined : Math.max(1, recorded - capacity + 1));
		t.is(trail.lastSequence, recorded);
	}));
});

test('an entry has the wall-clock time, its actor and its details', t => {
	const clock = ManualClock.create(1000);
	const trail = AuditTrail.create({clock});
	const printed: AuditEntry[] = [];
	const logged = AuditTrail.create({
		clock, onEntry(entry) {
			printed.push(entry);
		},
	});
	const record = {
		event: 'availability-zone-out', availabilityZone: 'scotland-a', version: 7, actor: 'configuration-service',
	} as const;
	trail.record(record);
	logged.record(record);
	clock.advance(500);
	trail.record({event: 'lease-lost', reason: 'expired'});
	t.deepEqual(trail.entries(), [
		{
			sequence: 1, wallTime: 1000, event: 'availability-zone-out', actor: 'configuration-service', detail: {availabilityZone: 'scotland-a', version: 7},
		},
		{
			sequence: 2, wallTime: 1500, event: 'lease-lost', actor: 'self', detail: {reason: 'expired'},
		},
	]);
	t.deepEqual(printed, trail.entries().slice(0, 1));
});

// Guards against using up the memory with a document of 1 MB in each of 1,000 entries.
test('a large difference is truncated in an entry, which gives the number of omitted changes', t => {
	const trail = AuditTrail.create({clock: ManualClock.create()});
	const difference = Array.from({length: 5000}, (_, index) => ({path: `/endpoints/endpoint-${index}`, before: 'x'.repeat(10_000), after: {text: 'y'.repeat(10_000)}}));
	const entry = trail.record({
		event: 'configuration-adopted', version: 2, digest: 'd', difference,
	});
	t.is((entry.detail.difference as unknown[]).length, 50);
	t.is(entry.detail.differenceOmitted, 4950);
	const text = JSON.stringify(entry);
	t.true(text.length < 50_000);
	t.notThrows(() => auditEntrySchema.parse(JSON.parse(text)));
});

test('a capacity that is not a positive integer is rejected', t => {
	for (const capacity of [0, -1, 1.5, Number.NaN]) {
		t.throws(() => AuditTrail.create({clock: ManualClock.create(), capacity}), {instanceOf: RangeError});
	}
});
