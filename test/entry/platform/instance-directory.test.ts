import test from 'ava';
import {InstanceDirectory} from '../../../src/entry/platform/instance-directory.js';
import type {PlatformInstance} from '../../../src/entry/platform/types.js';

function endpoint(name: string, state: 'live' | 'leaving' = 'live'): PlatformInstance {
	return {
		name, role: 'endpoint', state, availabilityZone: 'scotland-a', addresses: {},
	};
}

// Guards against dispatching new requests to an endpoint that is leaving, or that has left and is no longer listed.
test('an endpoint counts as leaving from the leaving state until it is listed as live again', t => {
	const directory = InstanceDirectory.create();
	t.deepEqual(directory.applyListing({revision: 1, instances: [endpoint('engine-1'), endpoint('engine-2')]}).leavingEndpoints, new Set());
	t.deepEqual(directory.applyListing({revision: 2, instances: [endpoint('engine-1', 'leaving'), endpoint('engine-2')]}).leavingEndpoints, new Set(['engine-1']));
	t.deepEqual(directory.applyListing({revision: 3, instances: [endpoint('engine-2')]}).leavingEndpoints, new Set(['engine-1']));
	t.deepEqual(directory.applyListing({revision: 4, instances: [endpoint('engine-1'), endpoint('engine-2')]}).leavingEndpoints, new Set());
});

// Guards against a new endpoint that gets no requests because the list lags.
test('an endpoint that was never listed does not count as leaving', t => {
	const directory = InstanceDirectory.create();
	t.false(directory.applyListing({revision: 1, instances: [endpoint('engine-1')]}).leavingEndpoints.has('engine-9'));
});

test('only entries that have a peer address are peers', t => {
	const directory = InstanceDirectory.create();
	const entry = {
		name: 'entry-1', role: 'entry', state: 'live', availabilityZone: 'scotland-a', addresses: {peers: '127.0.0.1:7001'},
	} as const;
	t.deepEqual(directory.applyListing({revision: 1, instances: [entry, {...entry, name: 'entry-2', addresses: {}}]}).entryPeerAddresses, ['127.0.0.1:7001']);
});
