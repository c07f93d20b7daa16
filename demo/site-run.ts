/** One site of the demo: its fleet, its load, and the records of its requests. */
import {setTimeout as delay} from 'node:timers/promises';
import {audit, type Violations} from '../bench/audit.js';
import {HealthChecks} from '../bench/health-checks.js';
import {results, runLoad, type RequestRecord} from '../bench/load.js';
import {warmUp} from '../bench/warm-up.js';
import {
	countFailures, summarise, type TierTargets, type TierSummary,
} from '../bench/summary.js';
import {DisposableStore, type Disposable} from '../src/shared/disposable-store.js';
import {Fleet, readExampleDeployment} from '../standins/fleet/index.js';
import type {DemoSite} from './sites.js';

/** Time limit of one request. */
const requestTimeoutMs = 9000;

/** Stand-in endpoints in one child process. */
const endpointsPerProcess = 8;

/** Time limit until the units of the new entries are usable. */
const warmUpTimeoutMs = 15_000;

/** When a site is changed, in milliseconds after the start of its load. */
const changeTimesMs = {
	zoneOut: 3000, zoneIn: 8000, entryKilled: 10_000, entryStarted: 11_000,
} as const;

/** Time for which the endpoints of a site are cold after their start. */
const coldMilliseconds = 3000;

export type SiteReport = {
	readonly tiers: ReadonlyArray<TierSummary & {readonly dispatchedTwice: number}>;
	/** Failures that callers were told, with their counts, the most frequent first. */
	readonly failures: ReadonlyArray<readonly [string, number]>;
	readonly violations: Violations;
};

export type SiteRunOptions = {
	readonly site: DemoSite;
	/** Called with a line of text for each change. */
	readonly onEvent: (text: string) => void;
	/** Stops the load; requests in flight are still awaited. */
	readonly signal: AbortSignal;
	/** Whether settings and logs of the processes are kept on disk. */
	readonly keepsLogs: boolean;
};

function withColdStart<Settings extends Record<string, unknown>>(endpoints: Readonly<Record<string, Settings>>): Record<string, Settings> {
	return Object.fromEntries(Object.entries(endpoints).map(([name, settings]) => [name, {...settings, coldMilliseconds}]));
}

export class SiteRun implements Disposable {
	/** Starts the fleet and waits until all entries are ready. */
	static async start(options: SiteRunOptions): Promise<SiteRun> {
		const run = new SiteRun(options);
		try {
			await run.#start();
		} catch (error) {
			await run.dispose();
			throw error;
		}

		return run;
	}

	readonly #disposables = DisposableStore.create();
	readonly #stopController = new AbortController();
	readonly #signal: AbortSignal;
	#running: Promise<void> = Promise.resolve();
	readonly #records: RequestRecord[] = [];
	#warmUpRecords: readonly RequestRecord[] = [];
	#fleet!: Fleet;
	#healthChecks!: HealthChecks;

	private constructor(private readonly options: SiteRunOptions) {
		this.#signal = AbortSignal.any([options.signal, this.#stopController.signal]);
	}

	get name(): string {
		return this.options.site.site;
	}

	/** Directory of the settings and logs of the processes. */
	get directory(): string {
		return this.#fleet.directory;
	}

	/** Current counts, as a progress line. */
	get progress(): string {
		const count = (result: string) => this.#records.filter(record => record.result === result).length;
		const ready = this.#healthChecks.targets().length;
		return `completed ${count(results.completed)}, refused ${count(results.refused)}, unknown ${count(results.unknown)}, entries ready ${ready}`;
	}

	/** Runs the load and the changes until the last request has ended. The table covers only this load; the audit covers the warm-up, too. */
	async run(): Promise<void> {
		this.#running = this.#run();
		await this.#running;
	}

	/** Compares the records of the requests with the logs of the endpoints. */
	async createReport(): Promise<SiteReport> {
		const logs = await Promise.all(this.#fleet.endpoints.map(async endpoint => ({endpoint: endpoint.name, dispatches: await endpoint.dispatches()})));
		const violations = audit([...this.#warmUpRecords, ...this.#records], logs);
		const dispatchedTwiceIds = new Set(violations.dispatchedTwice.map(({requestId}) => requestId));
		const tiers = summarise(this.#records, this.#fleet.deployment.base.tiers as Record<string, TierTargets>);
		return {
			tiers: tiers.map(summary => ({...summary, dispatchedTwice: this.#countDispatchedTwice(summary.tier, dispatchedTwiceIds)})),
			failures: countFailures(this.#records),
			violations,
		};
	}

	/** Stops the run first: a change that is made after the fleet has ended would fail. */
	async dispose(): Promise<void> {
		this.#stopController.abort();
		await Promise.allSettled([this.#running]);
		await this.#disposables.dispose();
	}

	async #start(): Promise<void> {
		const {site, deployment: options} = this.options.site;
		const deployment = readExampleDeployment(site, options);
		this.#fleet = this.#disposables.add(await Fleet.start({
			deployment: {...deployment, engines: withColdStart(deployment.engines), plainServices: withColdStart(deployment.plainServices)},
			endpointsPerProcess,
			keepsDirectory: this.options.keepsLogs,
		}));
		await this.#fleet.waitUntilReady(undefined, 10_000);
		this.#healthChecks = this.#disposables.add(HealthChecks.start(this.#fleet.entries.values()));
	}

	async #run(): Promise<void> {
		const {site} = this.options;
		this.#warmUpRecords = await warmUp({
			load: site.load, targets: () => this.#healthChecks.targets(), timeoutMs: warmUpTimeoutMs, signal: this.#signal,
		});
		this.options.onEvent(`${this.name}: all endpoints serve, the load begins`);
		const load = runLoad(site.load, {
			targets: () => this.#healthChecks.targets(),
			timeoutMs: requestTimeoutMs,
			onRecord: record => {
				this.#records.push(record);
			},
			signal: this.#signal,
		});
		await Promise.all([load, this.#changeZone(), this.#replaceEntry()]);
	}

	async #changeZone(): Promise<void> {
		const {changedZone} = this.options.site;
		await this.#makeChangeAfter(changeTimesMs.zoneOut, `${changedZone} is taken out of service`, () => {
			this.#fleet.setAvailabilityZoneState(changedZone, 'out');
		});
		await this.#makeChangeAfter(changeTimesMs.zoneIn - changeTimesMs.zoneOut, `${changedZone} is in service again`, () => {
			this.#fleet.setAvailabilityZoneState(changedZone, 'in');
		});
	}

	async #replaceEntry(): Promise<void> {
		const {killedEntry} = this.options.site;
		await this.#makeChangeAfter(changeTimesMs.entryKilled, `${killedEntry} is killed`, async () => {
			await this.#fleet.killEntry(killedEntry);
		});
		await this.#makeChangeAfter(changeTimesMs.entryStarted - changeTimesMs.entryKilled, `${killedEntry} is started again`, () => {
			this.#fleet.startEntry(killedEntry);
		});
	}

	/** Makes a change after a delay, unless the demo is stopped before. */
	async #makeChangeAfter(delayMs: number, text: string, change: () => void | Promise<void>): Promise<void> {
		const {onEvent} = this.options;
		try {
			await delay(delayMs, undefined, {signal: this.#signal});
		} catch {
			return;
		}

		onEvent(`${this.name}: ${text}`);
		await change();
	}

	#countDispatchedTwice(tier: string, dispatchedTwiceIds: ReadonlySet<string>): number {
		return new Set(this.#records.filter(record => record.tier === tier && dispatchedTwiceIds.has(record.requestId ?? '')).map(({requestId}) => requestId)).size;
	}
}
