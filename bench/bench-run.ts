/** One run of the bench: its measurements in their order, its tables and its JSON result. */
import {execFileSync} from 'node:child_process';
import {mkdirSync, writeFileSync} from 'node:fs';
import {loadavg} from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import type {Disposable} from '../src/shared/disposable-store.js';
import {BenchFleet, type AuditResult} from './bench-fleet.js';
import {measureCapacity, type Capacity} from './capacity.js';
import {formatVerdicts, judgeMeasurements} from './goals.js';
import {measureGoodput, type GoodputRun} from './goodput.js';
import {formatGoodput, formatRunName} from './goodput-tables.js';
import {measureMemory, type Memory} from './memory.js';
import {measureOverhead, type Overhead} from './overhead.js';
import {formatMemory, formatOverhead, formatProcessorTime} from './overhead-tables.js';
import {
	profiles, scenarioNames, createWindow, type Profile, type ScenarioName,
} from './profiles.js';
import {createSite, type SiteName} from './site.js';
import {measureZoneChanges, type ZoneChange} from './zone-change.js';
import {formatSeconds, formatZoneChanges} from './zone-tables.js';

export type BenchOptions = {
	readonly quick: boolean;
	readonly seed: number;
	readonly loadSeconds?: number;
	readonly keepLogs: boolean;
	readonly output: string;
	/** Default: all scenarios of the profile. */
	readonly scenario?: readonly ScenarioName[];
	readonly deployment: SiteName;
};

/** Results of the measurements made so far. */
type Results = {
	overhead?: Overhead;
	goodput?: readonly GoodputRun[];
	zoneChanges?: readonly ZoneChange[];
	memory?: Memory;
};

/** The entry whose memory is measured. The zone changes restart it, so it has held few requests before. */
const memorySlot = 'entry-4';

function print(text: string): void {
	process.stdout.write(`${text}\n`);
}

/** The commit that is measured; undefined outside a checkout. */
function readCommit(): string | undefined {
	try {
		return execFileSync('git', ['rev-parse', '--short', 'HEAD'], {encoding: 'utf8'}).trim();
	} catch {
		return undefined;
	}
}

export class BenchRun implements Disposable {
	static async start(options: BenchOptions): Promise<BenchRun> {
		const startedAt = performance.now();
		return new BenchRun(options, startedAt, await BenchFleet.start(createSite(options.deployment)));
	}

	readonly #results: Results = {};
	readonly #profile: Profile;

	readonly #scenarios: Readonly<Record<ScenarioName, (capacity: Capacity) => Promise<void>>> = {
		goodput: async capacity => this.#measureGoodput(capacity),
		overhead: async () => this.#measureOverhead(),
		zone: async capacity => this.#measureZoneChanges(capacity),
		memory: async () => this.#measureMemory(),
	};

	private constructor(private readonly options: BenchOptions, private readonly startedAt: number, private readonly benchFleet: BenchFleet) {
		const profile: Profile = options.quick ? profiles.quick : profiles.full;
		const loadMs = (options.loadSeconds ?? 0) * 1000;
		this.#profile = loadMs > 0 ? {...profile, loadMs, window: createWindow(loadMs)} : profile;
	}

	/** @returns whether every invariant held */
	async measure(): Promise<boolean> {
		const {seed, deployment, scenario = this.#profile.scenarios} = this.options;
		const loadBefore = loadavg();
		// The quarantines have not ended yet, but this measurement does not use the entries.
		const capacity = await measureCapacity(this.benchFleet, {seed, durationMs: this.#profile.capacityMs});
		this.#printProgress(`capacity ${capacity.engineRequestsPerSecond.toFixed(1)} engine requests a second, ${capacity.requestsPerSecond.toFixed(1)} with plain services`);
		const notWarm = await this.benchFleet.warmUp({seed, capacityPerSecond: capacity.requestsPerSecond, timeoutMs: this.#profile.warmUpTimeoutMs});
		this.#printProgress(`the fleet of ${deployment} serves${notWarm.length === 0 ? '' : `; not warm: ${notWarm.join(', ')}`}`);
		for (const name of scenarioNames.filter(name => scenario.includes(name))) {
			// eslint-disable-next-line no-await-in-loop
			await this.#scenarios[name](capacity);
		}

		const audit = await this.benchFleet.audit();
		this.#reportResults(capacity, notWarm, audit, loadBefore);
		return audit.isClean;
	}

	async dispose(): Promise<void> {
		const {fleet} = this.benchFleet;
		if (this.options.keepLogs) {
			fleet.keepDirectory();
			print(`logs of the fleet: ${fleet.directory}`);
		}

		await this.benchFleet.dispose();
	}

	async #measureOverhead(): Promise<void> {
		this.#results.overhead = await measureOverhead(this.benchFleet, {...this.#profile.overhead, seed: this.options.seed});
		this.#printProgress('overhead measured');
	}

	async #measureGoodput(capacity: Capacity): Promise<void> {
		this.#results.goodput = await measureGoodput(this.benchFleet, {
			...this.#profile,
			seed: this.options.seed,
			capacityPerSecond: capacity.requestsPerSecond,
			onRun: run => {
				this.#printProgress(`${formatRunName(run)} at ${run.loadFactor}: ${run.total.perSecond.toFixed(1)} good responses a second`);
			},
		});
	}

	async #measureZoneChanges(capacity: Capacity): Promise<void> {
		const {zoneLoadFactor, zoneTimes, disturbances} = this.#profile;
		this.#results.zoneChanges = await measureZoneChanges(this.benchFleet, {
			seed: this.options.seed,
			requestsPerSecond: capacity.requestsPerSecond * zoneLoadFactor,
			times: zoneTimes,
			disturbances,
			onChange: change => {
				this.#printProgress(`zone change, disturbance: ${change.disturbance}`);
			},
		});
	}

	async #measureMemory(): Promise<void> {
		this.#results.memory = await measureMemory(this.benchFleet, {...this.#profile.memory, seed: this.options.seed, slot: memorySlot});
		this.#printProgress('memory measured');
	}

	#reportResults(capacity: Capacity, notWarm: readonly string[], audit: AuditResult, loadBefore: readonly number[]): void {
		const {goodput, zoneChanges, overhead, memory} = this.#results;
		const verdicts = judgeMeasurements(this.#results);
		const sections = [
			goodput && `Goodput in good responses a second (share of the requests)\n${formatGoodput(goodput)}`,
			goodput && `Processor time\n${formatProcessorTime(goodput)}`,
			zoneChanges && `Zone changes\n${formatZoneChanges(zoneChanges)}`,
			...zoneChanges?.map(change => formatSeconds(change)) ?? [],
			overhead && `Overhead\n${formatOverhead(overhead)}`,
			memory && `Memory\n${formatMemory(memory)}`,
			`Goals of the design page\n${formatVerdicts(verdicts)}`,
			`Audit: ${JSON.stringify({...audit.counts, invariantsBroken: audit.invariantsBroken})}`,
		];
		print(`\n${sections.filter(section => section !== undefined).join('\n\n')}\n`);
		const seconds = (performance.now() - this.startedAt) / 1000;
		this.#writeResult({
			commit: readCommit(), options: this.options, seconds, loadAverage: {before: loadBefore, after: loadavg()}, capacity, notWarm, ...this.#results, verdicts, audit,
		});
		this.#printProgress(`done, load average ${loadavg()[0]!.toFixed(1)}`);
	}

	#writeResult(result: unknown): void {
		const {output, deployment} = this.options;
		mkdirSync(output, {recursive: true});
		const file = path.join(output, `${deployment}-${new Date().toISOString().replaceAll(':', '-')}.json`);
		writeFileSync(file, `${JSON.stringify(result, undefined, '\t')}\n`);
		this.#printProgress(`result in ${file}`);
	}

	#printProgress(text: string): void {
		print(`${((performance.now() - this.startedAt) / 1000).toFixed(1).padStart(6)} s  ${text}`);
	}
}
