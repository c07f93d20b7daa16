import type {Disposable} from '../../shared/disposable-store.js';
import {startKey} from '../site/endpoint-start.js';
import type {EndpointRecord} from '../site/types.js';
import {EndpointConnectionPool, type EndpointConnectionPoolOptions} from './endpoint-connection-pool.js';

/** The connection pools of all endpoints. Each start of an endpoint has its own, because an address is used again by others, and by the same process under another id. */
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

	poolFor(endpoint: EndpointRecord): EndpointConnectionPool {
		const key = `${startKey(endpoint)} ${endpoint.address}`;
		let pool = this.#pools.get(key);
		if (pool === undefined) {
			pool = EndpointConnectionPool.create(endpoint.address, this.options);
			this.#pools.set(key, pool);
		}

		return pool;
	}

	/** Closes connections that have been idle for too long, and removes empty pools. */
	closeIdleConnections(): void {
		for (const [key, pool] of this.#pools) {
			pool.closeIdleConnections();
			if (pool.size === 0) {
				this.#pools.delete(key);
			}
		}
	}

	async dispose(): Promise<void> {
		await Promise.all([...this.#pools.values()].map(async pool => pool.dispose()));
	}
}
