import type {Socket} from 'node:net';
import type {buildConnector} from 'undici';
import type {Milliseconds} from './clock.js';

/** No connection was opened in time. Unlike a refusal, this does not show that no process listens. */
export class ConnectTimeoutError extends Error {
	static create(timeoutMs: Milliseconds): ConnectTimeoutError {
		return new ConnectTimeoutError(`no connection within ${timeoutMs} ms`);
	}

	override readonly name = 'ConnectTimeoutError';

	private constructor(message: string) {
		super(message);
	}
}

export type ConnectorOptions<ConnectingSocket extends Socket> = {
	readonly timeoutMs: Milliseconds;
	/** Creates a socket that is not connected yet. */
	readonly createSocket: () => ConnectingSocket;
	/** Called before the HTTP client gets the connected socket, so that listeners added here are notified of an error first. */
	readonly onSocket: (socket: ConnectingSocket) => void;
	/** Calls back when the HTTP client may use a connection that has been opened. Default: at once. */
	readonly whenUsable?: (callback: () => void) => void;
};

/** Creates a connector for undici that opens TCP connections without TLS and aborts an attempt after the timeout. */
export function createConnector<ConnectingSocket extends Socket>({
	timeoutMs, createSocket, onSocket, whenUsable = callback => {
		callback();
	},
}: ConnectorOptions<ConnectingSocket>): buildConnector.connector {
	return ({hostname, port}, callback) => {
		const socket = createSocket();
		const timer = setTimeout(() => {
			// After a delay of this process, timers run before it reads that the connection has been opened.
			setImmediate(() => {
				if (socket.connecting) {
					socket.destroy(ConnectTimeoutError.create(timeoutMs));
				}
			});
		}, timeoutMs);
		const onError = (error: Error) => {
			clearTimeout(timer);
			callback(error, null);
		};

		socket.once('error', onError);
		socket.once('connect', () => {
			clearTimeout(timer);
			onSocket(socket);
			whenUsable(() => {
				socket.off('error', onError);
				if (!socket.destroyed) {
					callback(null, socket);
				} else if (socket.errored === null) {
					callback(new Error('the connection was closed before it was used'), null);
				}
			});
		});
		socket.connect(Number(port), hostname);
	};
}
