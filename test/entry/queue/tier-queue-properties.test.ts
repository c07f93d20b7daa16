import test from 'ava';
import * as fc from 'fast-check';
import {TierQueue} from '../../../src/entry/queue/tier-queue.js';
import type {WaitingItem} from '../../../src/entry/queue/types.js';
import {Invariants} from '../../../src/shared/invariants.js';
import {ManualClock} from '../../fixtures/manual-clock.js';
import {testSeed} from '../../fixtures/seed.js';
import {waitingItem} from '../../fixtures/waiting-item.js';

const services = ['assistant', 'diary'] as const;

const operation = fc.oneof(
	{
		weight: 6, arbitrary: fc.record({
			kind: fc.constant('enqueue' as const),
			itemKind: fc.constantFrom('request' as const, 'request' as const, 'borrow' as const),
			tierRank: fc.nat({max: 3}),
			service: fc.constantFrom(...services),
			workspace: fc.constantFrom('north', 'south', 'east'),
			weight: fc.constantFrom(0.5, 1, 3),
			tokens: fc.integer({min: 0, max: 5000}),
			timeoutMs: fc.integer({min: 1, max: 400}),
		}),
	},
	{weight: 3, arbitrary: fc.record({kind: fc.constant('serve' as const), service: fc.constantFrom(...services), skipped: fc.nat({max: 3})})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('remove' as const), index: fc.nat({max: 200})})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('displace' as const), service: fc.constantFrom(...services), belowRank: fc.nat({max: 3})})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('wait' as const), duration: fc.nat({max: 100})})},
);

type Operation = typeof operation extends fc.Arbitrary<infer Value> ? Value : never;
type OperationOf<Kind extends Operation['kind']> = Extract<Operation, {kind: Kind}>;

/** A queue and a reference model of its contents. */
class QueueModel {
	static create(capacity: number): QueueModel {
		return new QueueModel(capacity);
	}

	readonly #clock = ManualClock.create();
	readonly #queue: TierQueue;
	readonly #waiting = new Map<string, WaitingItem>();
	readonly #departed = new Set<string>();
	#enqueuedCount = 0;

	readonly #handlers: {readonly [Kind in Operation['kind']]: (operation: OperationOf<Kind>) => void} = {
		enqueue: ({itemKind, timeoutMs, kind: _kind, ...rest}) => {
			this.#enqueue(waitingItem(`item-${this.#enqueuedCount++}`, {
				...rest, kind: itemKind, enqueuedAt: this.#clock.now(), deadlineAt: this.#clock.now() + timeoutMs,
			}));
		},
		serve: ({service, skipped}) => {
			const item = [...this.#queue.inOrder(service)][skipped];
			if (item !== undefined) {
				this.#queue.markServed(item);
				this.#recordDeparture(item);
			}
		},
		remove: ({index}) => {
			const id = `item-${index}`;
			const item = this.#queue.remove(id);
			assertEqual(item?.id, this.#waiting.get(id)?.id, 'removed item');
			if (item !== undefined) {
				this.#recordDeparture(item);
			}
		},
		displace: ({service, belowRank}) => {
			const item = this.#queue.displaceLowest({service, belowRank});
			if (item === undefined) {
				assertEqual(this.#lowestRank(service) <= belowRank, true, 'nothing to displace');
			} else {
				assertEqual(item.tierRank > belowRank, true, 'displaced item has a lower tier');
				this.#recordShed(item);
			}
		},
		wait: ({duration}) => {
			this.#clock.advance(duration);
			const due = [...this.#waiting.values()].filter(({deadlineAt}) => deadlineAt <= this.#clock.now());
			const expired = this.#queue.expire();
			assertEqual(expired.length, due.length, 'expired items');
			for (const item of expired) {
				this.#recordDeparture(item);
			}
		},
	};

	private constructor(private readonly capacity: number) {
		this.#queue = TierQueue.create({clock: this.#clock, invariants: Invariants.create('throw'), capacity});
	}

	apply(value: Operation): void {
		(this.#handlers[value.kind] as (operation: Operation) => void)(value);
		this.#check();
	}

	/** Serves all remaining items and checks that every item that was added has left. */
	finish(): void {
		for (const item of this.#queue.inOrder()) {
			this.#queue.markServed(item);
			this.#recordDeparture(item);
		}

		assertEqual(this.#waiting.size, 0, 'items that never left');
		assertEqual(this.#departed.size, this.#enqueuedCount, 'items that left');
	}

	#enqueue(item: WaitingItem): void {
		const result = this.#queue.enqueue(item);
		if (result.kind === 'full') {
			assertEqual(this.#requests().length, this.capacity, 'waiting requests when the queue is full');
			assertEqual(this.#lowestRank(item.service) <= item.tierRank, true, 'no lower tier is waiting when the queue is full');
			this.#departed.add(item.id);
			return;
		}

		this.#waiting.set(item.id, item);
		if (result.evicted !== undefined) {
			assertEqual(result.evicted.tierRank > item.tierRank && result.evicted.service === item.service, true, 'evicted item has the same service and a lower tier');
			this.#recordShed(result.evicted);
		}
	}

	/** Records that an item was shed. No request of a lower tier may then be waiting for the same service. */
	#recordShed(item: WaitingItem): void {
		this.#recordDeparture(item);
		assertEqual(this.#lowestRank(item.service) <= item.tierRank, true, 'no lower tier is waiting after an item was shed');
	}

	#recordDeparture(item: WaitingItem): void {
		assertEqual(this.#departed.has(item.id), false, `${item.id} left before`);
		assertEqual(this.#waiting.delete(item.id), true, `${item.id} was waiting`);
		this.#departed.add(item.id);
	}

	#requests(): WaitingItem[] {
		return [...this.#waiting.values()].filter(({kind}) => kind === 'request');
	}

	#lowestRank(service: string): number {
		return Math.max(-1, ...this.#requests().filter(item => item.service === service).map(({tierRank}) => tierRank));
	}

	#check(): void {
		assertEqual(this.#queue.size, this.#waiting.size, 'size');
		assertEqual(this.#requests().length <= this.capacity, true, 'waiting requests are bounded');
		for (const service of services) {
			const order = [...this.#queue.inOrder(service)];
			const expected = [...this.#waiting.values()].filter(item => item.service === service);
			assertEqual(new Set(order.map(({id}) => id)).size, expected.length, 'items in dispatch order');
			assertEqual(order.every((item, index) => index === 0 || order[index - 1]!.tierRank <= item.tierRank), true, 'strict tiers');
		}

		for (const workspace of ['north', 'south', 'east']) {
			assertEqual(this.#queue.waitingCountOf(workspace), this.#requests().filter(item => item.workspace === workspace).length, 'waiting requests of the workspace');
		}
	}
}

function assertEqual(actual: unknown, expected: unknown, what: string): void {
	if (actual !== expected) {
		throw new Error(`${what}: expected ${String(expected)}, got ${String(actual)}`);
	}
}

// Guards against items that are lost, leave twice, or are shed before a lower tier, in any order of operations.
test('no item is lost and no tier is shed before a lower one', t => {
	const seed = testSeed();
	t.log(`TEST_SEED=${seed}`);
	t.notThrows(() => {
		fc.assert(fc.property(fc.integer({min: 1, max: 12}), fc.array(operation, {maxLength: 150, size: 'max'}), (capacity, operations) => {
			const model = QueueModel.create(capacity);
			for (const value of operations) {
				model.apply(value);
			}

			model.finish();
		}), {seed, numRuns: 500});
	});
});

const workspaceBacklog = fc.record({
	weight: fc.constantFrom(0.5, 1, 2, 4),
	/** Number of served items after which the workspace becomes active. */
	joinsAfter: fc.nat({max: 20}),
	tokens: fc.array(fc.integer({min: 1, max: 4000}), {minLength: 1, maxLength: 40, size: 'max'}),
});

type Backlog = typeof workspaceBacklog extends fc.Arbitrary<infer Value> ? Value : never;

/** Serves all backlogs in dispatch order and reports each served item. */
function serveBacklogs(backlogs: readonly Backlog[], onServed: (workspace: number, item: WaitingItem) => void): void {
	const queue = TierQueue.create({clock: ManualClock.create(), invariants: Invariants.create('throw'), capacity: 10_000});
	const hasJoined = backlogs.map(() => false);
	for (let servedCount = 0; ; servedCount++) {
		for (const [workspace, {weight, joinsAfter, tokens}] of backlogs.entries()) {
			if (!hasJoined[workspace] && (servedCount >= joinsAfter || queue.size === 0)) {
				hasJoined[workspace] = true;
				for (const [index, size] of tokens.entries()) {
					queue.enqueue(waitingItem(`${workspace}-${index}`, {workspace: `${workspace}`, weight, tokens: size}));
				}
			}
		}

		const [item] = queue.inOrder('assistant');
		if (item === undefined) {
			return;
		}

		queue.markServed(item);
		onServed(Number(item.workspace), item);
	}
}

/** The largest lead in tokens per weight that one workspace gains over another while both have waiting items. */
function largestLead(left: number, right: number, backlogs: readonly Backlog[]): number {
	const remaining = backlogs.map(({tokens}) => tokens.length);
	let servedCount = 0;
	let lead = 0;
	let lowest = 0;
	let highest = 0;
	serveBacklogs(backlogs, (workspace, item) => {
		const areBothActive = [left, right].every(index => servedCount >= backlogs[index]!.joinsAfter && remaining[index]! > 0);
		if (areBothActive && (workspace === left || workspace === right)) {
			lead += (workspace === left ? 1 : -1) * item.tokens / item.weight;
			lowest = Math.min(lowest, lead);
			highest = Math.max(highest, lead);
		}

		remaining[workspace]!--;
		servedCount++;
	});
	return highest - lowest;
}

// Guards against shares that diverge, against credit for idle time, and against weights that are applied twice.
test('shares of active workspaces differ by at most one request of each', t => {
	const seed = testSeed();
	t.log(`TEST_SEED=${seed}`);
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(workspaceBacklog, {minLength: 2, maxLength: 5}), backlogs => {
			for (let left = 0; left < backlogs.length; left++) {
				for (let right = left + 1; right < backlogs.length; right++) {
					const [first, second] = [backlogs[left]!, backlogs[right]!];
					const bound = (Math.max(...first.tokens) / first.weight) + (Math.max(...second.tokens) / second.weight);
					const lead = largestLead(left, right, backlogs);
					assertEqual(lead <= bound + 1e-6, true, `lead ${lead} within ${bound}`);
				}
			}
		}), {seed, numRuns: 500});
	});
});

// Guards against an iteration order that differs from dispatching the first item repeatedly.
test('the iteration order is the order in which items would be served', t => {
	const seed = testSeed();
	t.log(`TEST_SEED=${seed}`);
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(workspaceBacklog, {minLength: 1, maxLength: 5}), backlogs => {
			const present = backlogs.map(backlog => ({...backlog, joinsAfter: 0}));
			const served: string[] = [];
			serveBacklogs(present, (_workspace, item) => {
				served.push(item.id);
			});
			const queue = TierQueue.create({clock: ManualClock.create(), invariants: Invariants.create('throw'), capacity: 10_000});
			for (const [workspace, {weight, tokens}] of present.entries()) {
				for (const [index, size] of tokens.entries()) {
					queue.enqueue(waitingItem(`${workspace}-${index}`, {workspace: `${workspace}`, weight, tokens: size}));
				}
			}

			assertEqual(Array.from(queue.inOrder('assistant'), ({id}) => id).join(' '), served.join(' '), 'order');
		}), {seed, numRuns: 300});
	});
});
