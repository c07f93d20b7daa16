import {Client, type Dispatcher} from 'undici';
import type {Milliseconds} from '../../shared/clock.js';
import {createConnector} from '../../shared/connector.js';
import {PausableSocket} from './pausable-socket.js';

/** Within a region, connecting takes a few milliseconds, and a lost packet is retransmitted after one second. */
const defaultConnectTimeoutMs = 1500;

/** A connection that is used by a single exchange. */
export type EndpointConnection = {
	readonly dispatcher: Dispatcher;
	/** Stops reading until `resume` is called. */
	pause(): void;
	resume(): void;
	/** Closes the connection immediately. A request that has not been written yet is never written. */
	destroy(): void;
};

export type EndpointConnectionsOptions = {
	/** Time after which an attempt to connect fails. Default: 1,500. */
	readonly connectTimeoutMs?: Milliseconds;
};

/**
Opens connections to endpoints and closes the remaining ones on `dispose`.

Every exchange has its own connection, which is closed when the exchange ends. With reused connections, an endpoint could close an idle connection just as a request is sent on it, and it would be unknown whether the request ran.
*/
export class EndpointConnections {
	static create({connectTimeoutMs = defaultConnectTimeoutMs}: EndpointConnectionsOptions = {}): EndpointConnections {
		return new EndpointConnections(connectTimeoutMs);
	}

	readonly #clients = new Set<Client>();

	private constructor(private readonly connectTimeoutMs: Milliseconds) {}

	/** Number of connections that are open or being established. */
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
		// The dispatch has its own timeout, so those of undici are disabled.
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

	/** Closes all connections immediately. */
	async dispose(): Promise<void> {
		const clients = [...this.#clients];
		this.#clients.clear();
		await Promise.all(clients.map(async client => client.destroy()));
	}
}
