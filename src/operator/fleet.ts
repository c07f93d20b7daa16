import type {StatusReport} from '../shared/status.js';
import type {EntryResult, EntryClient, EntryFailure} from './entry-client.js';

/** An entry that returned its status. */
export type FleetEntry = {
	/** Host and port that the request was sent to. */
	readonly address: string;
	readonly report: StatusReport;
};

/** An entry whose status could not be read. */
export type UnreachableEntry = EntryFailure & {
	/** Whether the operator listed it; otherwise it is known from a peer's report. */
	readonly isListed: boolean;
	/** The slot of the address in a peer's report. */
	readonly slot?: string;
	/** Whether a peer reports that it is leaving. */
	readonly isLeaving: boolean;
};

/** All entries that the operator listed or that the reports of other entries name. */
export type Fleet = {
	/** Sorted by slot, with one element for each incarnation. */
	readonly entries: readonly FleetEntry[];
	readonly unreachable: readonly UnreachableEntry[];
};

type KnownPeer = {
	readonly slot: string;
	readonly isLeaving: boolean;
};

/** Limits the concurrent requests, because a fleet of the target size has 400 entries. */
const maximumParallelRequests = 32;

/** Reads the status of the listed entries, then of the peers that their reports name, until no new address appears. */
export async function readFleet(client: EntryClient, listedAddresses: readonly string[]): Promise<Fleet> {
	const results = new Map<string, EntryResult<StatusReport>>();
	const peers = new Map<string, KnownPeer>();
	let pending = [...new Set(listedAddresses)];
	while (pending.length > 0) {
		const batch = pending.slice(0, maximumParallelRequests);
		// The next batch may contain addresses that this one discovers.
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
			// The listed and the advertised address of an entry may differ, so it may respond twice.
			const key = JSON.stringify([result.content.slot, result.content.incarnation]);
			if (!entries.has(key)) {
				entries.set(key, {address: result.address, report: result.content});
			}
		}
	}

	return {entries: [...entries.values()].toSorted((left, right) => compareNames(left.report.slot, right.report.slot)), unreachable};
}

/** Compares names and the numbers in them, so that `entry-10` follows `entry-9`. */
export function compareNames(left: string, right: string): number {
	return left.localeCompare(right, 'en', {numeric: true});
}
