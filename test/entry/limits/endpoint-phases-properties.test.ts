import test from 'ava';
import * as fc from 'fast-check';
import {EndpointPhases} from '../../../src/entry/limits/endpoint-phases.js';
import type {EndpointPhaseMessage} from '../../../src/entry/limits/types.js';
import {ManualClock} from '../../fixtures/manual-clock.js';
import {testSeed} from '../../fixtures/seed.js';
import {engineLimit} from '../../fixtures/unit-layout.js';

const endpoint = 'engine-1';
const entries = [0, 1, 2] as const;

const event = fc.record({
	kind: fc.oneof(
		{weight: 12, arbitrary: fc.constant('answer' as const)},
		{weight: 1, arbitrary: fc.constant('reset' as const)},
		{weight: 4, arbitrary: fc.constant('deliver' as const)},
		{weight: 1, arbitrary: fc.constant('lose' as const)},
	),
	entry: fc.constantFrom(...entries),
	index: fc.nat({max: 50}),
});

type Event = typeof event extends fc.Arbitrary<infer Value> ? Value : never;

type Sent = {
	readonly to: number;
	readonly message: EndpointPhaseMessage;
};

/** Three entries that send each other their phases; each of them may raise the phase. */
function playEvents(events: readonly Event[], clock = ManualClock.create()): EndpointPhases[] {
	const all = entries.map(entry => EndpointPhases.create({slot: `entry-${entry}`, clock, isPhaseCoordinator: () => true}));
	const sent: Sent[] = [];
	const broadcast = (from: number, messages: readonly EndpointPhaseMessage[]) => {
		sent.push(...messages.flatMap(message => entries.filter(to => to !== from).map(to => ({to, message}))));
	};

	for (const phases of all) {
		phases.setEndpoints([engineLimit]);
	}

	const handlers: Readonly<Record<Event['kind'], (event: Event) => void>> = {
		answer({entry}) {
			broadcast(entry, all[entry]!.observeResponse(endpoint, 100));
		},
		reset({entry}) {
			broadcast(entry, all[entry]!.observeSymptom(endpoint, 'reset'));
		},
		deliver({index}) {
			const [delivered] = sent.splice(index % Math.max(1, sent.length), 1);
			if (delivered !== undefined) {
				all[delivered.to]!.receive(delivered.message);
			}
		},
		lose({index}) {
			sent.splice(index % Math.max(1, sent.length), 1);
		},
	};
	for (const item of events) {
		handlers[item.kind](item);
	}

	return all;
}

/** Like heartbeats, sends all phases of each entry to the other entries. */
function exchangeHeartbeats(all: readonly EndpointPhases[]): void {
	const current = all.flatMap(phases => phases.toMessages());
	for (const phases of all) {
		for (const message of current) {
			phases.receive(message);
		}
	}
}

// Guards against entries that keep different limits for one endpoint after lost or reordered messages.
test('entries agree on the phase after one exchange of heartbeats', t => {
	const seed = testSeed();
	t.log(`TEST_SEED=${seed}`);
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(event, {maxLength: 200, size: 'max'}), events => {
			const all = playEvents(events);
			exchangeHeartbeats(all);
			return new Set(all.map(phases => `${phases.phase(endpoint)} ${phases.limit(endpoint)}`)).size === 1;
		}), {seed, numRuns: 500});
	});
});

// Guards against a raise that overrides the latest cold detection, also when the endpoint was cold before.
test('a detected cold endpoint is cold at all entries after one exchange of heartbeats', t => {
	const seed = testSeed();
	t.log(`TEST_SEED=${seed}`);
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(event, {maxLength: 200, size: 'max'}), fc.constantFrom(...entries), (events, detector) => {
			const clock = ManualClock.create();
			const all = playEvents(events, clock);
			exchangeHeartbeats(all);
			clock.advance(1000);
			all[detector]!.observeSymptom(endpoint, 'reset');
			// The other entries do not know about it yet, and each raises the phase as far as it can.
			for (const phases of all.filter((_phases, entry) => entry !== detector)) {
				for (let responses = 0; responses < 20; responses++) {
					phases.observeResponse(endpoint, 100);
				}
			}

			exchangeHeartbeats(all);
			return all.every(phases => phases.phase(endpoint) === 'cold' && phases.limit(endpoint) === engineLimit.coldUnits);
		}), {seed, numRuns: 500});
	});
});
