import test from 'ava';
import fc from 'fast-check';
import {allGroupMechanisms, type GroupMechanisms} from '../../fixtures/scheduler-group/group-options.js';
import {
	SchedulerGroup, schedulerGroupActions, type SchedulerGroupAction, type SchedulerGroupStatistics,
} from '../../fixtures/scheduler-group/scheduler-group.js';
import {testSeed} from '../../fixtures/seed.js';
import type {InvariantMode} from '../../../src/shared/invariants.js';

/** Relative frequency of each action. */
const weights: Readonly<Record<SchedulerGroupAction['kind'], number>> = {
	'pass-time': 40,
	submit: 40,
	burst: 8,
	'caller-gone': 5,
	kill: 4,
	restart: 8,
	pause: 5,
	wake: 8,
	disconnect: 2,
	'cut-off': 2,
	behave: 8,
	'turn-cold': 2,
	'leave-endpoint': 1,
	'change-zone': 2,
	'change-endpoint': 1,
	'change-limits': 1,
	'shut-down': 1,
};

const action = fc.record({
	kind: fc.oneof(...schedulerGroupActions.map(kind => ({weight: weights[kind], arbitrary: fc.constant(kind)}))),
	member: fc.nat({max: 20}),
	amount: fc.nat({max: 1000}),
});

const history = fc.tuple(fc.integer({min: 1}), fc.integer({min: 3, max: 5}), fc.array(action, {minLength: 60, maxLength: 250, size: 'max'}));

type History = readonly [seed: number, slots: number, actions: readonly SchedulerGroupAction[]];

/** Runs the actions of a history on a new group. */
async function runHistory([seed, slots, actions]: History, mechanisms: GroupMechanisms, mode: InvariantMode): Promise<SchedulerGroup> {
	const group = SchedulerGroup.create({
		seed, slots, mechanisms, mode,
	});
	await group.advance(1000);
	for (const item of actions) {
		// The order of the actions matters.
		// eslint-disable-next-line no-await-in-loop
		await group.apply(item);
	}

	return group;
}

/** Runs up to the given number of histories and returns the first violation that matches the pattern. */
async function findViolation(seed: number, mechanisms: GroupMechanisms, pattern: RegExp, numberRuns: number): Promise<string | undefined> {
	let found: string | undefined;
	await fc.check(fc.asyncProperty(history, async value => {
		const {violations} = await runHistory(value, mechanisms, 'count');
		found ??= violations.find(violation => pattern.test(violation));
		return found === undefined;
	}), {seed, numRuns: numberRuns, endOnFailure: true});
	return found;
}

// Guards against lost requests and units, second writes, wrong refusals, exceeded limits, writes to endpoints that are out, shedding of higher tiers before lower ones, and stalls. The histories let entries, messages, endpoints and configurations fail or change in any order.
test('a group of entries keeps its guarantees and recovers from every fault', async t => {
	const seed = testSeed();
	t.log(`TEST_SEED=${seed}`);
	const totals: Partial<SchedulerGroupStatistics> = {};
	await fc.assert(fc.asyncProperty(history, async value => {
		const group = await runHistory(value, allGroupMechanisms, 'throw');
		await group.checkRecovery();
		const {brokenInvariants, statistics, trace, violations} = group;
		for (const [name, count] of Object.entries(statistics) as Array<[keyof SchedulerGroupStatistics, number]>) {
			totals[name] = (totals[name] ?? 0) + count;
		}

		if (violations.length + brokenInvariants.length > 0) {
			t.log(value[0], [...brokenInvariants, ...violations.slice(0, 5), ...trace].join('\n'));
		}

		return violations.length + brokenInvariants.length === 0;
	}), {seed, numRuns: 20, endOnFailure: true});
	t.log(totals);
	// Each mechanism must have been used, because otherwise the run shows nothing about it.
	for (const [name, count] of Object.entries(totals)) {
		t.true(count > 0, `${name} is ${count}`);
	}
});

// Guards against a model that can't detect a higher tier that is shed while a lower one waits at a peer.
test('with peers that refuse to shed lower tiers the model finds a violation', async t => {
	const seed = testSeed();
	t.log(`TEST_SEED=${seed}`);
	const violation = await findViolation(seed, {...allGroupMechanisms, displacement: false}, /of a lower tier waits at/v, 100);
	t.log(violation);
	t.truthy(violation);
});

// Guards against a model that can't detect a write without the lease, to an endpoint that is out, or beyond the limit.
test('without the check before the write the model finds a violation', async t => {
	const seed = testSeed();
	t.log(`TEST_SEED=${seed}`);
	const violation = await findViolation(seed, {...allGroupMechanisms, checkBeforeWrite: false}, /without the lease|is out or leaving|are used by|are in use/v, 100);
	t.log(violation);
	t.truthy(violation);
});

// Guards against a model that can't detect requests of a failed incarnation that still occupy units of its successor.
test('without the quarantine of a new incarnation the model of the group finds a violation', async t => {
	const seed = testSeed();
	t.log(`TEST_SEED=${seed}`);
	const violation = await findViolation(seed, {...allGroupMechanisms, incarnationQuarantine: false}, /are used by|are in use/v, 400);
	t.log(violation);
	t.truthy(violation);
});
