import test from 'ava';
import {PeerDirectory} from '../../../src/entry/membership/peer-directory.js';
import {ManualClock} from '../../fixtures/manual-clock.js';

// Guards against a reconnect storm after a peer or a zone has failed.
test('the backoff doubles up to two seconds and is reset after a success', t => {
	const clock = ManualClock.create();
	const directory = PeerDirectory.create({clock, random: () => 1});
	directory.add('10.0.0.1:1', 'seed');
	for (const backoffMs of [200, 400, 800, 1600, 2000, 2000]) {
		t.deepEqual(directory.takeDue(), ['10.0.0.1:1']);
		t.deepEqual(directory.takeDue(), [], 'it is in use');
		directory.recordClose('10.0.0.1:1');
		clock.advance(backoffMs - 1);
		t.deepEqual(directory.takeDue(), []);
		clock.advance(1);
	}

	t.deepEqual(directory.takeDue(), ['10.0.0.1:1']);
	directory.recordSuccess('10.0.0.1:1');
	directory.recordClose('10.0.0.1:1');
	clock.advance(200);
	t.deepEqual(directory.takeDue(), ['10.0.0.1:1']);
});

test('jitter shortens the backoff by at most half', t => {
	const clock = ManualClock.create();
	const directory = PeerDirectory.create({clock, random: () => 0});
	directory.add('10.0.0.1:1', 'seed');
	directory.takeDue();
	directory.recordClose('10.0.0.1:1');
	clock.advance(99);
	t.deepEqual(directory.takeDue(), []);
	clock.advance(1);
	t.deepEqual(directory.takeDue(), ['10.0.0.1:1']);
});

// Guards against dialling replaced instances indefinitely: 140 instances are replaced a day at the target size.
test('an address known only from a hello is removed after nine failures and a seed is not', t => {
	const clock = ManualClock.create();
	const directory = PeerDirectory.create({clock, random: () => 1});
	directory.add('10.0.0.1:1', 'seed');
	directory.add('10.0.0.2:1', 'hello');
	for (let attempt = 0; attempt < 9; attempt++) {
		t.is(directory.takeDue().length, 2);
		directory.recordClose('10.0.0.1:1');
		directory.recordClose('10.0.0.2:1');
		clock.advance(2000);
	}

	t.deepEqual(directory.addresses(), ['10.0.0.1:1']);
});

test('addresses that the instance list no longer names are removed unless another source names them', t => {
	const directory = PeerDirectory.create({clock: ManualClock.create()});
	directory.add('10.0.0.1:1', 'seed');
	directory.replace(['10.0.0.1:1', '10.0.0.2:1'], 'instance-list');
	directory.replace(['10.0.0.3:1'], 'instance-list');
	t.deepEqual(directory.addresses(), ['10.0.0.1:1', '10.0.0.3:1']);
});

// Guards against a leak: the record of an address that no source names any more must be removed when its connection closes.
test('an address in use that no source names is removed when its connection closes', t => {
	const directory = PeerDirectory.create({clock: ManualClock.create()});
	directory.replace(['10.0.0.1:1'], 'instance-list');
	directory.takeDue();
	directory.replace([], 'instance-list');
	t.deepEqual(directory.addresses(), ['10.0.0.1:1']);
	directory.recordClose('10.0.0.1:1');
	t.deepEqual(directory.addresses(), []);
});

// Guards against unbounded memory: a peer may name any number of addresses.
test('no more addresses are kept than the bound, and the own address never', t => {
	const directory = PeerDirectory.create({clock: ManualClock.create(), maximumAddresses: 2});
	directory.addOwnAddress('10.0.0.1:1');
	for (const address of ['10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1', '10.0.0.4:1']) {
		directory.add(address, 'hello');
	}

	t.deepEqual(directory.addresses(), ['10.0.0.2:1', '10.0.0.3:1']);
});

// Guards against removing a connected peer because its address was often found to be connected already.
test('an address that is already connected is tried later without counting as failed', t => {
	const clock = ManualClock.create();
	const directory = PeerDirectory.create({clock, random: () => 1});
	directory.add('10.0.0.1:1', 'hello');
	for (let attempt = 0; attempt < 20; attempt++) {
		t.deepEqual(directory.takeDue(), ['10.0.0.1:1']);
		directory.postpone('10.0.0.1:1');
		t.deepEqual(directory.takeDue(), []);
		clock.advance(2000);
	}
});

// Guards against a lease that expires because a broken connection is not replaced in time.
test('an address whose connection has ended is tried after the initial backoff', t => {
	const clock = ManualClock.create();
	const directory = PeerDirectory.create({clock, random: () => 1});
	directory.add('10.0.0.1:1', 'hello');
	directory.takeDue();
	directory.postpone('10.0.0.1:1');
	directory.scheduleReconnect('10.0.0.1:1');
	clock.advance(199);
	t.deepEqual(directory.takeDue(), []);
	clock.advance(1);
	t.deepEqual(directory.takeDue(), ['10.0.0.1:1']);
});
