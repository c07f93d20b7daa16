import test, {type ExecutionContext} from 'ava';
import {pack} from 'msgpackr';
import {
	RawPeer, TestEntry, waitUntil, type EntryOptions,
} from './peer-harness.js';

const slots = ['entry-1', 'entry-2', 'entry-3'];

async function startEntry(t: ExecutionContext, options: EntryOptions): Promise<TestEntry> {
	const entry = await TestEntry.start(options);
	t.teardown(async () => entry.task.dispose());
	return entry;
}

async function connect(t: ExecutionContext, address: string): Promise<RawPeer> {
	const peer = await RawPeer.connect(address);
	t.teardown(() => {
		peer.socket.terminate();
	});
	return peer;
}

/** Three entries that know only the first one's address. */
async function startGroup(t: ExecutionContext): Promise<[TestEntry, TestEntry, TestEntry]> {
	const first = await startEntry(t, {slot: 'entry-1'});
	const second = await startEntry(t, {slot: 'entry-2', seedPeers: [first.address]});
	const third = await startEntry(t, {slot: 'entry-3', seedPeers: [first.address]});
	for (const entry of [first, second, third]) {
		entry.joinGroup(slots);
	}

	return [first, second, third];
}

// Guards against entries that never connect because only one address was configured.
test('entries that share one seed address find each other and hold their leases', async t => {
	const entries = await startGroup(t);
	await waitUntil(() => entries.every(({task}) => task.lease.isHeld()), 'three leases');
	await waitUntil(() => entries[1].isConnectedTo('entry-3'), 'a connection between the two that were not configured');
	for (const entry of entries) {
		const [change] = entry.leaseChanges();
		t.true(change?.isHeld);
		t.is(change?.firstHeldAt, entry.task.lease.firstHeldAt);
	}

	const contact = entries[1].task.contacts().find(({slot}) => slot === 'entry-1');
	t.is(contact?.incarnation, entries[0].incarnation);
	t.deepEqual(contact?.addresses, entries[0].task.addresses);
	t.is(contact?.configurationVersion, 1);
	const [heartbeat] = entries[0].received('heartbeat');
	t.truthy(heartbeat, 'heartbeats reach the scheduler, which needs their load figures');
});

test('messages reach the mailbox of the slot that they were sent to, with the sender', async t => {
	const [first, second, third] = await startGroup(t);
	await waitUntil(() => second.isConnectedTo('entry-3') && second.isConnectedTo('entry-1'), 'connections');
	const message = {kind: 'borrow-cancel', borrowId: 'b/1'} as const;
	t.true(second.task.send('entry-3', message));
	t.false(second.task.send('entry-9', message));
	await waitUntil(() => third.received('borrow-cancel').length === 1, 'the message');
	t.deepEqual(third.received('borrow-cancel')[0], {kind: 'peer-message', from: {slot: 'entry-2', incarnation: second.incarnation}, message});
	t.is(first.received('borrow-cancel').length, 0);
	const phase = {
		kind: 'endpoint-phase', endpoint: 'engine-1', epoch: 1, phase: 'cold', limit: 1, reason: 'refused',
	} as const;
	t.deepEqual(second.task.broadcast(phase), ['entry-1', 'entry-3']);
	await waitUntil(() => first.received('endpoint-phase').length === 1 && third.received('endpoint-phase').length === 1, 'the broadcast');
	t.is(second.received('endpoint-phase').length, 0);
});

// Guards against an entry that continues to serve after it has lost contact with the majority.
test('an entry that loses its peers loses its lease and regains it when they return', async t => {
	const [first, second, third] = await startGroup(t);
	await waitUntil(() => first.task.lease.isHeld(), 'the lease');
	const addresses = [second.address, third.address];
	await second.task.dispose();
	await third.task.dispose();
	await waitUntil(() => first.leaseChanges().at(-1)?.isHeld === false, 'the loss of the lease');
	t.false(first.task.lease.isHeld());
	t.is(first.countOf('lease-lost'), 1);
	const replacements = [
		await startEntry(t, {slot: 'entry-2', peersAddress: addresses[0], seedPeers: [first.address]}),
		await startEntry(t, {slot: 'entry-3', peersAddress: addresses[1], seedPeers: [first.address]}),
	];
	for (const replacement of replacements) {
		replacement.joinGroup(slots);
	}

	await waitUntil(() => first.task.lease.isHeld(), 'the regained lease');
	t.true(first.leaseChanges().at(-1)?.isHeld);
});

// Guards against a replacement that waits for bindings and quarantine although its predecessor left cleanly.
test('a clean goodbye lets the next incarnation take the slot and reports a clean predecessor', async t => {
	const [first, second, third] = await startGroup(t);
	await waitUntil(() => [first, second, third].every(({task}) => task.lease.isHeld()), 'three leases');
	await third.task.sendGoodbye(true);
	t.false(third.task.lease.isHeld());
	await waitUntil(() => first.received('goodbye').length === 1 && second.received('goodbye').length === 1, 'the goodbyes');
	await third.task.dispose();
	t.true(first.task.contacts().some(({incarnation, hasLeft}) => incarnation === third.incarnation && hasLeft));
	const next = await startEntry(t, {slot: 'entry-3', seedPeers: [first.address]});
	next.joinGroup(slots);
	await waitUntil(() => next.task.lease.isHeld(), 'the lease of the next incarnation');
	t.true(next.task.lease.predecessorLeftCleanly);
});

// Guards against a clean goodbye from an incarnation whose slot another one may have taken in the meantime.
test('a goodbye without the lease is never clean', async t => {
	const first = await startEntry(t, {slot: 'entry-1'});
	const second = await startEntry(t, {slot: 'entry-2', seedPeers: [first.address]});
	await waitUntil(() => second.isConnectedTo('entry-1'), 'the connection');
	await second.task.sendGoodbye(true);
	await waitUntil(() => first.received('goodbye').length === 1, 'the goodbye');
	t.like(first.received('goodbye')[0], {message: {clean: false}});
});

// Guards against two processes that both serve as one slot.
test('a second incarnation of a slot gets no lease while the first one runs', async t => {
	const [first, second, third] = await startGroup(t);
	await waitUntil(() => [first, second, third].every(({task}) => task.lease.isHeld()), 'three leases');
	const duplicate = await startEntry(t, {slot: 'entry-3', seedPeers: [first.address, second.address, third.address]});
	duplicate.joinGroup(slots);
	await waitUntil(() => duplicate.isConnectedTo('entry-1') && duplicate.isConnectedTo('entry-2'), 'connections of the duplicate');
	await waitUntil(() => third.countOf('peer-same-slot') > 0, 'detection of the duplicate');
	const before = first.received('heartbeat').filter(({from}) => from.incarnation === duplicate.incarnation).length;
	await waitUntil(() => first.received('heartbeat').filter(({from}) => from.incarnation === duplicate.incarnation).length > before + 20, 'twenty heartbeats of the duplicate');
	t.is(duplicate.leaseChanges().length, 0);
	t.true(third.task.lease.isHeld());
	t.false(third.task.lease.isSuperseded());
});

// Guards against serving with an old configuration: the newer one must be fetched before the peer's acknowledgement counts.
test('an entry fetches a newer configuration from its peer before the acknowledgements count', async t => {
	const document = {version: 2, base: {tiers: {}}, overlay: {site: 'a'}};
	const configuration = {current: () => document};
	const first = await startEntry(t, {slot: 'entry-1', configuration});
	const second = await startEntry(t, {slot: 'entry-2', configuration, seedPeers: [first.address]});
	const third = await startEntry(t, {slot: 'entry-3', seedPeers: [first.address, second.address]});
	first.joinGroup(slots, 2);
	second.joinGroup(slots, 2);
	third.joinGroup(slots, 1);
	await waitUntil(() => first.task.lease.isHeld() && second.task.lease.isHeld(), 'leases of the up-to-date entries');
	await waitUntil(() => third.received('configuration-document').length > 0, 'the newer document');
	t.like(third.received('configuration-document')[0], {message: {kind: 'configuration-document', ...document}});
	t.is(third.leaseChanges().length, 0);
	third.joinGroup(slots, 2);
	await waitUntil(() => third.task.lease.isHeld(), 'the lease after the adoption');
	t.true(third.received('configuration-document').length <= 4, 'the document is not requested with every heartbeat');
});

// Guards against an entry that can't start while the configuration service is down.
test('an entry without a configuration requests one from its peers', async t => {
	const document = {version: 5, base: {}, overlay: {}};
	const first = await startEntry(t, {slot: 'entry-1', configuration: {current: () => document}});
	first.joinGroup(slots, 5);
	const second = await startEntry(t, {slot: 'entry-2', seedPeers: [first.address]});
	await waitUntil(() => second.received('configuration-document').length > 0, 'the document');
	t.like(second.received('configuration-document')[0], {message: document});
});

// Guards against a peer that floods the log and the decoder with malformed messages.
test('three malformed messages close the connection and unknown kinds do not', async t => {
	const entry = await startEntry(t, {slot: 'entry-1'});
	const peer = await connect(t, entry.address);
	peer.sendHello();
	for (let index = 0; index < 10; index++) {
		peer.socket.send(pack({kind: 'from-a-later-version'}));
	}

	await waitUntil(() => entry.countOf('peer-message-unknown-kind') === 10, 'ten unknown kinds');
	t.false(peer.isClosed);
	peer.socket.send(pack({kind: 'goodbye'}));
	peer.socket.send('text');
	await waitUntil(() => entry.countOf('peer-message-malformed') === 2, 'two malformed messages');
	t.false(peer.isClosed);
	peer.socket.send(Uint8Array.of(0xC1));
	peer.send({kind: 'borrow-cancel', borrowId: 'after the third'});
	await waitUntil(() => peer.isClosed, 'the end of the connection');
	t.is(peer.closeCode, 1002);
	t.is(entry.countOf('peer-message-malformed'), 3);
	t.is(entry.countOf('peer-connection-closed-malformed'), 1);
	t.is(entry.received('borrow-cancel').length, 0);
});

// Guards against messages from an unidentified peer, or with the identity of another process.
test('messages before hello, a hello of another slot and messages of another incarnation are malformed', async t => {
	const entry = await startEntry(t, {slot: 'entry-1'});
	const peer = await connect(t, entry.address);
	peer.send({kind: 'borrow-cancel', borrowId: 'too early'});
	peer.sendHello();
	peer.sendHello({slot: 'entry-3'});
	peer.send({kind: 'goodbye', incarnation: 'somebody else', clean: true});
	await waitUntil(() => peer.isClosed, 'the end of the connection');
	t.is(entry.countOf('peer-message-malformed'), 3);
	t.deepEqual(entry.posted.map(({kind}) => kind), ['peer-connected']);
	t.deepEqual(entry.task.contacts().map(({slot}) => slot), ['entry-2']);
});

test('peers of another protocol version are disconnected', async t => {
	const entry = await startEntry(t, {slot: 'entry-1'});
	const peer = await connect(t, entry.address);
	peer.sendHello({protocol: 99});
	await waitUntil(() => peer.isClosed, 'the end of the connection');
	t.is(entry.countOf('peer-protocol-mismatch'), 1);
	t.deepEqual(entry.task.contacts(), []);
});

// Guards against running out of memory on one message.
test('a message above the size limit closes the connection', async t => {
	const entry = await startEntry(t, {slot: 'entry-1', limits: {messageBytes: 10_000}});
	const peer = await connect(t, entry.address);
	peer.sendHello();
	peer.send({
		kind: 'configuration-document', version: 1, base: 'x'.repeat(20_000), overlay: {},
	});
	await waitUntil(() => peer.isClosed, 'the end of the connection');
	t.is(peer.closeCode, 1009);
	t.is(entry.received('configuration-document').length, 0);
});

// Guards against running out of memory because a peer does not read.
test('a peer that does not read is disconnected when its send buffer is full', async t => {
	const entry = await startEntry(t, {slot: 'entry-1', limits: {sendBufferBytes: 100_000}});
	const peer = await connect(t, entry.address);
	peer.sendHello();
	await waitUntil(() => entry.isConnectedTo('entry-2'), 'the connection');
	peer.socket.pause();
	const large = {
		kind: 'configuration-document', version: 1, base: 'x'.repeat(1_000_000), overlay: {},
	} as const;
	let sent = 0;
	await waitUntil(() => {
		if (entry.task.send('entry-2', large)) {
			sent++;
			return false;
		}

		return true;
	}, 'a refused message');
	t.true(sent < 100, `${sent} MB were accepted`);
	t.is(entry.countOf('peer-send-buffer-full'), 1);
	await waitUntil(() => !entry.isConnectedTo('entry-2'), 'the end of the connection');
});

// Guards against an entry that counts itself as its peer or dials itself repeatedly.
test('an entry does not keep a connection to itself', async t => {
	const first = await startEntry(t, {slot: 'entry-1'});
	const port = first.address.split(':')[1];
	first.task.setInstanceAddresses([first.address, `localhost:${port}`]);
	const second = await startEntry(t, {slot: 'entry-2', seedPeers: [first.address]});
	await waitUntil(() => first.isConnectedTo('entry-2'), 'the connection of the other entry');
	t.deepEqual(first.task.contacts().map(({slot}) => slot), ['entry-2']);
	t.is(second.countOf('peer-same-slot'), 0);
});

// Guards against entries that never connect because their common peer sent its hello before it knew the other one.
test('peers that arrive later are named in a repeated hello', async t => {
	const entry = await startEntry(t, {slot: 'entry-1'});
	const peer = await connect(t, entry.address);
	peer.sendHello();
	await waitUntil(() => peer.received.some(({kind}) => kind === 'hello'), 'the first hello');
	const later = await startEntry(t, {slot: 'entry-3', seedPeers: [entry.address]});
	await waitUntil(() => peer.received.some(message => message.kind === 'hello' && message.peers.some(({address}) => address === later.address)), 'the repeated hello');
	peer.sendHello({peers: [{slot: 'entry-4', incarnation: 'four', address: '127.0.0.1:9'}]});
	peer.send({kind: 'borrow-cancel', borrowId: 'after the hello'});
	await waitUntil(() => entry.received('borrow-cancel').length === 1, 'the message after the repeated hello');
	t.is(entry.countOf('peer-message-malformed'), 0);
});

// Guards against a split configuration store that goes unnoticed.
test('another document of the same version is reported once', async t => {
	const entry = await startEntry(t, {slot: 'entry-1'});
	entry.joinGroup(slots, 4);
	const peer = await connect(t, entry.address);
	peer.sendHello();
	for (const sequence of [1, 2]) {
		peer.send({
			kind: 'heartbeat', sequence, incarnation: 'raw', configurationVersion: 4, configurationDigest: 'another', leaving: true, waitingByTier: {}, freeUnits: {}, phases: [],
		});
	}

	await waitUntil(() => entry.received('heartbeat').length === 2, 'the heartbeats');
	t.is(entry.countOf('peer-configuration-conflict'), 1);
	t.like(entry.task.contacts()[0], {configurationVersion: 4, configurationDigest: 'another', isLeaving: true});
});

test('peers are found through the instance list', async t => {
	const first = await startEntry(t, {slot: 'entry-1'});
	const second = await startEntry(t, {slot: 'entry-2'});
	second.task.setInstanceAddresses([first.address]);
	await waitUntil(() => first.isConnectedTo('entry-2') && second.isConnectedTo('entry-1'), 'the connection');
	t.deepEqual(second.task.contacts().map(({slot}) => slot), ['entry-1']);
});

test('a listening address in use makes start fail', async t => {
	const first = await startEntry(t, {slot: 'entry-1'});
	await t.throwsAsync(TestEntry.start({slot: 'entry-2', peersAddress: first.address}), {code: 'EADDRINUSE'});
});
