import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import type {Milliseconds} from '../../shared/clock.js';
import type {SchedulingDecision} from '../scheduling/service-scheduler.js';

/** Bucket bounds in seconds. The latency targets of the known routes are between 0.1 and 0.5. */
const latencyBuckets = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 2, 4, 8, 15];

/** Bucket bounds in seconds. Callers that were gone at the dispatch are in the lowest ones. */
const disconnectBuckets = [0.005, 0.05, 0.5, 2, 8];

/** Bucket bounds for the duration of store reads, in seconds. */
const storeBuckets = [0.002, 0.005, 0.01, 0.05, 0.1, 0.4, 1, 2];

/** Workspaces with a label of their own; further ones share one, so that the number of series stays bounded. */
const maximumWorkspaceLabels = 32;
const otherWorkspaces = 'other';

export type GaugeValues = {
	readonly waiting: Readonly<Record<string, number>>;
	readonly inFlight: number;
	readonly openRequests: number;
	readonly heldConnections: number;
	readonly presentPeers: number;
	readonly sharingInstances: number;
	readonly confirmedAgeMs: Milliseconds;
	readonly endpointConnections: number;
	readonly quarantineEntries: number;
	/** -1 when the store states none. */
	readonly storeEra: number;
	readonly keptRestrictions: number;
	readonly limitedEndpoints: number;
	readonly leavingEndpoints: number;
	readonly slowEndpoints: number;
	readonly endpointsWithRetryTime: number;
	readonly pendingReports: number;
	readonly grantedSlots: number;
	readonly heldSlots: number;
	readonly slotRequestsWaiting: number;
};

/** Counters, gauges and histograms of one gateway process. */
export class GatewayMetrics {
	static create(): GatewayMetrics {
		return new GatewayMetrics();
	}

	readonly #registry = new Registry();
	readonly #requests = new Counter({
		name: 'jackdawfork_requests_total', help: 'Requests of callers by how they ended', labelNames: ['kind', 'outcome'], registers: [this.#registry],
	});

	readonly #firstResponseLatency = new Histogram({
		name: 'jackdawfork_first_response_seconds',
		help: 'Time from the arrival of a request to its response or first event',
		labelNames: ['kind', 'tier'],
		buckets: latencyBuckets,
		registers: [this.#registry],
	});

	readonly #disconnects = new Histogram({
		name: 'jackdawfork_disconnect_after_dispatch_seconds',
		help: 'Time from the dispatch of a request until the disconnect of its caller was read',
		buckets: disconnectBuckets,
		registers: [this.#registry],
	});

	readonly #attempts = new Counter({
		name: 'jackdawfork_endpoint_attempts_total', help: 'Attempts at endpoints by how they ended', labelNames: ['outcome'], registers: [this.#registry],
	});

	readonly #foreignAnswers = new Counter({
		name: 'jackdawfork_foreign_answers_total', help: 'Responses that belong to another request than the one that was due, or are not the endpoint\'s own', registers: [this.#registry],
	});

	readonly #storeReads = new Histogram({
		name: 'jackdawfork_store_read_seconds', help: 'Time of a complete reading of the store', labelNames: ['outcome'], buckets: storeBuckets, registers: [this.#registry],
	});

	readonly #connects = new Counter({
		name: 'jackdawfork_endpoint_connects_total', help: 'Connections opened to endpoints', registers: [this.#registry],
	});

	readonly #crashes = new Counter({
		name: 'jackdawfork_endpoint_crashes_total', help: 'Crashes of endpoints while requests of this instance with prompt parts ran there', registers: [this.#registry],
	});

	readonly #statements = new Counter({
		name: 'jackdawfork_endpoint_statements_total', help: 'Statements of endpoints about themselves in their responses', labelNames: ['kind'], registers: [this.#registry],
	});

	readonly #sentToPeers = new Counter({
		name: 'jackdawfork_sent_to_peers_bytes_total', help: 'Bytes of the datagrams sent to other instances: heartbeats, summaries, reports and permits', registers: [this.#registry],
	});

	readonly #closedCallerConnections = new Counter({
		name: 'jackdawfork_closed_caller_connections_total', help: 'Connections of callers that were closed because there were too many', registers: [this.#registry],
	});

	readonly #invalidStates = new Counter({
		name: 'jackdawfork_invalid_request_states_total', help: 'Requests that were neither waiting nor in an attempt, or both', registers: [this.#registry],
	});

	readonly #slotGrants = new Counter({
		name: 'jackdawfork_slot_grants_total', help: 'Slots that this instance has granted as a coordinator', labelNames: ['group'], registers: [this.#registry],
	});

	readonly #slotDenials = new Counter({
		name: 'jackdawfork_slot_denials_total', help: 'Requests for slots that this instance has denied as a coordinator', labelNames: ['group'], registers: [this.#registry],
	});

	readonly #slotWaits = new Histogram({
		name: 'jackdawfork_slot_wait_seconds', help: 'Time for which granted requests have waited at this instance as a coordinator', labelNames: ['group'], buckets: latencyBuckets, registers: [this.#registry],
	});

	readonly #expiredSlotGrants = new Counter({
		name: 'jackdawfork_expired_slot_grants_total', help: 'Granted slots that were freed without a release of their holder', registers: [this.#registry],
	});

	readonly #unansweredSlotRequests = new Counter({
		name: 'jackdawfork_unanswered_slot_requests_total', help: 'Requests that were placed without an answer of their coordinator', registers: [this.#registry],
	});

	readonly #waits = new Histogram({
		name: 'jackdawfork_wait_seconds', help: 'Time from queueing a request to its dispatch', labelNames: ['tier'], buckets: latencyBuckets, registers: [this.#registry],
	});

	readonly #refusals = new Counter({
		name: 'jackdawfork_refused_waiting_total', help: 'Requests that were refused before a dispatch', labelNames: ['tier', 'reason'], registers: [this.#registry],
	});

	readonly #slotTime = new Counter({
		name: 'jackdawfork_workspace_slot_seconds_total', help: 'Expected slot time of dispatched requests by workspace', labelNames: ['workspace'], registers: [this.#registry],
	});

	readonly #labelledWorkspaces = new Set<string>();

	readonly #extraAttempts = new Counter({
		name: 'jackdawfork_extra_attempts_total', help: 'Second attempts beside slow ones by what became of them', labelNames: ['outcome'], registers: [this.#registry],
	});

	readonly #extraAttemptsWithheld = new Counter({
		name: 'jackdawfork_extra_attempts_withheld_total', help: 'Second attempts that were due and not made', labelNames: ['reason'], registers: [this.#registry],
	});

	readonly #extraAttemptSavings = new Counter({
		name: 'jackdawfork_extra_attempt_saved_seconds_total', help: 'Estimated time by which responses to second attempts came earlier', registers: [this.#registry],
	});

	readonly #waiting = new Gauge({
		name: 'jackdawfork_waiting_requests', help: 'Requests that wait for an endpoint', labelNames: ['service'], registers: [this.#registry],
	});

	readonly #gauges = {
		grantedSlots: new Gauge({name: 'jackdawfork_granted_slots', help: 'Slots that this instance has granted as a coordinator and that are not released', registers: [this.#registry]}),
		heldSlots: new Gauge({name: 'jackdawfork_held_slots', help: 'Granted slots that requests of this instance use', registers: [this.#registry]}),
		slotRequestsWaiting: new Gauge({name: 'jackdawfork_waiting_slot_requests', help: 'Requests of all instances that wait for a slot at this instance as a coordinator', registers: [this.#registry]}),
		inFlight: new Gauge({name: 'jackdawfork_running_requests', help: 'Requests under way at endpoints', registers: [this.#registry]}),
		openRequests: new Gauge({name: 'jackdawfork_open_requests', help: 'Requests that are being read or answered', registers: [this.#registry]}),
		heldConnections: new Gauge({name: 'jackdawfork_held_caller_connections', help: 'Connections of callers that are not read until responses to earlier requests are taken', registers: [this.#registry]}),
		presentPeers: new Gauge({name: 'jackdawfork_present_peers', help: 'Other instances that are heard', registers: [this.#registry]}),
		sharingInstances: new Gauge({name: 'jackdawfork_sharing_instances', help: 'Instances that the limits of all are divided among', registers: [this.#registry]}),
		confirmedAgeMs: new Gauge({name: 'jackdawfork_configuration_confirmed_age_milliseconds', help: 'Age of the reading that confirmed the configuration', registers: [this.#registry]}),
		endpointConnections: new Gauge({name: 'jackdawfork_endpoint_connections', help: 'Open connections to endpoints', registers: [this.#registry]}),
		storeEra: new Gauge({name: 'jackdawfork_store_era', help: 'Number of restores of the store from older copies, -1 when it is not known', registers: [this.#registry]}),
		keptRestrictions: new Gauge({name: 'jackdawfork_kept_restrictions', help: 'Restrictions that a restore of the store has lost and that are kept', registers: [this.#registry]}),
		limitedEndpoints: new Gauge({name: 'jackdawfork_limited_endpoints', help: 'Endpoints that name a limit of requests a second', registers: [this.#registry]}),
		leavingEndpoints: new Gauge({name: 'jackdawfork_leaving_endpoints', help: 'Endpoints that have stated in a response that they leave', registers: [this.#registry]}),
		slowEndpoints: new Gauge({name: 'jackdawfork_slow_endpoints', help: 'Endpoints at which an event of this instance is overdue, or was a moment ago', registers: [this.#registry]}),
		endpointsWithRetryTime: new Gauge({name: 'jackdawfork_endpoints_with_retry_time', help: 'Endpoints that want no requests from this instance now', registers: [this.#registry]}),
		pendingReports: new Gauge({name: 'jackdawfork_pending_reports', help: 'Reports that wait to be sent to other instances, for the first time or again', registers: [this.#registry]}),
		quarantineEntries: new Gauge({name: 'jackdawfork_quarantine_entries', help: 'Prompt parts, or sets of them, whose requests are withheld because they crash endpoints', registers: [this.#registry]}),
	} as const;

	private constructor() {}

	recordRequest(kind: string, outcome: string): void {
		this.#requests.inc({kind, outcome});
	}

	recordFirstResponse(kind: string, tier: number, durationMs: Milliseconds): void {
		this.#firstResponseLatency.observe({kind, tier}, durationMs / 1000);
	}

	recordDisconnect(afterDispatchMs: Milliseconds): void {
		this.#disconnects.observe(afterDispatchMs / 1000);
	}

	recordDecision(decision: SchedulingDecision): void {
		const {tier, workspace = ''} = decision.request;
		if (decision.kind === 'refused') {
			this.#refusals.inc({tier, reason: decision.reason});
			return;
		}

		this.#waits.observe({tier}, decision.waitedMs / 1000);
		if (this.#labelledWorkspaces.size < maximumWorkspaceLabels) {
			this.#labelledWorkspaces.add(workspace);
		}

		this.#slotTime.inc({workspace: this.#labelledWorkspaces.has(workspace) ? workspace : otherWorkspaces}, decision.slotMs / 1000);
	}

	recordAttempt(outcome: string): void {
		this.#attempts.inc({outcome});
	}

	recordForeignAnswer(): void {
		this.#foreignAnswers.inc();
	}

	recordStoreRead(outcome: string, durationMs: Milliseconds): void {
		this.#storeReads.observe({outcome}, durationMs / 1000);
	}

	recordConnect(): void {
		this.#connects.inc();
	}

	recordCrash(): void {
		this.#crashes.inc();
	}

	recordStatement(kind: string): void {
		this.#statements.inc({kind});
	}

	recordSentToPeers(bytes: number): void {
		this.#sentToPeers.inc(bytes);
	}

	recordClosedCallerConnections(count: number): void {
		this.#closedCallerConnections.inc(count);
	}

	/** @param group service and availability zone */
	recordSlotGrant(group: string, waitedMs: Milliseconds): void {
		this.#slotGrants.inc({group});
		this.#slotWaits.observe({group}, waitedMs / 1000);
	}

	recordSlotDenial(group: string): void {
		this.#slotDenials.inc({group});
	}

	recordExpiredSlotGrant(): void {
		this.#expiredSlotGrants.inc();
	}

	recordUnansweredSlotRequest(): void {
		this.#unansweredSlotRequests.inc();
	}

	/** @param savedMs estimated time by which the response came earlier, if it won */
	recordExtraAttempt(outcome: string, savedMs?: Milliseconds): void {
		this.#extraAttempts.inc({outcome});
		if (savedMs !== undefined) {
			this.#extraAttemptSavings.inc(savedMs / 1000);
		}
	}

	recordExtraAttemptWithheld(reason: string): void {
		this.#extraAttemptsWithheld.inc({reason});
	}

	recordInvalidState(): void {
		this.#invalidStates.inc();
	}

	async render(values: GaugeValues): Promise<string> {
		for (const [service, waiting] of Object.entries(values.waiting)) {
			this.#waiting.set({service}, waiting);
		}

		for (const [name, gauge] of Object.entries(this.#gauges)) {
			gauge.set(values[name as Exclude<keyof GaugeValues, 'waiting'>]);
		}

		return this.#registry.metrics();
	}
}
