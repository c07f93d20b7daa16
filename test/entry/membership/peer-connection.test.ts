import {EventEmitter} from 'node:events';
import {Writable} from 'node:stream';
import test from 'ava';
import type {WebSocket} from 'ws';
import {encodeMessage, type HelloMessage, type PeerMessage} from '../../../src/entry/membership/messages.js';
import {defaultPeerConnectionLimits, PeerConnection} from '../../../src/entry/membership/peer-connection.js';
import type {MembershipEvent} from '../../../src/entry/membership/types.js';
import {createLogger} from '../../../src/shared/log.js';

const output = new Writable({
	write(_chunk, _encoding, callback) {
		callback();
	},
});

const hello: HelloMessage = {
	kind: 'hello',
	slot: 'entry-2',
	incarnation: 'two',
	region: 'region',
	availabilityZone: 'zone-a',
	protocol: 1,
	addresses: {callers: '127.0.0.1:1', peers: '127.0.0.1:2', operators: '127.0.0.1:3'},
	peers: [],
};

/** The part of a WebSocket that the connection uses. */
// eslint-disable-next-line unicorn/prefer-event-target -- ws sockets are EventEmitters.
class FakeSocket extends EventEmitter {
	readyState = 1;
	bufferedAmount = 0;
	pings = 0;
	isTerminated = false;

	ping(): void {
		this.pings++;
	}

	terminate(): void {
		this.isTerminated = true;
	}
}

function createConnection(): {connection: PeerConnection; socket: FakeSocket; events: MembershipEvent[]; received: PeerMessage[]} {
	const socket = new FakeSocket();
	const events: MembershipEvent[] = [];
	const received: PeerMessage[] = [];
	const connection = PeerConnection.create({
		socket: socket as unknown as WebSocket,
		logger: createLogger({name: 'test', output}),
		limits: defaultPeerConnectionLimits,
		countEvent(event) {
			events.push(event);
		},
		onMessage(_connection, message) {
			received.push(message);
		},
		onClose: () => undefined,
	});
	return {
		connection, socket, events, received,
	};
}

// Guards against a half-open connection on which heartbeats are lost for minutes until TCP gives up.
test('a peer that stays silent is pinged and then disconnected', t => {
	const {connection, socket, events} = createConnection();
	connection.hello = hello;
	connection.checkLiveness();
	t.is(socket.pings, 0);
	for (let round = 0; round < 5; round++) {
		connection.checkLiveness();
	}

	t.is(socket.pings, 5);
	t.false(socket.isTerminated);
	connection.checkLiveness();
	t.true(socket.isTerminated);
	t.deepEqual(events, ['peer-silent']);
});

test('a peer that sends a pong or a message is not silent', t => {
	const {connection, socket, received} = createConnection();
	connection.hello = hello;
	for (let round = 0; round < 20; round++) {
		connection.checkLiveness();
		connection.checkLiveness();
		socket.emit('pong');
		connection.checkLiveness();
		socket.emit('message', encodeMessage({kind: 'borrow-cancel', borrowId: 'a'}), true);
	}

	t.false(socket.isTerminated);
	t.is(received.length, 20);
});

// Guards against connections that stay open indefinitely without identifying themselves.
test('a peer that never sends a hello is disconnected although it replies to pings', t => {
	const {connection, socket} = createConnection();
	for (let round = 0; round < 7; round++) {
		t.false(socket.isTerminated);
		connection.checkLiveness();
		socket.emit('pong');
	}

	t.true(socket.isTerminated);
});
