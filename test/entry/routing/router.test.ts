import test from 'ava';
import {
	EndpointSpeedEstimator, PrefixIndex, Router, type RouteCandidate,
} from '../../../src/entry/routing/index.js';
import {ManualClock} from '../../fixtures/manual-clock.js';
import {createSubmission} from '../../fixtures/submission.js';

function createRouter() {
	const clock = ManualClock.create();
	const speedEstimator = EndpointSpeedEstimator.create(clock);
	const prefixIndex = PrefixIndex.create({clock});
	return {speedEstimator, prefixIndex, router: Router.create({speedEstimator, prefixIndex})};
}

function candidate(endpoint: string, change: Partial<RouteCandidate> = {}): RouteCandidate {
	return {
		endpoint, tokensPerBlock: 128, units: 8, ...change,
	};
}

const candidates = [candidate('engine-1'), candidate('engine-2'), candidate('engine-3')];

// Guards against a tie that always goes to the first endpoint.
test('equally good endpoints share the requests', t => {
	const {router} = createRouter();
	const counts = new Map<string, number>();
	for (let index = 0; index < 300; index++) {
		const [best] = router.rank(createSubmission({requestId: `entry-1_a_${index}`}), candidates, candidates);
		counts.set(best!.endpoint, (counts.get(best!.endpoint) ?? 0) + 1);
	}

	for (const {endpoint} of candidates) {
		t.true(counts.get(endpoint)! > 60, `${endpoint} got ${counts.get(endpoint)}`);
	}
});

// Guards against a cold endpoint that gets no requests beside warm ones with more units, and so never becomes warm.
test('of equally good endpoints one with fewer units gets requests too', t => {
	const {router} = createRouter();
	const unequal = [candidate('engine-1'), candidate('engine-2', {units: 1})];
	const first = Array.from({length: 300}, (_, index) => router.rank(createSubmission({requestId: `entry-1_a_${index}`}), unequal, unequal)[0]!.endpoint);
	t.true(first.filter(endpoint => endpoint === 'engine-2').length > 90);
});

test('a faster endpoint comes first', t => {
	const {speedEstimator, router} = createRouter();
	for (const [endpoint, decodeMs] of [['engine-1', 4000], ['engine-2', 1000], ['engine-3', 3000]] as const) {
		for (let index = 0; index < 50; index++) {
			speedEstimator.observe(endpoint, {
				uncachedPromptTokens: 0, outputTokens: 101, firstTokenMs: 50, decodeMs,
			});
		}
	}

	t.deepEqual(router.rank(createSubmission(), candidates, candidates).map(({endpoint}) => endpoint), ['engine-2', 'engine-3', 'engine-1']);
});

// Guards against a long prefix that is computed again although an endpoint has cached it.
test('an endpoint that has cached the prefix comes first', t => {
	const {prefixIndex, router} = createRouter();
	const prefixBlocks = ['a', 'b', 'c', 'd'];
	prefixIndex.recordDispatch('engine-3', prefixBlocks);
	const [best] = router.rank(createSubmission({prefixBlocks, promptTokens: 600}), candidates, [candidate('engine-1')]);
	t.is(best!.endpoint, 'engine-3');
	t.is(best!.uncachedPromptTokens, 600 - (4 * 128));
});
