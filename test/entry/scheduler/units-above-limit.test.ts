import test from 'ava';
import {Invariants} from '../../../src/shared/invariants.js';
import type {DispatchOrder, DispatchResult} from '../../../src/entry/dispatch/types.js';
import {slotOrder} from '../../../src/entry/limits/slot-order.js';
import {RandomSource} from '../../../standins/random-source.js';
import {LeaseAuthority} from '../../fixtures/ledger-group/lease-authority.js';
import {ManualClock} from '../../fixtures/manual-clock.js';
import {EventSchedule} from '../../fixtures/scheduler-group/event-schedule.js';
import {FakeLease} from '../../fixtures/scheduler-group/fake-lease.js';
import {
	createVersion, heartbeatIntervalMs, initialState, leaseMs, slotNames,
} from '../../fixtures/scheduler-group/group-configuration.js';
import {GroupEntry} from '../../fixtures/scheduler-group/group-entry.js';
import {MessageBus} from '../../fixtures/scheduler-group/message-bus.js';
import {createSubmission} from '../../fixtures/submission.js';

const endpoint = 'engine-1';
const coldUnits = 2;
const slots = slotNames(3);

/** The slots by the units of the endpoint that they own: 0, 1 and 2 and every third one after them. */
const owners = slotOrder(endpoint, slots);

type Running = {
	readonly order: DispatchOrder;
	readonly end: (result: DispatchResult) => void;
};

/** Three entries over a network without faults, with one engine in service that runs requests until the test ends them. */
class ThreeEntries {
	static create(): ThreeEntries {
		return new ThreeEntries();
	}

	readonly running: Running[] = [];
	readonly #clock = ManualClock.create();
	readonly #schedule = EventSchedule.create(this.#clock);
	readonly #bus = MessageBus.create(this.#schedule, RandomSource.create(1));
	readonly #authority = LeaseAuthority.create(leaseMs);
	readonly #entries = new Map<string, GroupEntry>();
	readonly #violations: string[] = [];

	private constructor() {
		this.#bus.hasFaults = false;
		const configuration = createVersion(1, slots.length, {...initialState, endpointsOut: new Set(['engine-2', 'engine-3'])});
		for (const [index, slot] of slots.entries()) {
			const entry = GroupEntry.create({
				slot,
				incarnation: index + 1,
				clock: this.#clock,
				invariants: Invariants.create('throw'),
				bus: this.#bus,
				lease: FakeLease.create({
					slot, incarnation: index + 1, clock: this.#clock, authority: this.#authority, cleanPredecessorVersion: 1, hasSuccessor: () => false,
				}),
				configuration,
				mayDisplace: false,
				createDispatcher: () => async order => this.#run(order),
				onEnd: () => undefined,
				report: violation => {
					this.#violations.push(violation);
				},
				onSent: () => undefined,
				runNext: action => {
					this.#schedule.runAfter(0, action);
				},
			});
			for (const other of this.#entries.values()) {
				this.#bus.connect(other, entry);
			}

			this.#entries.set(slot, entry);
			this.#repeat(entry, 50, () => {
				entry.tick();
			});
			this.#repeat(entry, heartbeatIntervalMs, () => {
				entry.sendHeartbeat();
			});
		}
	}

	get violations(): readonly string[] {
		return this.#violations;
	}

	entry(slot: string): GroupEntry {
		return this.#entries.get(slot)!;
	}

	async advance(durationMs: number): Promise<void> {
		await this.#schedule.advance(durationMs);
	}

	/** Lets a peer tell all entries the phase of the engine. */
	announcePhase(phase: 'cold' | 'warm', epoch: number): void {
		const limit = phase === 'cold' ? coldUnits : initialState.units[endpoint]!;
		for (const {scheduler} of this.#entries.values()) {
			scheduler.post({
				kind: 'peer-message',
				from: {slot: 'entry-9', incarnation: 'i9'},
				message: {
					kind: 'endpoint-phase', endpoint, epoch, phase, limit, reason: 'test',
				},
			});
		}
	}

	submit(slot: string): void {
		const entry = this.entry(slot);
		const opened = entry.context.registry.open({requestId: undefined, fingerprint: ''});
		if (opened.kind !== 'new') {
			throw new Error(`the registry did not open a new request: ${opened.kind}`);
		}

		const now = this.#clock.now();
		entry.submit(createSubmission({
			requestId: opened.requestId, tier: 'high', receivedAt: now, queueDeadlineAt: now + 60_000,
		}));
	}

	end({order, end}: Running): void {
		this.running.splice(this.running.findIndex(running => running.order === order), 1);
		end({kind: 'completed', symptom: 'none'});
	}

	#repeat(entry: GroupEntry, intervalMs: number, action: () => void): void {
		this.#schedule.runAfter(intervalMs, () => {
			if (entry.isRunning) {
				action();
				this.#repeat(entry, intervalMs, action);
			}
		});
	}

	async #run(order: DispatchOrder): Promise<DispatchResult> {
		if (!order.mayWrite()) {
			return {kind: 'not-sent', reason: 'refused-by-check', symptom: 'none'};
		}

		order.onWrite();
		return new Promise(resolve => {
			this.running.push({order, end: resolve});
		});
	}
}

/** Lets one entry run a request on a unit above the cold limit, and then turns the engine cold. */
async function startAboveColdLimit(): Promise<ThreeEntries> {
	const group = ThreeEntries.create();
	await group.advance(1000);
	group.announcePhase('warm', 1);
	await group.advance(1000);
	group.submit(owners[2]!);
	await group.advance(100);
	group.announcePhase('cold', 65);
	await group.advance(30);
	return group;
}

// Guards against an endpoint that has turned cold and gets as many new requests as it can sustain beside those that it still runs.
test('a request above the cold limit counts against it at the owners of the units within it', async t => {
	const group = await startAboveColdLimit();
	t.is(group.running.length, 1);
	const [first] = group.running;
	group.submit(owners[0]!);
	group.submit(owners[1]!);
	await group.advance(5000);
	t.is(group.running.length, coldUnits);
	group.end(first!);
	await group.advance(1000);
	t.is(group.running.length, coldUnits, 'the place that has become free is used');
	t.deepEqual(group.violations, []);
});

// Guards against two requests of one entry that use the cold limit twice: one above it and one within it.
test('an entry counts its own request above the cold limit against its units within it', async t => {
	const group = ThreeEntries.create();
	await group.advance(1000);
	group.announcePhase('warm', 1);
	await group.advance(1000);
	// Its units are 0, 3 and 6; the request on unit 0 ends, the one on unit 3 goes on.
	group.submit(owners[0]!);
	group.submit(owners[0]!);
	await group.advance(100);
	group.end(group.running[0]!);
	await group.advance(100);
	group.announcePhase('cold', 65);
	await group.advance(30);
	for (const slot of slots) {
		group.submit(slot);
	}

	await group.advance(5000);
	t.is(group.running.length, coldUnits);
	t.deepEqual(group.violations, []);
});

// Guards against an endpoint that gets no work any more because an entry died with requests above its cold limit.
test('requests above the cold limit of an entry that is not heard any more do not count', async t => {
	const group = await startAboveColdLimit();
	group.entry(owners[2]!).kill();
	group.submit(owners[0]!);
	group.submit(owners[1]!);
	await group.advance(5000);
	t.is(group.running.length, 1 + coldUnits);
	t.deepEqual(group.violations, []);
});
