/** One WebSocket between two entry processes, with its size limits and its count of malformed messages. */
import type {WebSocket} from 'ws';
import type {Logger} from '../../shared/log.js';
import {describeError} from '../../shared/describe-error.js';
import {
	decodeMessage, encodeMessage, UnknownMessageKindError, type HelloMessage, type PeerMessage,
} from './messages.js';
import type {MembershipEvent} from './types.js';

export type PeerConnectionLimits = {
	/** Largest message, in bytes. Two configuration values of up to 1 MB must fit. Default: 4 MiB. */
	readonly messageBytes: number;
	/** Bytes that may wait in the send buffer before the connection is closed. Default: 8 MiB. */
	readonly sendBufferBytes: number;
	/** Malformed messages after which the connection is closed. Default: 3. */
	readonly malformedMessages: number;
};

export const defaultPeerConnectionLimits: PeerConnectionLimits = {
	messageBytes: 4 * 1024 * 1024,
	sendBufferBytes: 8 * 1024 * 1024,
	malformedMessages: 3,
};

export type PeerConnectionOptions = {
	readonly socket: WebSocket;
	/** The dialled address; undefined for accepted connections. */
	readonly dialledAddress?: string;
	readonly logger: Logger;
	readonly limits: PeerConnectionLimits;
	readonly countEvent: (event: MembershipEvent) => void;
	readonly onMessage: (connection: PeerConnection, message: PeerMessage) => void;
	readonly onClose: (connection: PeerConnection) => void;
};

const openState = 1;
const protocolErrorCode = 1002;

/** The connection is closed after more maintenance rounds than this without a message or pong, or without a hello. */
const maximumSilentRounds = 6;

export class PeerConnection {
	static create(options: PeerConnectionOptions): PeerConnection {
		return new PeerConnection(options);
	}

	/** The peer's hello; undefined until it arrived. */
	hello: HelloMessage | undefined;
	readonly dialledAddress: string | undefined;
	#malformedMessages = 0;
	#silentRounds = 0;
	#roundsWithoutHello = 0;

	private constructor(private readonly options: PeerConnectionOptions) {
		this.dialledAddress = options.dialledAddress;
		const {socket} = options;
		socket.on('message', (data: Uint8Array, isBinary: boolean) => {
			this.#receive(data, isBinary);
		});
		socket.on('pong', () => {
			this.#silentRounds = 0;
		});
		socket.on('error', error => {
			options.logger.debug({address: this.dialledAddress, reason: error.message}, 'peer-socket-error');
		});
		socket.on('close', () => {
			options.onClose(this);
		});
	}

	get isOpen(): boolean {
		return this.options.socket.readyState === openState;
	}

	/** Whether both sides have identified themselves. */
	get isIdentified(): boolean {
		return this.isOpen && this.hello !== undefined;
	}

	/**
	Sends a message unless the connection is closed or its send buffer is full. A peer that does not read is disconnected, because the buffered messages would be out of date when it reads them.

	@returns whether the message was handed to the socket
	*/
	send(message: PeerMessage, onFlushed: () => void = () => undefined): boolean {
		const {socket, limits, countEvent} = this.options;
		if (!this.isOpen) {
			return false;
		}

		if (socket.bufferedAmount > limits.sendBufferBytes) {
			countEvent('peer-send-buffer-full');
			this.#logWarning('peer-send-buffer-full', {bytes: socket.bufferedAmount});
			socket.terminate();
			return false;
		}

		socket.send(encodeMessage(message), onFlushed);
		return true;
	}

	/** Counts and logs a message that is malformed or not allowed at this point, and closes the connection when there are too many. */
	rejectMessage(detail: string): void {
		const {limits, countEvent, socket} = this.options;
		this.#malformedMessages++;
		countEvent('peer-message-malformed');
		this.#logWarning('peer-message-malformed', {detail});
		if (this.#malformedMessages === limits.malformedMessages) {
			countEvent('peer-connection-closed-malformed');
			this.#logWarning('peer-connection-closed-malformed', {messages: this.#malformedMessages});
			socket.close(protocolErrorCode, 'malformed messages');
		}
	}

	/** Pings a silent peer, and closes the connection when the peer stays silent or never sends a hello. Maintenance rounds are counted instead of time, so that a pause of this process is not taken for silence of the peer. */
	checkLiveness(): void {
		this.#silentRounds++;
		this.#roundsWithoutHello = this.hello ? 0 : this.#roundsWithoutHello + 1;
		if (Math.max(this.#silentRounds, this.#roundsWithoutHello) > maximumSilentRounds) {
			this.options.countEvent('peer-silent');
			this.#logWarning('peer-silent', {rounds: this.#silentRounds, isIdentified: this.hello !== undefined});
			this.options.socket.terminate();
		} else if (this.#silentRounds > 1 && this.isOpen) {
			this.options.socket.ping();
		}
	}

	close(code = 1000, reason = ''): void {
		this.options.socket.close(code, reason);
	}

	terminate(): void {
		this.options.socket.terminate();
	}

	#receive(data: Uint8Array, isBinary: boolean): void {
		this.#silentRounds = 0;
		if (this.#malformedMessages >= this.options.limits.malformedMessages) {
			return;
		}

		const message = this.#decode(data, isBinary);
		if (message) {
			this.options.onMessage(this, message);
		}
	}

	#decode(data: Uint8Array, isBinary: boolean): PeerMessage | undefined {
		if (!isBinary) {
			this.rejectMessage('text frame instead of a binary one');
			return undefined;
		}

		try {
			return decodeMessage(data);
		} catch (error) {
			if (error instanceof UnknownMessageKindError) {
				this.options.countEvent('peer-message-unknown-kind');
				this.#logWarning('peer-message-unknown-kind', {kind: error.kind});
			} else {
				this.rejectMessage(describeError(error));
			}

			return undefined;
		}
	}

	#logWarning(event: MembershipEvent, fields: Readonly<Record<string, unknown>>): void {
		this.options.logger.warn({
			peer: this.hello?.slot, peerIncarnation: this.hello?.incarnation, address: this.dialledAddress, ...fields,
		}, event);
	}
}
