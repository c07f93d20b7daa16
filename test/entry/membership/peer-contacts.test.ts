import test from 'ava';
import {PeerContacts} from '../../../src/entry/membership/peer-contacts.js';
import {DocumentRequests} from '../../../src/entry/membership/document-requests.js';
import type {HelloMessage} from '../../../src/entry/membership/messages.js';
import {ManualClock} from '../../fixtures/manual-clock.js';

function createHello(incarnation: string): HelloMessage {
	return {
		kind: 'hello',
		slot: 'entry-2',
		incarnation,
		region: 'region',
		availabilityZone: 'zone-a',
		protocol: 1,
		addresses: {callers: '127.0.0.1:1', peers: '127.0.0.1:2', operators: '127.0.0.1:3'},
		peers: [],
	};
}

// Guards against removing a stopped process while callers may still ask for ids that it issued, and against keeping it indefinitely.
test('a silent process is kept for ten minutes', t => {
	const clock = ManualClock.create();
	const contacts = PeerContacts.create({clock});
	contacts.recordContact(createHello('one'));
	clock.advance(600_000);
	contacts.recordContact(createHello('two'));
	contacts.removeExpired();
	t.deepEqual(contacts.all().map(({incarnation}) => incarnation), ['one', 'two']);
	clock.advance(1);
	contacts.removeExpired();
	t.deepEqual(contacts.all().map(({incarnation}) => incarnation), ['two']);
});

// Guards against unbounded memory when processes restart in a loop.
test('beyond the bound the process that was silent for longest is removed', t => {
	const contacts = PeerContacts.create({clock: ManualClock.create(), maximumContacts: 2});
	for (const incarnation of ['one', 'two', 'one', 'three']) {
		contacts.recordContact(createHello(incarnation));
	}

	t.deepEqual(contacts.all().map(({incarnation}) => incarnation), ['one', 'three']);
});

test('what a process reported is kept when later messages arrive', t => {
	const contacts = PeerContacts.create({clock: ManualClock.create()});
	contacts.recordVersion('one', 3);
	t.is(contacts.get('one'), undefined);
	contacts.recordContact(createHello('one'));
	contacts.recordVersion('one', 3);
	contacts.recordGoodbye('one');
	contacts.recordContact(createHello('one'));
	t.like(contacts.get('one'), {configurationVersion: 3, hasLeft: true});
});

// Guards against requesting a document of up to 2 MB with every heartbeat when it is invalid here.
test('the same document is requested again after doubling delays and another one immediately', t => {
	const clock = ManualClock.create();
	const requests = DocumentRequests.create(clock);
	for (const backoffMs of [500, 1000, 2000, 4000, 8000, 16_000, 30_000, 30_000]) {
		t.true(requests.isDue('one', 5));
		requests.recordRequest('one', 5);
		clock.advance(backoffMs - 1);
		t.false(requests.isDue('one', 5));
		clock.advance(1);
	}

	requests.recordRequest('one', 5);
	t.true(requests.isDue('one', 6));
	t.true(requests.isDue('two', 5), 'another peer may reply');
	requests.forget('one');
	t.true(requests.isDue('one', 5));
});
