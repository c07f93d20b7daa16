import test from 'ava';
import fc from 'fast-check';
import {differenceBetween, digestOf, mergeOverlay} from '../../../src/shared/configuration/index.js';

function reorder(value: unknown): unknown {
	if (Array.isArray(value)) {
		return value.map(item => reorder(item));
	}

	return typeof value === 'object' && value !== null
		? Object.fromEntries(Object.entries(value).toReversed().map(([key, member]) => [key, reorder(member)]))
		: value;
}

test('a difference lists changed, added and removed values with their paths', t => {
	const before: unknown = JSON.parse('{"policy": {"queuePlaces": 1}, "endpoints": {"a.b": {"units": 1}, "c/d~e": {"units": 2}}}');
	const after: unknown = JSON.parse('{"policy": {"queuePlaces": 2}, "endpoints": {"a.b": {"units": 1}, "new": {"units": 3}}}');
	t.deepEqual(differenceBetween(before, after), [
		{path: '/endpoints/c~1d~0e', before: {units: 2}, after: undefined},
		{path: '/endpoints/new', before: undefined, after: {units: 3}},
		{path: '/policy/queuePlaces', before: 1, after: 2},
	]);
});

// Guards against an adopted version whose difference is empty, and against an unchanged document that is shown as a change.
test('a difference is empty exactly when the documents are equal', t => {
	fc.assert(fc.property(fc.jsonValue(), fc.jsonValue(), (before, after) => {
		t.deepEqual(differenceBetween(before, reorder(before)), []);
		t.is(differenceBetween(before, after).length === 0, JSON.stringify(reorder(reorder(before))) === JSON.stringify(after)
		|| digestOf(before, undefined) === digestOf(after, undefined));
	}));
});

// Guards against a false conflict: instances that parsed the same document with its members in another order must agree.
test('the digest does not depend on the order of members', t => {
	fc.assert(fc.property(fc.jsonValue(), fc.jsonValue(), (base, overlay) => {
		t.is(digestOf(base, overlay), digestOf(reorder(base), reorder(overlay)));
	}));
});

// Guards against an undetected conflict: different documents under one version must have different digests.
test('the digest distinguishes documents that differ in one value, in the order of an array or in what the overlay sets', t => {
	const digests = [
		digestOf({a: 1}, {}),
		digestOf({a: 2}, {}),
		digestOf({a: [1, 2]}, {}),
		digestOf({a: [2, 1]}, {}),
		digestOf({}, {a: 1}),
		digestOf({a: null}, {}),
		digestOf({a: {}}, {}),
		digestOf({a: []}, {}),
		digestOf({a: '1'}, {}),
	];
	t.is(new Set(digests).size, digests.length);
	t.true(digests.every(digest => /^[\da-f]{16}$/v.test(digest)));
});

test('a missing overlay has the digest of an empty one', t => {
	t.is(digestOf({a: 1}, undefined), digestOf({a: 1}, {}));
});

test('the difference between a base and its merge lists exactly what the overlay sets', t => {
	const base = {site: 'x', policy: {queuePlaces: 1, leaseMilliseconds: 2000}};
	const merged = mergeOverlay(base, {site: 'y', policy: {leaseMilliseconds: null}});
	t.deepEqual(differenceBetween(base, merged), [
		{path: '/policy/leaseMilliseconds', before: 2000, after: undefined},
		{path: '/site', before: 'x', after: 'y'},
	]);
});
