import {Socket} from 'node:net';
import {Client, type Dispatcher} from 'undici';
import type {Clock, Milliseconds} from '../../shared/clock.js';
import {createConnector} from '../../shared/connector.js';

/** Time until an attempt to connect counts as failed. Endpoints accept within 3 ms; a lost opening packet is sent again only after a second, when another endpoint is the better choice. */
const connectTimeoutMs: Milliseconds = 400;

/** Time without use after which a connection is closed, if the endpoint names none. */
const idleTimeoutMs: Milliseconds = 3000;

/** Part of the endpoint's own idle timeout that is kept back, because it closes while a request may be on its way. */
const idleTimeoutMarginMs: Milliseconds = 1000;

/** Longest time without use of a connection that carries a request which may run only once: an endpoint may close an idle connection without notice. */
const nonRetryableIdleMs: Milliseconds = 1000;

/** A connection to an endpoint, which carries one request at a time. */
export type EndpointConnection = {
	readonly client: Dispatcher;
	/**
	Whether the present connection was reset. undici reports a response without a length as complete also when a reset ended it.
	*/
	wasReset(): boolean;
	/** Makes the connection available to others, or closes it. */
	release(isReusable: boolean): void;
};

type PooledClient = {
	readonly client: Client;
	/** Whether its latest connection ended with an error. */
	hasFailed: boolean;
	lastUsedAt: Milliseconds;
};

/** The connections to one endpoint's address. */
export class EndpointConnectionPool {
	static create(address: string, clock: Clock, onConnect: () => void): EndpointConnectionPool {
		return new EndpointConnectionPool(address, clock, onConnect);
	}

	/** Least recently used first. */
	readonly #idle: PooledClient[] = [];
	readonly #clients = new Set<Client>();

	private constructor(private readonly address: string, private readonly clock: Clock, private readonly onConnect: () => void) {}

	get size(): number {
		return this.#clients.size;
	}

	/** @param isRetryable whether a request that meets a closed connection may be sent again */
	acquire(isRetryable: boolean): EndpointConnection {
		const pooled = this.#takeIdle(isRetryable ? Infinity : nonRetryableIdleMs) ?? this.#open();
		const {client} = pooled;
		let isReleased = false;
		return {
			client,
			wasReset: () => pooled.hasFailed,
			release: isReusable => {
				if (isReleased) {
					return;
				}

				isReleased = true;
				if (isReusable && !client.destroyed) {
					pooled.lastUsedAt = this.clock.now();
					this.#idle.push(pooled);
				} else {
					this.#close(client);
				}
			},
		};
	}

	/** Closes connections that nobody has used for a while. */
	closeIdleConnections(): void {
		const now = this.clock.now();
		while (this.#idle[0] !== undefined && now - this.#idle[0].lastUsedAt > idleTimeoutMs) {
			this.#close(this.#idle.shift()!.client);
		}
	}

	async dispose(): Promise<void> {
		const clients = [...this.#clients];
		this.#clients.clear();
		this.#idle.length = 0;
		await Promise.all(clients.map(async client => client.destroy()));
	}

	/** Takes the most recently used idle connection and closes those that are too old. */
	#takeIdle(maximumIdleMs: Milliseconds): PooledClient | undefined {
		const now = this.clock.now();
		for (let pooled = this.#idle.pop(); pooled !== undefined; pooled = this.#idle.pop()) {
			if (!pooled.client.destroyed && now - pooled.lastUsedAt <= maximumIdleMs) {
				return pooled;
			}

			this.#close(pooled.client);
		}

		return undefined;
	}

	#open(): PooledClient {
		const client = new Client(`http://${this.address}`, {
			// Whoever sends a request bounds its time.
			headersTimeout: 0,
			bodyTimeout: 0,
			keepAliveTimeout: idleTimeoutMs,
			keepAliveTimeoutThreshold: idleTimeoutMarginMs,
			connect: createConnector({
				timeoutMilliseconds: connectTimeoutMs,
				createSocket: () => new Socket(),
				onSocket: socket => {
					this.onConnect();
					pooled.hasFailed = false;
					socket.setNoDelay(true);
					socket.on('error', () => {
						pooled.hasFailed = true;
					});
				},
			}),
			pipelining: 1,
		});
		const pooled: PooledClient = {client, hasFailed: false, lastUsedAt: this.clock.now()};
		this.#clients.add(client);
		return pooled;
	}

	#close(client: Client): void {
		this.#clients.delete(client);
		void client.destroy();
	}
}
