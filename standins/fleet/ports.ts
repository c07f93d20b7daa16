/** Free TCP ports for processes that must know each other's addresses before they start. */
import {createServer} from 'node:net';
import process from 'node:process';
import {threadId} from 'node:worker_threads';

// Below the range from which Linux takes the ports of outgoing connections, which could otherwise occupy a chosen port.
const lowestPort = 10_000;
const highestPort = 32_000;

/** Ports that one thread chooses from. The first one is bound as long as the thread lives, so that no other one chooses from the same slice. */
const sliceSize = 400;
const sliceCount = Math.floor((highestPort - lowestPort) / sliceSize);

async function isFree(port: number): Promise<boolean> {
	const server = createServer();
	return new Promise(resolve => {
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, '127.0.0.1', () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

/**
Claims a slice of ports for the calling thread and returns its first port, which is in use from then on.

Test files run side by side, in threads of one process or in several processes, and a port that one of them has found free is bound only later by the process that gets it.

@param preferred slice to start with
@throws {Error} when all slices are claimed
*/
export async function claimSlice(preferred: number): Promise<number> {
	for (let attempt = 0; attempt < sliceCount; attempt++) {
		const port = lowestPort + (((preferred + attempt) % sliceCount) * sliceSize);
		const claim = createServer();
		// eslint-disable-next-line no-await-in-loop
		const isClaimed = await new Promise<boolean>(resolve => {
			claim.once('error', () => {
				resolve(false);
			});
			claim.listen(port, '127.0.0.1', () => {
				resolve(true);
			});
		});
		if (isClaimed) {
			claim.unref();
			return port;
		}
	}

	throw new Error(`all slices of ports between ${lowestPort} and ${highestPort} are claimed`);
}

let claimedSlice: Promise<number> | undefined;
let offset = 1;

/**
A free port. The thread cycles through its slice, so that it does not return the same port again soon.

@throws {Error} when every port of the thread's slice is in use
*/
export async function findFreePort(): Promise<number> {
	claimedSlice ??= claimSlice((process.pid * 7) + threadId);
	const firstPort = await claimedSlice;
	for (let attempt = 1; attempt < sliceSize; attempt++) {
		const port = firstPort + offset;
		offset = (offset % (sliceSize - 1)) + 1;
		// eslint-disable-next-line no-await-in-loop
		if (await isFree(port)) {
			return port;
		}
	}

	throw new Error(`no free port between ${firstPort} and ${firstPort + sliceSize}`);
}

/** A free address on the loopback interface, as host and port. */
export async function findFreeAddress(): Promise<string> {
	return `127.0.0.1:${await findFreePort()}`;
}
