import type {Server} from 'node:http';
import type {SocketAddress} from './address.js';

export type ListenAddress = SocketAddress & {
	/** Connections that may wait to be accepted. Default: the runtime's. */
	readonly backlog?: number;
};

/**
Resolves when a server accepts connections.

@throws {Error} when the address can't be bound
*/
export async function listen(server: Server, {host, port, backlog}: ListenAddress): Promise<void> {
	return new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen({host, port, backlog}, () => {
			server.off('error', reject);
			resolve();
		});
	});
}
