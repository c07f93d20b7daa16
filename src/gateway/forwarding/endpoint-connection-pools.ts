import type {Disposable} from '../../shared/disposable-store.js';
import {EndpointConnectionPool, type EndpointConnectionPoolOptions} from './endpoint-connection-pool.js';

/** The connection pools of all endpoints, by address. */
export class EndpointConnectionPools implements Disposable {
	static create(options: EndpointConnectionPoolOptions): EndpointConnectionPools {
		return new EndpointConnectionPools(options);
	}

	readonly #pools = new Map<string, EndpointConnectionPool>();

	private constructor(private readonly options: EndpointConnectionPoolOptions) {}

	/** Connections that are open or being established. */
	get size(): number {
		let size = 0;
		for (const pool of this.#pools.values()) {
			size += pool.size;
		}

		return size;
	}

	poolFor(address: string): EndpointConnectionPool {
		let pool = this.#pools.get(address);
		if (pool === undefined) {
			pool = EndpointConnectionPool.create(address, this.options);
			this.#pools.set(address, pool);
		}

		return pool;
	}

	/** Closes connections that have been idle for too long, and removes empty pools. */
	closeIdleConnections(): void {
		for (const [address, pool] of this.#pools) {
			pool.closeIdleConnections();
			if (pool.size === 0) {
				this.#pools.delete(address);
			}
		}
	}

	async dispose(): Promise<void> {
		await Promise.all([...this.#pools.values()].map(async pool => pool.dispose()));
	}
}
