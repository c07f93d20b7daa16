import {waitingKinds, type WaitingItem} from '../queue/types.js';
import {requestKinds} from '../requests/types.js';
import type {AffinityCandidate, RankedCandidate, RouteCandidate} from '../routing/index.js';
import {prefixBorrowStates, type PendingRequest, type SchedulerContext} from './context.js';
import type {Dispatching} from './dispatching.js';
import type {Lending} from './lending.js';
import type {DirectoryEndpoint} from './service-directory.js';

/** Minimum prefill to save by borrowing, in tokens: a shorter prefix is computed faster than a peer replies over a busy network. */
const minimumPrefixTokens = 256;

/** Average number of characters of a token, as in the estimate of prompt tokens. */
const charactersPerToken = 4;

type Assignment
	= | {readonly kind: 'dispatch'; readonly item: WaitingItem; readonly candidate: RankedCandidate; readonly units: number}
		| {readonly kind: 'lend'; readonly item: WaitingItem};

/** Assigns free units to waiting items in queue order. */
export class Assignments {
	static create(context: SchedulerContext, dispatching: Dispatching, lending: Lending): Assignments {
		return new Assignments(context, dispatching, lending);
	}

	private constructor(
		private readonly context: SchedulerContext,
		private readonly dispatching: Dispatching,
		private readonly lending: Lending,
	) {}

	/** Assigns free units until no waiting item of the service can be served. */
	assignUnits(service: string): void {
		const endpoints = this.context.directory.endpointsInService(service).filter(({name}) => this.context.backoff.mayTry(name));
		const unservable = new Set<string>();
		for (let next = this.#nextAssignment(service, endpoints, unservable); next; next = this.#nextAssignment(service, endpoints, unservable)) {
			if (next.kind === 'lend') {
				if (!this.lending.grantLoan(next.item)) {
					unservable.add(next.item.id);
				}
			} else if (!this.#dispatch(next)) {
				unservable.add(next.item.id);
			}
		}
	}

	/**
	Returns the assignment of the first item in queue order that can be served now.

	An item that needs more units than are free blocks its best endpoint for later items, which would otherwise keep taking the units it waits for.
	*/
	#nextAssignment(service: string, endpoints: readonly DirectoryEndpoint[], unservable: ReadonlySet<string>): Assignment | undefined {
		let free: Map<string, number> | undefined;
		for (const item of this.context.queue.inOrder(service)) {
			// Counted only when an item waits, because counting free units takes longer than the rest of a tick.
			free ??= this.#freeUnits(endpoints);
			if ([...free.values()].every(units => units === 0)) {
				return undefined;
			}

			if (unservable.has(item.id)) {
				continue;
			}

			if (item.kind === waitingKinds.borrow) {
				if ((free.get(item.endpoint ?? '') ?? 0) >= (item.units ?? 1)) {
					return {kind: 'lend', item};
				}

				continue;
			}

			const assignment = this.#assignmentFor(item, endpoints, free);
			if (assignment) {
				return assignment;
			}
		}

		return undefined;
	}

	#freeUnits(endpoints: readonly DirectoryEndpoint[]): Map<string, number> {
		return new Map(endpoints.map(({name}) => [name, this.context.ledger.availableUnits(name)]));
	}

	#assignmentFor(item: WaitingItem, endpoints: readonly DirectoryEndpoint[], free: Map<string, number>): Assignment | undefined {
		const pending = this.context.pending.get(item.id);
		if (!pending) {
			return undefined;
		}

		const needed = new Map<string, number>();
		const candidates: RouteCandidate[] = [];
		for (const endpoint of endpoints) {
			const units = this.context.ledger.unitsNeeded(endpoint.name, item.tokens);
			if (units !== undefined && (free.get(endpoint.name) ?? 0) > 0) {
				needed.set(endpoint.name, units);
				candidates.push(this.#toCandidate(endpoint));
			}
		}

		const ranked = this.context.router.rank(pending.submission, candidates, toAffinityCandidates(endpoints));
		const fitting = ranked.find(({endpoint}) => (free.get(endpoint) ?? 0) >= needed.get(endpoint)!);
		if (fitting && this.#borrowForPrefix(pending, item, endpoints, fitting)) {
			// These units stay free for this request until the peer has replied, so that a lower tier can't take them.
			free.set(fitting.endpoint, (free.get(fitting.endpoint) ?? 0) - needed.get(fitting.endpoint)!);
			return undefined;
		}

		if (fitting) {
			return {
				kind: 'dispatch', item, candidate: fitting, units: needed.get(fitting.endpoint)!,
			};
		}

		const [best] = ranked;
		if (best) {
			free.set(best.endpoint, 0);
		}

		return undefined;
	}

	#toCandidate(endpoint: DirectoryEndpoint): RouteCandidate {
		const {policy} = this.context.configuration()!.configuration;
		return {
			endpoint: endpoint.name,
			tokensPerBlock: policy.prefixBlockCharacters / charactersPerToken,
			units: endpoint.limit.units,
		};
	}

	/**
	Asks a peer for units of an endpoint that has cached more of the prompt's prefix than the best endpoint where this entry has free units.

	It is tried once for each request, and the peer replies at once, so a refusal costs one round trip.

	@returns whether the request should wait for the reply
	*/
	#borrowForPrefix(pending: PendingRequest, item: WaitingItem, endpoints: readonly DirectoryEndpoint[], local: RankedCandidate): boolean {
		const {ledger, peerReports, router} = this.context;
		const {submission} = pending;
		if (pending.prefixBorrowState !== prefixBorrowStates.untried || local.uncachedPromptTokens < minimumPrefixTokens) {
			return pending.prefixBorrowState === prefixBorrowStates.asked;
		}

		const remote = endpoints.filter(({name}) => ledger.availableUnits(name) === 0 && peerReports.bestLenderOf(name) !== undefined);
		const [best] = router.rank(submission, remote.map(endpoint => this.#toCandidate(endpoint)), toAffinityCandidates(endpoints));
		const units = best && ledger.unitsNeeded(best.endpoint, item.tokens);
		const savesEnoughPrefill = units !== undefined && best!.costMs < local.costMs && local.uncachedPromptTokens - best!.uncachedPromptTokens >= minimumPrefixTokens;
		pending.prefixBorrowState = savesEnoughPrefill && this.lending.requestImmediateLoan(item, best!.endpoint, units) ? prefixBorrowStates.asked : prefixBorrowStates.done;
		return pending.prefixBorrowState === prefixBorrowStates.asked;
	}

	#dispatch({item, candidate, units}: Extract<Assignment, {kind: 'dispatch'}>): boolean {
		const {directory, ledger, pending, queue} = this.context;
		const request = pending.get(item.id);
		const endpoint = directory.endpoint(candidate.endpoint);
		const reservation = request && ledger.reserve({endpoint: candidate.endpoint, units, requestId: item.id});
		if (!request || !endpoint || !reservation) {
			return false;
		}

		queue.markServed(item);
		const uncached = request.submission.kind === requestKinds.engine ? candidate.uncachedPromptTokens : 0;
		this.dispatching.start(request, endpoint, reservation, uncached);
		return true;
	}
}

function toAffinityCandidates(endpoints: readonly DirectoryEndpoint[]): AffinityCandidate[] {
	return endpoints.map(({name, limit}) => ({endpoint: name, units: limit.units}));
}
