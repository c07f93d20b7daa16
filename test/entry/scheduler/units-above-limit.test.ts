import test from 'ava';
import {slotOrder} from '../../../src/entry/limits/slot-order.js';
import {SteadyGroup, steadyColdUnits, steadyEndpoint} from '../../fixtures/scheduler-group/steady-group.js';

/** The slots by the units of the engine that they own: 0, 1 and 2 and every third one after them. */
function ownersOf({slots}: SteadyGroup): [string, string, string] {
	const [first, second, third] = slotOrder(steadyEndpoint, slots);
	return [first!, second!, third!];
}

/** Lets one entry run a request on a unit above the cold limit, and then turns the engine cold. */
async function startAboveColdLimit(): Promise<SteadyGroup> {
	const group = SteadyGroup.create();
	await group.advance(1000);
	group.announcePhase('warm', 1);
	await group.advance(1000);
	group.submit(ownersOf(group)[2]);
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
	group.submit(ownersOf(group)[0]);
	group.submit(ownersOf(group)[1]);
	await group.advance(5000);
	t.is(group.running.length, steadyColdUnits);
	group.end(first!);
	await group.advance(1000);
	t.is(group.running.length, steadyColdUnits, 'the place that has become free is used');
	t.deepEqual(group.violations, []);
});

// Guards against two requests of one entry that use the cold limit twice: one above it and one within it.
test('an entry counts its own request above the cold limit against its units within it', async t => {
	const group = SteadyGroup.create();
	await group.advance(1000);
	group.announcePhase('warm', 1);
	await group.advance(1000);
	// Its units are 0, 3 and 6; the request on unit 0 ends, the one on unit 3 goes on.
	group.submit(ownersOf(group)[0]);
	group.submit(ownersOf(group)[0]);
	await group.advance(100);
	group.end(group.running[0]!);
	await group.advance(100);
	group.announcePhase('cold', 65);
	await group.advance(30);
	for (const slot of group.slots) {
		group.submit(slot);
	}

	await group.advance(5000);
	t.is(group.running.length, steadyColdUnits);
	t.deepEqual(group.violations, []);
});

// Guards against an endpoint that gets no work any more because an entry died with requests above its cold limit.
test('requests above the cold limit of an entry that is not heard any more do not count', async t => {
	const group = await startAboveColdLimit();
	group.entry(ownersOf(group)[2]).kill();
	group.submit(ownersOf(group)[0]);
	group.submit(ownersOf(group)[1]);
	await group.advance(5000);
	t.is(group.running.length, 1 + steadyColdUnits);
	t.deepEqual(group.violations, []);
});
