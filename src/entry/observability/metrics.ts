import process from 'node:process';
import {performance} from 'node:perf_hooks';
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import type {Milliseconds} from '../../shared/clock.js';
import type {FailureType} from '../../shared/failure.js';
import {LabelLimiter} from './label-limiter.js';

export type MetricsOptions = {
	/** Workspaces with a label value of their own; later ones are counted as `other`. Default: 50. */
	readonly maximumWorkspaceLabels?: number;
};

/** Results of requests, counted by tier. */
export const requestResults = {
	completed: 'completed',
	failed: 'failed',
	unknown: 'unknown',
	refused: 'refused',
	cancelled: 'cancelled',
} as const;

export type RequestResult = (typeof requestResults)[keyof typeof requestResults];

/** Result of offering a configuration version. */
export type ConfigurationOfferResult = 'adopted' | 'unchanged' | 'older' | 'conflict' | 'invalid';

/** Labels of the request whose time is observed. */
export type RequestLabels = {
	readonly tier: string;
	readonly workspace: string;
};

const defaultMaximumWorkspaceLabels = 50;

/** In seconds: from a short wait in the queue to a request that reaches its timeout of a few minutes. */
const requestTimeBuckets = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10, 30, 60, 120];

/** In seconds. The target for the time between tokens is tens of milliseconds. */
const tokenIntervalBuckets = [0.002, 0.005, 0.01, 0.02, 0.03, 0.05, 0.1, 0.2, 0.5, 1, 5];

/**
The metrics of one entry instance, in a registry of its own.

prom-client's `collectDefaultMetrics` is not used, because its event loop monitor and garbage collection observer run continuously. Memory, processor time and event loop utilisation are read only when the metrics are scraped.
*/
export class Metrics {
	static create(options: MetricsOptions = {}): Metrics {
		return new Metrics(options.maximumWorkspaceLabels ?? defaultMaximumWorkspaceLabels);
	}

	readonly #registry = new Registry();
	readonly #workspaceLabels: LabelLimiter;

	readonly #queueSeconds = this.#histogram('queue_seconds', 'Time from receipt to dispatch', requestTimeBuckets);
	readonly #firstTokenSeconds = this.#histogram('first_token_seconds', 'Time from receipt to the first token', requestTimeBuckets);
	readonly #betweenTokensSeconds = this.#histogram('between_tokens_seconds', 'Time between two tokens of a response', tokenIntervalBuckets);
	readonly #responseSeconds = this.#histogram('answer_seconds', 'Time from receipt to the end of the response', requestTimeBuckets);

	readonly #requests = this.#counter('requests_total', 'Requests by tier and result', ['tier', 'result']);
	readonly #refusals = this.#counter('refusals_total', 'Refused and failed requests by failure type', ['type']);
	readonly #dispatches = this.#counter('dispatches_total', 'Dispatches by endpoint and result', ['endpoint', 'result']);
	readonly #retries = this.#counter('retries_total', 'Dispatches that repeat an earlier one, by service', ['service']);
	readonly #resumes = this.#counter('resumes_total', 'Streams that were resumed after a disconnect, by endpoint and result', ['endpoint', 'result']);
	readonly #invariants = this.#counter('invariants_broken_total', 'Broken invariants by property', ['property']);
	readonly #leasesLost = this.#counter('lease_lost_total', 'Losses of the entry lease by reason', ['reason']);
	readonly #malformedMessages = this.#counter('malformed_messages_total', 'Messages from peers that were dropped, by reason', ['reason']);
	readonly #configurationVersions = this.#counter('configuration_versions_total', 'Offered configuration versions by result', ['result']);

	readonly #configurationVersion = this.#gauge('configuration_version', 'Configuration version in force', []);
	readonly #leaseHeld = this.#gauge('lease_held', '1 while the entry lease is held, else 0', []);
	readonly #waiting = this.#gauge('waiting_requests', 'Waiting requests by tier', ['tier']);
	readonly #unitsInUse = this.#gauge('endpoint_units_in_use', 'Units in use by this entry', ['endpoint']);
	readonly #unitLimit = this.#gauge('endpoint_unit_limit', 'Units that may be used in the present phase, over all entries', ['endpoint']);

	private constructor(maximumWorkspaceLabels: number) {
		this.#workspaceLabels = LabelLimiter.create({maximumLabels: maximumWorkspaceLabels});
		this.#addProcessMetrics();
	}

	/** Content type of {@link text}. */
	get contentType(): string {
		return this.#registry.contentType;
	}

	/** All metrics in the Prometheus text format. */
	async text(): Promise<string> {
		return this.#registry.metrics();
	}

	observeQueueTime(labels: RequestLabels, durationMs: Milliseconds): void {
		this.#observe(this.#queueSeconds, labels, durationMs);
	}

	observeTimeToFirstToken(labels: RequestLabels, durationMs: Milliseconds): void {
		this.#observe(this.#firstTokenSeconds, labels, durationMs);
	}

	/** Call this once for each pair of consecutive tokens, or once for each chunk with its average time per token. */
	observeTimeBetweenTokens(labels: RequestLabels, durationMs: Milliseconds): void {
		this.#observe(this.#betweenTokensSeconds, labels, durationMs);
	}

	observeResponseTime(labels: RequestLabels, durationMs: Milliseconds): void {
		this.#observe(this.#responseSeconds, labels, durationMs);
	}

	countRequest(tier: string, result: RequestResult): void {
		this.#requests.inc({tier, result});
	}

	countRefusal(type: FailureType): void {
		this.#refusals.inc({type});
	}

	/** @param result the kind of the `DispatchResult` */
	countDispatch(endpoint: string, result: 'not-sent' | 'completed' | 'failed'): void {
		this.#dispatches.inc({endpoint, result});
	}

	countRetry(service: string): void {
		this.#retries.inc({service});
	}

	countResume(endpoint: string, result: 'resumed' | 'failed'): void {
		this.#resumes.inc({endpoint, result});
	}

	/** @param property `G1` to `G10` */
	countInvariantViolation(property: string): void {
		this.#invariants.inc({property});
	}

	/** @param reason one of a fixed set of words, such as `expired` or `clock-jump`, because each distinct value is a time series */
	countLeaseLost(reason: string): void {
		this.#leasesLost.inc({reason});
	}

	/** @param reason one of a fixed set of words, such as `unknown-kind`, because each distinct value is a time series */
	countMalformedMessage(reason: string): void {
		this.#malformedMessages.inc({reason});
	}

	countConfigurationVersion(result: ConfigurationOfferResult): void {
		this.#configurationVersions.inc({result});
	}

	setConfigurationVersion(version: number): void {
		this.#configurationVersion.set(version);
	}

	setLeaseHeld(isHeld: boolean): void {
		this.#leaseHeld.set(isHeld ? 1 : 0);
	}

	/** Replaces the gauges of all tiers, so that those of removed tiers disappear. */
	setWaitingRequests(waitingByTier: Iterable<readonly [tier: string, waiting: number]>): void {
		this.#waiting.reset();
		for (const [tier, waiting] of waitingByTier) {
			this.#waiting.set({tier}, waiting);
		}
	}

	/** Replaces the gauges of all endpoints, so that those of removed endpoints disappear. */
	setEndpointUnits(endpoints: Iterable<{readonly endpoint: string; readonly unitsInUse: number; readonly limit: number}>): void {
		this.#unitsInUse.reset();
		this.#unitLimit.reset();
		for (const {endpoint, unitsInUse, limit} of endpoints) {
			this.#unitsInUse.set({endpoint}, unitsInUse);
			this.#unitLimit.set({endpoint}, limit);
		}
	}

	#observe(histogram: Histogram<'tier' | 'workspace'>, {tier, workspace}: RequestLabels, durationMs: Milliseconds): void {
		histogram.observe({tier, workspace: this.#workspaceLabels.labelFor(workspace)}, durationMs / 1000);
	}

	#histogram(name: string, help: string, buckets: number[]): Histogram<'tier' | 'workspace'> {
		return new Histogram({
			name: `jackdawfork_${name}`, help, buckets, labelNames: ['tier', 'workspace'], registers: [this.#registry],
		});
	}

	#counter<Label extends string>(name: string, help: string, labelNames: Label[]): Counter<Label> {
		return new Counter({
			name: `jackdawfork_${name}`, help, labelNames, registers: [this.#registry],
		});
	}

	#gauge<Label extends string>(name: string, help: string, labelNames: Label[]): Gauge<Label> {
		return new Gauge({
			name: `jackdawfork_${name}`, help, labelNames, registers: [this.#registry],
		});
	}

	#addProcessMetrics(): void {
		this.#processGauge('process_resident_memory_bytes', 'Resident memory', () => process.memoryUsage.rss());
		this.#processGauge('process_cpu_seconds_total', 'User and system processor time since the start', () => {
			const {user, system} = process.cpuUsage();
			return (user + system) / 1e6;
		});
		this.#processGauge('nodejs_eventloop_utilization', 'Share of time since the start in which the event loop was busy', () =>
			performance.eventLoopUtilization().utilization);
	}

	#processGauge(name: string, help: string, read: () => number): void {
		// eslint-disable-next-line no-new
		new Gauge({
			name, help, registers: [this.#registry],
			collect() {
				this.set(read());
			},
		});
	}
}
