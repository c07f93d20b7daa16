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
import {waitFor} from '../standins/fleet/deadline.js';
import {FleetProcess, parseLogLine} from '../standins/fleet/fleet-process.js';
import {
	createConfigurationDocument, createEndpointDocument, createSettingsDocument, instancePorts,
} from '../standins/platform-documents.js';
import {PlatformEndpoint} from '../standins/platform-endpoint.js';
import {PlatformStore} from '../standins/platform-store.js';
import type {CallerKey} from './callers.js';
import {bounds, limitedWorkspace, streamEventCount} from './checks.js';
import type {
	FaultPeriod, ProcessExit, ProcessVersions, ReceivedRequestRecord, SiteEvent,
} from './history.js';

const mainPath = fileURLToPath(new URL('../src/gateway/main.js', import.meta.url));

export const availabilityZones = ['a', 'b'] as const;

export const engineService = 'engines';

/** Services that lookups go to by turns, so that endpoints see which configuration is in force. */
export const lookupServices = ['diaries', 'calendars'] as const;

const engineCount = 4;

/** Endpoints of each plain service. */
const plainEndpointsPerService = 2;

/** A stream lasts longer than the bound for cancelling it, so that one that goes on is seen. */
const eventIntervalMs: Milliseconds = 70;

const slotsPerEndpoint = 8;

const serviceTimeMs: Milliseconds = 20;

const coldMs: Milliseconds = 3000;

/** Time after the kill in which an instance must be ready again: the users' bound for a restart of all. */
const readyTimeoutMs: Milliseconds = 12_000;

/** Time for which an endpoint goes on serving after its draining time. */
const lingerMs: Milliseconds = 1500;

const stopGraceMs: Milliseconds = 8000;

/** Revoked keys that callers go on using, counted back from the temporary one. */
const revokedKeyOffsets = [-1, -2, -3] as const;

export type Instance = {
	readonly host: string;
	readonly storeProxy: FaultProxy;
	readonly settingsPath: string;
	process: FleetProcess;
	/** Whether a fault holds the process at present. */
	isReserved: boolean;
};

/** An endpoint's address, at which its process may be started again. */
export type SoakEndpoint = {
	readonly id: string;
	readonly service: string;
	readonly availabilityZone: string;
	readonly proxy: FaultProxy;
	standIn: PlatformEndpoint;
	/** Number of its present start. */
	startCount: number;
	/** Whether it is leaving or restarting. */
	isBusy: boolean;
};

/** The played site: gateways as processes, and stand-ins of the store and the endpoints behind proxies. */
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
	/** Every start of an endpoint, with the place that it had. */
	readonly #endpointStarts: Array<{readonly slot: SoakEndpoint; readonly endpoint: PlatformEndpoint}> = [];
	#version = 0;
	#lookupServiceIndex = 0;
	#temporaryKeyNumber = 0;
	#lastEndpointNumber = 0;

	private constructor(readonly store: PlatformStore, private readonly directory: string) {
		this.#disposables.add(store);
	}

	/** Keys that callers use: lasting ones, the temporary one, and those that were revoked lately. */
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

	/** Lets lookups go to the other service. */
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

	/** Replaces the temporary key by a new one. */
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

	async addEndpoint(service: string, availabilityZone: string): Promise<void> {
		this.#lastEndpointNumber++;
		const id = `e${this.#lastEndpointNumber}`;
		const endpoint = await this.#startStandIn(id, service);
		const proxy = this.#disposables.add(await FaultProxy.start({target: endpoint.address}));
		const slot: SoakEndpoint = {
			id, service, availabilityZone, proxy, standIn: endpoint, startCount: 1, isBusy: false,
		};
		this.endpoints.push(slot);
		this.#endpointStarts.push({slot, endpoint});
		this.#writeEndpointRecord(slot);
	}

	/** Lets an endpoint leave in order; another takes its place. */
	async drainEndpoint(slot: SoakEndpoint): Promise<void> {
		slot.isBusy = true;
		this.#writeEndpointRecord(slot, {state: 'draining'});
		this.events.push({kind: 'endpoint-draining', endpoint: slot.id, at: performance.now()});
		await this.addEndpoint(slot.service, slot.availabilityZone);
		await delay(bounds.drainingMs + lingerMs);
		this.store.remove(`servers/${slot.id}`);
		this.endpoints = this.endpoints.filter(other => other !== slot);
		await slot.standIn.dispose();
	}

	/** Kills an endpoint and starts it again under its id and address, cold. */
	async restartEndpoint(slot: SoakEndpoint, downMs: Milliseconds): Promise<void> {
		slot.isBusy = true;
		const {port} = splitAddress(slot.standIn.address);
		await slot.standIn.dispose();
		slot.proxy.resetConnections();
		await delay(downMs);
		slot.standIn = await this.#startStandIn(slot.id, slot.service, port);
		slot.startCount++;
		this.#endpointStarts.push({slot, endpoint: slot.standIn});
		const at = performance.now();
		const isEngine = slot.service === engineService;
		if (isEngine) {
			this.events.push({
				kind: 'endpoint-cold', endpoint: slot.id, at, until: at + coldMs,
			});
		}

		this.#writeEndpointRecord(slot, {cold_remaining_ms: isEngine ? coldMs : 0}); // eslint-disable-line @typescript-eslint/naming-convention
		slot.isBusy = false;
	}

	/** Starts an instance's process again and waits until it is ready. */
	async restartInstance(instance: Instance): Promise<void> {
		instance.process = this.#startProcess(instance.host, instance.settingsPath);
		await this.#waitUntilInstanceReady(instance);
	}

	/** Starts instances again that have ended by themselves, as the platform does. */
	restartExitedInstances(): void {
		for (const instance of this.instances.filter(({isReserved: isHeld, process: child}) => !isHeld && !child.isRunning)) {
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
		return this.#endpointStarts.flatMap(({slot, endpoint}) => endpoint.receivedRequests.map(({requestId, receivedAt: at, isExecuted: isRun, isExpected, closedAt}) => ({
			requestId, receivedAt: at, isExecuted: isRun, isExpected, closedAt, endpoint: slot.id, service: slot.service, availabilityZone: slot.availabilityZone,
		})));
	}

	/** Reads from the logs which versions each process took over. */
	async readAdoptedVersions(): Promise<ProcessVersions[]> {
		const logs = await Promise.all(this.instances.map(async ({host}) => ({host, text: await readFile(this.#logPath(host), 'utf8')})));
		return logs.flatMap(({host, text}) => text.split('event=started ').slice(1).map(startLog => ({
			instance: host,
			versions: startLog.split('\n').map(line => parseLogLine(line)).filter(({event}) => event === 'configuration').map(({version}) => Number(version)),
		})));
	}

	async dispose(): Promise<void> {
		await Promise.all(this.instances.map(async ({process: child}) => child.dispose()));
		await Promise.all(this.endpoints.map(async ({standIn: endpoint}) => endpoint.dispose()));
		await this.#disposables.dispose();
	}

	#temporaryKeyName(offset: number): string {
		return `key-temporary-${this.#temporaryKeyNumber + offset}`;
	}

	async #startStandIn(id: string, service: string, port?: number): Promise<PlatformEndpoint> {
		return PlatformEndpoint.listen({
			id, isEngine: service === engineService, eventIntervalMs, eventCount: streamEventCount, serviceTimeMs, port,
		});
	}

	#writeEndpointRecord({id, service, availabilityZone, proxy, startCount: startNumber}: SoakEndpoint, values: Record<string, unknown> = {}): void {
		this.store.put(`servers/${id}`, createEndpointDocument({
			service, address: proxy.address, zone: availabilityZone, born: startNumber, slots: slotsPerEndpoint, ...values,
		}));
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

	/** Asks as the balancer does. */
	async #waitUntilInstanceReady({host}: Instance): Promise<void> {
		await waitFor(async () => {
			const response = await fetch(`http://${host}:${instancePorts.readiness}${platformProtocol.readinessPath}`, {signal: AbortSignal.timeout(1000)});
			return response.status === 200;
		}, {what: `${host} is ready`, timeoutMs: readyTimeoutMs});
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
