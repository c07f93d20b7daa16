import type {Milliseconds} from '../../shared/clock.js';
import {createFailure, type Failure} from '../../shared/failure.js';
import type {DispatchResult, EndpointSymptom} from '../dispatch/types.js';
import type {Reservation} from '../limits/types.js';
import {requestKinds} from '../requests/types.js';
import type {Admission} from './admission.js';
import type {PendingRequest, SchedulerContext} from './context.js';
import {sendAll} from './lending.js';
import type {PhaseReports} from './phase-reports.js';
import type {DirectoryEndpoint} from './service-directory.js';

/** Failed connection attempts after which the request is refused. */
const maximumConnectAttempts = 4;

/** Share of the estimated time between tokens by which that of a whole response may be longer: how full the engine's batch was meanwhile is not known, and a full one halves the speed. */
const decodeUncertainty = 1;

type ActiveDispatch = {
	readonly pending: PendingRequest;
	readonly endpoint: DirectoryEndpoint;
	readonly reservation: Reservation;
	readonly abortController: AbortController;
	readonly uncachedPromptTokens: number;
	writtenAt: Milliseconds | undefined;
	firstByteAt: Milliseconds | undefined;
	lastTokenAt: Milliseconds | undefined;
	outputTokens: number;
	/** Whether the symptom of its failure has been observed before its end. */
	isSymptomObserved: boolean;
};

/** Tracks requests from their reservation to the end of their response. */
export class Dispatching {
	static create(context: SchedulerContext, admission: Admission, phaseReports: PhaseReports): Dispatching {
		return new Dispatching(context, admission, phaseReports);
	}

	readonly #active = new Map<string, ActiveDispatch>();
	#isStopping = false;

	readonly #resultHandlers: {[Kind in DispatchResult['kind']]: (active: ActiveDispatch, result: Extract<DispatchResult, {kind: Kind}>) => void} = {
		completed: (active, result) => {
			this.#handleCompleted(active, result.promptTokensCached);
		},
		failed: (active, result) => {
			if (this.#mayRetry(active, result.symptom)) {
				this.#retry(active);
			} else {
				this.#handleFailed(active, this.#isStopping ? failureOfStop(result.failure) : result.failure);
			}
		},
		'not-sent': (active, result) => {
			this.#handleNotSent(active, result.reason);
		},
	};

	private constructor(
		private readonly context: SchedulerContext,
		private readonly admission: Admission,
		private readonly phaseReports: PhaseReports,
	) {}

	get size(): number {
		return this.#active.size;
	}

	/** Number of requests in flight by tier. */
	inFlightByTier(): Map<string, number> {
		const inFlight = new Map<string, number>();
		for (const {pending: {submission: {tier}}} of this.#active.values()) {
			inFlight.set(tier, (inFlight.get(tier) ?? 0) + 1);
		}

		return inFlight;
	}

	start(pending: PendingRequest, endpoint: DirectoryEndpoint, reservation: Reservation, uncachedPromptTokens: number): void {
		const {submission} = pending;
		const active: ActiveDispatch = {
			pending, endpoint, reservation, uncachedPromptTokens,
			abortController: new AbortController(),
			writtenAt: undefined,
			firstByteAt: undefined,
			lastTokenAt: undefined,
			outputTokens: 0,
			isSymptomObserved: false,
		};
		this.#active.set(submission.requestId, active);
		this.context.prefixIndex.recordDispatch(endpoint.name, submission.prefixBlocks);
		void this.#dispatch(active);
	}

	/** Observes the symptom of a failure whose dispatch has not ended, because the request is being cancelled. */
	handleSymptom(requestId: string, symptom: EndpointSymptom): void {
		const active = this.#active.get(requestId);
		if (active !== undefined) {
			active.isSymptomObserved = true;
			this.phaseReports.announceChanges(this.context.phases.observeSymptom(active.endpoint.name, symptom));
		}
	}

	handleResult(requestId: string, result: DispatchResult): void {
		const active = this.#active.get(requestId);
		if (!active) {
			return;
		}

		this.#active.delete(requestId);
		const {ledger, phases, peers, metrics} = this.context;
		sendAll(peers, ledger.release(active.reservation.reservationId, {mayStillRun: mayStillRun(active, result)}));
		if (!active.isSymptomObserved) {
			this.phaseReports.announceChanges(phases.observeSymptom(active.endpoint.name, result.symptom));
		}

		this.phaseReports.announceUnitsAboveLimit(active.endpoint.name);
		metrics.countDispatch(active.endpoint.name, result.kind);
		this.#resultHandlers[result.kind](active, result as never);
	}

	/** Cancels a request whose caller has disconnected, unless it must be completed. */
	handleCallerDisconnect(requestId: string): void {
		const active = this.#active.get(requestId);
		if (!active) {
			return;
		}

		const {submission} = active.pending;
		const mustComplete = submission.isKeyed || (submission.kind === requestKinds.plain && !submission.isIdempotent);
		if (!mustComplete) {
			active.abortController.abort(new Error('the caller has disconnected'));
		}
	}

	/** Aborts all requests in flight, at the deadline of a shutdown. From then on none is queued again, because the waiting ones have been refused. */
	abortAll(): void {
		this.#isStopping = true;
		for (const {abortController} of this.#active.values()) {
			abortController.abort(new Error('the entry instance stops'));
		}
	}

	async #dispatch(active: ActiveDispatch): Promise<void> {
		const {submission} = active.pending;
		const {requestId} = submission;
		let result: DispatchResult;
		try {
			result = await this.context.dispatchers[submission.kind]({
				submission,
				endpoint: {
					name: active.endpoint.name,
					address: active.endpoint.address,
					requestTimeoutMilliseconds: active.endpoint.requestTimeoutMilliseconds,
				},
				mayWrite: () => this.#mayWrite(active),
				onWrite: () => {
					this.#onWrite(active);
				},
				onFirstByte: () => {
					this.#onFirstByte(active);
				},
				onTokens: tokens => {
					this.#onTokens(active, tokens);
				},
				onSymptom: symptom => {
					this.context.mailbox.post({kind: 'endpoint-symptom', requestId, symptom});
				},
				sink: this.context.registry.createSink(requestId),
				signal: active.abortController.signal,
			});
		} catch (error) {
			this.context.logger.error({requestId, endpoint: active.endpoint.name, err: error}, 'dispatch-error');
			result = {
				kind: 'failed',
				failure: createFailure('internal-error', error instanceof Error ? error.message : 'unknown error', {requestId}),
				symptom: 'none',
			};
		}

		this.context.mailbox.post({kind: 'dispatch-ended', requestId, result});
	}

	/** The last check before the request is written, made in the same synchronous step as the write. It also starts the reservation. */
	#mayWrite({endpoint, reservation, pending}: ActiveDispatch): boolean {
		const {peers, ledger, directory, registry} = this.context;
		ledger.setLease(peers.lease.heldUntil(), peers.lease.firstHeldAt);
		return peers.lease.isHeld()
			&& directory.mayReceiveWork(endpoint.name)
			&& (pending.isRetry || registry.mayDispatch(pending.submission.requestId))
			&& ledger.tryStart(reservation.reservationId);
	}

	#onWrite(active: ActiveDispatch): void {
		const {backoff, clock, directory, invariants, ledger, logger, metrics, registry} = this.context;
		const {submission} = active.pending;
		const {availabilityZone, name} = active.endpoint;
		const {reservationId} = active.reservation;
		invariants.check('G3', ledger.isStarted(reservationId), () => `${submission.requestId} is written although reservation ${reservationId} has not started`);
		invariants.check('G4', directory.mayReceiveWork(name), () => `${submission.requestId} is written to ${name}, which may not get new work`);
		active.writtenAt = clock.now();
		if (!active.pending.isRetry) {
			registry.transition(submission.requestId, 'dispatching');
		}

		backoff.recordReached(name);
		metrics.observeQueueTime(submission, active.writtenAt - submission.receivedAt);
		logger.info({
			requestId: submission.requestId,
			tier: submission.tier,
			workspace: submission.workspace,
			endpoint: name,
			availabilityZone,
		}, 'request-dispatched');
	}

	#onFirstByte(active: ActiveDispatch): void {
		const {clock, metrics} = this.context;
		active.firstByteAt = clock.now();
		active.lastTokenAt = active.firstByteAt;
		metrics.observeTimeToFirstToken(active.pending.submission, active.firstByteAt - active.pending.submission.receivedAt);
	}

	#onTokens(active: ActiveDispatch, tokens: number): void {
		const now = this.context.clock.now();
		if (active.lastTokenAt !== undefined && tokens > 0 && active.pending.submission.http.wantsStream) {
			this.context.metrics.observeTimeBetweenTokens(active.pending.submission, (now - active.lastTokenAt) / tokens);
		}

		active.lastTokenAt = now;
		active.outputTokens += tokens;
	}

	#handleCompleted(active: ActiveDispatch, promptTokensCached: number | undefined): void {
		const {clock, metrics, pending, logger} = this.context;
		const {submission} = active.pending;
		const durationMs = clock.now() - submission.receivedAt;
		pending.delete(submission.requestId);
		metrics.countRequest(submission.tier, 'completed');
		metrics.observeResponseTime(submission, durationMs);
		this.#updateEstimates(active, promptTokensCached);
		logger.info({
			requestId: submission.requestId,
			tier: submission.tier,
			workspace: submission.workspace,
			endpoint: active.endpoint.name,
			availabilityZone: active.endpoint.availabilityZone,
			milliseconds: Math.round(durationMs),
			outputTokens: active.outputTokens,
			promptTokens: submission.promptTokens,
			expectedUncachedTokens: Math.round(active.uncachedPromptTokens),
			promptTokensCached,
		}, 'request-completed');
	}

	/** Updates the estimates of the endpoint's speed and phase. A response without a stream arrives only after its last token, so its time to the first token is estimated. */
	#updateEstimates(active: ActiveDispatch, promptTokensCached: number | undefined): void {
		const {clock, pauses, speedEstimator} = this.context;
		const {submission} = active.pending;
		const {name} = active.endpoint;
		if (active.writtenAt === undefined) {
			return;
		}

		const now = clock.now();
		const firstByteAt = active.firstByteAt ?? now;
		const firstTokenMs = firstByteAt - active.writtenAt;
		let tokenIndependentMs = firstTokenMs;
		// The entry reads a first token late when it was paused itself.
		let uncertaintyMs = pauses.pausedMs(active.writtenAt, firstByteAt, now);
		if (submission.kind === requestKinds.engine) {
			const {millisecondsPerPromptToken, millisecondsPerOutputToken} = speedEstimator.speed(name);
			const uncachedPromptTokens = promptTokensCached === undefined
				? active.uncachedPromptTokens
				: Math.max(submission.promptTokens - promptTokensCached, 0);
			tokenIndependentMs -= uncachedPromptTokens * millisecondsPerPromptToken;
			if (submission.http.wantsStream) {
				speedEstimator.observe(name, {
					uncachedPromptTokens, firstTokenMs, outputTokens: active.outputTokens, decodeMs: now - firstByteAt,
				});
			} else {
				const decodeMs = active.outputTokens * millisecondsPerOutputToken;
				tokenIndependentMs -= decodeMs;
				uncertaintyMs += decodeUncertainty * decodeMs;
			}
		}

		const evidence = {requestId: submission.requestId, isStream: submission.http.wantsStream};
		this.phaseReports.observeResponse(name, Math.max(tokenIndependentMs, 1), {writtenAt: active.writtenAt, uncertaintyMs}, evidence);
		this.#observeLatencies(active, firstByteAt, now);
	}

	#observeLatencies(active: ActiveDispatch, firstByteAt: Milliseconds, now: Milliseconds): void {
		const {slowDetector} = this.context;
		const {submission} = active.pending;
		const {name} = active.endpoint;
		slowDetector.observeTier(submission.tier, 'answer', now - submission.receivedAt);
		if (submission.kind === requestKinds.engine && !submission.http.wantsStream) {
			return;
		}

		slowDetector.observeEndpoint(name, 'first-token', firstByteAt - active.writtenAt!);
		slowDetector.observeTier(submission.tier, 'first-token', firstByteAt - submission.receivedAt);
		if (active.outputTokens > 1) {
			slowDetector.observeEndpoint(name, 'between-tokens', (now - firstByteAt) / (active.outputTokens - 1));
		}
	}

	#handleFailed(active: ActiveDispatch, failure: Failure): void {
		const {metrics, pending, registry, logger} = this.context;
		const {submission} = active.pending;
		pending.delete(submission.requestId);
		registry.createSink(submission.requestId).fail(failure);
		metrics.countRequest(submission.tier, failure.type === 'cancelled' ? 'cancelled' : 'failed');
		metrics.countRefusal(failure.type);
		logger.warn({
			requestId: submission.requestId,
			tier: submission.tier,
			workspace: submission.workspace,
			endpoint: active.endpoint.name,
			availabilityZone: active.endpoint.availabilityZone,
			type: failure.type,
			outcome: failure.outcome,
			detail: failure.detail,
		}, 'request-failed');
	}

	/** No byte reached the endpoint, so the request may be dispatched to another one. */
	#handleNotSent(active: ActiveDispatch, reason: Extract<DispatchResult, {kind: 'not-sent'}>['reason']): void {
		const {backoff, logger} = this.context;
		const {submission} = active.pending;
		logger.info({requestId: submission.requestId, endpoint: active.endpoint.name, reason}, 'request-not-sent');
		if (this.#isStopping) {
			this.admission.refuse(submission, 'shutting-down', 'the entry instance stopped before the request was dispatched');
			return;
		}

		if (reason === 'aborted') {
			this.admission.refuse(submission, 'cancelled', 'the caller disconnected before the request was dispatched');
			return;
		}

		if (reason === 'unreachable') {
			active.pending.unreachableAttempts++;
			backoff.recordUnreachable(active.endpoint.name);
		}

		if (active.pending.unreachableAttempts >= maximumConnectAttempts) {
			this.admission.refuse(submission, 'endpoint-unreachable', `${maximumConnectAttempts} attempts to connect failed`);
			return;
		}

		this.admission.returnToQueue(active.pending);
	}

	/** Only an idempotent request whose response has not started may be written again, within the retry budget. */
	#mayRetry({pending: {submission}, firstByteAt}: ActiveDispatch, symptom: EndpointSymptom): boolean {
		const {clock, registry, retryBudget} = this.context;
		return submission.isIdempotent
			&& !this.#isStopping
			&& symptom === 'reset'
			&& firstByteAt === undefined
			&& registry.findRecord(submission.requestId)?.state === 'dispatching'
			&& clock.now() < submission.queueDeadlineAt
			&& retryBudget.tryTake();
	}

	#retry({pending, endpoint}: ActiveDispatch): void {
		const {logger, metrics} = this.context;
		const {requestId, service} = pending.submission;
		pending.isRetry = true;
		metrics.countRetry(service);
		logger.info({requestId, endpoint: endpoint.name}, 'request-retried');
		this.admission.returnToQueue(pending);
	}
}

/** Returns the failure of a request that was under way at the deadline of a shutdown: its caller has not cancelled it. */
function failureOfStop(failure: Failure): Failure {
	return failure.type === 'cancelled'
		? createFailure('outcome-unknown', 'the entry instance stopped while the request was under way', {requestId: failure.requestId, outcome: failure.outcome})
		: failure;
}

/** Whether the endpoint may still be processing a request whose end this entry has not seen. A cancelled request stops at an engine, but may continue at a plain service. */
function mayStillRun({pending}: ActiveDispatch, result: DispatchResult): boolean {
	if (result.kind !== 'failed' || result.symptom === 'server-error') {
		return false;
	}

	return result.symptom !== 'none' || pending.submission.kind === requestKinds.plain;
}
