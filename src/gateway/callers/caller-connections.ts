import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock, Milliseconds} from '../../shared/clock.js';
import type {CallerLimits} from '../site/types.js';

/** Interval of the checks for connections that have been idle, or whose head has been arriving, for too long. */
const checkIntervalMs: Milliseconds = 500;

/** Time that an idle connection stays open beyond the announced timeout, for requests that are under way. */
const idleMarginMs: Milliseconds = 1000;

/** Length of an empty line, which callers may send before a request. */
const emptyLineBytes = 2;

/** Time that the caller is given to close a connection whose last response has been sent. */
const closeTimeoutMs: Milliseconds = 1000;

type Connection = {
	readonly socket: Socket;
	/** Requests whose responses have not been handed to the operating system completely. */
	openRequests: number;
	/** Bytes that had been received at the end of the last request. */
	requestBytes: number;
	/** Idle timeout that the last response announced. */
	announcedTimeoutMs: Milliseconds;
	idleSince: Milliseconds;
	/** When the head of the next request was first seen to arrive. */
	headSince: Milliseconds | undefined;
	/** Whether the last response has been written. */
	isEnding: boolean;
};

export type CallerConnectionsOptions = {
	readonly clock: Clock;
	readonly limits: () => CallerLimits;
	/** Called when the head of a request has not arrived completely within the header timeout. */
	readonly onHeaderTimeout: (socket: Socket) => void;
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
	readonly #interval: NodeJS.Timeout;

	private constructor(private readonly options: CallerConnectionsOptions) {
		this.#interval = setInterval(() => {
			// What has arrived is read before anything is judged by its absence.
			setImmediate(() => {
				this.#check();
			});
		}, checkIntervalMs);
		this.#interval.unref();
	}

	add(socket: Socket): void {
		this.#connections.set(socket, {
			socket, openRequests: 0, requestBytes: 0, announcedTimeoutMs: 0, idleSince: this.options.clock.now(), headSince: undefined, isEnding: false,
		});
		socket.once('close', () => {
			this.#connections.delete(socket);
		});
	}

	/** Records a request whose head has been read. */
	addRequest(message: IncomingMessage, response: ServerResponse): void {
		const {socket} = message;
		const connection = this.#connections.get(socket);
		if (connection === undefined) {
			return;
		}

		connection.openRequests++;
		connection.headSince = undefined;
		connection.announcedTimeoutMs = this.options.limits().idleTimeoutMs;
		message.on('end', () => {
			connection.requestBytes = socket.bytesRead;
		});
		response.on('close', () => {
			connection.openRequests--;
			connection.idleSince = this.options.clock.now();
		});
	}

	/** Writes the last bytes and waits a while for the caller to close. What still arrives is read, because a reset would destroy what the caller has not read. */
	end(socket: Socket, lastBytes = ''): void {
		const connection = this.#connections.get(socket);
		if (connection !== undefined) {
			connection.isEnding = true;
		}

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

	/** Closes connections without a request, those that never had one included. */
	closeIdle(): void {
		for (const connection of this.#connections.values()) {
			if (connection.openRequests === 0 && !hasPartialHead(connection)) {
				connection.socket.destroy();
			}
		}
	}

	dispose(): void {
		clearInterval(this.#interval);
	}

	#check(): void {
		const now = this.options.clock.now();
		const {idleTimeoutMs, headerTimeoutMs} = this.options.limits();
		for (const connection of this.#connections.values()) {
			if (connection.openRequests > 0) {
				continue;
			}

			if (hasPartialHead(connection)) {
				connection.headSince ??= now;
				if (!connection.isEnding && now - connection.headSince >= headerTimeoutMs) {
					this.options.onHeaderTimeout(connection.socket);
				}
			} else if (now - connection.idleSince >= Math.max(idleTimeoutMs, connection.announcedTimeoutMs) + idleMarginMs) {
				connection.socket.destroy();
			}
		}
	}
}

function hasPartialHead({socket, requestBytes}: Connection): boolean {
	return socket.bytesRead > requestBytes + emptyLineBytes;
}
