import {configurationSchema} from '../../shared/configuration/index.js';
import {EndpointPhases} from '../limits/endpoint-phases.js';
import {UnitLedger} from '../limits/unit-ledger.js';
import {SlowDetector} from '../observability/slow-detector.js';
import {TierQueue} from '../queue/tier-queue.js';
import {
	EndpointBackoff, EndpointSpeedEstimator, PrefixIndex, Router,
} from '../routing/index.js';
import type {SchedulerContext} from './context.js';
import {PeerReports} from './peer-reports.js';
import {ProcessPauses} from './process-pauses.js';
import {RetryBudget} from './retry-budget.js';
import {ServiceDirectory} from './service-directory.js';

/** Dependencies and identity that the caller provides. */
export type SchedulerPorts = Pick<
	SchedulerContext,
	'slot' | 'region' | 'clock' | 'logger' | 'invariants' | 'mailbox' | 'peers' | 'registry' | 'metrics' | 'audit' | 'dispatchers' | 'configuration'
> & {
	readonly incarnation: string;
	/** Capacity of the queue until the first configuration is adopted. Default: that of the default policy. */
	readonly queuePlaces?: number;
};

/** Creates the state of one scheduler. */
export function createSchedulerContext({incarnation, queuePlaces, ...ports}: SchedulerPorts): SchedulerContext {
	const {clock, invariants, region, slot} = ports;
	const ledger = UnitLedger.create({
		slot, clock, invariants, incarnation,
	});
	const peerReports = PeerReports.create(clock);
	const speedEstimator = EndpointSpeedEstimator.create(clock);
	const prefixIndex = PrefixIndex.create({clock});
	const {queuePlaces: defaultCapacity} = configurationSchema.shape.policy.parse({});
	return {
		...ports,
		peerReports,
		queue: TierQueue.create({clock, invariants, capacity: queuePlaces ?? defaultCapacity}),
		ledger,
		phases: EndpointPhases.create({slot, clock, isPhaseCoordinator: endpoint => peerReports.phaseCoordinatorOf(ledger.owners(endpoint), slot) === slot}),
		router: Router.create({speedEstimator, prefixIndex}),
		speedEstimator,
		prefixIndex,
		backoff: EndpointBackoff.create(clock),
		retryBudget: RetryBudget.create(),
		pauses: ProcessPauses.create(),
		directory: ServiceDirectory.create(region),
		slowDetector: SlowDetector.create({clock}),
		pending: new Map(),
	};
}
