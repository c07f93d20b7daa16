import type {Clock, Milliseconds} from '../../shared/clock.js';
import type {BorrowRequest} from '../limits/types.js';

/** A borrow request that has not been answered. */
export type OutstandingBorrowRequest = {
	readonly request: BorrowRequest;
	readonly lender: string;
	readonly service: string;
	readonly sentAt: Milliseconds;
	/** The waiting request that an immediate answer is for; undefined for requests that wait at the lender. */
	readonly requestId?: string;
};

/** A possible lender of units of one endpoint. */
export type LenderCandidate = {
	readonly slot: string;
	readonly endpoint: string;
	/** Free units in the lender's last heartbeat. */
	readonly reportedFreeUnits: number;
	/** Units that the lender owns within the endpoint's present limit. */
	readonly ownedUnits: number;
	/** Units to ask for. */
	readonly wantedUnits: number;
	/** Units of the endpoint that the first waiting request lacks here. */
	readonly missingUnits: number;
};

/** What a service waits for. */
export type BorrowDemand = {
	readonly service: string;
	readonly tierRank: number;
	/** How many requests wait, which bounds how many borrow requests make sense. */
	readonly waitingRequests: number;
};

/** More open borrow requests cost messages and hardly shorten the wait. */
const maximumOutstandingPerService = 8;

/**
Decides which units to ask for from which peers, and keeps the open requests.

At most one request is open for each pair of lender and endpoint, so that a long queue does not flood the peers.
*/
export class Borrowing {
	static create(clock: Clock, createRequest: (request: Omit<BorrowRequest, 'borrowId'>) => BorrowRequest): Borrowing {
		return new Borrowing(clock, createRequest);
	}

	readonly #outstanding = new Map<string, OutstandingBorrowRequest>();

	private constructor(private readonly clock: Clock, private readonly createRequest: (request: Omit<BorrowRequest, 'borrowId'>) => BorrowRequest) {}

	/**
	New borrow requests for one service, lenders with free units first.

	A request that needs units of several lenders asks them all at once. One after another, the first loans would expire before the last one arrives.
	*/
	planRequests(demand: BorrowDemand, candidates: readonly LenderCandidate[]): OutstandingBorrowRequest[] {
		const open = [...this.#outstanding.values()].filter(borrow => borrow.service === demand.service && borrow.requestId === undefined);
		const isOpen = (candidate: LenderCandidate) => open.some(borrow => borrow.lender === candidate.slot && borrow.request.endpoint === candidate.endpoint);
		const eligible = candidates
			.filter(candidate => candidate.ownedUnits > 0 && !isOpen(candidate))
			.toSorted((left, right) => (right.reportedFreeUnits - left.reportedFreeUnits) || (right.ownedUnits - left.ownedUnits));
		const jointLenders = selectJointLenders(eligible, candidates, open);
		const others = eligible.filter(candidate => !jointLenders.includes(candidate));
		const maximumNewRequests = Math.max(Math.min(demand.waitingRequests, maximumOutstandingPerService) - open.length, jointLenders.length);
		return [...jointLenders, ...others].slice(0, maximumNewRequests).map(candidate => this.#openRequest(demand, candidate));
	}

	/** Opens a borrow request that the lender answers at once. It does not count against the bound of those that wait. */
	openImmediate(service: string, requestId: string, candidate: LenderCandidate, tierRank: number): OutstandingBorrowRequest {
		return this.#openRequest({service, tierRank, waitingRequests: 1}, candidate, requestId);
	}

	/** Closes a borrow request that was answered; undefined when it is not known, for example because it timed out. */
	closeRequest(borrowId: string): OutstandingBorrowRequest | undefined {
		const borrow = this.#outstanding.get(borrowId);
		this.#outstanding.delete(borrowId);
		return borrow;
	}

	/** Removes and returns the requests that are no longer needed or too old for a loan to be of use. */
	cancel(isObsolete: (borrow: OutstandingBorrowRequest) => boolean): OutstandingBorrowRequest[] {
		const cancelled = [...this.#outstanding.values()].filter(borrow => isObsolete(borrow));
		for (const {request} of cancelled) {
			this.#outstanding.delete(request.borrowId);
		}

		return cancelled;
	}

	get size(): number {
		return this.#outstanding.size;
	}

	#openRequest(demand: BorrowDemand, candidate: LenderCandidate, requestId?: string): OutstandingBorrowRequest {
		const request = this.createRequest({endpoint: candidate.endpoint, units: candidate.wantedUnits, tierRank: demand.tierRank});
		const borrow: OutstandingBorrowRequest = {
			request, lender: candidate.slot, service: demand.service, sentAt: this.clock.now(), requestId,
		};
		this.#outstanding.set(request.borrowId, borrow);
		return borrow;
	}
}

/**
The lenders that the first request lacks: the fewest of one endpoint that can together lend what it needs.

None when the requests that are open for some endpoint are enough, or when the lenders of no endpoint are.
*/
function selectJointLenders(eligible: readonly LenderCandidate[], candidates: readonly LenderCandidate[], open: readonly OutstandingBorrowRequest[]): readonly LenderCandidate[] {
	const missingByEndpoint = new Map(candidates.map(({endpoint, missingUnits}) => [endpoint, missingUnits - openUnits(open, endpoint)]));
	if ([...missingByEndpoint.values()].some(missing => missing <= 0)) {
		return [];
	}

	const choices = [...missingByEndpoint].map(([endpoint, missing]) => fewestLendersFor(missing, eligible.filter(candidate => candidate.endpoint === endpoint)));
	return choices.filter(lenders => lenders.length > 0).toSorted((left, right) => left.length - right.length)[0] ?? [];
}

function openUnits(open: readonly OutstandingBorrowRequest[], endpoint: string): number {
	return open.reduce((sum, {request}) => sum + (request.endpoint === endpoint ? request.units : 0), 0);
}

/** The first lenders that can together lend the units; none when all of them can't. */
function fewestLendersFor(units: number, lenders: readonly LenderCandidate[]): readonly LenderCandidate[] {
	let lent = 0;
	for (const [index, {wantedUnits}] of lenders.entries()) {
		lent += wantedUnits;
		if (lent >= units) {
			return lenders.slice(0, index + 1);
		}
	}

	return [];
}
