import type {Clock, Milliseconds} from '../../shared/clock.js';
import type {MemoryBudget} from '../../shared/memory-budget.js';
import type {GatewayFailure, GatewayFailureType} from '../callers/failures.js';
import type {CallerRequestMetadata} from '../callers/types.js';
import type {RetryBudgets} from '../limits/retry-budgets.js';
import type {EventLog} from '../observability/event-log.js';
import type {EndpointStatement, Protocol} from '../protocol.js';
import type {CrashContainment} from '../quarantine/crash-containment.js';
import type {AttemptOutcome} from '../scheduling/endpoint-load.js';
import type {ExtraAttempts, WithheldReason} from '../scheduling/extra-attempts.js';
import type {SchedulingFeatures} from '../scheduling/scheduling-features.js';
import type {ServiceScheduler} from '../scheduling/service-scheduler.js';
import type {EndpointRecord, Route} from '../site/types.js';
import type {LimitStatement} from '../statements/types.js';
import type {EndpointConnection} from './endpoint-connection-pool.js';

/** The response to the caller. */
export type CallerResponse = {
	/** A body without a length is sent in chunks, so that it doesn't look complete when this process dies. */
	writeHead(status: number, headers: Record<string, string | string[]>): void;
	write(chunk: Uint8Array): void;
	end(chunk?: Uint8Array): void;
	/** Closes the connection so that the response does not look complete. */
	destroy(): void;
	fail(failure: GatewayFailure): void;
};

/** What keeps a request from being written, as of the step that writes it. */
export const writeObstacles = {
	/** The attempt was given up. */
	abandoned: 'abandoned',
	/** The caller waits no longer, whether or not its disconnect has been read. */
	callerTimeOver: 'caller-time-over',
	/** The caller may have left: what has arrived was not read for too long. */
	unread: 'unread',
	/** The endpoint gets no requests of this instance any more. */
	endpoint: 'endpoint',
	/** What is known of the site is too old. */
	stale: 'stale',
} as const;

export type WriteObstacle = (typeof writeObstacles)[keyof typeof writeObstacles];

/** What becomes of extra attempts, for metrics and logs. */
export const extraAttemptOutcomes = {
	begun: 'begun',
	/** Its response was passed on, and the slow attempt was cancelled. */
	won: 'won',
	/** The slow attempt responded first. */
	lost: 'lost',
	/** It ended without a response that could be passed on. */
	failed: 'failed',
	/** The request ended while both attempts were under way. */
	abandoned: 'abandoned',
} as const;

export type ExtraAttemptOutcome = (typeof extraAttemptOutcomes)[keyof typeof extraAttemptOutcomes];

/** An admitted request of a caller. */
export type ForwardRequest = {
	readonly metadata: CallerRequestMetadata & {readonly requestId: string};
	readonly method: string;
	/** Path and query. */
	readonly path: string;
	/** Names and values alternate, as the caller sent them. */
	readonly rawHeaders: readonly string[];
	readonly body?: Uint8Array;
	readonly route: Route;
	readonly service: string;
	readonly tier: number;
	readonly workspace?: string;
	/** Quota per second of the workspace, if it has one. */
	readonly workspaceWeight?: number;
	readonly arrivedAt: Milliseconds;
	/** Since when the caller may have been waiting: earlier than the arrival when the request was read late. */
	readonly waitingSince: Milliseconds;
	readonly configurationVersion: number;
	/** Keys of the prompt parts that other requests may have too. */
	readonly promptParts: readonly string[];
};

/** How a request ended. */
export type ForwardResult = {
	readonly outcome: 'answered' | 'cut' | 'caller-left' | GatewayFailureType;
	readonly status?: number;
	/** Whether an endpoint may have run the request. */
	readonly mayHaveRun: boolean;
	/** Time from the arrival of the request to its response or first event. */
	readonly firstResponseMs?: Milliseconds;
	/** Time from the dispatch of the current attempt until its caller disconnected. */
	readonly disconnectedAfterMs?: Milliseconds;
};

/** Dependencies of `ForwardTask`. */
export type ForwardContext = {
	readonly clock: Clock;
	readonly log: EventLog;
	readonly protocol: Protocol;
	/** What the responses to all requests may hold. */
	readonly responseMemory: MemoryBudget;
	readonly scheduler: ServiceScheduler;
	/** The optional parts of the scheduling that act now. */
	readonly features: () => SchedulingFeatures;
	readonly retryBudgets: RetryBudgets;
	readonly extraAttempts: ExtraAttempts;
	/** Number of instances that the extra part of the retry budget is divided among, including this one. */
	readonly sharingCount: () => number;
	/** Age of the store read that confirmed the configuration and the endpoints. */
	readonly confirmedAgeMs: () => Milliseconds | undefined;
	/** Longest time for which a caller's disconnect may have been unread. */
	readonly unreadMs: () => Milliseconds;
	/** Calls back once the disconnects that have arrived are read. */
	readonly afterReading: (callback: () => void) => void;
	/** The requests a second that an endpoint takes from all instances together, if it limits them. */
	readonly findLimit: (endpoint: EndpointRecord) => LimitStatement | undefined;
	readonly findEndpoint: (id: string) => EndpointRecord | undefined;
	/** Returns a connection that has not carried a request with this id. */
	readonly acquireConnection: (endpoint: EndpointRecord, requestId: string, isRetryable: boolean) => EndpointConnection;
	/** Returns what keeps any request from being written to the endpoint now. */
	readonly findObstacle: (endpoint: EndpointRecord) => WriteObstacle | undefined;
	/** @param completedSentAt when the request was sent, if the response is a success */
	readonly recordStatement: (endpoint: EndpointRecord, statement: EndpointStatement, completedSentAt?: Milliseconds) => void;
	readonly containment: Pick<CrashContainment, 'withholdAdmitted' | 'recordBroken' | 'recordAbandoned' | 'recordShortResponse' | 'recordSurvival'>;
	/** Called when a response does not belong to the request that was due, or is not the endpoint's own. */
	readonly onForeignAnswer: () => void;
	/** Called when an attempt begins. */
	readonly onDispatch: () => void;
	readonly onAttemptEnd: (outcome: AttemptOutcome) => void;
	/** @param savedMs estimated time by which the response came earlier, if it won */
	readonly onExtraAttempt: (outcome: ExtraAttemptOutcome, savedMs?: Milliseconds) => void;
	/** Called when an extra attempt is due and not made, once for each reason in a row. */
	readonly onExtraAttemptWithheld: (reason: WithheldReason) => void;
	/** Called when the request was neither waiting nor in an attempt, or both. */
	readonly onInvalidState: () => void;
	readonly onEnd: (result: ForwardResult) => void;
};
