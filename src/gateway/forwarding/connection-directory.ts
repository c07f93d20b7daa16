import type {Clock} from '../../shared/clock.js';
import type {Disposable} from '../../shared/disposable-store.js';
import {EndpointConnections} from './endpoint-connections.js';

/** The connections to all endpoints, by address. */
export class ConnectionDirectory implements Disposable {
	static create(clock: Clock, onConnect: () => void): ConnectionDirectory {
		return new ConnectionDirectory(clock, onConnect);
	}

	readonly #connections = new Map<string, EndpointConnections>();

	private constructor(private readonly clock: Clock, private readonly onConnect: () => void) {}

	/** Connections that are open or being set up. */
	get size(): number {
		let size = 0;
		for (const connections of this.#connections.values()) {
			size += connections.size;
		}

		return size;
	}

	to(address: string): EndpointConnections {
		let connections = this.#connections.get(address);
		if (connections === undefined) {
			connections = EndpointConnections.create(address, this.clock, this.onConnect);
			this.#connections.set(address, connections);
		}

		return connections;
	}

	/** Closes connections that nobody has used for a while, and forgets addresses without any. */
	closeIdle(): void {
		for (const [address, connections] of this.#connections) {
			connections.closeIdle();
			if (connections.size === 0) {
				this.#connections.delete(address);
			}
		}
	}

	async dispose(): Promise<void> {
		await Promise.all([...this.#connections.values()].map(async connections => connections.dispose()));
	}
}
