/** Finds which child process opened a loopback connection, so that a proxy can apply faults by source. Linux only. */
import {readdirSync, readFileSync, readlinkSync} from 'node:fs';

// The kernel's table of connections is not read atomically: a row can be missing from one read while other connections open or close.
const readAttempts = 3;

/** Columns of a row of /proc/self/net/tcp. */
const columnIndexes = {local: 1, remote: 2, inode: 9} as const;

function hasPort(address: string | undefined, port: number): boolean {
	return Number.parseInt(address?.split(':')[1] ?? '', 16) === port;
}

function findInode(sourcePort: number, targetPort: number): string | undefined {
	const rows = readFileSync('/proc/self/net/tcp', 'utf8').split('\n').map(row => row.trim().split(/\s+/v));
	const row = rows.find(columns => hasPort(columns[columnIndexes.local], sourcePort) && hasPort(columns[columnIndexes.remote], targetPort));
	return row?.[columnIndexes.inode];
}

function ownsInode(pid: number, inode: string): boolean {
	try {
		return readdirSync(`/proc/${pid}/fd`).some(descriptor => isSocket(`/proc/${pid}/fd/${descriptor}`, inode));
	} catch {
		return false; // The process has ended.
	}
}

function isSocket(descriptorPath: string, inode: string): boolean {
	try {
		return readlinkSync(descriptorPath) === `socket:[${inode}]`;
	} catch {
		return false; // The descriptor was closed meanwhile.
	}
}

/**
The name of the process that opened a connection.

@param processes process ids by name
*/
export function findConnectionOwner(sourcePort: number, targetPort: number, processes: Iterable<readonly [string, number]>): string | undefined {
	const candidates = [...processes];
	for (let attempt = 0; attempt < readAttempts; attempt++) {
		const inode = findInode(sourcePort, targetPort);
		const owner = inode === undefined ? undefined : candidates.find(([, pid]) => ownsInode(pid, inode));
		if (owner) {
			return owner[0];
		}
	}

	return undefined;
}
