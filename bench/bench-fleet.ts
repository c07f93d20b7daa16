/** The fleet that serves all measurements, with their records for the final audit. */
import {performance} from 'node:perf_hooks';
import {DisposableStore, type Disposable} from '../src/shared/disposable-store.js';
import type {StatusReport} from '../src/shared/status.js';
import type {EngineCounters} from '../standins/engine.js';
import {
	Fleet, waitFor, waitUntilServing, type EndpointControl, type EntryProcess,
} from '../standins/fleet/index.js';
import {audit, countViolations, type Violations} from './audit.js';
import {Baseline, type Addresses, type BaselineName} from './baselines.js';
import {readEntryMetrics, type EntryMetrics} from './entry-metrics.js';
import {HealthChecks} from './health-checks.js';
import {planLoad, type PlannedRequest} from './load-plan.js';
import {LoadClient, sendPlan, type SendOptions} from './load.js';
import type {RequestRecord} from './records.js';
import {callerTimeoutMs, type BenchSite} from './site.js';

/** Stand-in endpoints in one child process. */
const endpointsPerProcess = 4;

/** One warm-up load. It exceeds the capacity because engines that get no request stay cold. */
const warmUp = {loadMs: 2000, loadFactor: 1.3} as const;

export type WarmUpOptions = {
	readonly seed: number;
	readonly capacityPerSecond: number;
	/** No further load is started after this time. */
	readonly timeoutMs: number;
};

export type AuditResult = {
	readonly violations: Violations;
	readonly counts: Record<keyof Violations, number>;
	/** Broken invariants that the running entries have counted themselves. */
	readonly invariantsBroken: number;
	readonly isClean: boolean;
};

/** Prompt tokens of all engines. */
export type PromptTokens = {
	readonly computed: number;
	readonly saved: number;
};

export class BenchFleet implements Disposable {
	/** Starts the fleet and waits until all entries are ready. Their units are still in quarantine by then. */
	static async start(site: BenchSite): Promise<BenchFleet> {
		const fleet = await Fleet.start({deployment: site.deployment, endpointsPerProcess, logLevel: 'info'});
		const benchFleet = new BenchFleet(site, fleet);
		try {
			await fleet.waitUntilReady();
		} catch (error) {
			await benchFleet.dispose();
			throw error;
		}

		return benchFleet;
	}

	/** All requests through the entries or baselines so far. */
	readonly records: RequestRecord[] = [];
	readonly #disposables = DisposableStore.create();
	readonly #healthChecks: HealthChecks;
	#runCount = 0;

	private constructor(readonly site: BenchSite, readonly fleet: Fleet) {
		this.#disposables.add(fleet);
		this.#healthChecks = this.#disposables.add(HealthChecks.start(fleet.entries.values()));
	}

	get engines(): readonly EndpointControl[] {
		return this.fleet.endpoints.filter(({kind}) => kind === 'engine');
	}

	get entries(): readonly EntryProcess[] {
		return [...this.fleet.entries.values()];
	}

	/**
	Waits until all entries serve, and loads them until all engines are warm or the time for that has passed.

	@returns the engines that were not warm for all entries at the end; normally none
	@throws {DeadlineError} when an entry does not serve
	*/
	async warmUp({seed, capacityPerSecond, timeoutMs}: WarmUpOptions): Promise<string[]> {
		await waitUntilServing(this.fleet);
		const deadlineAt = performance.now() + timeoutMs;
		let cold: string[];
		do {
			// eslint-disable-next-line no-await-in-loop
			await this.runThroughEntries(this.planLoad({seed, durationMs: warmUp.loadMs, requestsPerSecond: capacityPerSecond * warmUp.loadFactor}));
			// eslint-disable-next-line no-await-in-loop
			cold = await this.#findEnginesNotWarm();
		} while (cold.length > 0 && performance.now() < deadlineAt);

		return cold;
	}

	/** Plans a load with the site's shape. */
	planLoad(options: {readonly seed: number; readonly durationMs: number; readonly requestsPerSecond: number}): PlannedRequest[] {
		return planLoad({...this.site.shape, ...options});
	}

	/** Sends a plan through the entries. */
	async runThroughEntries(plan: readonly PlannedRequest[], {timeoutMs = callerTimeoutMs, ...options}: SendOptions & {readonly timeoutMs?: number} = {}): Promise<RequestRecord[]> {
		const client = LoadClient.create({targets: () => this.#healthChecks.targets(), timeoutMs, maximumOtherEntries: 6});
		return this.#sendPlan(plan, client, options);
	}

	/** Sends a plan through a baseline. */
	async runThroughBaseline(baseline: BaselineName, plan: readonly PlannedRequest[], seed: number): Promise<RequestRecord[]> {
		return this.#sendPlan(plan, Baseline.create({
			baseline,
			routers: this.fleet.entries.size,
			seed,
			engines: this.#endpointAddresses('engine'),
			plainServices: this.#endpointAddresses('plain'),
			timeoutMs: callerTimeoutMs,
		}));
	}

	/** Waits until no engine has a request in flight. @throws {DeadlineError} */
	async waitUntilIdle(): Promise<void> {
		await waitFor(async () => {
			const counters = await this.readEngineCounters();
			return counters.every(({running}) => running === 0);
		}, {what: 'no engine runs a request', timeoutMs: 30_000, intervalMs: 50});
	}

	async readEngineCounters(): Promise<EngineCounters[]> {
		return Promise.all(this.engines.map(async engine => engine.engineCounters()));
	}

	async readPromptTokens(): Promise<PromptTokens> {
		const counters = await this.readEngineCounters();
		return {
			computed: counters.reduce((sum, {promptTokensComputed}) => sum + promptTokensComputed, 0),
			saved: counters.reduce((sum, {promptTokensSaved}) => sum + promptTokensSaved, 0),
		};
	}

	/** Reads the metrics of the running entries. */
	async readEntryMetrics(): Promise<EntryMetrics[]> {
		return Promise.all(this.entries.filter(({isRunning}) => isRunning).map(async entry => readEntryMetrics(entry)));
	}

	/** Compares all records with the logs of all endpoints. */
	async audit(): Promise<AuditResult> {
		const logs = await Promise.all(this.fleet.endpoints.map(async endpoint => ({endpoint: endpoint.name, dispatches: await endpoint.dispatches()})));
		const violations = audit(this.records, logs);
		const counts = countViolations(violations);
		const metrics = await this.readEntryMetrics();
		const invariantsBroken = metrics.reduce((sum, entry) => sum + entry.invariantsBroken, 0);
		return {
			violations, counts, invariantsBroken, isClean: invariantsBroken === 0 && Object.values(counts).every(count => count === 0),
		};
	}

	async dispose(): Promise<void> {
		await this.#disposables.dispose();
	}

	async #sendPlan(plan: readonly PlannedRequest[], sender: LoadClient | Baseline, options: SendOptions = {}): Promise<RequestRecord[]> {
		this.#runCount++;
		try {
			const records = await sendPlan(this.#withFreshPrefixes(plan), sender, options);
			this.records.push(...records);
			await this.waitUntilIdle();
			return records;
		} finally {
			await sender.dispose();
		}
	}

	/** Gives each run its own prefixes, so that no run benefits from prefix caches that an earlier one filled. */
	#withFreshPrefixes(plan: readonly PlannedRequest[]): PlannedRequest[] {
		const offset = this.#runCount * 1000;
		return plan.map(planned => planned.kind === 'engine' ? {...planned, prefixNumber: planned.prefixNumber + offset} : planned);
	}

	#endpointAddresses(kind: EndpointControl['kind']): Addresses {
		return new Map(this.fleet.endpoints.filter(endpoint => endpoint.kind === kind).map(({name, address}) => [name, address]));
	}

	async #findEnginesNotWarm(): Promise<string[]> {
		const reports = await Promise.all(this.entries.map(async entry => await entry.status() as StatusReport));
		const engines = new Set(this.engines.map(({name}) => name));
		const notWarm = reports.flatMap(({endpoints}) => endpoints).filter(({endpoint, limit, units}) => engines.has(endpoint) && limit < units);
		return [...new Set(notWarm.map(({endpoint, phase, limit}) => `${endpoint} ${phase} ${limit}`))];
	}
}
