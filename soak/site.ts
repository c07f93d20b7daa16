import {readFile, writeFile} from 'node:fs/promises';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {platformProtocol} from '../platform/index.js';
import {storeKeys} from '../platform/names.js';
import {restoreHoldMs} from '../src/gateway/site/restore-hold.js';
import {splitAddress} from '../src/shared/address.js';
import type {Milliseconds} from '../src/shared/clock.js';
import {DisposableStore} from '../src/shared/disposable-store.js';
import {FaultProxy} from '../standins/fault-proxy.js';
import {DeadlineError, waitFor} from '../standins/fleet/deadline.js';
import {FleetProcess, parseLogLine} from '../standins/fleet/fleet-process.js';
import {createSettingsDocument, instancePorts} from '../standins/platform-documents.js';
import {PlatformStore} from '../standins/platform-store.js';
import {bounds} from './checks.js';
import {lookupServices, SoakConfiguration} from './configuration.js';
import {availabilityZones, slowService, SoakEndpoints} from './endpoints.js';
import type {
	FaultPeriod, ProcessExit, ProcessRecord, RequestRecord, SiteEvent,
} from './history.js';
import {SoakPrompts} from './prompts.js';

const mainPath = fileURLToPath(new URL('../src/gateway/main.js', import.meta.url));

/** Time after a kill in which an instance must be ready again: the required bound for a restart of all instances. */
const readyTimeoutMs: Milliseconds = 12_000;

/** Interval at which endpoints write their records, and time after which the record of one that has ended expires. */
const heartbeatIntervalMs: Milliseconds = 1200;
const recordExpiryMs: Milliseconds = 3600;

/** Time after which all instances have noticed that the store was restored. */
const restoreNoticeMs: Milliseconds = 1500;

/** Number of instances that all others know from their settings. */
export const seedCount = 2;

export type Instance = {
	readonly host: string;
	readonly storeProxy: FaultProxy;
	readonly settingsPath: string;
	process: FleetProcess;
	/** Whether a fault of this process is in progress. */
	isReserved: boolean;
};

/** The site under test: gateways as processes, and stand-ins of the store and the endpoints behind proxies. */
export class SoakSite {
	static async start(instanceCount: number, directory: string): Promise<SoakSite> {
		const store = await PlatformStore.listen();
		const site = new SoakSite(store, directory);
		site.configuration.publish();
		await site.endpoints.start([...lookupServices, slowService]);
		const hosts = Array.from({length: instanceCount}, (_, index) => `127.${20 + (process.pid % 80)}.${Math.floor(process.pid / 80) % 250}.${index + 1}`);
		for (const [index, host] of hosts.entries()) {
			// eslint-disable-next-line no-await-in-loop
			await site.#addInstance(host, availabilityZones[index % availabilityZones.length]!, hosts.slice(0, seedCount));
		}

		return site;
	}

	readonly instances: Instance[] = [];
	readonly events: SiteEvent[] = [];
	readonly faultPeriods: FaultPeriod[] = [];
	readonly requests: RequestRecord[] = [];
	/** Processes that ended without being asked to. */
	readonly exits: ProcessExit[] = [];
	/** Whether the store is about to be restored, or what a restore has lost is still being written again. */
	isStoreRestoring = false;
	readonly configuration: SoakConfiguration;
	readonly prompts = SoakPrompts.create();
	readonly endpoints: SoakEndpoints;
	readonly #disposables = DisposableStore.create();

	private constructor(readonly store: PlatformStore, private readonly directory: string) {
		this.#disposables.add(store);
		this.configuration = SoakConfiguration.create(store, this.events);
		const {events, faultPeriods, prompts: {crashingParts}} = this;
		this.endpoints = this.#disposables.add(SoakEndpoints.create({
			store, events, faultPeriods, crashingParts,
		}));
	}

	async evacuateZone(availabilityZone: string, durationMs: Milliseconds): Promise<void> {
		const key = `op/evacuate/${availabilityZone}`;
		this.store.put(key, {});
		const event: SiteEvent = {
			kind: 'zone-evacuated', availabilityZone, at: performance.now(), until: Infinity,
		};
		this.events.push(event);
		await delay(durationMs);
		event.until = performance.now();
		this.store.remove(key);
	}

	/**
	Restores the store from an older copy, after it has been unavailable for a moment. Endpoints write their records again with their next heartbeats, and the operator repeats its lost writes later; newer writes are not undone.

	@param copyAgeMs age of the copy
	@param downMs time for which the store is unavailable
	@param operatorDelayMs time after which the operator repeats its writes
	*/
	async restoreStore(copyAgeMs: Milliseconds, downMs: Milliseconds, operatorDelayMs: Milliseconds): Promise<void> {
		const {store} = this;
		this.isStoreRestoring = true;
		const copy = store.copy();
		await delay(copyAgeMs);
		store.fault = {kind: 'status', status: 503};
		await delay(downMs);
		const last = store.copy();
		store.restore(copy);
		store.fault = undefined;
		this.events.push({kind: 'store-restored', at: performance.now()});
		const lostKeys = [...new Set([...copy.items.keys(), ...last.items.keys()])].filter(key => copy.items.get(key)?.value !== last.items.get(key)?.value);
		const isUnwritten = (key: string) => store.revisionOf(key) === copy.items.get(key)?.revision;
		const isEndedEvacuation = (key: string) => key.startsWith(storeKeys.evacuationPrefix) && last.items.has(key) && !this.events.some(event => event.kind === 'zone-evacuated' && event.until === Infinity
			&& key === storeKeys.evacuationPrefix + event.availabilityZone);
		const isOfEndpoint = (key: string) => key.startsWith(storeKeys.endpointPrefix);
		const writeAgain = (key: string) => {
			if (isUnwritten(key) && !isEndedEvacuation(key)) {
				store.putFrom(last, key);
			}
		};

		const writesOfEndpoints = lostKeys.filter(key => isOfEndpoint(key) && last.items.has(key)).map(async (key, index) => {
			await delay(heartbeatIntervalMs * ((index + 1) / lostKeys.length));
			// An endpoint that has ended meanwhile writes nothing.
			if (this.endpoints.writingIds().includes(key.slice(storeKeys.endpointPrefix.length))) {
				writeAgain(key);
			}
		});
		// Records of endpoints that had ended expire.
		const expiries = lostKeys.filter(key => isOfEndpoint(key) && !last.items.has(key)).map(async key => {
			await delay(recordExpiryMs);
			writeAgain(key);
		});
		const writesOfOperator = lostKeys.filter(key => !isOfEndpoint(key)).map(async key => {
			await delay(operatorDelayMs);
			writeAgain(key);
		});
		// Until its end instances may keep the evacuation of a zone that has returned, of which nothing is left in the store to tell.
		const holdEnd = delay(restoreHoldMs + restoreNoticeMs);
		await Promise.all([...writesOfEndpoints, ...expiries, ...writesOfOperator]);
		this.isStoreRestoring = false;
		await holdEnd;
	}

	/** Starts an instance's process again and waits until it is ready. */
	async restartInstance(instance: Instance): Promise<void> {
		instance.process = this.#startProcess(instance.host, instance.settingsPath);
		await this.#waitUntilInstanceReady(instance);
	}

	/** Starts instances again that have exited on their own, as the platform does. */
	restartExitedInstances(): void {
		for (const instance of this.instances.filter(({isReserved, process: child}) => !isReserved && !child.isRunning)) {
			this.exits.push({instance: instance.host, at: performance.now()});
			instance.process = this.#startProcess(instance.host, instance.settingsPath);
		}
	}

	/**
	Asks an instance to stop, and starts it again when it has ended.

	@param meanwhile what happens during the stop
	*/
	async stopAndRestartInstance(instance: Instance, meanwhile?: () => Promise<void>): Promise<void> {
		const event: SiteEvent = {
			kind: 'stop-requested', instance: instance.host, at: performance.now(), until: Infinity,
		};
		this.events.push(event);
		const happened = meanwhile?.();
		await instance.process.stop(bounds.stopGraceMs);
		event.until = performance.now();
		await happened;
		await this.restartInstance(instance);
	}

	/** Sends SIGHUP to a process of an instance. */
	hangUp({host, process: child}: Pick<Instance, 'host' | 'process'>): void {
		if (!child.isRunning) {
			return;
		}

		this.events.push({kind: 'hang-up', instance: host, at: performance.now()});
		child.signal('SIGHUP');
	}

	/** Resolves when all instances are ready. */
	async waitUntilReady(): Promise<void> {
		await Promise.all(this.instances.map(async instance => this.#waitUntilInstanceReady(instance)));
	}

	/** Reads what each process logged. */
	async readProcessRecords(): Promise<ProcessRecord[]> {
		const logs = await Promise.all(this.instances.map(async ({host}) => ({host, text: await readFile(this.#logPath(host), 'utf8')})));
		return logs.flatMap(({host, text}) => text.split('event=started ').slice(1).map(startLog => {
			const lines = startLog.split('\n').map(line => parseLogLine(line));
			return {
				instance: host,
				versions: lines.filter(({event}) => event === 'configuration').map(({version}) => Number(version)),
				invalidRequestIds: lines.filter(({event}) => event === 'request-state-invalid').map(({requestId}) => requestId!),
			};
		}));
	}

	async dispose(): Promise<void> {
		await Promise.all(this.instances.map(async ({process: child}) => child.dispose()));
		await this.#disposables.dispose();
	}

	async #addInstance(host: string, zone: string, seeds: readonly string[]): Promise<void> {
		const storeProxy = this.#disposables.add(await FaultProxy.start({target: `${this.store.address.host}:${this.store.address.port}`}));
		const settingsPath = path.join(this.directory, `${host}.json`);
		/* eslint-disable @typescript-eslint/naming-convention -- the platform's names */
		await writeFile(settingsPath, JSON.stringify(createSettingsDocument({
			host, zone, seeds, store: splitAddress(storeProxy.address),
			bounds: {
				grace_s: bounds.stopGraceMs / 1000,
				revoke_ms: bounds.revocationMs,
				retry_budget_ratio: bounds.retryRatio,
				retry_budget_extra: bounds.retryExtra,
				quota_overage: bounds.quotaOverageRatio,
				quota_slack: bounds.quotaSlackTokens,
				cold_overage: bounds.coldRateFactor,
				cold_slack: bounds.coldSlackPerSecond,
			},
		})));
		/* eslint-enable @typescript-eslint/naming-convention */
		const instance: Instance = {
			host, storeProxy, settingsPath, process: this.#startProcess(host, settingsPath), isReserved: false,
		};
		this.instances.push(instance);
	}

	/** An instance that could not read the store meanwhile gets the time again: without a configuration it may not be ready. */
	async #waitUntilInstanceReady(instance: Instance): Promise<void> {
		for (;;) {
			const startedAt = performance.now();
			try {
				// eslint-disable-next-line no-await-in-loop
				await this.#waitForReadiness(instance);
				return;
			} catch (error) {
				if (!(error instanceof DeadlineError) || !this.#hadStoreFault(instance, startedAt)) {
					throw error;
				}
			}
		}
	}

	/** Reads readiness as the load balancer does. */
	async #waitForReadiness({host}: Instance): Promise<void> {
		await waitFor(async () => {
			const response = await fetch(`http://${host}:${instancePorts.readiness}${platformProtocol.readinessPath}`, {signal: AbortSignal.timeout(1000)});
			return response.status === 200;
		}, {what: `${host} is ready`, timeoutMs: readyTimeoutMs});
	}

	#hadStoreFault({host}: Instance, since: Milliseconds): boolean {
		// An instance that starts while others keep what a restore has lost waits for them.
		return this.events.some(({kind, at}) => kind === 'store-restored' && at > since - restoreNoticeMs)
			|| this.faultPeriods.some(({kind, instance, until}) => kind === 'store' && instance === host && until > since);
	}

	#logPath(host: string): string {
		return path.join(this.directory, `${host}.log`);
	}

	#startProcess(host: string, settingsPath: string): FleetProcess {
		return FleetProcess.start({
			name: host, mainPath, arguments: ['--settings', settingsPath], logPath: this.#logPath(host),
		});
	}
}
