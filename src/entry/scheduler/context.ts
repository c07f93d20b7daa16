import type {Clock} from '../../shared/clock.js';
import type {Invariants} from '../../shared/invariants.js';
import type {Logger} from '../../shared/log.js';
import type {Mailbox} from '../../shared/message-loop.js';
import type {CurrentConfiguration} from '../configuration/configuration-in-force.js';
import type {DispatchOrder, DispatchResult} from '../dispatch/types.js';
import type {EndpointPhases} from '../limits/endpoint-phases.js';
import type {UnitLedger} from '../limits/unit-ledger.js';
import type {PeerMessage} from '../membership/messages.js';
import type {LeaseView} from '../membership/peer-task.js';
import type {PeerContact} from '../membership/types.js';
import type {AuditTrail} from '../observability/audit-trail.js';
import type {Metrics} from '../observability/metrics.js';
import type {SlowDetector} from '../observability/slow-detector.js';
import type {TierQueue} from '../queue/tier-queue.js';
import type {RequestRegistry} from '../requests/request-registry.js';
import type {RequestKind, Submission} from '../requests/types.js';
import type {
	EndpointBackoff, EndpointSpeedEstimator, PrefixIndex, Router,
} from '../routing/index.js';
import type {SchedulerMessage} from './messages.js';
import type {PeerReports} from './peer-reports.js';
import type {ProcessPauses} from './process-pauses.js';
import type {RetryBudget} from './retry-budget.js';
import type {ServiceDirectory} from './service-directory.js';

/** The interface of the membership module that the scheduler uses. */
export type PeerPort = {
	readonly lease: LeaseView;
	send(slot: string, message: PeerMessage): boolean;
	broadcast(message: PeerMessage): string[];
	contacts(): PeerContact[];
};

/** Whether units of the endpoint that has cached the request's prefix were requested from a peer. */
export const prefixBorrowStates = {
	untried: 'untried',
	/** The peer has not replied yet. */
	asked: 'asked',
	done: 'done',
} as const;

export type PrefixBorrowState = (typeof prefixBorrowStates)[keyof typeof prefixBorrowStates];

/** A request that waits or is being dispatched. */
export type PendingRequest = {
	readonly submission: Submission;
	readonly tierRank: number;
	readonly weight: number;
	/** Dispatches that failed because the endpoint was unreachable. */
	unreachableAttempts: number;
	/** Whether the request has already been written to an endpoint and may be written again, because it is idempotent. */
	isRetry: boolean;
	prefixBorrowState: PrefixBorrowState;
};

export type Dispatcher = (order: DispatchOrder) => Promise<DispatchResult>;

/** State and dependencies that the parts of the scheduler share. Only the scheduler task changes them. */
export type SchedulerContext = {
	readonly slot: string;
	/** Region of this entry; its slots share the units of the region's endpoints. */
	readonly region: string;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly invariants: Invariants;
	readonly mailbox: Mailbox<SchedulerMessage>;
	readonly peers: PeerPort;
	readonly peerReports: PeerReports;
	readonly registry: RequestRegistry;
	readonly queue: TierQueue;
	readonly ledger: UnitLedger;
	readonly phases: EndpointPhases;
	readonly router: Router;
	readonly speedEstimator: EndpointSpeedEstimator;
	readonly prefixIndex: PrefixIndex;
	readonly backoff: EndpointBackoff;
	readonly retryBudget: RetryBudget;
	readonly pauses: ProcessPauses;
	readonly directory: ServiceDirectory;
	readonly metrics: Metrics;
	readonly audit: AuditTrail;
	readonly slowDetector: SlowDetector;
	/** Forwards a request of each kind to its endpoint. */
	readonly dispatchers: Readonly<Record<RequestKind, Dispatcher>>;
	/** Requests that wait or are being dispatched, by id. */
	readonly pending: Map<string, PendingRequest>;
	/** The configuration in force. */
	readonly configuration: () => CurrentConfiguration | undefined;
};
