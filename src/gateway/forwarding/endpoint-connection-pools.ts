import type {Clock} from '../../shared/clock.js';
import type {Disposable} from '../../shared/disposable-store.js';
import {EndpointConnectionPool} from './endpoint-connection-pool.js';

/** The connections to all endpoints, by address. */
export class EndpointConnectionPools implements Disposable {
	static create(clock: Clock, onConnect: () => void): EndpointConnectionPools {
		return new EndpointConnectionPools(clock, onConnect);
	}

	readonly #pools = new Map<string, EndpointConnectionPool>();

	private constructor(private readonly clock: Clock, private readonly onConnect: () => void) {}

	/** Connections that are open or being set up. */
	get size(): number {
		let size = 0;
		for (const connections of this.#pools.values()) {
			size += connections.size;
		}

		return size;
	}

	poolFor(address: string): EndpointConnectionPool {
		let connections = this.#pools.get(address);
		if (connections === undefined) {
			connections = EndpointConnectionPool.create(address, this.clock, this.onConnect);
			this.#pools.set(address, connections);
		}

		return connections;
	}

	/** Closes connections that nobody has used for a while, and forgets addresses without any. */
	closeIdleConnections(): void {
		for (const [address, connections] of this.#pools) {
			connections.closeIdleConnections();
			if (connections.size === 0) {
				this.#pools.delete(address);
			}
		}
	}

	async dispose(): Promise<void> {
		await Promise.all([...this.#pools.values()].map(async connections => connections.dispose()));
	}
}
