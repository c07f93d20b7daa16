/** Connects entry processes to each other: hello, heartbeats and the messages of other tasks. Owns the lease of the slot. */
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {WebSocket, WebSocketServer} from 'ws';
import {splitAddress} from '../../shared/address.js';
import type {Clock, Milliseconds} from '../../shared/clock.js';
import {DisposableStore} from '../../shared/disposable-store.js';
import type {Invariants} from '../../shared/invariants.js';
import type {Logger} from '../../shared/log.js';
import type {EntrySettings} from '../settings.js';
import {PeerContacts} from './peer-contacts.js';
import {DocumentRequests} from './document-requests.js';
import {LeaseReporter} from './lease-reporter.js';
import {
	peerProtocol, type HeartbeatContent, type HelloMessage, type MessageKind, type MessageOf, type PeerMessage,
} from './messages.js';
import {defaultPeerConnectionLimits, PeerConnection, type PeerConnectionLimits} from './peer-connection.js';
import {PeerConnections} from './peer-connections.js';
import {PeerDirectory} from './peer-directory.js';
import {SlotLease, type EntryIdentity} from './slot-lease.js';
import type {
	ConfigurationSource, MembershipEvent, MembershipMailbox, PeerContact, PeerGroup,
} from './types.js';

export type PeerTaskSettings = Pick<EntrySettings, 'slot' | 'region' | 'availabilityZone' | 'listen' | 'advertise' | 'seedPeers'>;

export type PeerTaskOptions = {
	readonly settings: PeerTaskSettings;
	readonly incarnation: string;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly invariants: Invariants;
	readonly mailbox: MembershipMailbox;
	/** Source of the replies to `configuration-request`. Default: no reply is sent. */
	readonly configuration?: ConfigurationSource;
	/** Counts events by name. Default: not counted. */
	readonly countEvent?: (event: MembershipEvent) => void;
	/** Default: {@link defaultPeerConnectionLimits}. */
	readonly limits?: Partial<PeerConnectionLimits>;
	/** Uniform random numbers from 0 to 1 for the reconnect backoff. Default: `Math.random`. */
	readonly random?: () => number;
};

/** The part of the lease that other modules may read. */
export type LeaseView = Pick<SlotLease, 'heldUntil' | 'isHeld' | 'firstHeldAt' | 'predecessorLeftCleanly' | 'cleanPredecessorVersion' | 'isSuperseded' | 'boundIncarnation'>;

type MessageHandlers = {
	readonly [Kind in MessageKind]: (connection: PeerConnection, from: EntryIdentity, message: MessageOf<Kind>) => void;
};

/** Supplies the content of the next heartbeat; undefined while there is none. */
export type HeartbeatProvider = () => HeartbeatContent | undefined;

const dialIntervalMs: Milliseconds = 100;
const maintenanceIntervalMs: Milliseconds = 1000;
const handshakeTimeoutMs: Milliseconds = 2000;
const goodbyeTimeoutMs: Milliseconds = 500;

/** Number of peers named in a repeated hello. It bounds the traffic at the target size of the fleet. */
const maximumRepeatedHelloPeers = 16;
const maximumConnections = 1024;
const protocolErrorCode = 1002;
const tryAgainLaterCode = 1013;

export class PeerTask {
	static create(options: PeerTaskOptions): PeerTask {
		return new PeerTask(options);
	}

	readonly #lease: SlotLease;
	readonly #directory: PeerDirectory;
	readonly #disposables = DisposableStore.create();
	readonly #connections = PeerConnections.create();
	readonly #contacts: PeerContacts;
	readonly #documentRequests: DocumentRequests;
	readonly #leaseReporter: LeaseReporter;
	readonly #handlers: MessageHandlers;
	#addresses: HelloMessage['addresses'];
	#group: PeerGroup | undefined;
	#heartbeatTimer: NodeJS.Timeout | undefined;
	#heartbeatProvider: HeartbeatProvider | undefined;
	#lastSequence = 0;
	#maintenanceRounds = 0;
	/** Content of the last heartbeat sent. */
	#lastHeartbeatContent: HeartbeatContent | undefined;
	#isDisposed = false;

	private constructor(private readonly options: PeerTaskOptions) {
		const {settings, incarnation, clock, invariants, random} = options;
		this.#lease = SlotLease.create({
			slot: settings.slot, incarnation, clock, invariants, random,
		});
		this.#directory = PeerDirectory.create({clock, random});
		this.#contacts = PeerContacts.create({clock});
		this.#documentRequests = DocumentRequests.create(clock);
		this.#leaseReporter = LeaseReporter.create({
			lease: this.#lease,
			logger: options.logger,
			mailbox: options.mailbox,
			countEvent: event => {
				this.#countEvent(event);
			},
		});
		this.#addresses = settings.advertise ?? settings.listen;
		const forward = (_connection: PeerConnection, from: EntryIdentity, message: PeerMessage) => {
			options.mailbox.post({kind: 'peer-message', from, message});
		};

		this.#handlers = {
			hello: (connection, from, message) => {
				this.#receiveRepeatedHello(connection, from, message);
			},
			heartbeat: (connection, from, message) => {
				this.#receiveHeartbeat(connection, from, message);
			},
			'heartbeat-reply': (connection, from, message) => {
				this.#receiveReply(connection, from, message);
			},
			goodbye: (connection, from, message) => {
				this.#receiveGoodbye(connection, from, message);
			},
			'configuration-request': (connection, _from, message) => {
				this.#sendDocument(connection, message);
			},
			'configuration-document': forward,
			'borrow-request': forward,
			'borrow-reply': forward,
			'borrow-cancel': forward,
			'loan-renew': forward,
			'loan-return': forward,
			'displace-request': forward,
			'displace-reply': forward,
			'endpoint-phase': forward,
			'endpoint-answer': forward,
			'units-above-limit': forward,
		};
	}

	/** The lease of this entry's slot. */
	get lease(): LeaseView {
		return this.#lease;
	}

	/** Addresses that this process advertises. A listening port 0 is replaced after {@link start}. */
	get addresses(): HelloMessage['addresses'] {
		return this.#addresses;
	}

	/**
	Listens for peers and starts to dial them.

	@throws {Error} when the listening address is in use
	*/
	async start(): Promise<void> {
		const {listen, seedPeers} = this.options.settings;
		const server = new WebSocketServer({
			...splitAddress(listen.peers), maxPayload: this.#limits().messageBytes, perMessageDeflate: false,
		});
		this.#disposables.defer(() => {
			server.close();
		});
		await once(server, 'listening');
		server.on('error', error => {
			this.options.logger.error({reason: error.message}, 'peer-listener-error');
		});
		server.on('connection', socket => {
			this.#accept(socket);
		});
		this.#advertisePort((server.address() as AddressInfo).port);
		this.#directory.replace(seedPeers, 'seed');
		this.#disposables.addInterval(() => {
			this.#dialDueAddresses();
			this.#leaseReporter.reportChange();
		}, dialIntervalMs);
		this.#disposables.addInterval(() => {
			this.#runMaintenance();
		}, maintenanceIntervalMs);
		this.#dialDueAddresses();
	}

	/** Sends to the slot's current incarnation. Returns false when there is no connection to it. */
	send(slot: string, message: PeerMessage): boolean {
		return this.#findConnection(slot)?.send(message) ?? false;
	}

	/** Sends to every other slot of the group that is connected. Returns the slots that the message was sent to. */
	broadcast(message: PeerMessage): string[] {
		return this.#otherSlots().filter(slot => this.send(slot, message));
	}

	/** What is known about other entry processes, running and stopped. */
	contacts(): PeerContact[] {
		const connected = this.#connections.incarnations();
		return this.#contacts.all().map(contact => ({...contact, isConnected: connected.has(contact.incarnation)}));
	}

	/** Applies the lease group of a newly adopted configuration. */
	setGroup(group: PeerGroup): void {
		const hasNewInterval = this.#group?.heartbeatMilliseconds !== group.heartbeatMilliseconds;
		this.#group = group;
		this.#lease.setGroup(group);
		if (hasNewInterval) {
			this.#restartHeartbeats(group.heartbeatMilliseconds);
		}

		this.#sendHeartbeats();
		this.#leaseReporter.reportChange();
	}

	/** Sets the source of the contents of heartbeats. No heartbeat is sent while it returns undefined. */
	setHeartbeatProvider(provider: HeartbeatProvider): void {
		this.#heartbeatProvider = provider;
	}

	/** Replaces the peer addresses that the instance list names, as `host:port`. */
	setInstanceAddresses(addresses: readonly string[]): void {
		this.#directory.replace(addresses, 'instance-list');
	}

	/**
	Releases the lease and sends a goodbye to all peers. Resolves when the messages are handed to the network or after half a second.

	@param isClean whether no request is in flight, nothing is lent and no unit is in quarantine
	*/
	async sendGoodbye(isClean: boolean): Promise<void> {
		const wasHeld = this.#lease.leave();
		this.#leaseReporter.reportChange();
		const message = {
			kind: 'goodbye', incarnation: this.options.incarnation, clean: isClean && wasHeld, configurationVersion: this.#group?.configurationVersion,
		} as const;
		const flushed = this.#connections.identified().map(async connection => new Promise<void>(resolve => {
			if (!connection.send(message, resolve)) {
				resolve();
			}
		}));
		const timeout = new AbortController();
		const deadline = new Promise<void>(resolve => {
			const timer = setTimeout(resolve, goodbyeTimeoutMs);
			timeout.signal.addEventListener('abort', () => {
				clearTimeout(timer);
			});
		});
		await Promise.race([Promise.all(flushed), deadline]);
		timeout.abort();
	}

	async dispose(): Promise<void> {
		this.#isDisposed = true;
		clearInterval(this.#heartbeatTimer);
		for (const connection of this.#connections.all()) {
			connection.terminate();
		}

		await this.#disposables.dispose();
	}

	#limits(): PeerConnectionLimits {
		return {...defaultPeerConnectionLimits, ...this.options.limits};
	}

	#countEvent(event: MembershipEvent): void {
		this.options.countEvent?.(event);
	}

	#advertisePort(port: number): void {
		const {peers} = this.#addresses;
		const configured = splitAddress(peers);
		this.#addresses = {...this.#addresses, peers: configured.port === 0 ? `${configured.host}:${port}` : peers};
		this.#directory.addOwnAddress(this.#addresses.peers);
	}

	#otherSlots(): string[] {
		return this.#group?.slots.filter(slot => slot !== this.options.settings.slot) ?? [];
	}

	/** The connection to the incarnation that the slot is bound to, otherwise to the one that connected last. */
	#findConnection(slot: string): PeerConnection | undefined {
		return this.#connections.findBySlot(slot, this.#lease.boundIncarnation(slot));
	}

	#accept(socket: WebSocket): void {
		if (this.#connections.size >= maximumConnections) {
			this.#countEvent('peer-connections-exhausted');
			socket.close(tryAgainLaterCode);
			return;
		}

		this.#addConnection(socket);
	}

	#dialDueAddresses(): void {
		for (const address of this.#directory.takeDue()) {
			if (this.#connections.hasAddress(address)) {
				this.#directory.postpone(address);
			} else {
				this.#dial(address);
			}
		}
	}

	#dial(address: string): void {
		const socket = new WebSocket(`ws://${address}`, {
			handshakeTimeout: handshakeTimeoutMs, maxPayload: this.#limits().messageBytes, perMessageDeflate: false,
		});
		const connection = this.#addConnection(socket, address);
		socket.on('open', () => {
			this.#sendHello(connection);
		});
	}

	#addConnection(socket: WebSocket, dialledAddress?: string): PeerConnection {
		const connection = PeerConnection.create({
			socket,
			dialledAddress,
			logger: this.options.logger,
			limits: this.#limits(),
			countEvent: event => {
				this.#countEvent(event);
			},
			onMessage: (from, message) => {
				this.#receiveMessage(from, message);
			},
			onClose: closed => {
				this.#handleClose(closed);
			},
		});
		this.#connections.add(connection);
		return connection;
	}

	#handleClose(connection: PeerConnection): void {
		this.#connections.delete(connection);
		if (connection.dialledAddress !== undefined) {
			this.#directory.recordClose(connection.dialledAddress);
		}

		if (connection.hello === undefined) {
			this.#countEvent('peer-connection-failed');
		} else {
			this.#handleDisconnect(connection.hello);
		}
	}

	#handleDisconnect({slot, incarnation, addresses}: HelloMessage): void {
		this.#documentRequests.forget(incarnation);
		this.#directory.scheduleReconnect(addresses.peers);
		this.#countEvent('peer-disconnected');
		if (!this.#isDisposed) {
			this.options.logger.info({peer: slot, peerIncarnation: incarnation}, 'peer-disconnected');
		}
	}

	#sendHello(connection: PeerConnection, maximumPeers = 1024): void {
		const {slot, region, availabilityZone} = this.options.settings;
		const connected = this.contacts().filter(({isConnected}) => isConnected);
		const offset = this.#maintenanceRounds % Math.max(1, connected.length);
		const namedPeers = [...connected.slice(offset), ...connected.slice(0, offset)].slice(0, maximumPeers);
		connection.send({
			kind: 'hello',
			slot,
			incarnation: this.options.incarnation,
			region,
			availabilityZone,
			protocol: peerProtocol,
			addresses: this.#addresses,
			peers: namedPeers.map(contact => ({slot: contact.slot, incarnation: contact.incarnation, address: contact.addresses.peers})),
		});
	}

	#receiveMessage(connection: PeerConnection, message: PeerMessage): void {
		const {hello} = connection;
		if (hello === undefined) {
			this.#receiveHello(connection, message);
			return;
		}

		this.#contacts.recordContact(hello);
		const handler = this.#handlers[message.kind] as (connection: PeerConnection, from: EntryIdentity, message: PeerMessage) => void;
		handler(connection, {slot: hello.slot, incarnation: hello.incarnation}, message);
	}

	#receiveHello(connection: PeerConnection, message: PeerMessage): void {
		if (message.kind !== 'hello') {
			connection.rejectMessage(`${message.kind} before hello`);
			return;
		}

		if (connection.dialledAddress === undefined) {
			// The accepting side sends its hello only after it has received one, so that of two peers that connect to this entry at the same time, at least the later one receives the other's address.
			this.#sendHello(connection);
		}

		if (this.#closeIfUnwanted(connection, message)) {
			return;
		}

		connection.hello = message;
		if (connection.dialledAddress !== undefined) {
			this.#directory.recordSuccess(connection.dialledAddress);
		}

		this.#addAddresses(message);
		this.#contacts.recordContact(message);
		this.#countEvent('peer-connected');
		this.options.logger.info({peer: message.slot, peerIncarnation: message.incarnation, availabilityZone: message.availabilityZone}, 'peer-connected');
		this.options.mailbox.post({kind: 'peer-connected', from: {slot: message.slot, incarnation: message.incarnation}});
		this.#sendFirstMessage(connection, message.slot);
	}

	/** A repeated hello contains new peer addresses. */
	#receiveRepeatedHello(connection: PeerConnection, from: EntryIdentity, message: HelloMessage): void {
		if (message.slot === from.slot && message.incarnation === from.incarnation) {
			this.#addAddresses(message);
		} else {
			connection.rejectMessage('hello of another incarnation');
		}
	}

	#addAddresses({peers, addresses}: HelloMessage): void {
		for (const {address} of peers) {
			this.#directory.add(address, 'hello');
		}

		this.#directory.add(addresses.peers, 'hello');
	}

	/** Closes a connection to this process itself, to another incarnation of the own slot or to another protocol version, and returns whether it did. */
	#closeIfUnwanted(connection: PeerConnection, hello: HelloMessage): boolean {
		if (hello.incarnation === this.options.incarnation) {
			if (connection.dialledAddress !== undefined) {
				this.#directory.addOwnAddress(connection.dialledAddress);
			}

			connection.close();
			return true;
		}

		if (hello.protocol !== peerProtocol) {
			this.#countEvent('peer-protocol-mismatch');
			this.options.logger.warn({peer: hello.slot, protocol: hello.protocol, expected: peerProtocol}, 'peer-protocol-mismatch');
			connection.close(protocolErrorCode, 'protocol');
			return true;
		}

		if (hello.slot === this.options.settings.slot) {
			this.#countEvent('peer-same-slot');
			this.options.logger.warn({peerIncarnation: hello.incarnation}, 'peer-same-slot');
			connection.close();
			return true;
		}

		return false;
	}

	/** Sends immediately what the next heartbeat interval would send, so that a new entry becomes ready sooner. */
	#sendFirstMessage(connection: PeerConnection, slot: string): void {
		if (this.#group === undefined) {
			connection.send({kind: 'configuration-request', atLeast: 0});
		} else if (this.#otherSlots().includes(slot) && this.#lease.maySendHeartbeat()) {
			this.#sendHeartbeat(slot, this.#heartbeatProvider?.());
		}
	}

	#receiveHeartbeat(connection: PeerConnection, from: EntryIdentity, message: MessageOf<'heartbeat'>): void {
		if (message.incarnation !== from.incarnation) {
			connection.rejectMessage('heartbeat of another incarnation');
			return;
		}

		connection.send({
			kind: 'heartbeat-reply',
			sequence: message.sequence,
			configurationVersion: this.#group?.configurationVersion ?? 0,
			...this.#lease.receiveHeartbeat(from),
		});
		this.#reportConfigurationConflict(from, message);
		this.#contacts.recordHeartbeat(message);
		this.#requestNewerDocument(connection, from, message.configurationVersion);
		this.options.mailbox.post({kind: 'peer-message', from, message});
	}

	/** Two different documents of the same version mean that the configuration store was split. */
	#reportConfigurationConflict(from: EntryIdentity, {configurationVersion: version, configurationDigest: digest}: MessageOf<'heartbeat'>): void {
		const own = this.#lastHeartbeatContent;
		const isConflict = own?.configurationVersion === version && own.configurationDigest !== digest;
		if (isConflict && this.#contacts.get(from.incarnation)?.configurationDigest !== digest) {
			this.#countEvent('peer-configuration-conflict');
			this.options.logger.warn({peer: from.slot, version, digest}, 'peer-configuration-conflict');
		}
	}

	#receiveReply(connection: PeerConnection, from: EntryIdentity, message: MessageOf<'heartbeat-reply'>): void {
		this.#contacts.recordVersion(from.incarnation, message.configurationVersion);
		this.#lease.receiveReply(from.slot, message.sequence, message);
		this.#requestNewerDocument(connection, from, message.configurationVersion);
		this.#leaseReporter.reportChange();
	}

	/** The lease counts a peer's acknowledgement only when the peer's configuration is not newer, so a newer one is requested immediately. */
	#requestNewerDocument(connection: PeerConnection, from: EntryIdentity, version: number): void {
		if (version <= (this.#group?.configurationVersion ?? -1)) {
			this.#documentRequests.forget(from.incarnation);
		} else if (this.#documentRequests.isDue(from.incarnation, version) && connection.send({kind: 'configuration-request', atLeast: version})) {
			this.#documentRequests.recordRequest(from.incarnation, version);
		}
	}

	#sendDocument(connection: PeerConnection, {atLeast}: MessageOf<'configuration-request'>): void {
		const current = this.options.configuration?.current();
		if (current && current.version >= atLeast) {
			const {version, base, overlay} = current;
			connection.send({
				kind: 'configuration-document', version, base, overlay,
			});
		}
	}

	#receiveGoodbye(connection: PeerConnection, from: EntryIdentity, message: MessageOf<'goodbye'>): void {
		if (message.incarnation !== from.incarnation) {
			connection.rejectMessage('goodbye of another incarnation');
			return;
		}

		this.#lease.receiveGoodbye(from, message.clean, message.configurationVersion);
		this.#contacts.recordGoodbye(from.incarnation);
		this.options.logger.info({peer: from.slot, peerIncarnation: from.incarnation, clean: message.clean}, 'peer-goodbye');
		this.options.mailbox.post({kind: 'peer-message', from, message});
	}

	#restartHeartbeats(intervalMs: Milliseconds): void {
		clearInterval(this.#heartbeatTimer);
		this.#heartbeatTimer = setInterval(() => {
			this.#sendHeartbeats();
			this.#leaseReporter.reportChange();
		}, intervalMs);
		this.#heartbeatTimer.unref();
	}

	#sendHeartbeats(): void {
		if (this.#lease.maySendHeartbeat()) {
			this.#lastHeartbeatContent = this.#heartbeatProvider?.();
			for (const slot of this.#otherSlots()) {
				this.#sendHeartbeat(slot, this.#lastHeartbeatContent);
			}
		}
	}

	#sendHeartbeat(slot: string, content: HeartbeatContent | undefined): void {
		const connection = this.#findConnection(slot);
		if (connection === undefined || content === undefined) {
			return;
		}

		this.#lastSequence++;
		this.#lease.recordSentHeartbeat(slot, this.#lastSequence);
		connection.send({
			kind: 'heartbeat', sequence: this.#lastSequence, incarnation: this.options.incarnation, ...content,
		});
	}

	/** Sends one peer per maintenance round the addresses of some others, so that entries that could not reach each other at startup get connected. */
	#sendRepeatedHello(): void {
		const identified = this.#connections.identified();
		const connection = identified[this.#maintenanceRounds % Math.max(1, identified.length)];
		this.#maintenanceRounds++;
		if (connection) {
			this.#sendHello(connection, maximumRepeatedHelloPeers);
		}
	}

	#runMaintenance(): void {
		for (const connection of this.#connections.all()) {
			connection.checkLiveness();
		}

		this.#contacts.removeExpired();
		this.#sendRepeatedHello();
	}
}
