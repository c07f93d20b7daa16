import process from 'node:process';
import test, {type ExecutionContext} from 'ava';
import fc from 'fast-check';
import {invariantMode} from '../../../src/shared/invariants.js';
import {testSeed} from '../../fixtures/seed.js';
import {
	LeaseSimulation, leaseMs, type Fault, type SimulationOptions,
} from './lease-simulation.js';

const seed = testSeed();
const runs = Number(process.env.LEASE_RUNS ?? 150);

const target = fc.nat({max: 31});
const durationMs = fc.integer({min: 10, max: 6000});
const fault: fc.Arbitrary<Fault> = fc.oneof(
	{weight: 8, arbitrary: fc.record({kind: fc.constant('wait' as const), durationMs})},
	{weight: 3, arbitrary: fc.record({kind: fc.constant('restart' as const), target, delayMs: fc.nat({max: 3000})})},
	{weight: 3, arbitrary: fc.constant({kind: 'duplicate' as const})},
	{weight: 3, arbitrary: fc.record({kind: fc.constant('pause' as const), target, durationMs})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('suspend' as const), target, durationMs: fc.integer({min: 1100, max: 8000})})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('goodbye' as const), target})},
	{
		weight: 3, arbitrary: fc.record({
			kind: fc.constant('partition' as const), side: fc.nat({max: 65_535}), isTwoWay: fc.boolean(), durationMs,
		}),
	},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('publish' as const), target})},
);
const history = fc.array(fault, {minLength: 5, maxLength: 25, size: 'max'});
const network = fc.record({
	seed: fc.integer(),
	slotCount: fc.constantFrom(2, 3, 4, 5, 7),
	lossRatio: fc.constantFrom(0, 0.05, 0.3),
	duplicationRatio: fc.constantFrom(0, 0.2),
	lateRatio: fc.constantFrom(0, 0.1, 0.3),
});

function simulate(options: SimulationOptions, faults: readonly Fault[]): LeaseSimulation {
	const simulation = LeaseSimulation.create(options);
	// Entries vote only one lease duration after their start, so the group runs without faults first.
	simulation.advance(2 * leaseMs);
	for (const item of faults) {
		simulation.apply(item);
	}

	simulation.advance(leaseMs);
	return simulation;
}

type CheckOptions = {
	readonly numRuns: number;
	/** Whether a failure is reported without shrinking the history. Default: false. */
	readonly endOnFailure?: boolean;
	/** Default: {@link history}. */
	readonly faults?: fc.Arbitrary<Fault[]>;
};

/** Checks the property over random histories and prints the seed that reproduces them. */
function check(t: ExecutionContext, {numRuns, endOnFailure, faults = history}: CheckOptions, property: (options: SimulationOptions, faults: readonly Fault[]) => void): fc.RunDetails<unknown> {
	// A failure is reported with the smallest history found by shrinking for one minute.
	const plugins = [fc.interruptAfterTimeLimit(60_000)];
	const details = fc.check(fc.property(network, faults, property), {
		seed, numRuns, endOnFailure, plugins,
	});
	t.log(`seed ${seed}, ${details.numRuns} histories; repeat with TEST_SEED=${seed}`);
	return details;
}

// Guards against two processes dispatching as the same slot, and against a holder with an outdated configuration.
test('no two incarnations of a slot hold the lease at the same time, and every holder knows the version of a majority', t => {
	let tenures = 0;
	const details = check(t, {numRuns: runs}, (options, faults) => {
		const simulation = simulate(options, faults);
		tenures += simulation.tenures.size;
		const [violation] = simulation.violations;
		if (violation) {
			throw new Error(`${violation.property}: ${violation.detail}`);
		}
	});
	t.false(details.failed, `${fc.defaultReportMessage(details)}`);
	t.log(`${tenures} tenures`);
	t.true(tenures > details.numRuns, 'the histories hardly ever gave a lease, so they test nothing');
});

const shortDurationMs = fc.integer({min: 1000, max: 1990});
const shortFault: fc.Arbitrary<Fault[]> = fc.oneof(
	{weight: 1, arbitrary: fc.record({kind: fc.constant('pause' as const), target, durationMs: shortDurationMs}).map((item): Fault[] => [item])},
	{
		weight: 4, arbitrary: fc.record({
			kind: fc.constant('partition' as const), side: fc.nat({max: 65_535}), isTwoWay: fc.boolean(), durationMs: shortDurationMs,
		}).map((item): Fault[] => [item, {kind: 'wait', durationMs: 6000}]),
	},
);

// Guards against second incarnations that vote at the same time as the first ones: with two such slots the quorums of two holders need not share a process.
test('no two incarnations hold the lease while two slots have several incarnations and partitions are shorter than a lease', t => {
	const faults = fc.array(shortFault, {minLength: 2, maxLength: 10, size: 'max'}).map((items): Fault[] => [
		{kind: 'duplicate', slot: 'entry-1'},
		{kind: 'duplicate', slot: 'entry-4'},
		{kind: 'wait', durationMs: 3000},
		...items.flat(),
	]);
	const details = check(t, {numRuns: runs, faults}, (options, items) => {
		const [violation] = simulate({...options, slotCount: 7, lossRatio: 0}, items).violations;
		if (violation) {
			throw new Error(`${violation.property}: ${violation.detail}`);
		}
	});
	t.false(details.failed, `${fc.defaultReportMessage(details)}`);
});

// Guards against a lost lease that nobody can regain once the faults are over, also while several incarnations contend for a slot.
test('every slot holds its lease again after the faults are over', t => {
	const details = check(t, {numRuns: runs}, (options, faults) => {
		const simulation = simulate(options, faults);
		simulation.heal();
		simulation.advance(30 * leaseMs);
		for (const slot of simulation.slots) {
			if (simulation.holders(slot).length !== 1) {
				throw new Error(`${slot} has ${simulation.holders(slot).length} holders after the faults`);
			}
		}
	});
	t.false(details.failed, `${fc.defaultReportMessage(details)}`);
});

// Guards against a simulation that can't detect a violation: with an acquisition quorum as small as the renewal quorum, two incarnations can each reach a quorum.
test('the exclusion property fails when the acquisition quorum is only as large as the renewal quorum', t => {
	const details = check(t, {numRuns: 10 * runs, endOnFailure: true}, (options, faults) => {
		const {violations} = simulate({
			...options,
			slotCount: 7,
			invariantMode: invariantMode.count,
			quorums(slotCount) {
				const renewal = Math.floor(slotCount / 2);
				return {renewal, acquisition: renewal};
			},
		}, faults);
		if (violations.some(({property}) => property === 'exclusion')) {
			throw new Error('two holders');
		}
	});
	t.true(details.failed);
});
