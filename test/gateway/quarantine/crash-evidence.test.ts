import test from 'ava';
import {CrashEvidence} from '../../../src/gateway/quarantine/crash-evidence.js';
import type {EndpointCrash} from '../../../src/gateway/quarantine/types.js';

function createCrash(suspectCount: number, firstSuspect = 0): EndpointCrash {
	return {
		endpointId: 'engine-1', startedAt: 1, at: 100, suspects: Array.from({length: suspectCount}, (_, index) => ['first', `rare-${firstSuspect + index}`]), comparisons: {},
	};
}

test('reports of the same crash are merged, and one that says nothing new is no news', t => {
	const evidence = CrashEvidence.create();
	t.is(evidence.add({crashes: [createCrash(3)], survivals: []}).crashes.length, 1);
	t.is(evidence.add({crashes: [createCrash(3)], survivals: []}).crashes.length, 0);
	t.is(evidence.add({crashes: [createCrash(3, 2)], survivals: []}).crashes.length, 1);
	t.is(evidence.crashes()[0]!.suspects.length, 5);
});

// Guards against instances that pass on the same report without end, because it always looks new.
test('a crash with more suspects than are kept is no news when it is repeated', t => {
	const evidence = CrashEvidence.create();
	evidence.add({crashes: [createCrash(60)], survivals: []});
	t.is(evidence.add({crashes: [createCrash(60)], survivals: []}).crashes.length, 0);
	t.is(evidence.add({crashes: [createCrash(60, 100)], survivals: []}).crashes.length, 0);
});
