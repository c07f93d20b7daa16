import test from 'ava';
import {PrefixCache, type PrefixCacheOptions} from '../../standins/prefix-cache.js';
import {ManualClock} from '../fixtures/manual-clock.js';

function createCache(clock: ManualClock, options: Partial<PrefixCacheOptions> = {}): PrefixCache {
	return PrefixCache.create({
		maximumBlocks: 3, eventLagMs: 100, eventLossRatio: 0, now: () => clock.now(), ...options,
	});
}

// Guards against a cache that evicts a prefix before the blocks that continue it, which could then never be used.
test('the least recently used block is evicted first and a prefix outlives the blocks that continue it', t => {
	const cache = createCache(ManualClock.create());
	cache.store(['a', 'ab', 'abc']);
	cache.store(['x']);
	t.is(cache.match(['a', 'ab', 'abc']), 2);
	t.is(cache.match(['x']), 1);
	cache.store(['y', 'yz']);
	t.is(cache.match(['a', 'ab']), 0);
	t.is(cache.size, 3);
});

test('blocks after a missing one do not count', t => {
	const cache = createCache(ManualClock.create());
	cache.store(['a']);
	cache.store(['abc']);
	t.is(cache.match(['a', 'ab', 'abc']), 1);
});

// Guards against events that arrive immediately, although the platform's events are delayed.
test('events are published after the lag', t => {
	const clock = ManualClock.create();
	const cache = createCache(clock, {maximumBlocks: 1});
	cache.store(['a']);
	t.deepEqual(cache.eventsAfter(0), []);
	clock.advance(100);
	cache.store(['b']);
	t.deepEqual(cache.eventsAfter(0), [{sequence: 1, kind: 'stored', block: 'a'}]);
	clock.advance(100);
	t.deepEqual(cache.eventsAfter(1), [{sequence: 2, kind: 'stored', block: 'b'}, {sequence: 3, kind: 'evicted', block: 'a'}]);
});

test('lost events leave gaps in the sequence', t => {
	const clock = ManualClock.create();
	const cache = createCache(clock, {maximumBlocks: 1000, eventLossRatio: 0.5});
	cache.store(Array.from({length: 1000}, (_, index) => `block-${index}`));
	clock.advance(100);
	const events = cache.eventsAfter(0);
	t.true(events.length > 400 && events.length < 600);
});
