import type {Server} from 'node:http';
import type {SocketAddress} from './address.js';

export type ListenAddress = SocketAddress & {
	/** Maximum number of connections that wait to be accepted. Default: that of Node.js. */
	readonly backlog?: number;
};

/**
Starts a server and resolves when it accepts connections.

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
