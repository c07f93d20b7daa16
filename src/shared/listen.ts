import type {Server} from 'node:http';
import {setImmediate} from 'node:timers/promises';
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

/** Rounds of the event loop in which everything that has arrived is handled: the first one accepts connections, the second one reads their requests, the third one the bodies that follow. */
const readingRounds = 3;

/** Resolves when connections and requests that have already arrived have been accepted and read. A busy process may not have read anything for seconds. */
export async function readArrivedRequests(): Promise<void> {
	for (let round = 0; round < readingRounds; round++) {
		// An immediate runs right after the phase of the event loop that accepts and reads.
		// eslint-disable-next-line no-await-in-loop
		await setImmediate();
	}
}

/**
Closes a server and its connections without a request. Resolves when all connections have ended.

Requests that have already arrived are read first, because closing their connections, or the listener before it accepts them, would reset them.
*/
export async function closeAfterReading(server: Server): Promise<void> {
	await readArrivedRequests();
	return new Promise(resolve => {
		server.close(() => {
			resolve();
		});
		server.closeIdleConnections();
	});
}
