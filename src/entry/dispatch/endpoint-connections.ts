import {Client, type Dispatcher} from 'undici';
import type {Milliseconds} from '../../shared/clock.js';
import {createConnector} from '../../shared/connector.js';
import {PausableSocket} from './pausable-socket.js';

/** Default time until an attempt to connect counts as failed, in milliseconds. Within a region a connection takes a few milliseconds; a lost packet is sent again after one second. */
const defaultConnectTimeoutMs = 1500;

/** A connection that one exchange has for itself. */
export type EndpointConnection = {
	readonly dispatcher: Dispatcher;
	/** Reads no more until `resume`. */
	pause(): void;
	resume(): void;
	/** Closes the connection at once. A request that is not written yet is never written. */
	destroy(): void;
};

export type EndpointConnectionsOptions = {
	/** Default: 1,500. */
	readonly connectTimeoutMs?: Milliseconds;
};

/**
Opens the connections to endpoints and closes those that are left at the end.

Every exchange has its own connection, which ends with it. An endpoint that closes a reused idle connection while a request is under way would leave open whether the request ran.
*/
export class EndpointConnections {
	static create({connectTimeoutMs = defaultConnectTimeoutMs}: EndpointConnectionsOptions = {}): EndpointConnections {
		return new EndpointConnections(connectTimeoutMs);
	}

	readonly #clients = new Set<Client>();

	private constructor(private readonly connectTimeoutMs: Milliseconds) {}

	/** Connections that are open or being set up. */
	get size(): number {
		return this.#clients.size;
	}

	/**
	@param address host and port
	*/
	open(address: string): EndpointConnection {
		let socket: PausableSocket | undefined;
		const connector = createConnector({
			timeoutMs: this.connectTimeoutMs,
			createSocket: () => PausableSocket.create(),
			onSocket(connected) {
				socket = connected;
			},
		});
		// The one who dispatches bounds the time, so undici's own timeouts are off.
		const client = new Client(`http://${address}`, {headersTimeout: 0, bodyTimeout: 0, connect: connector});
		this.#clients.add(client);
		return {
			dispatcher: client,
			pause() {
				socket?.pauseReading();
			},
			resume() {
				socket?.resumeReading();
			},
			destroy: () => {
				this.#clients.delete(client);
				void client.destroy();
			},
		};
	}

	/** Closes all connections at once. */
	async dispose(): Promise<void> {
		const clients = [...this.#clients];
		this.#clients.clear();
		await Promise.all(clients.map(async client => client.destroy()));
	}
}
