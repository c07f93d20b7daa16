import type {Socket} from 'node:net';
import type {buildConnector} from 'undici';
import type {Milliseconds} from './clock.js';

export type ConnectorOptions<ConnectingSocket extends Socket> = {
	readonly timeoutMs: Milliseconds;
	/** Creates a socket that is not connected yet. */
	readonly createSocket: () => ConnectingSocket;
	/** Called before the HTTP client sees the connected socket, so that listeners added here hear of an error first. */
	readonly onSocket: (socket: ConnectingSocket) => void;
};

/** Makes a connector for undici that opens plain TCP connections and gives up in time. */
export function createConnector<ConnectingSocket extends Socket>({timeoutMs, createSocket, onSocket}: ConnectorOptions<ConnectingSocket>): buildConnector.connector {
	return ({hostname, port}, callback) => {
		const socket = createSocket();
		const timer = setTimeout(() => {
			socket.destroy(new Error(`no connection within ${timeoutMs} ms`));
		}, timeoutMs);
		const onError = (error: Error) => {
			clearTimeout(timer);
			callback(error, null);
		};

		socket.once('error', onError);
		socket.once('connect', () => {
			clearTimeout(timer);
			socket.off('error', onError);
			onSocket(socket);
			callback(null, socket);
		});
		socket.connect(Number(port), hostname);
	};
}
