import {readFile, writeFile} from 'node:fs/promises';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {platformProtocol} from '../platform/index.js';
import {splitAddress} from '../src/shared/address.js';
import type {Milliseconds} from '../src/shared/clock.js';
import {DisposableStore} from '../src/shared/disposable-store.js';
import {FaultProxy} from '../standins/fault-proxy.js';
import {DeadlineError, waitFor} from '../standins/fleet/deadline.js';
import {FleetProcess, parseLogLine} from '../standins/fleet/fleet-process.js';
import {findFreePort} from '../standins/fleet/ports.js';
import {
	createConfigurationDocument, createEndpointDocument, createSettingsDocument, instancePorts,
} from '../standins/platform-documents.js';
import {crashMoments, PlatformEndpoint} from '../standins/platform-endpoint.js';
import type {RandomSource} from '../standins/random-source.js';
import {PlatformStore} from '../standins/platform-store.js';
import type {CallerKey} from './callers.js';
import {bounds, limitedWorkspace, streamEventCount} from './checks.js';
import type {
	FaultPeriod, ProcessExit, ProcessRecord, ReceivedRequestRecord, SiteEvent,
} from './history.js';

const mainPath = fileURLToPath(new URL('../src/gateway/main.js', import.meta.url));

export const availabilityZones = ['a', 'b'] as const;

export const engineService = 'engines';

/** Services that lookups are routed to alternately. The service that receives a lookup shows which configuration is in force. */
export const lookupServices = ['diaries', 'calendars'] as const;

const allCrashMoments = Object.values(crashMoments);

const engineCount = 4;

/** Endpoints of each plain service. */
const plainEndpointsPerService = 2;

/** Long enough that a stream outlasts the bound for its cancellation; otherwise a missing cancellation would not be noticed. */
const eventIntervalMs: Milliseconds = 70;

const slotsPerEndpoint = 8;

const serviceTimeMs: Milliseconds = 20;

const coldMs: Milliseconds = 3000;

/** Time after a kill in which an instance must be ready again: the required bound for a restart of all instances. */
const readyTimeoutMs: Milliseconds = 12_000;

/** Time for which an endpoint continues to serve after its draining time. */
const lingerMs: Milliseconds = 1500;

const stopGraceMs: Milliseconds = 8000;

/** Time for which an engine that crashed is down. */
const crashedDownMs: Milliseconds = 2500;

/** Percentage of prompts with a part that crashes engines, while there is one. */
const crashingPartPercent = 20;

/** Numbers of the sound parts that prompts begin with and go on with. */
const firstPartCount = 3;
const middlePartCount = 40;

/** Revoked keys that callers continue to use, as offsets from the current temporary key. */
const revokedKeyOffsets = [-1, -2, -3] as const;

export type Instance = {
	readonly host: string;
	readonly storeProxy: FaultProxy;
	readonly settingsPath: string;
	process: FleetProcess;
	/** Whether a fault of this process is in progress. */
	isReserved: boolean;
};

/** An endpoint with its fixed address, at which its stand-in may be started again. */
export type SoakEndpoint = {
	readonly id: string;
	readonly service: string;
	readonly availabilityZone: string;
	readonly proxy: FaultProxy;
	standIn: PlatformEndpoint;
	/** Number of starts, the current one included. */
	startCount: number;
	/** Whether it is draining or restarting. */
	isBusy: boolean;
	isCrashed?: boolean;
	isRestarting?: boolean;
};

/** The site under test: gateways as processes, and stand-ins of the store and the endpoints behind proxies. */
export class SoakSite {
	static async start(instanceCount: number, directory: string): Promise<SoakSite> {
		const store = await PlatformStore.listen();
		const site = new SoakSite(store, directory);
		site.publishConfiguration();
		for (let index = 0; index < engineCount; index++) {
			// eslint-disable-next-line no-await-in-loop
			await site.addEndpoint(engineService, availabilityZones[index % availabilityZones.length]!);
		}

		for (const service of lookupServices) {
			for (let index = 0; index < plainEndpointsPerService; index++) {
				// eslint-disable-next-line no-await-in-loop
				await site.addEndpoint(service, availabilityZones[index % availabilityZones.length]!);
			}
		}

		const hosts = Array.from({length: instanceCount}, (_, index) => `127.${20 + (process.pid % 80)}.${Math.floor(process.pid / 80) % 250}.${index + 1}`);
		for (const [index, host] of hosts.entries()) {
			// eslint-disable-next-line no-await-in-loop
			await site.#addInstance(host, availabilityZones[index % availabilityZones.length]!, hosts.slice(0, 2));
		}

		return site;
	}

	readonly instances: Instance[] = [];
	readonly events: SiteEvent[] = [];
	readonly faultPeriods: FaultPeriod[] = [];
	/** Processes that ended without being asked to. */
	readonly exits: ProcessExit[] = [];
	endpoints: SoakEndpoint[] = [];
	readonly #disposables = DisposableStore.create();
	/** Every started stand-in, with its endpoint. */
	readonly #endpointStarts: Array<{readonly endpoint: SoakEndpoint; readonly standIn: PlatformEndpoint}> = [];
	/** All parts that have crashed engines, and those that callers send now. */
	readonly #crashingParts = new Set<string>();
	readonly #activeCrashingParts = new Set<string>();
	#isDisposed = false;
	#version = 0;
	#lookupServiceIndex = 0;
	#temporaryKeyNumber = 0;
	#lastEndpointNumber = 0;

	private constructor(readonly store: PlatformStore, private readonly directory: string) {
		this.#disposables.add(store);
	}

	/** Keys that callers use: permanent ones, the temporary one, and recently revoked ones. */
	callerKeys(): CallerKey[] {
		return [
			{key: 'key-wick', workspace: 'wick'},
			{key: 'key-wick', workspace: 'wick'},
			{key: 'key-busy', workspace: limitedWorkspace},
			{key: 'key-busy', workspace: limitedWorkspace},
			{key: this.#temporaryKeyName(0), workspace: 'wick'},
			...revokedKeyOffsets.map(offset => ({key: this.#temporaryKeyName(offset), workspace: 'wick'})),
		];
	}

	nextPromptParts(random: RandomSource): string[] {
		const active = [...this.#activeCrashingParts];
		const middle = active.length > 0 && random.chance(crashingPartPercent) ? random.pick(active)! : `middle-${random.integer(1, middlePartCount)}`;
		return [`first-${random.integer(1, firstPartCount)}`, middle];
	}

	/** From now on, callers send prompts with a new part that crashes engines. */
	startCrashingPart(): string {
		const part = `crashing-${this.#crashingParts.size + 1}`;
		this.#crashingParts.add(part);
		this.#activeCrashingParts.add(part);
		return part;
	}

	endCrashingPart(part: string): void {
		this.#activeCrashingParts.delete(part);
	}

	/** Writes a new version of the configuration. */
	publishConfiguration(): void {
		this.#version += 1 + (this.#version % 3);
		const document = createConfigurationDocument();
		const routes = (document.routes as Array<Record<string, unknown>>).map(route => route.name === 'lookups' ? {...route, service: lookupServices[this.#lookupServiceIndex]} : route);
		/* eslint-disable @typescript-eslint/naming-convention -- the platform's names */
		this.store.put('op/config', {
			...document,
			version: this.#version,
			routes,
			services: [
				{
					name: engineService, max_connections: 100, cold_start_s: coldMs / 1000, cold_per_s: bounds.coldRequestsPerSecond,
				},
				...lookupServices.map(name => ({name, max_connections: 100})),
			],
			tenants: [
				{name: 'wick', api_keys: ['key-wick', this.#temporaryKeyName(0)]},
				{
					name: limitedWorkspace, api_keys: ['key-busy'], unit: 'tokens', plain_tokens: 10, rate_per_s: bounds.quotaPerSecond, burst: bounds.quotaBurst,
				},
			],
		});
		/* eslint-enable @typescript-eslint/naming-convention */
	}

	/** Routes lookups to the other service. */
	moveLookups(): void {
		const now = performance.now();
		for (const event of this.events) {
			if (event.kind === 'lookups-moved') {
				event.until = Math.min(event.until, now);
			}
		}

		this.#lookupServiceIndex = (this.#lookupServiceIndex + 1) % lookupServices.length;
		this.publishConfiguration();
		this.events.push({
			kind: 'lookups-moved', service: lookupServices[this.#lookupServiceIndex]!, at: performance.now(), until: Infinity,
		});
	}

	/** Replaces the temporary key with a new one. */
	revokeKey(): void {
		const key = this.#temporaryKeyName(0);
		this.#temporaryKeyNumber++;
		this.publishConfiguration();
		this.events.push({kind: 'key-revoked', key, at: performance.now()});
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

	/** @param crashedPort port of the crashed endpoint that it replaces */
	async addEndpoint(service: string, availabilityZone: string, crashedPort?: number): Promise<void> {
		this.#lastEndpointNumber++;
		const id = `e${this.#lastEndpointNumber}`;
		const standIn = await this.#startStandIn(id, service);
		const proxy = this.#disposables.add(await FaultProxy.start({target: standIn.address, port: crashedPort ?? await findFreePort()}));
		const endpoint: SoakEndpoint = {
			id, service, availabilityZone, proxy, standIn, startCount: 1, isBusy: false,
		};
		this.endpoints.push(endpoint);
		this.#endpointStarts.push({endpoint, standIn});
		if (crashedPort === undefined) {
			this.#writeEndpointRecord(endpoint);
		} else {
			this.#writeColdRecord(endpoint);
		}
	}

	/**
	Drains an endpoint and removes it; a new one replaces it.

	@param servesForMs time for which it continues to serve after its record is gone
	*/
	async drainEndpoint(endpoint: SoakEndpoint, servesForMs: Milliseconds = 0): Promise<void> {
		if (endpoint.isCrashed) {
			return;
		}

		endpoint.isBusy = true;
		this.#writeEndpointRecord(endpoint, {state: 'draining'});
		this.events.push({kind: 'endpoint-draining', endpoint: endpoint.id, at: performance.now()});
		await this.addEndpoint(endpoint.service, endpoint.availabilityZone);
		await delay(bounds.drainingMs + lingerMs);
		this.store.remove(`servers/${endpoint.id}`);
		this.endpoints = this.endpoints.filter(other => other !== endpoint);
		await delay(servesForMs);
		await endpoint.standIn.dispose();
	}

	/** Lets an endpoint name a limit in its responses. */
	async limitEndpoint({id, standIn}: SoakEndpoint, perSecond: number, durationMs: Milliseconds): Promise<void> {
		const event: SiteEvent = {
			kind: 'endpoint-limited', endpoint: id, perSecond, at: performance.now(), until: Infinity,
		};
		this.events.push(event);
		standIn.statedHeaders = {...standIn.statedHeaders, 'server-limit': String(perSecond)};
		await delay(durationMs);
		event.until = Math.min(event.until, performance.now());
		const {'server-limit': _, ...otherHeaders} = standIn.statedHeaders;
		standIn.statedHeaders = otherHeaders;
	}

	/** Lets an endpoint state in its responses that it leaves, while its record says that it is ready, and drains it later. */
	async leaveByStatement(endpoint: SoakEndpoint, durationMs: Milliseconds): Promise<void> {
		endpoint.isBusy = true;
		this.events.push({
			kind: 'endpoint-states-leaving', endpoint: endpoint.id, at: performance.now(), until: Infinity,
		});
		endpoint.standIn.statedHeaders = {...endpoint.standIn.statedHeaders, 'server-leaving': '1'};
		await delay(durationMs);
		await this.drainEndpoint(endpoint);
	}

	/** Kills an endpoint and starts it again, cold, with the same id and address. */
	async restartEndpoint(endpoint: SoakEndpoint, downMs: Milliseconds): Promise<void> {
		endpoint.isBusy = true;
		endpoint.isRestarting = true;
		this.#endStatements(endpoint);
		const {port} = splitAddress(endpoint.standIn.address);
		await endpoint.standIn.dispose();
		endpoint.proxy.resetConnections();
		await delay(downMs);
		endpoint.standIn = await this.#startStandIn(endpoint.id, endpoint.service, port);
		endpoint.startCount++;
		this.#endpointStarts.push({endpoint, standIn: endpoint.standIn});
		this.#writeColdRecord(endpoint);
		endpoint.isBusy = false;
		endpoint.isRestarting = false;
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

	/** Asks an instance to stop, and starts it again when it has ended. */
	async stopAndRestartInstance(instance: Instance): Promise<void> {
		const event: SiteEvent = {
			kind: 'stop-requested', instance: instance.host, at: performance.now(), until: Infinity,
		};
		this.events.push(event);
		await instance.process.stop(stopGraceMs);
		event.until = performance.now();
		await this.restartInstance(instance);
	}

	/** Resolves when all instances are ready. */
	async waitUntilReady(): Promise<void> {
		await Promise.all(this.instances.map(async instance => this.#waitUntilInstanceReady(instance)));
	}

	receivedRequests(): ReceivedRequestRecord[] {
		return this.#endpointStarts.flatMap(({endpoint, standIn}, start) => standIn.receivedRequests.map(({requestId, receivedAt, isExecuted, isExpected, retryAfterMs, closedAt}) => ({
			requestId, receivedAt, isExecuted, isExpected, retryAfterMs, closedAt, start, endpoint: endpoint.id, service: endpoint.service, availabilityZone: endpoint.availabilityZone,
		})));
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
		this.#isDisposed = true;
		await Promise.all(this.instances.map(async ({process: child}) => child.dispose()));
		await Promise.all(this.endpoints.map(async ({standIn}) => standIn.dispose()));
		await this.#disposables.dispose();
	}

	/** Ends what an endpoint has stated, because a later start of it knows nothing of it. */
	#endStatements({id}: SoakEndpoint): void {
		for (const event of this.events) {
			if ((event.kind === 'endpoint-limited' || event.kind === 'endpoint-states-leaving') && event.endpoint === id) {
				event.until = Math.min(event.until, performance.now());
			}
		}
	}

	#temporaryKeyName(offset: number): string {
		return `key-temporary-${this.#temporaryKeyNumber + offset}`;
	}

	async #startStandIn(id: string, service: string, port?: number): Promise<PlatformEndpoint> {
		const standIn: PlatformEndpoint = await PlatformEndpoint.listen({
			id, isEngine: service === engineService, eventIntervalMs, eventCount: streamEventCount, serviceTimeMs, port,
			crashingParts: this.#crashingParts,
			crashMoment: allCrashMoments[this.#endpointStarts.length % allCrashMoments.length],
			onCrash: part => {
				void this.#crashEngine(standIn, part);
			},
		});
		return standIn;
	}

	#writeEndpointRecord({id, service, availabilityZone, proxy, startCount}: SoakEndpoint, values: Record<string, unknown> = {}): void {
		this.store.put(`servers/${id}`, createEndpointDocument({
			service, address: proxy.address, zone: availabilityZone, born: startCount, slots: slotsPerEndpoint, ...values,
		}));
	}

	/** Writes the record of an endpoint that has started again. */
	#writeColdRecord(endpoint: SoakEndpoint): void {
		const at = performance.now();
		const isEngine = endpoint.service === engineService;
		if (isEngine) {
			this.events.push({
				kind: 'endpoint-cold', endpoint: endpoint.id, at, until: at + coldMs,
			});
		}

		this.#writeEndpointRecord(endpoint, {cold_remaining_ms: isEngine ? coldMs : 0}); // eslint-disable-line @typescript-eslint/naming-convention
	}

	/** Crashes an engine under a request. It comes back at the same address under a new id. */
	async #crashEngine(standIn: PlatformEndpoint, part: string): Promise<void> {
		const endpoint = this.endpoints.find(other => other.standIn === standIn);
		if (endpoint === undefined || endpoint.isCrashed === true || endpoint.isRestarting === true) {
			return;
		}

		endpoint.isCrashed = true;
		const isReplaced = endpoint.isBusy;
		endpoint.isBusy = true;
		const {id, proxy, service, availabilityZone} = endpoint;
		const {port} = splitAddress(proxy.address);
		const period: FaultPeriod = {kind: 'engine-crashed', at: performance.now(), until: Infinity};
		this.events.push({
			kind: 'engine-crashed', endpoint: id, part, at: period.at,
		});
		this.faultPeriods.push(period);
		// The proxy refuses connections as the crashed process would.
		await Promise.all([proxy.dispose(), standIn.dispose()]);
		await delay(crashedDownMs);
		if (!isReplaced && !this.#isDisposed) {
			this.store.remove(`servers/${id}`);
			this.endpoints = this.endpoints.filter(other => other !== endpoint);
			await this.addEndpoint(service, availabilityZone, port);
		}

		period.until = performance.now();
	}

	async #addInstance(host: string, zone: string, seeds: readonly string[]): Promise<void> {
		const storeProxy = this.#disposables.add(await FaultProxy.start({target: `${this.store.address.host}:${this.store.address.port}`}));
		const settingsPath = path.join(this.directory, `${host}.json`);
		/* eslint-disable @typescript-eslint/naming-convention -- the platform's names */
		await writeFile(settingsPath, JSON.stringify(createSettingsDocument({
			host, zone, seeds, store: splitAddress(storeProxy.address),
			bounds: {
				grace_s: stopGraceMs / 1000,
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
		return this.faultPeriods.some(({kind, instance, until}) => kind === 'store' && instance === host && until > since);
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
