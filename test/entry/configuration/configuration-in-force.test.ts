import test from 'ava';
import fc from 'fast-check';
import {ConfigurationInForce} from '../../../src/entry/configuration/configuration-in-force.js';
import {digestOf} from '../../../src/shared/configuration/index.js';
import {Invariants} from '../../../src/shared/invariants.js';
import {ManualClock} from '../../fixtures/manual-clock.js';
import {testSeed} from '../../fixtures/seed.js';
import {documentFunctions} from './document-functions.js';

function createInForce(): ConfigurationInForce {
	return ConfigurationInForce.create({
		site: 'site', clock: ManualClock.create(7), invariants: Invariants.create('throw'), ...documentFunctions,
	});
}

test('the first valid document comes into force with its overlay merged in', t => {
	const inForce = createInForce();
	t.is(inForce.current(), undefined);
	const offer = {
		version: 3, base: {a: 1, b: 1}, overlay: {b: 2}, source: 'service',
	};
	const result = inForce.offer(offer);
	t.deepEqual(result, {kind: 'adopted', difference: [{path: '', before: undefined, after: {a: 1, b: 2}}]});
	const current = inForce.current();
	const expected: unknown = {
		...offer, digest: digestOf(offer.base, offer.overlay), configuration: {a: 1, b: 2}, adoptedAt: 7,
	};
	t.deepEqual(current as unknown, expected);
});

// Guards against reverting to an older configuration when the service returns a lower revision.
test('an older version is ignored', t => {
	const inForce = createInForce();
	inForce.offer({
		version: 3, base: {a: 1}, overlay: {}, source: 'service',
	});
	t.deepEqual(inForce.offer({
		version: 2, base: {a: 0}, overlay: {}, source: 'service',
	}), {kind: 'older'});
	t.is(inForce.current()?.version, 3);
});

// Guards against entries with different contents of one version after a split brain of the configuration store.
test('the same version with other contents is a conflict and does not replace the one in force', t => {
	const inForce = createInForce();
	const offer = {
		version: 3, base: {a: 1, b: {c: 1, d: 2}}, overlay: {}, source: 'service',
	};
	inForce.offer(offer);
	t.deepEqual(inForce.offer({...offer, base: {b: {d: 2, c: 1}, a: 1}, source: 'entry-2'}), {kind: 'unchanged'}, 'the order of keys does not matter');
	t.deepEqual(inForce.offer({...offer, base: {a: 2}, source: 'entry-2'}), {kind: 'conflict'});
	t.deepEqual(inForce.current()?.configuration as unknown, {a: 1, b: {c: 1, d: 2}});
});

test('an invalid document is not adopted and its problems are returned', t => {
	const inForce = createInForce();
	inForce.offer({
		version: 3, base: {a: 1}, overlay: {}, source: 'service',
	});
	t.deepEqual(inForce.offer({
		version: 4, base: {isInvalid: true}, overlay: {}, source: 'service',
	}), {
		kind: 'invalid', problems: [{
			file: 'site@4', path: 'isInvalid', value: true, expected: 'false',
		}],
	});
	t.is(inForce.current()?.version, 3);
	t.is(inForce.offer({
		version: 4, base: {a: 4}, overlay: {}, source: 'service',
	}).kind, 'adopted', 'a corrected document of the same version is accepted');
});

// Guards against equal digests of different documents, which would hide a conflict.
test('the digest depends on whether a value is in the base or the overlay, and not on the order of keys', t => {
	t.not(digestOf({a: 1}, {}), digestOf({}, {a: 1}));
	t.not(digestOf({a: [1, 2]}, {}), digestOf({a: [2, 1]}, {}));
	t.is(digestOf({a: 1, b: 2}, {}), digestOf({b: 2, a: 1}, {}));
});

// Guards against an order of offers that lowers the version or replaces the contents of a version by later ones.
test('the highest valid version is in force with the contents that were offered first', t => {
	const seed = testSeed();
	t.log(`seed ${seed}; repeat with TEST_SEED=${seed}`);
	const offers = fc.array(fc.record({version: fc.nat({max: 8}), content: fc.nat({max: 2}), isInvalid: fc.boolean()}), {maxLength: 40});
	const result = fc.check(fc.property(offers, history => {
		const inForce = createInForce();
		let expected: {version: number; content: number} | undefined;
		for (const {version, content, isInvalid} of history) {
			inForce.offer({
				version, base: {content, isInvalid}, overlay: {}, source: 'service',
			});
			if (!isInvalid && (expected === undefined || version > expected.version)) {
				expected = {version, content};
			}

			const current = inForce.current();
			if (current?.version !== expected?.version || (current?.base as typeof expected)?.content !== expected?.content) {
				return false;
			}
		}

		return true;
	}), {seed, numRuns: 1000});
	t.false(result.failed, `${fc.defaultReportMessage(result)}`);
});
