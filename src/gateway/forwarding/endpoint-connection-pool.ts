import {Client, type Dispatcher} from 'undici';
import type {Clock, Milliseconds} from '../../shared/clock.js';
import {createConnector} from '../../shared/connector.js';
import {hashText} from '../../shared/hash.js';
import type {ReadingProgress} from '../../shared/reading-progress.js';
import {PacedSocket} from './paced-socket.js';

/** Endpoints accept connections within 3 ms. A lost SYN packet is retransmitted only after a second; by then, another endpoint is the better choice. */
const connectTimeoutMs: Milliseconds = 400;

/** Time after which an idle connection is closed, if the endpoint announces no keep-alive timeout. */
const idleTimeoutMs: Milliseconds = 3000;

/** Margin before the keep-alive timeout that the endpoint announces: the endpoint may close the connection while a request is in transit. */
const idleTimeoutMarginMs: Milliseconds = 1000;

/** Requests after which a connection is closed, because it remembers the id of each. */
const maximumRequestsPerConnection = 256;

/** Which connection a request was written to, and which of its requests it was, from 1. */
export type ConnectionPosition = {readonly connection?: number; readonly connectionRequest: number};

/** A connection to an endpoint, which carries one request at a time. */
export type EndpointConnection = {
	readonly client: Dispatcher;
	/**
	Whether the current connection was reset. The HTTP client reports a response without a length as complete even when a reset ended it.
	*/
	wasReset(): boolean;
	/** Bytes received since the connection was acquired, including those that belong to no response. */
	receivedBytes(): number;
	/** For logs. */
	position(): ConnectionPosition;
	/** Records that a chunk of the response has been processed. A connection with many chunks lets others go first. */
	recordChunk(): void;
	/** Returns the connection to the pool, or closes it. */
	release(isReusable: boolean): void;
	/** Resets the connection and returns it to no pool. What the operating system has not sent is dropped. */
	reset(error: Error): void;
	/** Calls back when a connection that was released or reset is closed, or at once if none is open. */
	whenClosed(callback: () => void): void;
};

export type EndpointConnectionPoolOptions = {
	readonly clock: Clock;
	readonly readingProgress: ReadingProgress;
	/** Called when a connection is opened. */
	readonly onConnect: () => void;
};

type PooledClient = {
	readonly client: Client;
	/** Its latest connection. */
	socket: PacedSocket | undefined;
	/** Whether its latest connection had a socket error. */
	hasFailed: boolean;
	/** Whether its latest connection is closed. The property `closed` of a socket is set before that. */
	isClosed: boolean;
	/** Requests for which its latest connection was acquired. */
	requestCount: number;
	/** Hashes of the ids of the requests that it was acquired for. */
	readonly carriedIds: Set<bigint>;
	lastUsedAt: Milliseconds;
};

/** Keep-alive connections to the address of one endpoint. */
export class EndpointConnectionPool {
	static create(address: string, options: EndpointConnectionPoolOptions): EndpointConnectionPool {
		return new EndpointConnectionPool(address, options);
	}

	/** Least recently used first. */
	readonly #idle: PooledClient[] = [];
	readonly #clients = new Set<Client>();

	private constructor(private readonly address: string, private readonly options: EndpointConnectionPoolOptions) {}

	get size(): number {
		return this.#clients.size;
	}

	/**
	Returns a connection that has not carried a request with this id. Endpoints may send a copy of a response ahead of a later one, and only the id tells the two apart.

	A request that can't be sent again gets a connection that has carried no other. On a reused one, the late copy of an earlier response, or the endpoint's close of an idle connection, would end the request although it may have run.

	@param isRetryable whether the request may be sent again
	*/
	acquire(requestId: string, isRetryable: boolean): EndpointConnection {
		const idHash = hashText(requestId);
		const pooled = (isRetryable ? this.#takeIdle(idHash) : undefined) ?? this.#replaceIdle();
		pooled.carriedIds.add(idHash);
		const {client, socket} = pooled;
		const bytesBefore = socket?.bytesRead ?? 0;
		pooled.requestCount++;
		let isReleased = false;
		const release = (isReusable: boolean) => {
			if (isReleased) {
				return;
			}

			isReleased = true;
			if (isReusable && !client.destroyed && pooled.carriedIds.size < maximumRequestsPerConnection) {
				pooled.lastUsedAt = this.options.clock.now();
				this.#idle.push(pooled);
			} else {
				this.#close(client);
			}
		};

		return {
			client,
			wasReset: () => pooled.hasFailed || pooled.socket?.wasReset === true,
			// The client may open a new connection for the request; its count starts at 0.
			receivedBytes: () => (pooled.socket?.bytesRead ?? 0) - (pooled.socket === socket ? bytesBefore : 0),
			position: () => ({connection: pooled.socket?.number, connectionRequest: pooled.requestCount}),
			recordChunk() {
				pooled.socket?.recordChunk();
			},
			release,
			reset(error) {
				if (!isReleased) {
					pooled.socket?.resetWith(error);
					release(false);
				}
			},
			whenClosed(callback) {
				if (pooled.socket === undefined || pooled.isClosed) {
					callback();
				} else {
					pooled.socket.once('close', callback);
				}
			},
		};
	}

	/** Closes connections that have been idle for longer than the timeout. */
	closeIdleConnections(): void {
		const now = this.options.clock.now();
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

	/** Takes the most recently used idle connection that has not carried the id. Closes those that are destroyed. */
	#takeIdle(idHash: bigint): PooledClient | undefined {
		for (let index = this.#idle.length - 1; index >= 0; index--) {
			const pooled = this.#idle[index]!;
			const isUsable = !pooled.client.destroyed;
			if (isUsable && pooled.carriedIds.has(idHash)) {
				continue;
			}

			this.#idle.splice(index, 1);
			if (isUsable) {
				return pooled;
			}

			this.#close(pooled.client);
		}

		return undefined;
	}

	/** Opens a connection in place of the one that has been idle for longest, if there is one, because endpoints limit their connections. */
	#replaceIdle(): PooledClient {
		const replaced = this.#idle.shift();
		if (replaced !== undefined) {
			this.#close(replaced.client);
		}

		return this.#open();
	}

	#open(): PooledClient {
		const client = new Client(`http://${this.address}`, {
			// `ForwardTask` enforces the timeouts of a request.
			headersTimeout: 0,
			bodyTimeout: 0,
			keepAliveTimeout: idleTimeoutMs,
			keepAliveTimeoutThreshold: idleTimeoutMarginMs,
			connect: createConnector({
				timeoutMs: connectTimeoutMs,
				createSocket: () => PacedSocket.create(),
				onSocket: socket => {
					this.options.onConnect();
					pooled.hasFailed = false;
					pooled.isClosed = false;
					pooled.requestCount = 1;
					pooled.socket = socket;
					socket.setNoDelay(true);
					socket.once('close', () => {
						pooled.isClosed ||= pooled.socket === socket;
					});
					socket.on('error', () => {
						pooled.hasFailed = true;
					});
				},
				whenUsable: callback => {
					// The client writes the request as soon as it has the connection.
					const {readingProgress} = this.options;
					if (readingProgress.isLate()) {
						readingProgress.afterRound(callback);
					} else {
						callback();
					}
				},
			}),
			pipelining: 1,
		});
		const pooled: PooledClient = {
			client, socket: undefined, hasFailed: false, isClosed: false, requestCount: 0, carriedIds: new Set(), lastUsedAt: this.options.clock.now(),
		};
		this.#clients.add(client);
		return pooled;
	}

	#close(client: Client): void {
		this.#clients.delete(client);
		void client.destroy();
	}
}
