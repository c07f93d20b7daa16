import type {Milliseconds} from '../../shared/clock.js';
import {describeError, toError} from '../../shared/describe-error.js';
import type {Explanation} from '../../shared/explanation.js';
import {memoryRetryAfterMs, type GatewayFailure} from '../callers/failures.js';
import {attemptOutcomes, isNotRun, type AttemptOutcome} from '../scheduling/endpoint-load.js';
import {maximumWaitMs, streamTimeoutMs} from '../scheduling/maximum-wait.js';
import {refusalReasons, type Refusal, type WaitingRequest} from '../scheduling/types.js';
import {requestKinds, type EndpointRecord, type Route} from '../site/types.js';
import {Attempt, responseKinds} from './attempt.js';
import {CrashObservations} from './crash-observations.js';
import {
	Exchange, isUnsent, type ExchangeEnd, type ResponseHead,
} from './exchange.js';
import {ExtraAttempt} from './extra-attempt.js';
import {StreamMove} from './stream-move.js';
import {
	extraAttemptOutcomes, writeObstacles, type CallerResponse, type ForwardContext, type ForwardRequest, type ForwardResult, type WriteObstacle,
} from './types.js';

/** Fraction of the callers' patience after which a started stream without events is continued at another endpoint. An engine that processes a long prompt pauses for up to about 1,000 ms of at least 2,000 ms. */
const stallTimeoutRatio = 0.7;

/** Fraction of the callers' patience within which an endpoint must have sent something to get a stalled stream of another one. */
const answeredRatio = 0.35;

/** Bytes on a connection after which its endpoint counts as broken: twice the largest body, because chunks and headers need some, too. */
const maximumReceivedBytes = 8_388_608;

/** Time past the deadline of a request after which the gateway ends it; the endpoint knows the same deadline and is given time to respond first. */
const deadlineMarginMs: Milliseconds = 120;

/** Age of what has been read above which a write is put off, once. Half a second after a disconnect has arrived, nothing may reach an endpoint. */
const maximumUnreadMs: Milliseconds = 350;

/** Time after which a caller may retry whose request was not sent because the site state had become too old. */
const staleRetryAfterMs: Milliseconds = 300;

/** Parts of a prompt that a log line names. */
const maximumLoggedParts = 8;

/** Forwards one request of a caller: queues it, sends it to an endpoint, retries it at others, and relays the response. */
export class ForwardTask {
	static create(request: ForwardRequest, response: CallerResponse, context: ForwardContext): ForwardTask {
		return new ForwardTask(request, response, context);
	}

	readonly #deadlineAt: Milliseconds;
	#waitingRequest: WaitingRequest;
	/** Endpoints at which an attempt did not complete; they are not tried again. */
	readonly #excluded = new Set<string>();
	/** Ids of endpoints that may have run the request. */
	readonly #possiblyRunBy = new Set<string>();
	/** Attempts under way: one, or two while an extra one runs beside a slow one. */
	readonly #attempts = new Set<Attempt>();
	readonly #extraAttempt: ExtraAttempt;
	readonly #streamMove: StreamMove;
	readonly #crashObservations: CrashObservations;
	#sendCount = 0;
	#isHeadSent = false;
	#firstResponseMs: Milliseconds | undefined;
	#lastEventId: string | undefined;
	/** When the last event of a stream was forwarded. */
	#lastEventAt: Milliseconds = -Infinity;
	#isEnded = false;
	/** Whether a write was put off until what had arrived was read. */
	#wasPutOff = false;

	private constructor(private readonly request: ForwardRequest, private readonly response: CallerResponse, private readonly context: ForwardContext) {
		const {metadata, route, arrivedAt, waitingSince} = request;
		this.#deadlineAt = waitingSince + Math.min(metadata.remainingMs ?? Infinity, route.timeoutMs);
		this.#lastEventId = metadata.lastEventId;
		this.#waitingRequest = this.#createWaitingRequest(waitingSince, arrivedAt + route.targetLatencyMs);
		this.#streamMove = StreamMove.create({
			scheduler: context.scheduler,
			continueAt: (endpointId, inFlight) => this.#continueStalled(endpointId, inFlight),
		});
		this.#extraAttempt = ExtraAttempt.create(request, context);
		this.#crashObservations = CrashObservations.create({
			promptParts: request.promptParts, containment: context.containment, findEndpoint: id => context.findEndpoint(id),
		});
	}

	get requestId(): string {
		return this.request.metadata.requestId;
	}

	get route(): Route {
		return this.request.route;
	}

	/** Whether the request was dispatched to an endpoint and that attempt has not ended. */
	get isInFlight(): boolean {
		return this.#attempts.size > 0;
	}

	/** The attempt that began first of those under way. */
	get #firstAttempt(): Attempt | undefined {
		const [attempt] = this.#attempts;
		return attempt;
	}

	/** Tells where the request is, or would go now and why. */
	explain(): Explanation {
		const {request: {route, service, tier, workspace}, context: {scheduler}} = this;
		return {
			requestId: this.requestId,
			route: route.name,
			kind: route.kind,
			workspace,
			tier,
			services: [{
				service,
				share: 1,
				inFlightAt: Array.from(this.#attempts, ({endpointId}) => endpointId),
				placement: this.isInFlight ? undefined : scheduler.explain(this.#waitingRequest),
			}],
		};
	}

	start(): void {
		this.context.retryBudgets.recordRequest(this.request.service, this.request.arrivedAt);
		this.#extraAttempt.recordArrival();
		try {
			this.context.scheduler.submit(this.#waitingRequest);
		} catch (error) {
			this.#failUnexpectedly(error);
		}
	}

	/** Ends the request after its deadline, an attempt whose stream has stalled, and a request that has no state in which it would be answered. Records that an endpoint has survived the request. Called periodically. */
	enforceTimeouts(now: Milliseconds): void {
		if (!this.#isEnded) {
			this.#repairState();
		}

		if (this.#isEnded) {
			return;
		}

		if (!this.isInFlight) {
			if (now >= this.#deadlineAt && this.context.scheduler.withdraw(this.#waitingRequest)) {
				this.#refuse({reason: refusalReasons.waitedTooLong, retryAfterMs: 0, waiting: this.context.scheduler.waiting});
			}

			return;
		}

		// Survivals are judged only here, because a busy process reads the data and the break of a connection late.
		for (const attempt of this.#attempts) {
			this.#crashObservations.recordSurvival(attempt, now);
		}

		if (now >= this.#deadlineAt + deadlineMarginMs) {
			this.#endAtDeadline(now);
			return;
		}

		for (const attempt of this.#attempts) {
			if ((attempt.exchange?.receivedBytes ?? 0) > maximumReceivedBytes) {
				attempt.exchange?.cancel(new Error(`the endpoint sent more than ${maximumReceivedBytes} bytes`));
				return;
			}
		}

		const attempt = this.#firstAttempt!;
		if (this.#isStalled(attempt, now)) {
			this.#requestMove(attempt, now);
		} else {
			this.#streamMove.withdraw();
			this.#considerExtraAttempt(attempt, now);
		}
	}

	/** Records the endpoints that are late with the response, so that no extra attempt of another request goes there. Called before the timeouts of all requests are enforced. */
	recordPendingResponses(now: Milliseconds): void {
		if (!this.#isHeadSent) {
			this.#extraAttempt.recordPending(this.#attempts, now);
		}
	}

	/** Ends the request if its prompt has parts that crash endpoints, unless an endpoint is sending a response that has begun. */
	withholdIfQuarantined(): void {
		if (this.#isEnded || (this.#isHeadSent && this.isInFlight)) {
			return;
		}

		const retryAfterMs = this.context.containment.withholdAdmitted(this.request.promptParts);
		if (retryAfterMs === undefined) {
			return;
		}

		this.#abandon(new Error('the prompt has a part that crashes endpoints'));
		this.#failWithheld(retryAfterMs);
	}

	/** Cancels the request, so that the endpoint stops working for a caller that has disconnected. */
	handleCallerDisconnect(): void {
		if (this.#isEnded) {
			return;
		}

		const sentAt = this.#firstAttempt?.sentAt;
		this.#abandon(new Error('the caller has disconnected'));
		this.#end({
			outcome: 'caller-left',
			mayHaveRun: this.#possiblyRunBy.size > 0,
			disconnectedAfterMs: sentAt === undefined ? undefined : this.context.clock.now() - sentAt,
		});
	}

	/** Refuses a request that waits and was not sent, because others need its memory. */
	refuseForMemory(): void {
		if (this.#isEnded || this.isInFlight || this.#possiblyRunBy.size > 0) {
			return;
		}

		this.context.scheduler.withdraw(this.#waitingRequest);
		this.#fail({type: 'memoryExhausted', retryAfterMs: memoryRetryAfterMs});
	}

	/** Answers the request because the process ends. */
	endForStop(): void {
		if (this.#isEnded) {
			return;
		}

		this.#abandon(new Error('the process ends'));
		this.#fail(this.#possiblyRunBy.size === 0 ? {type: 'stopping', retryAfterMs: 0} : {type: 'endedByStop'});
	}

	/** Ends the wait for an endpoint, or the attempts. */
	#abandon(reason: Error): void {
		this.context.scheduler.withdraw(this.#waitingRequest);
		for (const attempt of this.#takeAttempts()) {
			attempt.exchange?.cancel(reason);
			this.#recordAbandoned(attempt);
			this.#extraAttempt.recordUnfinished(attempt);
			this.context.scheduler.recordOutcome(attempt.endpointId, attemptOutcomes.cancelled, {startedAt: attempt.endpointStartedAt, run: attempt});
		}

		this.#extraAttempt.end(extraAttemptOutcomes.abandoned);
	}

	#endAtDeadline(now: Milliseconds): void {
		for (const attempt of this.#takeAttempts()) {
			this.context.scheduler.recordOutcome(attempt.endpointId, attempt.head === undefined ? attemptOutcomes.silent : attemptOutcomes.cancelled, {startedAt: attempt.endpointStartedAt, run: attempt});
			attempt.exchange?.cancel(new Error('the deadline of the request has passed'));
			this.#recordAbandoned(attempt);
			this.#extraAttempt.recordUnfinished(attempt);
		}

		this.#extraAttempt.end(extraAttemptOutcomes.abandoned);
		this.#fail(this.#possiblyRunBy.size === 0 ? {type: 'waitedTooLong', retryAfterMs: 0} : {type: 'timedOut'});
	}

	/** Returns the attempts under way, which are then no longer those of this request: how they end changes nothing. */
	#takeAttempts(): Attempt[] {
		const attempts = [...this.#attempts];
		this.#attempts.clear();
		return attempts;
	}

	/** Begins a second attempt at another endpoint if the response is late enough for it. */
	#considerExtraAttempt(attempt: Attempt, now: Milliseconds): void {
		if (this.#attempts.size > 1 || this.#isHeadSent) {
			return;
		}

		const slot = this.#extraAttempt.takeSlot(attempt, {
			waitingRequest: this.#waitingRequest, possiblyRunBy: this.#possiblyRunBy, callerLeavesAt: this.#callerLeavesAt,
		}, now);
		if (slot !== undefined) {
			this.#begin(slot.endpointId, slot.inFlight, true);
		}
	}

	/** Ends the other attempt when a response is passed on. Its slot counts as used until its connection is closed, because the endpoint goes on until then. */
	#cancelOthers(winner: Attempt): void {
		for (const attempt of this.#attempts) {
			if (attempt === winner) {
				continue;
			}

			this.#attempts.delete(attempt);
			// Its endpoint may have the request, so it counts among those that were tried.
			this.#excluded.add(attempt.endpointId);
			attempt.exchange?.cancel(new Error('another endpoint has responded'));
			this.#recordAbandoned(attempt);
			this.#extraAttempt.recordUnfinished(attempt);
			const recordOutcome = () => {
				this.context.scheduler.recordOutcome(attempt.endpointId, attemptOutcomes.cancelled, {startedAt: attempt.endpointStartedAt, run: attempt});
			};

			if (attempt.exchange === undefined) {
				recordOutcome();
			} else {
				attempt.exchange.whenClosed(recordOutcome);
			}
		}

		this.#extraAttempt.end(winner.isExtra ? extraAttemptOutcomes.won : extraAttemptOutcomes.lost);
	}

	/** An open request either waits or is in an attempt. One that did neither would never be answered; one that did both could run twice. */
	#repairState(): void {
		const isWaiting = this.context.scheduler.isWaiting(this.#waitingRequest);
		if (isWaiting !== this.isInFlight) {
			return;
		}

		this.#recordInvalidState(isWaiting);
		if (isWaiting) {
			this.context.scheduler.withdraw(this.#waitingRequest);
		} else {
			this.#fail(this.#possiblyRunBy.size === 0 ? {type: 'notRun', retryAfterMs: 0} : {type: 'endpointFailed'});
		}
	}

	#recordInvalidState(isWaiting: boolean): void {
		this.context.log.event('request-state-invalid', {
			requestId: this.requestId, isWaiting, isInFlight: this.isInFlight, isEnded: this.#isEnded,
		});
		this.context.onInvalidState();
	}

	#isStalled(attempt: Attempt, now: Milliseconds): boolean {
		const {route} = this.request;
		return route.isResumable && attempt.eventCount > 0 && now - attempt.lastProgressAt > stallTimeoutRatio * streamTimeoutMs(route);
	}

	/** Looks for another endpoint that answers for a stalled stream. The attempt goes on until one has a free slot. */
	#requestMove(attempt: Attempt, now: Milliseconds): void {
		const {context, request: {route, service}} = this;
		const waiting = this.#createWaitingRequest(this.#lastEventAt, this.#lastEventAt + route.eventGapTargetMs);
		if (!this.#streamMove.isWaiting && now <= waiting.latestDispatchAt && this.#mayRetry(attempt, now) && context.retryBudgets.canTake(service, context.sharingCount(), now)) {
			this.#streamMove.wait({
				...waiting,
				excluded: new Set([...this.#excluded, attempt.endpointId]),
				answeredSince: now - (answeredRatio * streamTimeoutMs(route)),
			});
		}
	}

	/** Continues a stalled stream at another endpoint. Returns false if it stays where it is. */
	#continueStalled(endpointId: string, inFlight: number): boolean {
		const {clock, containment} = this.context;
		const now = clock.now();
		const attempt = this.#firstAttempt;
		if (attempt === undefined || !this.#isStalled(attempt, now) || containment.withholdAdmitted(this.request.promptParts) !== undefined || !this.#takeRetryBudget(now)) {
			return false;
		}

		attempt.cancelAsStalled(now - attempt.lastProgressAt);
		if (this.#isEnded) {
			return false;
		}

		this.#dispatch(endpointId, inFlight);
		return true;
	}

	/**
	@param waitStartedAt start of the caller's current wait: for the request, or since the last event of a started stream
	*/
	#createWaitingRequest(waitStartedAt: Milliseconds, targetAt: Milliseconds): WaitingRequest {
		const {metadata, route, tier, workspace, workspaceWeight} = this.request;
		const remainingMs = this.#deadlineAt - waitStartedAt;
		// A started stream is not ended before its caller leaves it.
		const waitMs = this.#isHeadSent ? Math.min(streamTimeoutMs(route), remainingMs) : maximumWaitMs(route, remainingMs);
		return {
			tier,
			targetAt,
			latestDispatchAt: waitStartedAt + waitMs,
			deadlineAt: this.#deadlineAt,
			promptTokens: metadata.tokens?.prompt ?? 0,
			workspace,
			workspaceWeight,
			expectedOutputTokens: metadata.expectedOutputTokens,
			excluded: this.#excluded,
			hasBegun: () => this.#isHeadSent,
			dispatch: (endpointId, inFlight) => {
				this.#dispatch(endpointId, inFlight);
			},
			refuse: refusal => {
				this.#refuse(refusal);
			},
		};
	}

	#isRetryable(): boolean {
		return this.request.route.kind === requestKinds.idempotent || this.request.route.isResumable;
	}

	#dispatch(endpointId: string, inFlight: number): void {
		const {context} = this;
		if (this.#isEnded || this.isInFlight) {
			this.#recordInvalidState(true);
			context.scheduler.recordOutcome(endpointId, attemptOutcomes.cancelled);
			return;
		}

		this.#begin(endpointId, inFlight, false);
	}

	/** Begins an attempt at an endpoint where a slot was taken for it. */
	#begin(endpointId: string, inFlight: number, isExtra: boolean): void {
		const {context, request} = this;
		const now = context.clock.now();
		const endpoint = context.findEndpoint(endpointId);
		const attempt = Attempt.create({
			endpointId,
			endpointStartedAt: endpoint?.startedAt,
			requestId: this.requestId,
			method: request.method,
			route: request.route,
			protocol: context.protocol,
			memory: context.responseMemory,
			sentAt: now,
			promptTokens: this.#waitingRequest.promptTokens,
			loadRatio: inFlight / (endpoint?.slots ?? 1),
			isContinuation: this.#isHeadSent,
			isExtra,
		});
		context.onDispatch();
		this.#attempts.add(attempt);
		if (isExtra) {
			this.#extraAttempt.track(attempt);
		}

		if (endpoint === undefined) {
			this.#onAttemptEnd(attempt, {kind: 'not-sent', error: new Error('the endpoint is no longer registered')});
			return;
		}

		context.scheduler.recordStart(endpointId, attempt, this.#waitingRequest.promptTokens, inFlight / endpoint.slots);
		this.#sendCount++;
		const limit = context.findLimit(endpoint);
		context.log.event('request-dispatched', {
			requestId: this.requestId,
			route: request.route.name,
			tier: request.tier,
			workspace: request.workspace,
			endpoint: endpointId,
			send: this.#sendCount,
			running: inFlight,
			slots: endpoint.slots,
			confirmedAgeMs: context.confirmedAgeMs(),
			unreadMs: Math.round(context.unreadMs()),
			waitedMs: Math.round(now - request.arrivedAt),
			remainingMs: Math.round(this.#deadlineAt - now),
			version: request.configurationVersion,
			promptParts: request.promptParts.length === 0 ? undefined : request.promptParts.slice(0, maximumLoggedParts).join(','),
			afterEvent: this.#lastEventId,
			coldLimit: context.scheduler.findColdLimit(endpointId),
			limitPerSecond: limit?.perSecond,
			limitAgeMs: limit === undefined ? undefined : Math.round(now - limit.heardAt),
			limitHeardBy: limit?.heardBy,
		});
		this.#trySend(attempt, endpoint);
	}

	#trySend(attempt: Attempt, endpoint: EndpointRecord): void {
		try {
			this.#send(attempt, endpoint);
		} catch (error) {
			// Nothing else ends the attempt, and the scheduler goes on with other requests.
			this.#onAttemptEnd(attempt, {kind: this.#possiblyRunBy.has(endpoint.id) ? 'broken' : 'unreachable', error: toError(error)});
		}
	}

	#send(attempt: Attempt, endpoint: EndpointRecord): void {
		const {context, request} = this;
		const headers = context.protocol.encodeEndpointHeaders({
			rawHeaders: request.rawHeaders,
			endpointId: endpoint.id,
			remainingMs: Math.max(1, Math.floor(this.#deadlineAt - context.clock.now())),
			workspace: request.workspace,
			lastEventId: this.#lastEventId,
		});
		attempt.exchange = Exchange.start({
			// Only the exchange releases the connection, so nothing that may fail comes between.
			connection: context.acquireConnection(endpoint, this.requestId, this.#isRetryable()),
			method: request.method,
			path: request.path,
			headers,
			body: request.body,
			maySend: () => {
				attempt.obstacle = this.#findObstacle(attempt, endpoint);
				if (attempt.obstacle !== undefined) {
					return false;
				}

				this.#possiblyRunBy.add(endpoint.id);
				return true;
			},
			onHead: head => {
				this.#onHead(attempt, endpoint, head);
			},
			onData: chunk => {
				this.#onData(attempt, chunk);
			},
			keepsConnection: () => !attempt.isRefused,
			onEnd: end => {
				if (attempt.obstacle === writeObstacles.unread && !attempt.isExtra) {
					this.#putOff(attempt, endpoint);
				} else {
					this.#onAttemptEnd(attempt, end);
					attempt.discardBody();
				}
			},
		});
	}

	/** Decides in the step that writes the request, by what is known then: its dispatch may have been decided a long round of the event loop ago. */
	#findObstacle(attempt: Attempt, endpoint: EndpointRecord): WriteObstacle | undefined {
		const {clock, unreadMs, findObstacle} = this.context;
		if (this.#isEnded || !this.#attempts.has(attempt)) {
			return writeObstacles.abandoned;
		}

		if (clock.now() >= this.#callerLeavesAt) {
			return writeObstacles.callerTimeOver;
		}

		// An extra attempt is given up instead of being put off.
		return (attempt.isExtra || !this.#wasPutOff) && unreadMs() > maximumUnreadMs ? writeObstacles.unread : findObstacle(endpoint);
	}

	/** Writes the request to the same endpoint once the disconnects that have arrived are read. It keeps its slot, and a permit. */
	#putOff(attempt: Attempt, endpoint: EndpointRecord): void {
		const {context} = this;
		this.#wasPutOff = true;
		attempt.obstacle = undefined;
		context.log.event('request-put-off', {requestId: this.requestId, endpoint: attempt.endpointId, unreadMs: Math.round(context.unreadMs())});
		context.afterReading(() => {
			if (this.#attempts.has(attempt)) {
				this.#trySend(attempt, endpoint);
			}
		});
	}

	/** When the caller gives up at the latest. */
	get #callerLeavesAt(): Milliseconds {
		const {route, waitingSince} = this.request;
		if (route.kind !== requestKinds.streaming) {
			return this.#deadlineAt;
		}

		return Math.min(this.#deadlineAt, (this.#isHeadSent ? this.#lastEventAt : waitingSince) + streamTimeoutMs(route));
	}

	#onHead(attempt: Attempt, endpoint: EndpointRecord, head: ResponseHead): void {
		this.context.scheduler.recordHeard(endpoint.id);
		const foreignRequestId = attempt.acceptHead(head, this.context.clock.now());
		if (attempt.statement !== undefined) {
			this.context.recordStatement(endpoint, attempt.statement, attempt.isSuccess ? attempt.sentAt : undefined);
		}

		if (attempt.kind === responseKinds.foreign) {
			this.context.onForeignAnswer();
			this.context.log.event('foreign-answer', {
				requestId: this.requestId, endpoint: attempt.endpointId, answerTo: foreignRequestId, status: head.status, ...attempt.exchange?.position,
			});
			attempt.exchange?.cancel(new Error('the response is not the one that the endpoint sent to this request'));
		} else if (attempt.kind === responseKinds.relay && this.request.route.kind !== requestKinds.streaming) {
			this.#extraAttempt.recordBegun(attempt);
			this.#cancelOthers(attempt);
		}
	}

	#onData(attempt: Attempt, chunk: Uint8Array): void {
		const now = this.context.clock.now();
		const streamChunk = attempt.acceptData(chunk, now);
		if (streamChunk !== undefined) {
			this.context.scheduler.recordHeard(attempt.endpointId, attempt);
			if (attempt.eventCount === 1) {
				this.#extraAttempt.recordBegun(attempt);
				this.#cancelOthers(attempt);
			}

			this.#lastEventId = streamChunk.lastEventId ?? this.#lastEventId;
			this.#lastEventAt = now;
			this.#firstResponseMs ??= now - this.request.arrivedAt;
			this.#sendHead(attempt);
			this.response.write(streamChunk.bytes);
		}
	}

	#recordAbandoned(attempt: Attempt): void {
		if (this.#possiblyRunBy.has(attempt.endpointId)) {
			this.#crashObservations.recordAbandoned(attempt);
		}
	}

	/** Sends the head once; a stream that continues at another endpoint keeps the head of its first response. */
	#sendHead(attempt: Attempt): void {
		if (!this.#isHeadSent) {
			this.response.writeHead(attempt.head!.status, this.context.protocol.encodeCallerHeaders(attempt.head!.headers));
			this.#isHeadSent = true;
		}
	}

	#onAttemptEnd(attempt: Attempt, end: ExchangeEnd): void {
		if (!this.#attempts.delete(attempt)) {
			return;
		}

		this.#streamMove.withdraw();
		const outcome = attempt.outcome(end);
		const recordOutcome = () => {
			this.context.scheduler.recordOutcome(attempt.endpointId, outcome, {
				startedAt: attempt.endpointStartedAt,
				durationMs: attempt.isContinuation ? undefined : this.context.clock.now() - attempt.sentAt,
				eventIntervalMs: attempt.eventIntervalMs,
				firstEvent: attempt.firstEvent,
				run: attempt,
				events: attempt.isContinuation ? undefined : attempt.eventCount,
				expectedOutputTokens: this.request.metadata.expectedOutputTokens,
			});
		};

		if (outcome === attemptOutcomes.unanswered) {
			// The endpoint is paused first, so that the request tries others before it.
			recordOutcome();
		}

		try {
			this.#handleAttemptEnd(attempt, outcome, end);
		} catch (error) {
			// The HTTP client would drop the error, and nothing else ends the request.
			this.#failUnexpectedly(error);
		}

		if (outcome !== attemptOutcomes.unanswered) {
			// The slot is released last, so that this request can be retried before another request takes the slot.
			recordOutcome();
		}
	}

	#handleAttemptEnd(attempt: Attempt, outcome: AttemptOutcome, end: ExchangeEnd): void {
		const now = this.context.clock.now();
		this.context.onAttemptEnd(outcome);
		if (isNotRun(outcome) || isUnsent(end)) {
			this.#possiblyRunBy.delete(attempt.endpointId);
		}

		this.#crashObservations.recordShortResponse(attempt, now, outcome);
		if (outcome === attemptOutcomes.completed) {
			this.#cancelOthers(attempt);
			this.#finish(attempt);
			return;
		}

		this.#recordFailure(attempt, outcome, end, now);
		if (attempt.isExtra) {
			this.#extraAttempt.end(extraAttemptOutcomes.failed);
		}

		// An endpoint that did not answer is paused, so others come first, but it may be sound and go on.
		if (outcome !== attemptOutcomes.unanswered) {
			this.#excluded.add(attempt.endpointId);
		}

		if (this.isInFlight) {
			// The other attempt goes on.
			return;
		}

		if (end.kind === 'invalid') {
			this.#fail({type: this.#possiblyRunBy.size === 0 ? 'malformedRequest' : 'endpointFailed'});
			return;
		}

		if (attempt.obstacle === writeObstacles.stale) {
			this.#fail(this.#possiblyRunBy.size === 0 ? {type: 'stale', retryAfterMs: staleRetryAfterMs} : {type: 'endpointFailed'});
			return;
		}

		if (!attempt.isStalled) {
			this.#retryOrFail(attempt, outcome, end, now);
		}
	}

	#recordFailure(attempt: Attempt, outcome: AttemptOutcome, end: ExchangeEnd, now: Milliseconds): void {
		if (isNotRun(outcome)) {
			this.#extraAttempt.recordRefusal();
		}

		if (outcome === attemptOutcomes.broken) {
			this.#crashObservations.recordBroken(attempt);
		} else if (outcome === attemptOutcomes.foreign) {
			this.#recordAbandoned(attempt);
		}

		this.context.log.event('attempt-failed', {
			requestId: this.requestId,
			endpoint: attempt.endpointId,
			outcome,
			end: end.kind,
			status: attempt.head?.status,
			reason: attempt.obstacle ?? ('error' in end ? end.error.message : undefined),
			afterMs: Math.round(now - attempt.sentAt),
			events: attempt.eventCount,
			...attempt.exchange?.position,
		});
	}

	#finish(attempt: Attempt): void {
		this.#sendHead(attempt);
		this.response.end(attempt.takeRemainingBody());

		this.#firstResponseMs ??= this.context.clock.now() - this.request.arrivedAt;
		this.#end({
			outcome: 'answered', status: attempt.head!.status, mayHaveRun: true, firstResponseMs: this.#firstResponseMs,
		});
	}

	#retryOrFail(attempt: Attempt, outcome: AttemptOutcome, end: ExchangeEnd, now: Milliseconds): void {
		const wasTurnedAway = isNotRun(outcome);
		if (isUnsent(end) || (wasTurnedAway && !this.context.scheduler.accepts(this.#waitingRequest))) {
			// No endpoint received the request, or none will, so this uses no retry budget.
			this.#resubmit();
			return;
		}

		if ((wasTurnedAway || this.#mayRetry(attempt, now)) && this.#takeRetryBudget(now)) {
			this.#resubmit();
		} else if (wasTurnedAway) {
			this.#fail(this.#possiblyRunBy.size === 0 ? {type: 'notRun', retryAfterMs: 500} : {type: 'endpointFailed'});
		} else if (outcome === attemptOutcomes.failed && attempt.mayForward) {
			this.#finish(attempt);
		} else {
			this.#fail({type: 'endpointFailed'});
		}
	}

	#failWithheld(retryAfterMs: Milliseconds): void {
		this.context.log.event('request-withheld', {requestId: this.requestId, mayHaveRun: this.#possiblyRunBy.size > 0, retryAfterMs: Math.round(retryAfterMs)});
		this.#fail(this.#possiblyRunBy.size === 0 ? {type: 'withheld', retryAfterMs} : {type: 'endpointFailed'});
	}

	/** Queues the request again. For a started stream, the wait of the caller counts from its last event. */
	#resubmit(): void {
		const withheldForMs = this.context.containment.withholdAdmitted(this.request.promptParts);
		if (withheldForMs !== undefined) {
			this.#failWithheld(withheldForMs);
			return;
		}

		if (this.#isHeadSent) {
			this.#waitingRequest = this.#createWaitingRequest(this.#lastEventAt, this.#lastEventAt + this.request.route.eventGapTargetMs);
		}

		this.context.scheduler.submit(this.#waitingRequest);
	}

	/** Whether a request that may have run can be sent to another endpoint. */
	#mayRetry(attempt: Attempt, now: Milliseconds): boolean {
		const {route} = this.request;
		return this.#isRetryable() && this.context.scheduler.accepts(this.#waitingRequest) && this.#possiblyRunBy.size < route.maximumEndpoints && now < this.#deadlineAt
			&& (!this.#isHeadSent || (attempt.isResumable && this.#lastEventId !== undefined));
	}

	#takeRetryBudget(now: Milliseconds): boolean {
		return this.context.retryBudgets.tryTake(this.request.service, this.context.sharingCount(), now);
	}

	#refuse({reason, retryAfterMs, expectedWaitMs, waiting}: Refusal): void {
		const failureTypes = {
			[refusalReasons.noEndpoint]: 'noEndpoint',
			[refusalReasons.overloaded]: 'overloaded',
			[refusalReasons.waitedTooLong]: 'waitedTooLong',
			[refusalReasons.stopping]: 'stopping',
		} as const;
		this.#extraAttempt.recordRefusal();
		this.context.log.event('request-not-started', {
			requestId: this.requestId,
			reason,
			tier: this.request.tier,
			workspace: this.request.workspace,
			waiting,
			expectedWaitMs: expectedWaitMs === undefined ? undefined : Math.round(expectedWaitMs),
			retryAfterMs: Math.round(retryAfterMs),
		});
		this.#fail(this.#possiblyRunBy.size === 0 ? {type: failureTypes[reason], retryAfterMs} : {type: 'endpointFailed'});
	}

	#failUnexpectedly(error: unknown): void {
		this.context.log.event('request-error', {requestId: this.requestId, reason: describeError(error)});
		this.#abandon(toError(error));
		this.#fail({type: 'internalError'});
	}

	#fail(failure: GatewayFailure): void {
		if (this.#isEnded) {
			return;
		}

		if (this.#isHeadSent) {
			this.response.destroy();
			this.#end({outcome: 'cut', mayHaveRun: true, firstResponseMs: this.#firstResponseMs});
		} else {
			this.response.fail(failure);
			this.#end({outcome: failure.type, mayHaveRun: this.#possiblyRunBy.size > 0});
		}
	}

	#end(result: ForwardResult): void {
		this.#isEnded = true;
		this.#streamMove.withdraw();
		this.context.onEnd(result);
	}
}
