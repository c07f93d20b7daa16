import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock, Milliseconds} from '../../shared/clock.js';
import {RequestInput, type ConnectionInput} from '../../shared/request-input.js';
import {resetConnection} from '../../shared/reset-connection.js';
import type {CallerLimits} from '../site/types.js';

/** Interval of the checks for connections that have been idle, or whose head has been arriving, for too long. */
const checkIntervalMs: Milliseconds = 500;

/** Time that an idle connection stays open beyond the announced timeout, for requests that are under way. */
const idleMarginMs: Milliseconds = 1000;

/** Time after its start in which the first request on a connection is awaited even though idle connections are closed. */
const firstRequestMs: Milliseconds = 1000;

/** Length of an empty line, which callers may send before a request. */
const emptyLineBytes = 2;

/** Time that the caller is given to close a connection whose last response has been sent. */
const closeTimeoutMs: Milliseconds = 1000;

export type OpenRequestCallbacks = {
	/** Called when the caller has ended its side of the connection, or has reset it. The connection itself closes in a later round of the event loop. */
	readonly onLeave: () => void;
	/** Called once, when the response has been handed to the operating system or the connection has closed. */
	readonly onEnd: () => void;
};

type OpenRequest = OpenRequestCallbacks & {readonly response: ServerResponse};

type Connection = {
	readonly socket: Socket;
	readonly input: ConnectionInput;
	/** Requests whose responses have not been handed to the operating system completely, in order. */
	readonly requests: Set<OpenRequest>;
	/** Bytes that had been received at the end of the last request. */
	requestBytes: number;
	/** Idle timeout that the last response announced. */
	announcedTimeoutMs: Milliseconds;
	idleSince: Milliseconds;
	/** Arrival of the last request. */
	requestedAt: Milliseconds;
	/** Time until which the head that is arriving must be complete. */
	headDueAt: Milliseconds | undefined;
	lastResponse: ServerResponse | undefined;
	/** Whether the head of a response says, or will say, that it is the last one. */
	isCloseAnnounced: boolean;
	/** Whether no further request is accepted. */
	isEnding: boolean;
	/** What is written after the responses to the open requests. */
	lastBytes: string;
	/** Since when the connection has not been read and no response has been taken, as the checks saw it. */
	heldSince: Milliseconds | undefined;
	/** Bytes that the caller had taken at the last check. */
	takenBytes: number;
	isHeldReported: boolean;
};

export type CallerConnectionsOptions = {
	readonly clock: Clock;
	readonly limits: () => CallerLimits;
	/** Connections that may be open. When there are more, the one that has been waiting for its caller for longest is closed. */
	readonly maximumConnections: number;
	/** Called after the checks with the number of connections that were closed since the last ones because there were too many. */
	readonly onTooMany: (closed: number) => void;
	/** Called when the head of a request has not arrived completely within the header timeout. */
	readonly onHeaderTimeout: (socket: Socket) => void;
	/** Called when the head of a request, or its trailers, are longer than any limit. */
	readonly onHeadTooLong: (socket: Socket) => void;
	/** Called when a connection is not read because its caller does not take the responses to earlier requests, or has too many open requests, for the time between two checks. */
	readonly onHeld: (state: {readonly openRequests: number; readonly writtenResponses: number; readonly heldBytes: number}) => void;
	/** Called when a connection is reset because of what has been sent ahead on it. */
	readonly onReset: (reason: string) => void;
};

/**
Connections of callers, and which of them are idle.

It replaces the timeouts of `node:http`, which expire before requests that have arrived are read, and its idle connections, which include those with a response that is still being written.
*/
export class CallerConnections {
	static create(options: CallerConnectionsOptions): CallerConnections {
		return new CallerConnections(options);
	}

	readonly #connections = new Map<Socket, Connection>();
	readonly #input = RequestInput.create();
	readonly #interval: NodeJS.Timeout;
	/** Connections that were closed since the last check because there were too many. */
	#closedForRoom = 0;

	private constructor(private readonly options: CallerConnectionsOptions) {
		this.#interval = setInterval(() => {
			// What has arrived until now is read before anything is judged by its absence.
			const now = this.options.clock.now();
			setImmediate(() => {
				this.#check(now);
			});
		}, checkIntervalMs);
		this.#interval.unref();
	}

	add(socket: Socket): void {
		const now = this.options.clock.now();
		const connection: Connection = {
			socket,
			input: this.#input.add(socket, {
				isDiscarded: () => (connection.isEnding || connection.isCloseAnnounced) && connection.lastResponse?.req.complete !== false,
				onHeadTooLong: () => {
					this.options.onHeadTooLong(socket);
				},
				onExceeded: () => {
					this.options.onReset('too much sent ahead');
				},
			}),
			requests: new Set(),
			requestBytes: 0,
			announcedTimeoutMs: 0,
			idleSince: now,
			requestedAt: now,
			headDueAt: undefined,
			lastResponse: undefined,
			isCloseAnnounced: false,
			isEnding: false,
			lastBytes: '',
			heldSince: undefined,
			takenBytes: 0,
			isHeldReported: false,
		};
		this.#connections.set(socket, connection);
		// `node:http` calls it after the response that closes the connection, and writes no later one.
		socket.destroySoon = () => {
			connection.isEnding = true;
			this.#end(connection);
		};

		for (const event of ['end', 'error']) {
			socket.once(event, () => {
				for (const request of connection.requests) {
					request.onLeave();
				}
			});
		}

		socket.once('close', () => {
			this.#connections.delete(socket);
			// The response to a request that waits for the one before it has no connection yet, so it does not close.
			for (const request of connection.requests) {
				this.#endRequest(connection, request);
			}
		});
		if (this.#connections.size > this.options.maximumConnections) {
			this.#makeRoom(connection);
		}
	}

	/**
	Records a request whose head has been read.

	@returns whether the request may be responded to; it may not when it follows a response that closes the connection
	*/
	addRequest(message: IncomingMessage, response: ServerResponse, callbacks: OpenRequestCallbacks): boolean {
		const {socket} = message;
		const connection = this.#connections.get(socket);
		if (connection === undefined || connection.isEnding || connection.isCloseAnnounced) {
			return false;
		}

		const request: OpenRequest = {response, ...callbacks};
		connection.requests.add(request);
		connection.input.begin(response);
		connection.lastResponse = response;
		connection.requestedAt = this.options.clock.now();
		connection.headDueAt = undefined;
		connection.announcedTimeoutMs = this.options.limits().idleTimeoutMs;
		message.on('end', () => {
			connection.requestBytes = socket.bytesRead;
		});
		response.on('close', () => {
			this.#endRequest(connection, request);
		});
		return true;
	}

	/** Returns the length of the head that was read last on a connection, as it was sent. */
	headBytes(socket: Socket): number {
		return this.#connections.get(socket)?.input.headBytes ?? 0;
	}

	/** Records that the last byte of a response has been written. */
	recordWritten(response: ServerResponse): void {
		this.#connections.get(response.req.socket)?.input.recordWritten(response);
	}

	/** Ignores what has arrived behind the last request, and everything that follows. */
	discardInput(socket: Socket): void {
		this.#connections.get(socket)?.input.discard();
	}

	/** Number of connections that are not read, because the responses to earlier requests are not taken. */
	get heldCount(): number {
		return this.#input.held.size;
	}

	/** Whether no other request has been read on the connection since. */
	isLastRequest(response: ServerResponse): boolean {
		const connection = this.#connections.get(response.req.socket);
		return connection === undefined || connection.lastResponse === response;
	}

	/** Makes the response the last one on its connection. Its head must not have been written. */
	announceClose(response: ServerResponse): void {
		response.setHeader('connection', 'close');
		const connection = this.#connections.get(response.req.socket);
		if (connection !== undefined) {
			connection.isCloseAnnounced = true;
		}
	}

	/** Whether no further request is accepted on the connection. */
	isEnding(socket: Socket): boolean {
		return this.#connections.get(socket)?.isEnding ?? true;
	}

	/** Writes the last bytes after the responses to the open requests, and closes the connection. */
	endAfterResponses(socket: Socket, lastBytes = ''): void {
		const connection = this.#connections.get(socket);
		if (connection === undefined || connection.isEnding) {
			return;
		}

		connection.isEnding = true;
		connection.lastBytes = lastBytes;
		if (connection.requests.size === 0) {
			this.#end(connection);
		}
	}

	/** Closes connections without a request, except those on which the first one may be under way. */
	closeIdle(): void {
		const now = this.options.clock.now();
		for (const connection of this.#connections.values()) {
			const isNew = connection.requestBytes === 0 && now - connection.idleSince < firstRequestMs;
			if (connection.requests.size === 0 && !hasPartialHead(connection) && !isNew) {
				connection.socket.destroy();
			}
		}
	}

	dispose(): void {
		clearInterval(this.#interval);
	}

	/** Closes the connection that has been waiting for its caller for longest. The newest one is closed only if all others wait for the gateway: none of its requests has been read. */
	#makeRoom(newest: Connection): void {
		let openConnections = 0;
		let idlest: Connection | undefined;
		let idleSince = Infinity;
		for (const connection of this.#connections.values()) {
			if (connection.socket.destroyed) {
				continue;
			}

			openConnections++;
			const since = connection === newest ? Infinity : waitsForCallerSince(connection);
			if (since < idleSince) {
				idlest = connection;
				idleSince = since;
			}
		}

		if (openConnections <= this.options.maximumConnections) {
			return;
		}

		this.#closedForRoom++;
		if (idlest?.requests.size === 0) {
			idlest.socket.destroy();
		} else {
			resetConnection((idlest ?? newest).socket);
		}
	}

	#endRequest(connection: Connection, request: OpenRequest): void {
		if (!connection.requests.delete(request)) {
			return;
		}

		connection.idleSince = this.options.clock.now();
		connection.heldSince = undefined;
		request.onEnd();
		if (connection.isEnding && connection.requests.size === 0 && !connection.socket.writableEnded) {
			this.#end(connection);
		}

		connection.input.end(request.response);
	}

	/** Ends the connection and waits a while for the caller to close it. What still arrives is read, because a reset would destroy what the caller has not read. */
	#end({socket, lastBytes}: Connection): void {
		socket.end(lastBytes, () => {
			const timer = setTimeout(() => {
				socket.destroy();
			}, closeTimeoutMs);
			timer.unref();
			socket.once('close', () => {
				clearTimeout(timer);
			});
		});
	}

	/** Resets a connection whose caller has sent ahead more than is read, and has taken no response for the idle timeout. Requests that still wait for their response keep it open. */
	#checkHeld(connection: Connection, now: Milliseconds): void {
		const {socket, input, requests} = connection;
		if (!this.#input.held.has(input)) {
			connection.heldSince = undefined;
			connection.isHeldReported = false;
			return;
		}

		const takenBytes = socket.bytesWritten - socket.writableLength;
		if (connection.heldSince === undefined || takenBytes > connection.takenBytes) {
			connection.heldSince = now;
			connection.takenBytes = takenBytes;
			return;
		}

		if (!connection.isHeldReported) {
			connection.isHeldReported = true;
			this.options.onHeld(input);
		}

		if (input.writtenResponses === requests.size && now - connection.heldSince >= Math.max(this.options.limits().idleTimeoutMs, connection.announcedTimeoutMs) + idleMarginMs) {
			this.options.onReset('responses not taken');
			resetConnection(socket);
		}
	}

	/** @param now time before which everything that arrived has been read */
	#check(now: Milliseconds): void {
		if (this.#closedForRoom > 0) {
			this.options.onTooMany(this.#closedForRoom);
			this.#closedForRoom = 0;
		}

		const {idleTimeoutMs, headerTimeoutMs} = this.options.limits();
		for (const connection of this.#connections.values()) {
			this.#checkHeld(connection, now);
			if (connection.requests.size > 0) {
				continue;
			}

			if (hasPartialHead(connection)) {
				connection.headDueAt ??= now + headerTimeoutMs;
				if (!connection.isEnding && now >= connection.headDueAt) {
					this.options.onHeaderTimeout(connection.socket);
				}
			} else if (now - connection.idleSince >= Math.max(idleTimeoutMs, connection.announcedTimeoutMs) + idleMarginMs) {
				connection.socket.destroy();
			}
		}
	}
}

/** Returns since when a connection has been waiting for a request, the rest of one, or until its responses are taken. Infinite while a request waits for the gateway. */
function waitsForCallerSince({requests, input, idleSince, requestedAt, lastResponse}: Connection): Milliseconds {
	if (requests.size === 0) {
		return idleSince;
	}

	const awaitsBody = requests.size === 1 && lastResponse?.req.complete === false;
	return awaitsBody || input.writtenResponses === requests.size ? requestedAt : Infinity;
}

function hasPartialHead({socket, input, requestBytes}: Connection): boolean {
	return input.heldBytes > 0 || socket.bytesRead > requestBytes + emptyLineBytes;
}
