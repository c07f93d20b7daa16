import {Buffer} from 'node:buffer';
import test from 'ava';
import fc from 'fast-check';
import {
	RequestId, RequestRegistry, requestStates, type RegistryPolicy, type ResponseEvent, type RequestState,
} from '../../../src/entry/requests/index.js';
import {responseHighWaterBytes} from '../../../src/entry/requests/response-log.js';
import {createFailure, FailureError} from '../../../src/shared/failure.js';
import {Invariants, type InvariantMode} from '../../../src/shared/invariants.js';
import {ManualClock} from '../../fixtures/manual-clock.js';
import {testSeed} from '../../fixtures/seed.js';

const head = {status: 200, headers: {}};
const defaultPolicy: RegistryPolicy = {retainedAnswerBytes: 1000, retainedAnswerMilliseconds: 300_000, reservedIdMilliseconds: 60_000};

function createRegistry({policy, mode = 'throw', maximumRememberedIds}: {policy?: Partial<RegistryPolicy>; mode?: InvariantMode; maximumRememberedIds?: number} = {}) {
	const clock = ManualClock.create();
	const violations: string[] = [];
	const invariants = Invariants.create(mode, violation => {
		violations.push(violation.property);
	});
	const registry = RequestRegistry.create({
		slot: 'entry-1', incarnation: 'a1', clock, invariants, policy: {...defaultPolicy, ...policy}, maximumRememberedIds,
	});
	return {clock, registry, violations};
}

function openNew(registry: RequestRegistry, requestId?: string): string {
	const opened = registry.open({requestId, fingerprint: 'same'});
	if (opened.kind !== 'new') {
		throw new Error(`not new: ${opened.kind}`);
	}

	return opened.requestId;
}

function openKeyed(registry: RequestRegistry): string {
	return openNew(registry, registry.reserveId());
}

function completeRequest(registry: RequestRegistry, requestId: string, text: string): void {
	registry.transition(requestId, requestStates.dispatching);
	const sink = registry.createSink(requestId);
	sink.start(head);
	sink.write(Buffer.from(text));
	sink.complete();
}

async function collect(events: AsyncIterable<ResponseEvent>): Promise<string[]> {
	const seen: string[] = [];
	for await (const event of events) {
		const described = {head: () => 'head', chunk: () => Buffer.from((event as {chunk: Uint8Array}).chunk).toString(), end: () => (event as {end: {kind: string}}).end.kind};
		seen.push(described[event.kind]());
	}

	return seen;
}

test('an id contains slot, incarnation and counter', t => {
	const {registry} = createRegistry();
	const id = registry.reserveId();
	t.is(id, 'entry-1_a1_1');
	const parsed = RequestId.parse(id);
	t.deepEqual([parsed!.slot, parsed!.incarnation, parsed!.counter], ['entry-1', 'a1', 1]);
	for (const text of ['', 'booking-7', 'entry-1_a1_0', 'entry-1_a1_01', 'entry-1_a1_', 'entry-1_a1_99999999999999999', 'Entry_a1_1', 'entry-1_a1_1\n']) {
		t.is(RequestId.parse(text), undefined);
	}
});

// Guards against a violation of G1: without the binding to one incarnation, two entries could both accept a key.
test('only ids that this incarnation issued as keys are opened', t => {
	const {registry} = createRegistry();
	const unkeyed = openNew(registry);
	for (const requestId of ['entry-1_a1_99', 'entry-1_b2_1', 'entry-2_a1_1', unkeyed]) {
		const opened = registry.open({requestId, fingerprint: 'same'});
		t.is(opened.kind === 'refused' && opened.failure.type, 'idempotency-key-not-issued');
	}
});

// Guards against a second execution when a caller retries a request.
test('a retry attaches to the first execution, another request with the same id is refused', async t => {
	const {registry} = createRegistry();
	const requestId = openKeyed(registry);
	t.is(registry.open({requestId, fingerprint: 'same'}).kind, 'attach');
	const other = registry.open({requestId, fingerprint: 'other'});
	t.is(other.kind === 'refused' && other.failure.type, 'idempotency-key-reused');
	t.is(other.kind === 'refused' && other.failure.outcome, 'unknown');
	completeRequest(registry, requestId, 'booked');
	t.deepEqual(await collect(registry.readResponse(requestId)), ['head', 'booked', 'complete']);
	t.deepEqual(await collect(registry.readResponse(requestId)), ['head', 'booked', 'complete']);
});

test('a retry during the response receives it from its start', async t => {
	const {registry} = createRegistry();
	const requestId = openKeyed(registry);
	registry.transition(requestId, requestStates.dispatching);
	const sink = registry.createSink(requestId);
	sink.start(head);
	sink.write(Buffer.from('one'));
	const first = collect(registry.readResponse(requestId));
	await Promise.resolve();
	const second = collect(registry.readResponse(requestId));
	sink.write(Buffer.from('two'));
	sink.complete();
	t.deepEqual(await first, ['head', 'one', 'two', 'complete']);
	t.deepEqual(await second, ['head', 'one', 'two', 'complete']);
});

// Guards against violations of G1 and G7.
test('a request is dispatched at most once', t => {
	const {registry} = createRegistry();
	const requestId = openNew(registry);
	t.true(registry.mayDispatch(requestId));
	t.true(registry.transition(requestId, requestStates.dispatching));
	t.false(registry.mayDispatch(requestId));
	t.throws(() => registry.transition(requestId, requestStates.dispatching), {name: 'InvariantError', message: /G7/v});
});

// Guards against a violation of G6: a caller that received "not run" may send the request again.
test('a refused request is never dispatched', t => {
	const {registry} = createRegistry();
	const requestId = openKeyed(registry);
	registry.createSink(requestId).fail(createFailure('overloaded', 'too much work'));
	t.is(registry.findRecord(requestId)!.state, 'refused');
	t.is(registry.outcome(requestId), 'not-run');
	t.false(registry.mayDispatch(requestId));
	t.throws(() => registry.transition(requestId, requestStates.dispatching), {name: 'InvariantError'});
	t.is(registry.open({requestId, fingerprint: 'same'}).kind, 'attach');
});

test('in production an invalid transition is counted and not made', t => {
	const {registry, violations} = createRegistry({mode: 'count'});
	const requestId = openNew(registry);
	registry.transition(requestId, requestStates.dispatching);
	t.false(registry.transition(requestId, requestStates.dispatching));
	t.false(registry.transition(requestId, requestStates.refused));
	t.false(registry.transition('entry-1_a1_77', requestStates.dispatching));
	t.deepEqual(violations, ['G7', 'G6', 'G1']);
	t.is(registry.findRecord(requestId)!.state, 'dispatching');
});

// Guards against a violation of G6: the outcome "not run" for a request that may have run.
test('a dispatched request does not fail with the outcome not run', async t => {
	const strict = createRegistry();
	const first = openNew(strict.registry);
	strict.registry.transition(first, requestStates.dispatching);
	t.throws(() => {
		strict.registry.createSink(first).fail(createFailure('overloaded', 'too much work'));
	}, {name: 'InvariantError'});

	const {registry, violations} = createRegistry({mode: 'count'});
	const requestId = openNew(registry);
	registry.transition(requestId, requestStates.dispatching);
	registry.createSink(requestId).fail(createFailure('overloaded', 'too much work'));
	t.deepEqual(violations, ['G6']);
	t.is(registry.findRecord(requestId)!.failure!.outcome, 'unknown');
	t.is(registry.findRecord(requestId)!.state, 'unknown');
	t.deepEqual(await collect(registry.readResponse(requestId)), ['failure']);
});

test('a request that fails during its response is failed, and unknown if it fails before', t => {
	const {registry} = createRegistry();
	const [before, during] = [openNew(registry), openNew(registry)];
	for (const requestId of [before, during]) {
		registry.transition(requestId, requestStates.dispatching);
	}

	registry.createSink(during).start(head);
	for (const requestId of [before, during]) {
		registry.createSink(requestId).fail(createFailure('answer-interrupted', 'connection lost'));
	}

	t.is(registry.findRecord(before)!.state, 'unknown');
	t.is(registry.findRecord(during)!.state, 'failed');
});

// Guards against a violation of G5: late data must not reach a caller whose response has ended.
test('what is written after the end is dropped', async t => {
	const {registry} = createRegistry();
	const requestId = openKeyed(registry);
	completeRequest(registry, requestId, 'whole');
	const sink = registry.createSink(requestId);
	sink.start(head);
	sink.write(Buffer.from('late'));
	sink.complete();
	sink.fail(createFailure('answer-interrupted', 'late'));
	t.deepEqual(await collect(registry.readResponse(requestId)), ['head', 'whole', 'complete']);
	t.is(registry.findRecord(requestId)!.state, 'completed');
});

// Guards against unbounded memory.
test('the oldest retained responses are dropped beyond the byte bound', t => {
	const {registry} = createRegistry();
	const ids = Array.from({length: 3}, () => openKeyed(registry));
	for (const id of ids) {
		completeRequest(registry, id, 'x'.repeat(400));
	}

	t.true(registry.retainedBytes <= 1000);
	const dropped = registry.open({requestId: ids[0], fingerprint: 'same'});
	t.is(dropped.kind === 'refused' && dropped.failure.type, 'answer-no-longer-held');
	t.is(dropped.kind === 'refused' && dropped.failure.outcome, 'completed');
	t.is(registry.open({requestId: ids[2], fingerprint: 'same'}).kind, 'attach');
	t.throws(() => registry.readResponse(ids[0]!), {name: 'FailureError', message: /^answer-no-longer-held/v});
});

test('a response that exceeds the byte bound while it is written still reaches its reader completely', async t => {
	const {registry} = createRegistry();
	const requestId = openKeyed(registry);
	registry.transition(requestId, requestStates.dispatching);
	const sink = registry.createSink(requestId);
	const reading = collect(registry.readResponse(requestId));
	sink.start(head);
	const chunks = Array.from({length: 30}, (_, index) => `${index}`.repeat(50));
	for (const chunk of chunks) {
		sink.write(Buffer.from(chunk));
		// eslint-disable-next-line no-await-in-loop
		await sink.ready();
	}

	sink.complete();
	t.deepEqual(await reading, ['head', ...chunks, 'complete']);
	t.is(registry.retainedBytes, 0);
	const retry = registry.open({requestId, fingerprint: 'same'});
	t.is(retry.kind === 'refused' && retry.failure.type, 'answer-no-longer-held');
});

test('retained responses and reserved ids are dropped after their time', t => {
	const {registry, clock} = createRegistry();
	const requestId = openKeyed(registry);
	completeRequest(registry, requestId, 'booked');
	const reserved = registry.reserveId();
	clock.advance(60_000);
	const late = registry.open({requestId: reserved, fingerprint: 'same'});
	t.is(late.kind === 'refused' && late.failure.outcome, 'not-run');
	t.is(registry.open({requestId, fingerprint: 'same'}).kind, 'attach');
	clock.advance(240_000);
	registry.sweep();
	const forgotten = registry.open({requestId, fingerprint: 'same'});
	t.is(forgotten.kind === 'refused' && forgotten.failure.type, 'unknown-request');
	t.is(forgotten.kind === 'refused' && forgotten.failure.outcome, 'unknown');
	t.is(registry.retainedBytes, 0);
});

// Guards against a caller that uses up the memory with ids that it never uses.
test('the number of reserved ids and of kept records is bounded', t => {
	const {registry, clock} = createRegistry({maximumRememberedIds: 3});
	for (let count = 0; count < 3; count++) {
		registry.reserveId();
	}

	t.throws(() => registry.reserveId(), {name: 'FailureError', message: /^overloaded/v});
	clock.advance(60_000);
	t.notThrows(() => registry.reserveId());
	for (let count = 0; count < 10; count++) {
		completeRequest(registry, openNew(registry), 'x');
	}

	registry.sweep();
	t.is(registry.openCount, 0);
	t.is(registry.findRecord('entry-1_a1_5'), undefined);
});

// Guards against unbounded memory for a caller that reads slowly.
test('the writer of an unkeyed response waits for its reader', async t => {
	const {registry} = createRegistry();
	const requestId = openNew(registry);
	registry.transition(requestId, requestStates.dispatching);
	const sink = registry.createSink(requestId);
	const events = registry.readResponse(requestId);
	sink.start(head);
	await events.next();
	sink.write(Buffer.alloc(responseHighWaterBytes));
	let isReady = false;
	const ready = (async () => {
		await sink.ready();
		isReady = true;
	})();
	await new Promise(resolve => {
		setImmediate(resolve);
	});
	t.false(isReady);
	await events.next();
	await ready;
	t.true(isReady);
});

test('an unkeyed response whose reader leaves is discarded and its writer continues', async t => {
	const {registry} = createRegistry();
	const requestId = openNew(registry);
	registry.transition(requestId, requestStates.dispatching);
	const sink = registry.createSink(requestId);
	const events = registry.readResponse(requestId);
	const waiting = events.next();
	await events.return!();
	const left = await waiting;
	t.true(left.done);
	sink.start(head);
	sink.write(Buffer.alloc(responseHighWaterBytes * 2));
	await sink.ready();
	sink.complete();
	t.is(registry.findRecord(requestId)!.state, 'completed');
	t.throws(() => registry.readResponse(requestId), {name: 'FailureError'});
});

test('a reader that leaves while the writer waits lets the writer continue', async t => {
	const {registry} = createRegistry();
	const requestId = openNew(registry);
	registry.transition(requestId, requestStates.dispatching);
	const sink = registry.createSink(requestId);
	const events = registry.readResponse(requestId);
	sink.start(head);
	sink.write(Buffer.alloc(responseHighWaterBytes * 2));
	const ready = sink.ready();
	await events.return!();
	await t.notThrowsAsync(ready);
});

const commands = ['issue', 'open-new', 'open-keyed', 'dispatch', 'start', 'write', 'complete', 'fail-not-run', 'fail-unknown', 'sweep', 'advance'] as const;

// Guards against any order of events that dispatches a request twice, or after "not run" was reported.
test('no order of events dispatches a request twice or after a refusal', t => {
	const seed = testSeed();
	t.log(`seed ${seed}`);
	const step = fc.record({command: fc.constantFrom(...commands), index: fc.nat(5), size: fc.nat(600)});
	fc.assert(
		fc.property(fc.array(step, {maxLength: 120}), steps => {
			const {registry, clock} = createRegistry({mode: 'count', maximumRememberedIds: 8});
			const ids: string[] = [];
			const problems: string[] = [];
			const expect = (condition: boolean, problem: string) => {
				if (!condition) {
					problems.push(problem);
				}
			};

			const dispatches = new Map<string, number>();
			const reportedNotRun = new Set<string>();
			const lastStates = new Map<string, RequestState>();
			const withSink = (id: string, use: (sink: ReturnType<RequestRegistry['createSink']>) => void) => {
				if (registry.findRecord(id) !== undefined) {
					use(registry.createSink(id));
				}
			};

			const recordRefusal = (opened: ReturnType<RequestRegistry['open']>) => {
				if (opened.kind === 'refused' && opened.failure.requestId !== undefined && opened.failure.outcome === 'not-run') {
					reportedNotRun.add(opened.failure.requestId);
				}
			};

			const handlers: Record<(typeof commands)[number], (id: string, size: number) => void> = {
				issue() {
					try {
						ids.push(registry.reserveId());
					} catch (error) {
						expect(error instanceof FailureError, 'issue failed without a type');
					}
				},
				'open-new'() {
					ids.push(openNew(registry));
				},
				'open-keyed'(id, size) {
					recordRefusal(registry.open({requestId: id, fingerprint: size < 500 ? 'same' : 'other'}));
				},
				dispatch(id) {
					const allowed = registry.mayDispatch(id);
					const entered = registry.transition(id, requestStates.dispatching);
					expect(entered === allowed, 'mayDispatch differs from transition');
					if (entered) {
						dispatches.set(id, (dispatches.get(id) ?? 0) + 1);
						expect(!reportedNotRun.has(id), 'dispatched after not-run was reported');
					}
				},
				start(id) {
					withSink(id, sink => {
						sink.start(head);
					});
				},
				write(id, size) {
					withSink(id, sink => {
						sink.write(Buffer.alloc(size));
					});
				},
				complete(id) {
					withSink(id, sink => {
						sink.complete();
					});
				},
				'fail-not-run'(id) {
					withSink(id, sink => {
						sink.fail(createFailure('overloaded', 'too much work'));
					});
				},
				'fail-unknown'(id) {
					withSink(id, sink => {
						sink.fail(createFailure('outcome-unknown', 'connection lost'));
					});
				},
				sweep() {
					registry.sweep();
				},
				advance(_id, size) {
					clock.advance(size * 300);
				},
			};

			for (const {command, index, size} of steps) {
				handlers[command](ids.at(-1 - index) ?? 'entry-1_a1_999', size);
				for (const id of ids) {
					const record = registry.findRecord(id);
					const outcome = record?.failure?.outcome;
					if (outcome === 'not-run') {
						reportedNotRun.add(id);
						expect(!dispatches.has(id), 'not-run was reported after a dispatch');
					}

					expect((dispatches.get(id) ?? 0) <= 1, 'dispatched twice');
					const before = lastStates.get(id);
					const wasFinal = before !== undefined && ['completed', 'failed', 'unknown', 'refused'].includes(before);
					expect(!wasFinal || record === undefined || record.state === before, 'left a final state');

					if (record !== undefined) {
						lastStates.set(id, record.state);
					}
				}

				// Only one response that is being written may exceed the bound, by its last chunk.
				expect(registry.retainedBytes <= 1000 + 600, 'more bytes retained than the bound');
			}

			t.deepEqual(problems, []);
		}),
		{seed, numRuns: 300},
	);
});
