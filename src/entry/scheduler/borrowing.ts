import type {Clock, Milliseconds} from '../../shared/clock.js';
import type {BorrowRequest} from '../limits/types.js';

/** A borrow request without a reply so far. */
export type OutstandingBorrowRequest = {
	readonly request: BorrowRequest;
	readonly lender: string;
	readonly service: string;
	readonly sentAt: Milliseconds;
	/** The waiting request that needs an immediate reply; undefined when the borrow request waits in the lender's queue. */
	readonly requestId?: string;
};

/** A possible lender of units of one endpoint. */
export type LenderCandidate = {
	readonly slot: string;
	readonly endpoint: string;
	/** Free units in the lender's last heartbeat. */
	readonly reportedFreeUnits: number;
	/** Units that the lender owns within the endpoint's current limit. */
	readonly ownedUnits: number;
	/** Units to ask for. */
	readonly wantedUnits: number;
	/** Units that the first waiting request needs at the endpoint beyond those available to this entry. */
	readonly missingUnits: number;
};

/** Demand of one service for borrowed units. */
export type BorrowDemand = {
	readonly service: string;
	readonly tierRank: number;
	/** Number of waiting requests; more borrow requests than these are of no use. */
	readonly waitingRequests: number;
};

/** More outstanding borrow requests cost messages and hardly shorten the wait. */
const maximumOutstandingPerService = 8;

/**
Plans which units to borrow from which peers, and tracks the outstanding borrow requests.

At most one of them is outstanding for each pair of lender and endpoint, so that a long queue does not flood the peers with messages.
*/
export class Borrowing {
	static create(clock: Clock, createRequest: (request: Omit<BorrowRequest, 'borrowId'>) => BorrowRequest): Borrowing {
		return new Borrowing(clock, createRequest);
	}

	readonly #outstanding = new Map<string, OutstandingBorrowRequest>();

	private constructor(private readonly clock: Clock, private readonly createRequest: (request: Omit<BorrowRequest, 'borrowId'>) => BorrowRequest) {}

	/**
	Opens new borrow requests for one service, to lenders with free units first.

	When a waiting request needs units of several lenders, all of them are asked at once. If they were asked one after another, the first loans would expire before the last one arrives.
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

	/** Opens a borrow request that the lender replies to at once. It does not count towards the limit of requests that wait at lenders. */
	openImmediate(service: string, requestId: string, candidate: LenderCandidate, tierRank: number): OutstandingBorrowRequest {
		return this.#openRequest({service, tierRank, waitingRequests: 1}, candidate, requestId);
	}

	/** Closes a borrow request after its reply. Returns undefined when it is unknown, for example because it timed out. */
	closeRequest(borrowId: string): OutstandingBorrowRequest | undefined {
		const borrow = this.#outstanding.get(borrowId);
		this.#outstanding.delete(borrowId);
		return borrow;
	}

	/** Removes and returns the borrow requests that are no longer needed or too old for a loan to be of use. */
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
Selects the smallest group of lenders of one endpoint that together can lend the units missing for the first waiting request.

Empty when the outstanding requests for some endpoint already cover the missing units, or when no endpoint has enough lenders.
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

/** The first lenders of the list that together can lend the units; empty when even all of them can't. */
function fewestLendersFor(units: number, lenders: readonly LenderCandidate[]): readonly LenderCandidate[] {
	let lendableUnits = 0;
	for (const [index, {wantedUnits}] of lenders.entries()) {
		lendableUnits += wantedUnits;
		if (lendableUnits >= units) {
			return lenders.slice(0, index + 1);
		}
	}

	return [];
}
