import test from 'ava';
import fc from 'fast-check';
import {mergeOverlay} from '../../../src/shared/configuration/index.js';

// The examples of RFC 7396, appendix A: original, patch, result. They guard against a merge that differs from that of other tools.
const rfcExamples: ReadonlyArray<readonly [original: string, patch: string, result: string]> = [
	['{"a":"b"}', '{"a":"c"}', '{"a":"c"}'],
	['{"a":"b"}', '{"b":"c"}', '{"a":"b","b":"c"}'],
	['{"a":"b"}', '{"a":null}', '{}'],
	['{"a":"b","b":"c"}', '{"a":null}', '{"b":"c"}'],
	['{"a":["b"]}', '{"a":"c"}', '{"a":"c"}'],
	['{"a":"c"}', '{"a":["b"]}', '{"a":["b"]}'],
	['{"a":{"b":"c"}}', '{"a":{"b":"d","c":null}}', '{"a":{"b":"d"}}'],
	['{"a":[{"b":"c"}]}', '{"a":[1]}', '{"a":[1]}'],
	['["a","b"]', '["c","d"]', '["c","d"]'],
	['{"a":"b"}', '["c"]', '["c"]'],
	['{"a":"foo"}', 'null', 'null'],
	['{"a":"foo"}', '"bar"', '"bar"'],
	['{"e":null}', '{"a":1}', '{"e":null,"a":1}'],
	['[1,2]', '{"a":"b","c":null}', '{"a":"b"}'],
	['{}', '{"a":{"bb":{"ccc":null}}}', '{"a":{"bb":{}}}'],
];

for (const [original, patch, result] of rfcExamples) {
	test(`merging ${patch} into ${original} gives ${result}`, t => {
		t.deepEqual(mergeOverlay(JSON.parse(original), JSON.parse(patch)), JSON.parse(result));
	});
}

// Guards against prototype pollution by a document.
test('a member called __proto__ stays an ordinary member', t => {
	const merged = mergeOverlay({}, JSON.parse('{"__proto__": {"polluted": true}}'));
	t.deepEqual(Object.keys(merged as Record<string, unknown>), ['__proto__']);
	t.is(Object.getPrototypeOf(merged), Object.prototype);
	t.false('polluted' in {});
});

// Guards against a merge that modifies the version in force through shared objects.
test('merging does not modify base or overlay and is idempotent', t => {
	fc.assert(fc.property(fc.jsonValue(), fc.jsonValue(), (base, overlay) => {
		const before = JSON.stringify([base, overlay]);
		const once = mergeOverlay(base, overlay);
		t.deepEqual(mergeOverlay(once, overlay), once);
		t.is(JSON.stringify([base, overlay]), before);
	}));
});

test('a missing overlay leaves the base unchanged', t => {
	t.deepEqual(mergeOverlay({a: 1}, undefined), {a: 1});
});
