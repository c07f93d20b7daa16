import type {Clock, Milliseconds} from '../../shared/clock.js';
import type {GatewayFailure, GatewayFailureType} from '../callers/failures.js';
import type {CallerRequestMetadata} from '../callers/types.js';
import type {RetryBudgets} from '../limits/retry-budgets.js';
import type {EventLog} from '../observability/event-log.js';
import type {Protocol} from '../protocol.js';
import type {AttemptOutcome} from '../scheduling/endpoint-load.js';
import type {ServiceScheduler} from '../scheduling/service-scheduler.js';
import type {EndpointRecord, Route} from '../site/types.js';
import type {EndpointConnection} from './endpoint-connection-pool.js';

/** Where the answer goes. */
export type CallerResponse = {
	/** @param isFramed false when the answer is to end with its connection, as the endpoint's did */
	writeHead(status: number, headers: Record<string, string | string[]>, isFramed: boolean): void;
	write(chunk: Uint8Array): void;
	end(chunk?: Uint8Array): void;
	/** Ends the connection so that the answer does not look complete. */
	destroy(): void;
	fail(failure: GatewayFailure): void;
};

/** A caller's request that was admitted. */
export type ForwardRequest = {
	readonly metadata: CallerRequestMetadata & {readonly requestId: string};
	readonly method: string;
	/** Path and query. */
	readonly path: string;
	/** Name and value by turns, as the caller sent them. */
	readonly rawHeaders: readonly string[];
	readonly body?: Uint8Array;
	readonly route: Route;
	readonly service: string;
	readonly tier: number;
	readonly workspace?: string;
	readonly arrivedAt: Milliseconds;
	readonly configurationVersion: number;
};

/** How a request ended. */
export type ForwardResult = {
	readonly outcome: 'answered' | 'cut' | 'caller-left' | GatewayFailureType;
	readonly status?: number;
	/** Whether an endpoint may have run it. */
	readonly mayHaveRun: boolean;
	/** Time from its arrival to the response or first event. */
	readonly firstResponseMs?: Milliseconds;
};

/** What forwarding needs of the rest of the process. */
export type ForwardContext = {
	readonly clock: Clock;
	readonly log: EventLog;
	readonly protocol: Protocol;
	readonly scheduler: ServiceScheduler;
	readonly retryBudgets: RetryBudgets;
	/** Instances that share the budget of repeats, this one among them. */
	readonly memberCount: () => number;
	/** Age of the reading that confirmed the configuration and the endpoints. */
	readonly confirmedAgeMs: () => Milliseconds | undefined;
	readonly findEndpoint: (id: string) => EndpointRecord | undefined;
	readonly acquireConnection: (endpoint: EndpointRecord, isRepeatable: boolean) => EndpointConnection;
	/** Whether a request that arrived then may still be sent to the endpoint. */
	readonly maySend: (arrivedAt: Milliseconds, endpoint: EndpointRecord) => boolean;
	readonly onAttemptEnd: (outcome: AttemptOutcome) => void;
	readonly onEnd: (result: ForwardResult) => void;
};
