import test from 'ava';
import {findCulprits} from '../../../src/gateway/quarantine/culprits.js';
import type {EndpointCrash, Suspect} from '../../../src/gateway/quarantine/types.js';

let nextNumber = 0;

/** Comparable requests of which hardly any crash. */
const manySurvived = {instance: {survived: 20, crashed: 0}};

function createCrash(at: number, ...suspects: readonly Suspect[]): EndpointCrash {
	nextNumber++;
	return {
		endpointId: `engine-${nextNumber}`, startedAt: 1, at, suspects, comparisons: manySurvived,
	};
}

function findParts(crashes: readonly EndpointCrash[], survivals: Readonly<Record<string, number>> = {}, convicted: readonly string[] = [], now = Infinity): string[] {
	return findCulprits(crashes, {
		now,
		survivedAt: part => survivals[part] ?? -Infinity,
		convictions: convicted.map(parts => ({parts: parts.split('+'), sufficientCrashes: 1})),
	}).map(({parts}) => parts.join('+'));
}

/** Crashes under requests that all have the part `bad` and whose other parts differ. */
function createBadCrashes(count: number): EndpointCrash[] {
	return Array.from({length: count}, (_, index) => createCrash(index * 1000, [`first-${index}`, 'bad'], ['first-9', `rare-${index}`]));
}

test('a part is convicted after four crashes, not after the two or three that happen by chance', t => {
	t.deepEqual(findParts(createBadCrashes(3)), []);
	t.deepEqual(findParts(createBadCrashes(4), {'first-9': 5000}), ['bad']);
});

test('a first part that is in all crashes, but of which other requests survive, is not convicted', t => {
	const crashes = [0, 1000, 2000, 3000, 4000, 5000].map(at => createCrash(at, ['first', 'bad'], ['first', `rare-${at}`]));
	t.deepEqual(findParts(crashes, {first: 2500}), ['bad']);
});

test('a part is convicted only by crashes after its last survival', t => {
	t.deepEqual(findParts(createBadCrashes(5), {bad: 1500, 'first-9': 5000}), []);
	t.deepEqual(findParts(createBadCrashes(12), {bad: 1500, 'first-9': 20_000}), ['bad']);
});

test('a rare sound part is not convicted of crashes that a part with more crashes explains', t => {
	const crashes = [0, 1000, 2000, 3000, 4000].map(at => createCrash(at, [`first-${at}`, 'bad'], ...(at > 0 ? [['first', 'rare']] : [])));
	t.deepEqual(findParts(crashes, {first: 9000}), ['bad']);
});

test('endpoints that crash at the same time count once, because they convict every part that is in use', t => {
	const crashes = Array.from({length: 8}, (_, index) => createCrash(index * 5, ['first', 'middle']));
	t.deepEqual(findParts(crashes), []);
	t.deepEqual(findParts([...crashes, createCrash(3000, ['first', 'middle']), createCrash(6000, ['first', 'middle'])]), []);
});

test('parts that only occurred together are convicted together, so that requests with one of them go on', t => {
	const crashes = [0, 1000, 2000, 3000].map(at => createCrash(at, ['first', 'bad', 'rare']));
	t.deepEqual(findParts(crashes, {first: 4000}), ['bad+rare']);
	t.deepEqual(findParts([...crashes, createCrash(4000, ['other', 'bad'])], {first: 4000, other: 5000}), ['bad']);
	t.deepEqual(findParts(crashes, {first: 4000, rare: 4000}), ['bad']);
});

test('parts of different requests that were in the same crashes wait for a crash that distinguishes them', t => {
	const crashes = [0, 1000, 2000, 3000].map(at => createCrash(at, ['bad'], ['chance']));
	t.deepEqual(findParts(crashes), []);
	t.deepEqual(findParts([...crashes, createCrash(4000, ['bad'])]), ['bad']);
	t.deepEqual(findParts([4, 5, 6, 7, 8, 9, 10].map(at => createCrash(at * 1000, ['bad'], ['worse']))), ['bad', 'worse']);
});

test('a part that requests have survived with before needs more crashes, because nothing survives while all endpoints crash', t => {
	const createCrashes = (count: number) => Array.from({length: count}, (_, index) => createCrash(1000 + (index * 300), ['first', `rare-${index}`]));
	t.deepEqual(findParts(createCrashes(9), {first: 900}), []);
	t.deepEqual(findParts(createCrashes(10), {first: 900}), ['first']);
});

test('parts remain convicted and explain their crashes, until a crash had only one of several', t => {
	const crashes = [0, 1000, 2000, 3000, 4000].map(at => createCrash(at, ['bad'], ['chance']));
	t.deepEqual(findParts([...crashes, createCrash(5000, ['chance'])]), ['chance']);
	t.deepEqual(findParts([...crashes, createCrash(5000, ['chance'])], {}, ['bad']), ['bad']);
	const joint = [0, 1000, 2000, 3000].map(at => createCrash(at, ['bad', 'rare']));
	t.deepEqual(findParts(joint, {}, ['bad+rare']), ['bad+rare']);
	t.deepEqual(findParts([...joint, createCrash(4000, ['bad', 'other'])], {}, ['bad+rare']), ['bad']);
	t.deepEqual(findParts(joint, {bad: 5000, rare: 5000}, ['bad+rare']), []);
});

test('several parts that crash endpoints at the same time are all convicted, a first part too', t => {
	const crashes = Array.from({length: 10}, (_, index) => createCrash(index * 300, index % 2 === 0 ? ['first', 'bad'] : ['bad-first', `middle-${index}`], ['first', `rare-${index}`]));
	t.deepEqual(findParts(crashes, {first: 4000}).toSorted(), ['bad', 'bad-first']);
});

test('the more of comparable requests crash, the more crashes convict a part', t => {
	const createCrashes = (count: number, survived: number) => Array.from({length: count}, (_, index) => ({
		...createCrash(index * 1000, ['part'], [`rare-${index}`]), comparisons: {instance: {survived, crashed: 4}},
	}));
	t.deepEqual(findParts(createCrashes(4, 40)), ['part']);
	t.deepEqual(findParts(createCrashes(5, 2)), []);
	t.deepEqual(findParts(createCrashes(5, 2), {}, ['part']), ['part']);
	t.deepEqual(findParts(createCrashes(9, 2)), ['part']);
});

test('a part that was in few of all crashes needs more of them than one that was in most', t => {
	const createCrashes = (count: number) => Array.from({length: 3 * count}, (_, index) => ({
		...createCrash(index * 1000, [index % 3 === 0 ? 'part' : `rare-${index}`]), comparisons: {instance: {survived: 4, crashed: 2}},
	}));
	t.deepEqual(findParts(createCrashes(4)), []);
	t.deepEqual(findParts(createCrashes(8)), ['part']);
});

// Guards against a common part that is convicted right after a start of all instances, when nothing has survived yet.
test('a part needs more crashes while there are no requests to compare its requests with', t => {
	const withoutComparison = (count: number) => createBadCrashes(count).map(crash => ({...crash, comparisons: {}}));
	t.deepEqual(findParts(withoutComparison(5), {'first-9': 10_000}), []);
	t.deepEqual(findParts(withoutComparison(6), {'first-9': 10_000}), ['bad']);
});

// Guards against a common sound part that is convicted in place of the part at fault, because crashes within a moment count once.
test('of parts with as many crashes at different times, the one with more crashes explains them', t => {
	const times = [110, 180, 2860, 2920, 2980];
	const crashes = [
		createCrash(0, ['first', 'bad']),
		createCrash(20, ['other', 'bad']),
		...times.map(at => createCrash(at, ['first', 'bad'], ['first', `rare-${at}`])),
	].map(crash => ({...crash, comparisons: {}}));
	t.deepEqual(findParts(crashes), ['bad']);
});

// Guards against a common first part that is convicted before the instance with the part at fault has reported the last crash.
test('a part is not convicted while another one may be in all of its crashes, because reports of the last one are missing', t => {
	const earlier = [0, 1000, 2000, 3000].map(at => createCrash(at, ['first', 'bad'], ['first', `rare-${at}`]));
	const partial = [...earlier, createCrash(4000, ['first', 'rare'])];
	t.deepEqual(findParts(partial, {}, [], 4000), []);
	t.deepEqual(findParts(partial, {}, [], 4400), []);
	t.deepEqual(findParts(partial, {}, [], 4600), ['first']);
	const complete = [...earlier, createCrash(4000, ['first', 'rare'], ['other', 'bad'])];
	t.deepEqual(findParts([...complete, createCrash(5000, ['other', 'bad'])]), ['bad']);
});

// Guards against a sound part that stays convicted, and hides the crashes of the part at fault, because requests with it are withheld and none can survive.
test('a convicted part is given back when further crashes show that another part explains all of its crashes', t => {
	const crashes = [0, 1000, 2000, 3000, 4000, 5000].map(at => createCrash(at, ['first', `rare-${at}`], ['other', 'bad']));
	t.deepEqual(findParts([...crashes, createCrash(6000, ['other', 'bad'])], {other: 7000}, ['first']), ['first']);
	t.deepEqual(findParts([...crashes, createCrash(6000, ['other', 'bad']), createCrash(7000, ['third', 'bad'])], {other: 8000}, ['first']), ['bad']);
});

// Guards against a common first part that is withheld for as long as its crashes are those of the part at fault.
test('of parts that were in the same crashes for too long, the one with fewer requests is convicted', t => {
	const crashes = Array.from({length: 9}, (_, index) => createCrash(index * 1000, ['other', 'bad'], ['first', `rare-${index}`], ['first', `middle-${index}`]));
	t.deepEqual(findParts(crashes, {other: 10_000}), ['bad']);
});
