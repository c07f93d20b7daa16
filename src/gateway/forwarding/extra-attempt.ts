import type {Milliseconds} from '../../shared/clock.js';
import {
	isDueReason, withheldReasons, type ExtraAttemptSlot, type SlowRequest, type WithheldReason,
} from '../scheduling/extra-attempts.js';
import type {WaitingRequest} from '../scheduling/types.js';
import type {Attempt} from './attempt.js';
import {
	extraAttemptOutcomes, type ExtraAttemptOutcome, type ForwardContext, type ForwardRequest,
} from './types.js';

/** Age of what has been read above which no extra attempt is made: the response may have arrived, or the caller may have left. */
const maximumUnreadMs: Milliseconds = 150;

/** What an extra attempt depends on beside the request itself. */
export type ExtraAttemptState = {
	readonly waitingRequest: WaitingRequest;
	/** Ids of endpoints that may have run the request. */
	readonly possiblyRunBy: ReadonlySet<string>;
	readonly callerLeavesAt: Milliseconds;
};

/** The second attempt of one request beside a slow one: asks whether it is due, and records what becomes of it. Does nothing while extra attempts are off. */
export class ExtraAttempt {
	static create(request: ForwardRequest, context: ForwardContext): ExtraAttempt {
		return new ExtraAttempt(request, context);
	}

	/** Set from its dispatch until its outcome is recorded. */
	#attempt: Attempt | undefined;
	#wasMade = false;
	/** Why it was withheld last although it was due. */
	#withheldReason: WithheldReason | undefined;

	private constructor(private readonly request: ForwardRequest, private readonly context: ForwardContext) {}

	recordArrival(): void {
		if (this.#ratio > 0) {
			this.context.extraAttempts.recordRequest(this.request.service, this.context.clock.now());
		}
	}

	/** Records that the request was refused, by this instance or by an endpoint. */
	recordRefusal(): void {
		if (this.#ratio > 0) {
			this.context.extraAttempts.recordRefusal(this.request.service, this.context.clock.now());
		}
	}

	/** Records the endpoints that have not begun their responses. */
	recordPending(attempts: Iterable<Attempt>, now: Milliseconds): void {
		if (this.#ratio === 0) {
			return;
		}

		for (const attempt of attempts) {
			if (!attempt.hasBegun) {
				this.context.extraAttempts.recordPending({...this.#key, endpointId: attempt.endpointId, sentAt: attempt.sentAt}, now);
			}
		}
	}

	/** Takes a slot at another endpoint if a second attempt beside `attempt` is due and may be made. */
	takeSlot(attempt: Attempt, state: ExtraAttemptState, now: Milliseconds): ExtraAttemptSlot | undefined {
		if (this.#ratio === 0 || this.#wasMade || attempt.hasBegun) {
			return undefined;
		}

		const {context} = this;
		const slowRequest = this.#describe(attempt, state);
		const decision = context.extraAttempts.decide(slowRequest, now);
		const slot = decision.isDue ? this.#selectSlot(attempt, state.waitingRequest, now) : decision.reason;
		if (typeof slot === 'string') {
			this.#withhold(slot);
			return undefined;
		}

		context.extraAttempts.take(slowRequest, now);
		this.#wasMade = true;
		context.onExtraAttempt(extraAttemptOutcomes.begun);
		context.log.event('extra-attempt', {
			requestId: this.request.metadata.requestId,
			route: this.request.route.name,
			reason: attempt.describeWait(state.possiblyRunBy.has(attempt.endpointId)),
			slowEndpoint: attempt.endpointId,
			endpoint: slot.endpointId,
			afterMs: Math.round(now - attempt.sentAt),
			delayMs: decision.isDue ? Math.round(decision.delayMs) : undefined,
			remaining: context.extraAttempts.remaining(slowRequest.service, slowRequest.ratio, now),
		});
		return slot;
	}

	/** Sets the attempt for which a slot was taken. */
	track(attempt: Attempt): void {
		this.#attempt = attempt;
	}

	/** Records that the response to an attempt has begun. */
	recordBegun(attempt: Attempt): void {
		if (!this.#isMeasured(attempt)) {
			return;
		}

		const {service, route: {name}} = this.request;
		const {clock, extraAttempts} = this.context;
		const now = clock.now();
		const durationMs = now - attempt.sentAt;
		if (this.#withheldReason !== undefined && !this.#wasMade) {
			const delayMs = extraAttempts.delayMs(service, name) ?? Infinity;
			if (durationMs > delayMs) {
				extraAttempts.recordExcess(service, name, durationMs - delayMs, now);
			}
		}

		extraAttempts.recordResponse(service, name, durationMs, now);
	}

	/** Records that an attempt was ended, before its response has begun or after. */
	recordUnfinished(attempt: Attempt): void {
		if (this.#isMeasured(attempt) && !attempt.hasBegun) {
			const now = this.context.clock.now();
			this.context.extraAttempts.recordUnfinished(this.request.service, this.request.route.name, now - attempt.sentAt, now);
		}
	}

	/** Records what has become of the extra attempt, if there is one and it isn't known yet. */
	end(outcome: ExtraAttemptOutcome): void {
		const attempt = this.#attempt;
		if (attempt === undefined) {
			return;
		}

		this.#attempt = undefined;
		const {context, request: {service, route, metadata: {requestId}}} = this;
		const afterMs = context.clock.now() - attempt.sentAt;
		context.onExtraAttempt(outcome, outcome === extraAttemptOutcomes.won ? context.extraAttempts.savedMs(service, route.name, afterMs) : undefined);
		context.log.event('extra-attempt-ended', {
			requestId, endpoint: attempt.endpointId, outcome, afterMs: Math.round(afterMs),
		});
	}

	get #ratio(): number {
		return this.context.features().extraAttemptRatio;
	}

	get #key(): Pick<SlowRequest, 'service' | 'route'> {
		return {service: this.request.service, route: this.request.route};
	}

	/** Whether the response time of an attempt is that of an ordinary request. Extra attempts go to endpoints with free slots only. */
	#isMeasured(attempt: Attempt): boolean {
		return this.#ratio > 0 && !attempt.isExtra && !attempt.isContinuation;
	}

	#describe({endpointId, sentAt, hasBegun}: Attempt, {possiblyRunBy, callerLeavesAt}: ExtraAttemptState): SlowRequest {
		return {
			...this.#key,
			endpointId,
			sentAt,
			hasBegun,
			endpointCount: possiblyRunBy.size + (possiblyRunBy.has(endpointId) ? 0 : 1),
			callerLeavesAt,
			waiting: this.context.scheduler.waiting,
			ratio: this.#ratio,
			sharingCount: this.context.sharingCount(),
		};
	}

	#selectSlot(attempt: Attempt, waitingRequest: WaitingRequest, now: Milliseconds): ExtraAttemptSlot | WithheldReason {
		const {unreadMs, containment, scheduler, extraAttempts} = this.context;
		if (unreadMs() > maximumUnreadMs) {
			return withheldReasons.unread;
		}

		if (containment.withholdAdmitted(this.request.promptParts) !== undefined) {
			return withheldReasons.quarantined;
		}

		return scheduler.selectForExtraAttempt({
			...waitingRequest,
			excluded: new Set([...waitingRequest.excluded, attempt.endpointId, ...extraAttempts.slowEndpoints(now)]),
		});
	}

	#withhold(reason: WithheldReason): void {
		if (isDueReason(reason) && reason !== this.#withheldReason) {
			this.#withheldReason = reason;
			this.context.onExtraAttemptWithheld(reason);
		}
	}
}
