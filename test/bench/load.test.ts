import test from 'ava';
import {audit, countViolations} from '../../bench/audit.js';
import {createEngineBody, planLoad, type LoadPlanOptions} from '../../bench/load-plan.js';
import type {RequestRecord} from '../../bench/records.js';
import {isInTime, summarise} from '../../bench/summary.js';

const options: LoadPlanOptions = {
	seed: 7,
	durationMs: 60_000,
	requestsPerSecond: 200,
	workspaces: {
		large: {weight: 3, tiers: {high: 1, low: 1}},
		small: {weight: 1, tiers: {low: 1}},
	},
	engine: {
		model: 'model', promptCharacters: {minimum: 100, maximum: 10_000}, outputTokens: {minimum: 8, maximum: 800}, prefixCharacters: 2000,
	},
	plain: {service: 'diary', collection: 'bookings', ratio: 0.2},
	keyedRatio: 0.3,
	retriedRatio: 0.5,
};

const record: RequestRecord = {
	index: 0,
	kind: 'engine',
	workspace: 'large',
	tier: 'high',
	isStream: true,
	at: 0,
	result: 'completed',
	isCorrect: true,
	requestId: 'a',
	refusedIds: [],
	firstTokenMilliseconds: 100,
	totalMilliseconds: 900,
	outputTokens: 10,
};

// Guards against bench runs that can't be compared because their loads differ.
test('the same seed gives the same plan, and another seed gives another plan', t => {
	const short = {...options, durationMs: 1000};
	t.deepEqual(planLoad(short), planLoad(short));
	t.notDeepEqual(planLoad(short), planLoad({...short, seed: 8}));
});

test('a plan keeps the mean rate, the weights and the ratios', t => {
	const plan = planLoad(options);
	const ratio = (count: number) => count / plan.length;
	t.true(Math.abs(plan.length - 12_000) < 500);
	t.true(Math.abs(ratio(plan.filter(({workspace}) => workspace === 'large').length) - 0.75) < 0.02);
	t.true(Math.abs(ratio(plan.filter(({kind}) => kind === 'plain').length) - 0.2) < 0.02);
	t.true(Math.abs(ratio(plan.filter(({isRetried}) => isRetried).length) - 0.15) < 0.02);
	t.deepEqual(new Set(plan.filter(({workspace}) => workspace === 'small').map(({tier}) => tier)), new Set(['low']));
});

// Guards against a load whose mean rate rises when bursts are enabled.
test('bursts change the shape of the load, but not its mean rate', t => {
	const plan = planLoad({...options, bursts: {periodMs: 10_000, durationMs: 2000, factor: 4}});
	const inBursts = plan.filter(({at}) => at % 10_000 >= 8000).length;
	t.true(Math.abs(plan.length - 12_000) < 500);
	t.true(Math.abs((inBursts / plan.length) - 0.5) < 0.03);
});

test('lengths are long-tailed: most are short and some a hundred times longer', t => {
	const lengths = planLoad(options).flatMap(request => request.kind === 'engine' ? [request.outputTokens] : []).toSorted((one, other) => one - other);
	t.true(lengths[0]! >= 8 && lengths.at(-1)! <= 800);
	t.true(lengths[Math.floor(lengths.length / 2)]! < 20);
	t.true(lengths.at(-1)! > 700);
});

// Guards against a load without shared prefixes, for which prefix affinity could not be measured.
test('requests of a workspace share the prefixes of their prompts', t => {
	const plan = planLoad(options).flatMap(request => request.kind === 'engine' ? [request] : []);
	const prefixes = new Set(plan.map(request => createEngineBody(request).messages![0]!.content));
	const rest = new Set(plan.slice(0, 100).map(request => createEngineBody(request).messages![1]!.content));
	t.is(prefixes.size, 4);
	t.is(rest.size, 100);
	t.true([...prefixes].every(prefix => prefix.length === 2000));
});

test('a response is in time when its first token and its end are in time', t => {
	const targets = {firstTokenMilliseconds: 100, answerMilliseconds: 1000};
	t.true(isInTime(record, targets));
	t.false(isInTime({...record, firstTokenMilliseconds: 101}, targets));
	t.true(isInTime({...record, firstTokenMilliseconds: 101, isStream: false}, targets));
	t.false(isInTime({...record, totalMilliseconds: 1001}, targets));
	t.false(isInTime({...record, isCorrect: false}, targets));
});

test('a summary counts each record once in its tier', t => {
	const refused: RequestRecord = {...record, result: 'refused', isCorrect: false};
	const [high, low] = summarise([record, refused, {...refused, result: 'unknown', tier: 'low'}, {...record, isCorrect: false}], {
		high: {firstTokenMilliseconds: 1000, answerMilliseconds: 1000},
		low: {firstTokenMilliseconds: 1000, answerMilliseconds: 1000},
	});
	t.like(high, {
		sent: 3, completed: 1, inTime: 1, refused: 1, unknown: 0, wrong: 1,
	});
	t.like(low, {sent: 1, unknown: 1});
	t.true(Math.abs(high!.total.median - 900) < 2);
});

// Guards against a demo or bench that passes although an invariant was broken.
test('the audit finds every kind of violation', t => {
	const dispatch = {
		requestId: 'a', time: 0, concurrency: 1, phase: 'warm', outcome: 'admitted',
	} as const;
	const logs = [
		{endpoint: 'one', dispatches: [dispatch, {...dispatch, requestId: 'b'}, {...dispatch, requestId: 'c', outcome: 'overload' as const}]},
		{endpoint: 'two', dispatches: [dispatch, {...dispatch, requestId: 'd', outcome: 'reset' as const}]},
	];
	const records: RequestRecord[] = [
		record,
		{
			...record, result: 'refused', isCorrect: false, requestId: 'b', refusedIds: ['b'],
		},
		{...record, isCorrect: false},
		{...record, requestId: 'd'},
		{
			...record, result: 'refused', isCorrect: false, requestId: 'e', refusedIds: ['e', 'd'],
		},
	];
	t.deepEqual(audit(records, logs), {
		dispatchedTwice: [{requestId: 'a', endpoints: ['one', 'two']}],
		ranAfterRefusal: ['b'],
		wrongResponses: ['a'],
		responsesWithoutDispatch: ['d'],
		coldOverloads: [{requestId: 'c', endpoint: 'one'}],
	});
	t.deepEqual(countViolations(audit([record], [{endpoint: 'one', dispatches: [dispatch]}])), {
		dispatchedTwice: 0, ranAfterRefusal: 0, wrongResponses: 0, responsesWithoutDispatch: 0, coldOverloads: 0,
	});
});
