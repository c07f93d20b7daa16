import test from 'ava';
import {PrefixIndex} from '../../../src/entry/routing/index.js';
import {ManualClock} from '../../fixtures/manual-clock.js';

test('the cached prefix ends at the first block that the endpoint has not cached', t => {
	const index = PrefixIndex.create({clock: ManualClock.create()});
	index.recordDispatch('engine-1', ['a', 'b', 'c']);
	t.is(index.cachedBlocks('engine-1', ['a', 'b', 'x', 'c']), 2);
	t.is(index.cachedBlocks('engine-1', ['a', 'b', 'c']), 3);
	t.is(index.cachedBlocks('engine-2', ['a']), 0);
});

// Guards against requests that are sent to an endpoint for a prefix that it has evicted.
test('cache events correct the blocks that dispatches added', t => {
	const index = PrefixIndex.create({clock: ManualClock.create()});
	index.recordDispatch('engine-1', ['a', 'b']);
	index.applyEvents('engine-1', [{kind: 'evicted', block: 'b'}, {kind: 'stored', block: 'c'}, {kind: 'evicted', block: 'unknown'}]);
	t.is(index.cachedBlocks('engine-1', ['a', 'b']), 1);
	t.is(index.size, 2);
	index.forget('engine-1');
	t.is(index.size, 0);
});

// Guards against memory use that grows with every new prompt.
test('the index stays within its bound and drops the least recently used blocks first', t => {
	const index = PrefixIndex.create({clock: ManualClock.create(), maximumBlocks: 3});
	index.recordDispatch('engine-1', ['a', 'b', 'c']);
	index.recordDispatch('engine-1', ['a']);
	index.recordDispatch('engine-1', ['d']);
	t.is(index.size, 3);
	t.is(index.cachedBlocks('engine-1', ['b']), 0);
	t.is(index.cachedBlocks('engine-1', ['a']), 1);
});

// Guards against requests that are sent to an endpoint with a small cache, which has evicted the prefix while the event has not arrived yet.
test('the lifetime of unused blocks is estimated from evictions', t => {
	const clock = ManualClock.create();
	const index = PrefixIndex.create({clock});
	for (let round = 0; round < 200; round++) {
		index.recordDispatch('engine-1', [`block ${round}`]);
		clock.advance(2000);
		index.applyEvents('engine-1', [{kind: 'evicted', block: `block ${round}`}]);
	}

	index.recordDispatch('engine-1', ['a']);
	clock.advance(1300);
	t.is(index.cachedBlocks('engine-1', ['a']), 1);
	clock.advance(700);
	t.is(index.cachedBlocks('engine-1', ['a']), 0);
	t.is(index.sharedBlocks(['a', 'b']), 1);
});
