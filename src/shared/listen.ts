import type {Server} from 'node:http';
import {setImmediate} from 'node:timers/promises';
import type {SocketAddress} from './address.js';
import {SystemClock, type Milliseconds} from './clock.js';
import {ReadingMark} from './reading-mark.js';

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

/** Rounds of the event loop in which what has arrived on a new connection is handled: the first one accepts it, the second one reads its request, the third one the body that follows. */
const readingRounds = 3;

/** Time after which reading ends although each round accepts a connection. A stop has only its grace period. */
const maximumReadingMs: Milliseconds = 1000;

/** Age of what has been read up to which connections are closed: a request that arrived later crosses their end. */
const toleratedAgeMs: Milliseconds = 20;

const clock = SystemClock.create();

/** Resolves when connections and requests that have already arrived have been accepted and read, or after the maximum time. A busy process may not have read anything for seconds. */
export async function readArrivedRequests(server: Server, maximumMs: Milliseconds = maximumReadingMs): Promise<void> {
	let remainingRounds = readingRounds;
	const onConnection = () => {
		remainingRounds = readingRounds;
	};

	server.on('connection', onConnection);
	const endsAt = clock.now() + Math.min(maximumMs, maximumReadingMs);
	for (let round = 0; remainingRounds > 0 && (round < readingRounds || clock.now() < endsAt); round++) {
		// An immediate runs right after the phase of the event loop that reads, and accepts a single connection.
		// eslint-disable-next-line no-await-in-loop
		await setImmediate();
		remainingRounds--;
	}

	server.off('connection', onConnection);
}

/**
Reads what has arrived, and resolves while the event loop reads. What is closed in the step that follows was read a moment ago, even if rounds of the event loop are long.

@param onError called when that can't be ensured, because no datagram can be sent to this process
*/
export async function readBeforeClosing(server: Server, onError: (error: unknown) => void): Promise<void> {
	const endsAt = clock.now() + maximumReadingMs;
	await readArrivedRequests(server);
	try {
		const mark = await ReadingMark.open(onError);
		try {
			let ageMs: Milliseconds;
			do {
				// eslint-disable-next-line no-await-in-loop -- a later round may be shorter
				ageMs = await mark.pass();
			} while (ageMs > toleratedAgeMs && clock.now() < endsAt);
		} finally {
			mark.dispose();
		}
	} catch (error) {
		onError(error);
	}
}

/**
Closes a server and its connections without a request. Resolves when all connections have ended.

Requests that have already arrived are read first, because closing their connections, or the listener before it accepts them, would reset them.
*/
export async function closeAfterReading(server: Server, onError: (error: unknown) => void): Promise<void> {
	await readBeforeClosing(server, onError);
	return new Promise(resolve => {
		server.close(() => {
			resolve();
		});
		server.closeIdleConnections();
	});
}
