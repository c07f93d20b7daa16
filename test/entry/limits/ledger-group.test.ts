import test from 'ava';
import * as fc from 'fast-check';
import {
	groupActions, LedgerGroup, type GroupAction, type GroupStatistics,
} from '../../fixtures/ledger-group/ledger-group.js';
import {allMechanisms, type Mechanisms} from '../../fixtures/ledger-group/messages.js';
import {testSeed} from '../../fixtures/seed.js';
import type {InvariantMode} from '../../../src/shared/invariants.js';

/** Relative frequency of each action. */
const weights: Readonly<Record<GroupAction['kind'], number>> = {
	'pass-time': 16,
	submit: 16,
	borrow: 16,
	start: 4,
	phase: 3,
	pause: 1,
	wake: 2,
	kill: 1,
	restart: 3,
	leave: 1,
	'cut-off': 1,
	'change-limits': 1,
	'change-slots': 1,
	'change-endpoints': 1,
	adopt: 2,
};

const action = fc.record({
	kind: fc.oneof(...groupActions.map(kind => ({weight: weights[kind], arbitrary: fc.constant(kind)}))),
	member: fc.nat({max: 20}),
	amount: fc.nat({max: 1000}),
});

const history = fc.tuple(fc.integer({min: 1}), fc.integer({min: 3, max: 7}), fc.array(action, {minLength: 50, maxLength: 300, size: 'max'}));

type History = readonly [seed: number, slots: number, actions: readonly GroupAction[]];

function runHistory([seed, slots, actions]: History, mechanisms: Mechanisms, mode: InvariantMode): LedgerGroup {
	const group = LedgerGroup.create({
		seed, slots, mechanisms, mode,
	});
	for (const item of actions) {
		group.apply(item);
	}

	group.settle();
	return group;
}

/** The first violation of the property that a number of generated runs finds. */
function findViolation(seed: number, mechanisms: Mechanisms, numberRuns: number): string | undefined {
	const details = fc.check(fc.property(history, value => runHistory(value, mechanisms, 'count').inFlight.violations.length === 0), {seed, numRuns: numberRuns, endOnFailure: true});
	return details.failed ? runHistory(details.counterexample![0], mechanisms, 'count').inFlight.violations[0] : undefined;
}

// Guards against two requests on one unit and against more units in use than the phase allows, whichever messages are lost or late and whichever entries are paused, restarted or reconfigured.
test('a group of ledgers never uses a unit twice or exceeds the phase limit', t => {
	const seed = testSeed();
	t.log(`TEST_SEED=${seed}`);
	const totals: GroupStatistics = {
		started: 0, startedOnLoans: 0, startedBySuccessors: 0, startedAfterSlotChanges: 0, refusedAtWrite: 0,
	};
	fc.assert(fc.property(history, value => {
		const {inFlight, statistics} = runHistory(value, allMechanisms, 'throw');
		for (const key of Object.keys(totals) as Array<keyof GroupStatistics>) {
			totals[key] += statistics[key];
		}

		return inFlight.violations.length === 0;
	}), {seed, numRuns: 600});
	t.log(totals);
	// A run in which no request started would prove nothing.
	for (const [name, count] of Object.entries(totals)) {
		t.true(count > 0, `${name} is ${count}`);
	}
});

// Guards against a model that cannot detect the failure that the quarantine of a new incarnation prevents.
test('without the quarantine of a new incarnation, the model finds a violation', t => {
	const seed = testSeed();
	t.log(`TEST_SEED=${seed}`);
	const violation = findViolation(seed, {...allMechanisms, incarnationQuarantine: false}, 500);
	t.log(violation);
	t.truthy(violation);
});

// Guards against a model that cannot detect a loan that is used after its lender has reclaimed the units.
test('when loans expire relative to the receipt of the grant, the model finds a violation', t => {
	const seed = testSeed();
	t.log(`TEST_SEED=${seed}`);
	const violation = findViolation(seed, {...allMechanisms, loanExpiryFromSending: false}, 5000);
	t.log(violation);
	t.truthy(violation);
});

// Guards against a model that cannot detect a former owner that still has the old configuration.
test('when the quarantine of gained units starts at their own adoption, the model finds a violation', t => {
	const seed = testSeed();
	t.log(`TEST_SEED=${seed}`);
	const violation = findViolation(seed, {...allMechanisms, quarantineFromMajority: false}, 5000);
	t.log(violation);
	t.truthy(violation);
});
