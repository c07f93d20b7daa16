import type {Milliseconds} from '../../shared/clock.js';
import type {LedgerMessage} from '../limits/types.js';
import type {MessageOf} from '../membership/messages.js';
import {waitingKinds, type WaitingItem} from '../queue/types.js';
import {Borrowing, type LenderCandidate, type OutstandingBorrowRequest} from './borrowing.js';
import {prefixBorrowStates, type PeerPort, type SchedulerContext} from './context.js';

/** Peers reply within a few milliseconds; a request does not wait longer for a unit that would only save prefill time. */
const immediateReplyTimeoutMs: Milliseconds = 25;

/** Prefix of the workspace of borrow items in the queue. The slot name follows, so that borrowing peers share fairly like workspaces. */
const borrowWorkspacePrefix = 'entry/';

/** Sends the messages that a ledger returned. */
export function sendAll(peers: PeerPort, messages: readonly LedgerMessage[]): void {
	for (const {to, message} of messages) {
		peers.send(to, {...message} as Parameters<PeerPort['send']>[1]);
	}
}

/** Lends units to peers and borrows units from them. */
export class Lending {
	static create(context: SchedulerContext): Lending {
		return new Lending(context);
	}

	readonly #borrowing: Borrowing;
	#isStopped = false;

	private constructor(private readonly context: SchedulerContext) {
		this.#borrowing = Borrowing.create(context.clock, request => context.ledger.createBorrowRequest(request));
	}

	/** Stops lending, so that a stopping entry can leave without outstanding loans. */
	stopLending(): void {
		this.#isStopped = true;
		for (const item of this.context.queue.inOrder()) {
			if (item.kind === waitingKinds.borrow) {
				this.context.queue.remove(item.id);
			}
		}
	}

	/** Queues a peer's borrow request by its tier, or replies at once when the peer asks for an immediate reply. */
	receiveBorrowRequest(peer: string, message: MessageOf<'borrow-request'>): void {
		const {clock, directory, queue} = this.context;
		const endpoint = directory.endpoint(message.endpoint);
		const policy = this.context.configuration()?.configuration.policy;
		const id = borrowItemId(peer, message.borrowId);
		if (message.isImmediate) {
			this.#replyImmediately(peer, message);
			return;
		}

		if (this.#isStopped || !endpoint || !policy || queue.get(id)) {
			return;
		}

		queue.enqueue({
			id,
			kind: waitingKinds.borrow,
			tierRank: message.tier,
			service: endpoint.service,
			workspace: `${borrowWorkspacePrefix}${peer}`,
			weight: 1,
			tokens: message.units * endpoint.limit.unitTokens,
			enqueuedAt: clock.now(),
			// A later grant would leave the borrower too little of the loan's duration to use it.
			deadlineAt: clock.now() + (policy.loanMilliseconds / 2),
			endpoint: message.endpoint,
			units: message.units,
			peer,
			borrowId: message.borrowId,
		});
	}

	receiveBorrowCancel(peer: string, message: MessageOf<'borrow-cancel'>): void {
		this.context.queue.remove(borrowItemId(peer, message.borrowId));
		this.context.ledger.receiveCancel(peer, message.borrowId);
	}

	/** Grants the loan for the borrow item that is next in the queue. Returns false when its units are not free. */
	grantLoan(item: WaitingItem): boolean {
		const {directory, ledger, peers, queue} = this.context;
		const {peer, borrowId, endpoint, units} = item;
		if (peer === undefined || borrowId === undefined || endpoint === undefined || units === undefined || !directory.mayReceiveWork(endpoint)) {
			return false;
		}

		const grant = ledger.lend(peer, {
			borrowId, endpoint, units, tierRank: item.tierRank,
		});
		if (!grant) {
			return false;
		}

		queue.markServed(item);
		// A grant that can't be sent expires at the lender like any other.
		peers.send(peer, {
			kind: 'borrow-reply', borrowId, loanId: grant.loanId, units: [...grant.units],
		});
		return true;
	}

	receiveBorrowReply(peer: string, message: MessageOf<'borrow-reply'>): void {
		const borrow = this.#borrowing.closeRequest(message.borrowId);
		this.#markPrefixBorrowDone(borrow);
		if (message.loanId === undefined) {
			sendAll(this.context.peers, this.context.ledger.cancelBorrow(message.borrowId));
			return;
		}

		const endpoint = borrow?.request.endpoint ?? '';
		sendAll(this.context.peers, this.context.ledger.receiveLoan(peer, {
			loanId: message.loanId, borrowId: message.borrowId, endpoint, units: message.units,
		}));
	}

	/** Asks peers for units that the first waiting request of the service could use, and cancels borrow requests when no request waits any more. */
	borrowFor(service: string): void {
		const {ledger, peers, queue} = this.context;
		const first = firstRequest(queue.inOrder(service));
		if (!first) {
			this.#cancelObsolete(borrow => borrow.service === service && borrow.requestId === undefined);
			return;
		}

		// This entry has free units for the request, which only waits for an endpoint that has cached its prefix.
		if (this.context.pending.get(first.id)?.prefixBorrowState === prefixBorrowStates.asked) {
			return;
		}

		const waitingByTier = queue.waitingByTier(service);
		const waiting = Object.values(waitingByTier).reduce((sum, count) => sum + count, 0);
		for (const borrow of this.#borrowing.planRequests({service, tierRank: first.tierRank, waitingRequests: waiting}, this.#lenderCandidates(service, first))) {
			ledger.recordBorrowRequest(borrow.request, borrow.lender);
			const isSent = peers.send(borrow.lender, {
				kind: 'borrow-request', borrowId: borrow.request.borrowId, endpoint: borrow.request.endpoint, units: borrow.request.units, tier: borrow.request.tierRank,
			});
			if (!isSent) {
				this.#borrowing.closeRequest(borrow.request.borrowId);
				ledger.cancelBorrow(borrow.request.borrowId);
			}
		}
	}

	/**
	Asks the peer with the most free units of an endpoint for some of them, with an immediate reply.

	@returns whether a peer was asked
	*/
	requestImmediateLoan(item: WaitingItem, endpoint: string, units: number): boolean {
		const {ledger, peerReports, peers} = this.context;
		const lender = peerReports.bestLenderOf(endpoint);
		if (lender === undefined) {
			return false;
		}

		const candidate = {
			slot: lender, endpoint, reportedFreeUnits: units, ownedUnits: units, wantedUnits: units, missingUnits: units,
		};
		const borrow = this.#borrowing.openImmediate(item.service, item.id, candidate, item.tierRank);
		const {borrowId} = borrow.request;
		ledger.recordBorrowRequest(borrow.request, lender);
		const isSent = peers.send(lender, {
			kind: 'borrow-request', borrowId, endpoint, units, tier: item.tierRank, isImmediate: true,
		});
		if (!isSent) {
			this.#borrowing.closeRequest(borrowId);
			ledger.cancelBorrow(borrowId);
		}

		return isSent;
	}

	tick(): void {
		const {clock} = this.context;
		const loanMilliseconds = this.context.configuration()?.configuration.policy.loanMilliseconds ?? 0;
		// By then the lender has dropped the borrow request, so a new one has a better chance.
		this.#cancelObsolete(borrow => clock.now() - borrow.sentAt >= (borrow.requestId === undefined ? loanMilliseconds / 2 : immediateReplyTimeoutMs));
	}

	/** Returns borrowed units that no waiting request needs. */
	returnIdleUnits(): void {
		const {directory, ledger, peers, queue} = this.context;
		for (const service of directory.services()) {
			if (!firstRequest(queue.inOrder(service))) {
				for (const {name} of directory.endpointsInService(service)) {
					sendAll(peers, ledger.returnIdleUnits(name));
				}
			}
		}
	}

	#cancelObsolete(isObsolete: Parameters<Borrowing['cancel']>[0]): void {
		for (const borrow of this.#borrowing.cancel(isObsolete)) {
			this.#markPrefixBorrowDone(borrow);
			sendAll(this.context.peers, this.context.ledger.cancelBorrow(borrow.request.borrowId));
		}
	}

	/** Lends free units unless requests of the same or a higher tier wait for the service at this entry. */
	#replyImmediately(peer: string, {borrowId, endpoint, units, tier}: MessageOf<'borrow-request'>): void {
		const {directory, ledger, peers, queue} = this.context;
		const service = directory.endpoint(endpoint)?.service;
		const isNeededHere = service !== undefined && Object.keys(queue.waitingByTier(service)).some(rank => Number(rank) <= tier);
		const mayLend = !this.#isStopped && !isNeededHere && directory.mayReceiveWork(endpoint);
		const grant = mayLend
			? ledger.lend(peer, {
				borrowId, endpoint, units, tierRank: tier,
			})
			: undefined;
		peers.send(peer, {
			kind: 'borrow-reply', borrowId, loanId: grant?.loanId, units: [...grant?.units ?? []],
		});
	}

	#markPrefixBorrowDone(borrow: OutstandingBorrowRequest | undefined): void {
		const pending = borrow?.requestId === undefined ? undefined : this.context.pending.get(borrow.requestId);
		if (pending) {
			pending.prefixBorrowState = prefixBorrowStates.done;
		}
	}

	#lenderCandidates(service: string, first: WaitingItem): LenderCandidate[] {
		const {backoff, directory, ledger, peerReports, slot} = this.context;
		return directory.endpointsInService(service).filter(({name}) => backoff.mayTry(name)).flatMap(({name}) => {
			const needed = ledger.unitsNeeded(name, first.tokens);
			const missingUnits = needed === undefined ? 0 : Math.max(needed - ledger.availableUnits(name), 0);
			return needed === undefined
				? []
				: ledger.owners(name)
					.filter(owner => owner.slot !== slot && owner.units > 0 && peerReports.hasRecentReport(owner.slot))
					.map(owner => ({
						slot: owner.slot,
						endpoint: name,
						reportedFreeUnits: peerReports.freeUnits(owner.slot, name),
						ownedUnits: owner.units,
						wantedUnits: Math.min(needed, owner.units),
						missingUnits,
					}));
		});
	}
}

function borrowItemId(peer: string, borrowId: string): string {
	return `borrow/${peer}/${borrowId}`;
}

function firstRequest(items: Iterable<WaitingItem>): WaitingItem | undefined {
	for (const item of items) {
		if (item.kind === waitingKinds.request) {
			return item;
		}
	}

	return undefined;
}
