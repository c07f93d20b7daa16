import {createFailure, outcomes, type FailureType} from '../../shared/failure.js';
import type {MessageOf} from '../membership/messages.js';
import type {EnqueueOptions} from '../queue/tier-queue.js';
import {waitingKinds, type WaitingItem} from '../queue/types.js';
import type {Submission} from '../requests/types.js';
import {prefixBorrowStates, type PendingRequest, type SchedulerContext} from './context.js';
import {Displacement, type DisplacementStep} from './displacement.js';

/** Converts a pending request to an item of the queue. */
export function toWaitingItem({submission, tierRank, weight}: PendingRequest): WaitingItem {
	return {
		id: submission.requestId,
		kind: waitingKinds.request,
		tierRank,
		service: submission.service,
		workspace: submission.workspace,
		weight,
		tokens: Math.max(submission.promptTokens + submission.outputTokens, 1),
		enqueuedAt: submission.receivedAt,
		deadlineAt: submission.queueDeadlineAt,
	};
}

/** Decides which requests wait, which are refused and which lower-tier request is shed for a higher one. */
export class Admission {
	static create(context: SchedulerContext): Admission {
		return new Admission(context);
	}

	readonly #displacement: Displacement;
	#isShuttingDown = false;

	private constructor(private readonly context: SchedulerContext) {
		this.#displacement = Displacement.create(context.clock);
	}

	/** Number of requests for which peers are being asked to shed a lower tier. */
	get pendingDisplacements(): number {
		return this.#displacement.size;
	}

	shutDown(): void {
		this.#isShuttingDown = true;
	}

	submit(submission: Submission): void {
		const refusal = this.#findRefusal(submission);
		if (refusal) {
			this.refuse(submission, ...refusal);
			return;
		}

		const {configuration} = (this.context.configuration()!);
		const pending: PendingRequest = {
			submission,
			tierRank: configuration.tiers[submission.tier]!.rank,
			weight: configuration.workspaces[submission.workspace]!.weight,
			unreachableAttempts: 0,
			isRetry: false,
			prefixBorrowState: prefixBorrowStates.untried,
		};
		this.context.retryBudget.recordRequest(configuration.policy.retryBudget);
		this.context.pending.set(submission.requestId, pending);
		this.#enqueue(pending);
	}

	/** Queues a request even if the queue is full: after a dispatch that may be tried again, or when a peer has shed a request for it. */
	returnToQueue(pending: PendingRequest): void {
		this.#enqueueOrShed(pending, {mayExceedCapacity: true});
	}

	/** Sheds the waiting request of the lowest tier of a service for a peer's request of a higher tier. */
	displaceForPeer(peer: string, message: MessageOf<'displace-request'>): void {
		const item = this.context.queue.displaceLowest({service: message.service, belowRank: message.tier});
		if (item) {
			this.#shedItem(item);
		}

		this.context.peers.send(peer, {kind: 'displace-reply', displaceId: message.displaceId, displaced: item !== undefined});
	}

	receiveDisplaceReply(peer: string, message: MessageOf<'displace-reply'>): void {
		const step = this.#displacement.receiveReply(message.displaceId, peer, message.displaced);
		if (step) {
			this.#applyStep(step);
		}
	}

	/** Removes a request that has not been dispatched. Returns false when it is being dispatched. */
	withdraw(requestId: string): boolean {
		return this.context.queue.remove(requestId) !== undefined || this.#displacement.cancel(requestId);
	}

	tick(): void {
		for (const step of this.#displacement.tick()) {
			this.#applyStep(step);
		}

		for (const item of this.context.queue.expire()) {
			const pending = item.kind === waitingKinds.request ? this.context.pending.get(item.id) : undefined;
			if (pending) {
				this.refuse(pending.submission, 'queue-timeout', `waited ${Math.round(this.context.clock.now() - pending.submission.receivedAt)} ms for ${item.service}`);
			}
		}
	}

	refuse(submission: Submission, type: FailureType, detail: string): void {
		const {registry, metrics, logger, pending} = this.context;
		// A request that waits for a retry has already been written to an endpoint.
		const outcome = pending.get(submission.requestId)?.isRetry ? outcomes.unknown : undefined;
		pending.delete(submission.requestId);
		registry.createSink(submission.requestId).fail(createFailure(type, detail, {requestId: submission.requestId, outcome}));
		metrics.countRequest(submission.tier, type === 'cancelled' ? 'cancelled' : 'refused');
		metrics.countRefusal(type);
		logger.info({
			requestId: submission.requestId, tier: submission.tier, workspace: submission.workspace, service: submission.service, type, detail,
		}, 'request-refused');
	}

	/** Returns the reason why a request can't be queued at all; undefined when it can. */
	#findRefusal(submission: Submission): [FailureType, string] | undefined {
		const {directory, ledger, queue} = this.context;
		const workspace = this.context.configuration()?.configuration.workspaces[submission.workspace];
		if (this.#isShuttingDown) {
			return ['shutting-down', 'this entry instance accepts no new requests'];
		}

		if (!workspace || !this.context.configuration()?.configuration.tiers[submission.tier]) {
			return ['not-ready', 'the configuration changed while the request arrived'];
		}

		const endpoints = directory.endpointsInService(submission.service);
		if (endpoints.length === 0) {
			return ['no-endpoint', `no endpoint of ${submission.service} is in service`];
		}

		const tokens = submission.promptTokens + submission.outputTokens;
		if (endpoints.every(({name}) => ledger.unitsNeeded(name, tokens) === undefined)) {
			return ['request-too-large', `${tokens} tokens are more than any endpoint of ${submission.service} takes`];
		}

		if (queue.waitingCountOf(submission.workspace) >= workspace.maximumWaiting) {
			return ['workspace-limit', `${workspace.maximumWaiting} requests of ${submission.workspace} are waiting`];
		}

		return undefined;
	}

	#enqueue(pending: PendingRequest): void {
		const result = this.context.queue.enqueue(toWaitingItem(pending));
		if (result.kind === 'full') {
			const peers = this.context.peerReports.peersWithLowerTiers(pending.submission.service, pending.tierRank);
			this.#applyStep(this.#displacement.start(pending.submission, pending.tierRank, peers));
		} else if (result.evicted) {
			this.#shedItem(result.evicted);
		}
	}

	#enqueueOrShed(pending: PendingRequest, options?: EnqueueOptions): void {
		const result = this.context.queue.enqueue(toWaitingItem(pending), options);
		if (result.kind === 'full') {
			this.#shed(pending);
		} else if (result.evicted) {
			this.#shedItem(result.evicted);
		}
	}

	#applyStep(step: DisplacementStep): void {
		const {pending: displaced} = step;
		const pending = this.context.pending.get(displaced.submission.requestId);
		if (!pending) {
			return;
		}

		if (step.kind === 'admit') {
			this.returnToQueue(pending);
			return;
		}

		if (step.kind === 'shed') {
			// While the peers were asked, capacity may have become free, or a request of a lower tier may have been queued.
			this.#enqueueOrShed(pending);
			return;
		}

		const isSent = this.context.peers.send(step.peer, {
			kind: 'displace-request', displaceId: displaced.displaceId, service: displaced.submission.service, tier: displaced.tierRank,
		});
		if (!isSent) {
			this.receiveDisplaceReply(step.peer, {kind: 'displace-reply', displaceId: displaced.displaceId, displaced: false});
		}
	}

	#shedItem(item: WaitingItem): void {
		const pending = this.context.pending.get(item.id);
		if (pending) {
			this.#shed(pending);
		}
	}

	#shed(pending: PendingRequest): void {
		const {queue, invariants} = this.context;
		const {service} = pending.submission;
		invariants.check(
			'G2',
			Object.keys(queue.waitingByTier(service)).every(rank => Number(rank) <= pending.tierRank),
			() => `${pending.submission.requestId} of tier rank ${pending.tierRank} is shed while a lower tier waits for ${service}`,
		);
		this.refuse(pending.submission, 'overloaded', `all queue places for ${service} are taken by this tier or higher ones`);
	}
}
