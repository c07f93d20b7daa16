/** Entries with real sockets in one process, and a plain WebSocket that acts as a misbehaving peer. */
import {once} from 'node:events';
import {Writable} from 'node:stream';
import {setTimeout as delay} from 'node:timers/promises';
import {WebSocket} from 'ws';
import {SystemClock} from '../../../src/shared/clock.js';
import {Invariants} from '../../../src/shared/invariants.js';
import {createLogger} from '../../../src/shared/log.js';
import {
	decodeMessage, encodeMessage, type HelloMessage, type PeerMessage,
} from '../../../src/entry/membership/messages.js';
import {PeerTask, type PeerTaskOptions} from '../../../src/entry/membership/peer-task.js';
import type {
	LeaseChanged, MembershipEvent, MembershipMessage, PeerMessageReceived,
} from '../../../src/entry/membership/types.js';
import {findFreeAddress} from '../../../standins/fleet/ports.js';

const invariants = Invariants.create('throw');
const output = new Writable({
	write(_chunk, _encoding, callback) {
		callback();
	},
});

/** Waits until the condition holds. The limit of 3000 attempts only ends a test that would otherwise never end. */
export async function waitUntil(condition: () => boolean, description: string): Promise<void> {
	for (let attempt = 0; attempt < 3000; attempt++) {
		if (condition()) {
			return;
		}

		// eslint-disable-next-line no-await-in-loop
		await delay(10);
	}

	throw new Error(`timed out waiting for ${description}`);
}

export type EntryOptions = Partial<Pick<PeerTaskOptions, 'configuration' | 'limits'>> & {
	readonly slot: string;
	readonly incarnation?: string;
	readonly seedPeers?: string[];
	/** Default: a free one. */
	readonly peersAddress?: string;
};

let incarnations = 0;

/** One entry with the messages that it posted and the events that it counted. */
export class TestEntry {
	static async start(options: EntryOptions): Promise<TestEntry> {
		// No outgoing connection can take the address before a replacement listens at it.
		const entry = new TestEntry({...options, peersAddress: options.peersAddress ?? await findFreeAddress()});
		await entry.task.start();
		return entry;
	}

	readonly incarnation: string;
	readonly task: PeerTask;
	readonly posted: MembershipMessage[] = [];
	readonly events: MembershipEvent[] = [];
	configurationVersion = 0;

	private constructor(options: EntryOptions) {
		incarnations++;
		this.incarnation = options.incarnation ?? `${options.slot}#${incarnations}`;
		this.task = PeerTask.create({
			settings: {
				slot: options.slot,
				region: 'region',
				availabilityZone: 'zone-a',
				listen: {callers: '127.0.0.1:1', peers: options.peersAddress ?? '127.0.0.1:0', operators: '127.0.0.1:2'},
				seedPeers: options.seedPeers ?? [],
			},
			incarnation: this.incarnation,
			clock: SystemClock.create(),
			logger: createLogger({name: 'test', output}),
			invariants,
			mailbox: {
				post: message => {
					this.posted.push(message);
				},
			},
			countEvent: event => {
				this.events.push(event);
			},
			configuration: options.configuration,
			limits: options.limits,
		});
	}

	get address(): string {
		return this.task.addresses.peers;
	}

	/** Applies a group of these slots; heartbeats contain its configuration version from then on. */
	joinGroup(slots: readonly string[], version = 1): void {
		this.configurationVersion = version;
		this.task.setHeartbeatProvider(() => ({
			configurationVersion: this.configurationVersion, configurationDigest: `digest-${this.configurationVersion}`, leaving: false, waitingByTier: {}, freeUnits: {}, phases: [],
		}));
		this.task.setGroup({
			slots, leaseMilliseconds: 1000, heartbeatMilliseconds: 50, configurationVersion: version,
		});
	}

	received(kind: PeerMessage['kind']): PeerMessageReceived[] {
		return this.posted.filter((message): message is PeerMessageReceived => message.kind === 'peer-message' && message.message.kind === kind);
	}

	leaseChanges(): LeaseChanged[] {
		return this.posted.filter((message): message is LeaseChanged => message.kind === 'lease-changed');
	}

	isConnectedTo(slot: string): boolean {
		return this.task.contacts().some(contact => contact.slot === slot && contact.isConnected);
	}

	countOf(event: MembershipEvent): number {
		return this.events.filter(counted => counted === event).length;
	}
}

/** A plain WebSocket connection to an entry. */
export class RawPeer {
	static async connect(address: string): Promise<RawPeer> {
		const socket = new WebSocket(`ws://${address}`, {perMessageDeflate: false});
		const peer = new RawPeer(socket);
		await once(socket, 'open');
		return peer;
	}

	readonly received: PeerMessage[] = [];
	isClosed = false;
	closeCode: number | undefined;

	private constructor(readonly socket: WebSocket) {
		socket.on('message', (data: Uint8Array) => {
			this.received.push(decodeMessage(data));
		});
		socket.on('close', code => {
			this.isClosed = true;
			this.closeCode = code;
		});
		socket.on('error', () => undefined);
	}

	sendHello(fields: Partial<HelloMessage> = {}): void {
		this.send({
			kind: 'hello',
			slot: 'entry-2',
			incarnation: 'raw',
			region: 'region',
			availabilityZone: 'zone-b',
			protocol: 1,
			addresses: {callers: '127.0.0.1:1', peers: '127.0.0.1:9', operators: '127.0.0.1:2'},
			peers: [],
			...fields,
		});
	}

	send(message: PeerMessage): void {
		this.socket.send(encodeMessage(message));
	}
}
