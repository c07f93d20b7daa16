import test from 'ava';
import {createFailure} from '../../../src/shared/failure.js';
import {endpointPhases, type EndpointPhase} from '../../../src/entry/limits/types.js';
import {SteadyGroup, steadyEndpoint} from '../../fixtures/scheduler-group/steady-group.js';

const firstTokenMs = 60;
/** Time for each token at an engine that runs a few requests. */
const tokenMs = 13;

/** Lets an entry learn the speed of the engine from streams. */
async function startWithKnownSpeed(): Promise<SteadyGroup> {
	const group = SteadyGroup.create();
	await group.advance(1000);
	group.announcePhase('warm', 1);
	await group.advance(1000);
	for (let count = 0; count < 20; count++) {
		group.submit(group.slots[0]!);
		// eslint-disable-next-line no-await-in-loop
		await group.advance(100);
		const [running] = group.running;
		// eslint-disable-next-line no-await-in-loop
		await group.advance(firstTokenMs - 50);
		running!.order.onFirstByte();
		// eslint-disable-next-line no-await-in-loop
		await group.advance(99 * tokenMs);
		running!.order.onTokens(100);
		group.end(running!);
		// eslint-disable-next-line no-await-in-loop
		await group.advance(50);
	}

	return group;
}

/** Plays a response that arrives as a whole, and returns the phase of the engine after it. */
async function phaseAfterDocument(group: SteadyGroup, outputTokens: number, durationMs: number): Promise<EndpointPhase> {
	const [slot] = group.slots;
	group.submit(slot!, {
		http: {
			method: 'POST', path: '/v1/chat/completions', headers: {}, body: new Uint8Array(), wantsStream: false,
		},
	});
	await group.advance(100);
	const [running] = group.running;
	await group.advance(durationMs);
	running!.order.onFirstByte();
	running!.order.onTokens(outputTokens);
	group.end(running!);
	await group.advance(100);
	return group.entry(slot!).context.phases.phase(steadyEndpoint);
}

// Guards against a warm engine that loses most of its places because it runs more requests, which makes each token of a long document slower.
test('a document whose tokens take twice as long as those of streams before does not make a warm engine cold', async t => {
	const group = await startWithKnownSpeed();
	t.is(await phaseAfterDocument(group, 400, firstTokenMs + (400 * 2 * tokenMs)), endpointPhases.warm);
});

/** Plays a stream whose first token the entry reads after a delay, and returns the phase of the engine after it. */
async function phaseAfterDelayedStream(group: SteadyGroup, isPaused: boolean): Promise<EndpointPhase> {
	const entry = group.entry(group.slots[0]!);
	group.submit(entry.slot);
	await group.advance(100);
	const [running] = group.running;
	if (isPaused) {
		entry.pause();
	}

	await group.advance(1500);
	entry.resume();
	running!.order.onFirstByte();
	await group.advance(100 * tokenMs);
	running!.order.onTokens(100);
	group.end(running!);
	await group.advance(100);
	return entry.context.phases.phase(steadyEndpoint);
}

// Guards against an entry without processor time that takes its own delay for a cold engine, and takes most places of a warm one from all entries.
test('a first token that a paused entry reads late does not make a warm engine cold', async t => {
	t.is(await phaseAfterDelayedStream(await startWithKnownSpeed(), true), endpointPhases.warm);
});

test('a first token that is late while the entry runs makes the engine cold', async t => {
	t.is(await phaseAfterDelayedStream(await startWithKnownSpeed(), false), endpointPhases.cold);
});

// Guards against an engine that has restarted and gets its full load for as long as a cancellation takes there.
test('a reset makes the engine cold at all entries before the request has been cancelled, and once', async t => {
	const group = SteadyGroup.create();
	await group.advance(1000);
	group.announcePhase('warm', 1);
	await group.advance(1000);
	group.submit(group.slots[0]!);
	await group.advance(100);
	const [running] = group.running;
	running!.order.onSymptom('reset');
	await group.advance(100);
	const phases = () => group.slots.map(slot => group.entry(slot).context.phases);
	t.deepEqual(new Set(phases().map(entryPhases => entryPhases.phase(steadyEndpoint))), new Set([endpointPhases.cold]));
	const epoch = phases()[0]!.epoch(steadyEndpoint);
	await group.advance(1500);
	running!.end({kind: 'failed', symptom: 'reset', failure: createFailure('answer-interrupted', 'test')});
	await group.advance(100);
	t.is(phases()[0]!.epoch(steadyEndpoint), epoch);
	t.deepEqual(group.violations, []);
});

// Guards against a cold start that goes unnoticed while callers ask for documents only.
test('a document that takes longer than a full batch explains makes the engine cold', async t => {
	const group = await startWithKnownSpeed();
	t.is(await phaseAfterDocument(group, 100, firstTokenMs + (100 * 4 * tokenMs)), endpointPhases.cold);
});
