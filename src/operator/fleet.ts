import type {StatusReport} from '../shared/status.js';
import type {EntryResult, EntryClient, EntryFailure} from './entry-client.js';

/** An entry that answered. */
export type FleetEntry = {
	/** Host and port where it answered. */
	readonly address: string;
	readonly report: StatusReport;
};

/** An entry that gave no usable answer. */
export type UnreachableEntry = EntryFailure & {
	/** Whether the operator named it; otherwise a peer's report did. */
	readonly isListed: boolean;
	/** The slot that a peer's report gives for the address. */
	readonly slot?: string;
	/** Whether a peer reports that it is leaving. */
	readonly isLeaving: boolean;
};

/** All entries that the operator named or that the reports of others name. */
export type Fleet = {
	/** Sorted by slot; one for each incarnation. */
	readonly entries: readonly FleetEntry[];
	readonly unreachable: readonly UnreachableEntry[];
};

type KnownPeer = {
	readonly slot: string;
	readonly isLeaving: boolean;
};

/** Requests at once; a fleet of the target size has 400 entries. */
const maximumParallelRequests = 32;

/** Reads the status of the listed entries, then of the peers that their reports name, until no new address appears. */
export async function readFleet(client: EntryClient, listedAddresses: readonly string[]): Promise<Fleet> {
	const results = new Map<string, EntryResult<StatusReport>>();
	const peers = new Map<string, KnownPeer>();
	let pending = [...new Set(listedAddresses)];
	while (pending.length > 0) {
		const batch = pending.slice(0, maximumParallelRequests);
		// The next batch contains addresses that this one discovers.
		// eslint-disable-next-line no-await-in-loop
		const batchResults = await Promise.all(batch.map(async address => client.readStatus(address)));
		for (const result of batchResults) {
			results.set(result.address, result);
			recordPeers(peers, result);
		}

		const addresses = new Set([...pending.slice(batch.length), ...peers.keys()]);
		pending = [...addresses].filter(address => !results.has(address));
	}

	return toFleet([...results.values()], new Set(listedAddresses), peers);
}

function recordPeers(peers: Map<string, KnownPeer>, result: EntryResult<StatusReport>): void {
	if (result.kind === 'failure') {
		return;
	}

	for (const {operatorAddress, slot, isLeaving} of result.content.peers) {
		if (operatorAddress !== undefined) {
			peers.set(operatorAddress, {slot, isLeaving: isLeaving || (peers.get(operatorAddress)?.isLeaving ?? false)});
		}
	}
}

function toFleet(results: ReadonlyArray<EntryResult<StatusReport>>, listedAddresses: ReadonlySet<string>, peers: ReadonlyMap<string, KnownPeer>): Fleet {
	const entries = new Map<string, FleetEntry>();
	const unreachable: UnreachableEntry[] = [];
	for (const result of results) {
		if (result.kind === 'failure') {
			const peer = peers.get(result.address);
			unreachable.push({
				...result, isListed: listedAddresses.has(result.address), slot: peer?.slot, isLeaving: peer?.isLeaving ?? false,
			});
		} else {
			// One entry may be reached under a listed and an advertised address.
			const key = JSON.stringify([result.content.slot, result.content.incarnation]);
			if (!entries.has(key)) {
				entries.set(key, {address: result.address, report: result.content});
			}
		}
	}

	return {entries: [...entries.values()].toSorted((left, right) => compareNames(left.report.slot, right.report.slot)), unreachable};
}

/** Compares names with their numbers, so that `entry-10` follows `entry-9`. */
export function compareNames(left: string, right: string): number {
	return left.localeCompare(right, 'en', {numeric: true});
}
