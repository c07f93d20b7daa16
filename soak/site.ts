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
import {bounds, limitedWorkspace, streamEvents} from './checks.js';
import type {
	Disturbance, ProcessExit, ProcessVersions, RunRecord, SiteEvent,
} from './history.js';

const mainPath = fileURLToPath(new URL('../src/gateway/main.js', import.meta.url));

export const availabilityZones = ['a', 'b'] as const;

export const engineService = 'engines';

/** Services that lookups go to by turns, so that endpoints see which configuration is in force. */
export const lookupServices = ['diaries', 'calendars'] as const;

const engineCount = 4;

/** Endpoints of each plain service. */
const plainCount = 2;

/** A stream lasts longer than the bound for cancelling it, so that one that goes on is seen. */
const eventMs: Milliseconds = 70;

const engineSlots = 8;

const workMs: Milliseconds = 20;

const coldMs: Milliseconds = 3000;

/** Time after the kill in which an instance must be ready again: the users' bound for a restart of all. */
const readyWithinMs: Milliseconds = 12_000;

/** Time for which an endpoint goes on serving after its draining time. */
const lingerMs: Milliseconds = 1500;

const stopMs: Milliseconds = 8000;

/** Revoked keys that callers go on using, counted back from the temporary one. */
const revokedKeys = [-1, -2, -3] as const;

export type Instance = {
	readonly host: string;
	readonly storeProxy: FaultProxy;
	readonly settingsPath: string;
	process: FleetProcess;
	/** Whether a fault holds the process at present. */
	isHeld: boolean;
};

/** An endpoint's address, at which its process may be started again. */
export type EndpointSlot = {
	readonly id: string;
	readonly service: string;
	readonly availabilityZone: string;
	readonly proxy: FaultProxy;
	endpoint: PlatformEndpoint;
	/** Number of its present start. */
	startNumber: number;
	/** Whether it is leaving or restarting. */
	isBusy: boolean;
};

/** The played site: gateways as processes, and stand-ins of the store and the endpoints behind proxies. */
export class SoakSite {
	static async start(instanceCount: number, directory: string): Promise<SoakSite> {
		const store = await PlatformStore.listen();
		const site = new SoakSite(store, directory);
		site.configure();
		for (let index = 0; index < engineCount; index++) {
			// eslint-disable-next-line no-await-in-loop
			await site.addEndpoint(engineService, availabilityZones[index % availabilityZones.length]!);
		}

		for (const service of lookupServices) {
			for (let index = 0; index < plainCount; index++) {
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
	readonly disturbances: Disturbance[] = [];
	/** Processes that ended without being asked to. */
	readonly exits: ProcessExit[] = [];
	endpoints: EndpointSlot[] = [];
	readonly #disposables = DisposableStore.create();
	/** Every start of an endpoint, with the place that it had. */
	readonly #starts: Array<{readonly slot: EndpointSlot; readonly endpoint: PlatformEndpoint}> = [];
	#version = 0;
	#lookupService = 0;
	#temporaryKey = 0;
	#nextEndpoint = 0;

	private constructor(readonly store: PlatformStore, private readonly directory: string) {
		this.#disposables.add(store);
	}

	/** Keys that callers use: lasting ones, the temporary one, and those that were revoked lately. */
	keys(): CallerKey[] {
		return [
			{key: 'key-wick', workspace: 'wick'},
			{key: 'key-wick', workspace: 'wick'},
			{key: 'key-busy', workspace: limitedWorkspace},
			{key: 'key-busy', workspace: limitedWorkspace},
			{key: this.#keyName(0), workspace: 'wick'},
			...revokedKeys.map(offset => ({key: this.#keyName(offset), workspace: 'wick'})),
		];
	}

	/** Writes a new version of the configuration. */
	configure(): void {
		this.#version += 1 + (this.#version % 3);
		const document = createConfigurationDocument();
		const routes = (document.routes as Array<Record<string, unknown>>).map(route => route.name === 'lookups' ? {...route, service: lookupServices[this.#lookupService]} : route);
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
				{name: 'wick', api_keys: ['key-wick', this.#keyName(0)]},
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

		this.#lookupService = (this.#lookupService + 1) % lookupServices.length;
		this.configure();
		this.events.push({
			kind: 'lookups-moved', service: lookupServices[this.#lookupService]!, at: performance.now(), until: Infinity,
		});
	}

	/** Replaces the temporary key by a new one. */
	revokeKey(): void {
		const key = this.#keyName(0);
		this.#temporaryKey++;
		this.configure();
		this.events.push({kind: 'key-revoked', key, at: performance.now()});
	}

	async evacuate(availabilityZone: string, durationMs: Milliseconds): Promise<void> {
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
		this.#nextEndpoint++;
		const id = `e${this.#nextEndpoint}`;
		const endpoint = await this.#listen(id, service);
		const proxy = this.#disposables.add(await FaultProxy.start({target: endpoint.address}));
		const slot: EndpointSlot = {
			id, service, availabilityZone, proxy, endpoint, startNumber: 1, isBusy: false,
		};
		this.endpoints.push(slot);
		this.#starts.push({slot, endpoint});
		this.#register(slot);
	}

	/** Lets an endpoint leave in order; another takes its place. */
	async drain(slot: EndpointSlot): Promise<void> {
		slot.isBusy = true;
		this.#register(slot, {state: 'draining'});
		this.events.push({kind: 'endpoint-draining', endpoint: slot.id, at: performance.now()});
		await this.addEndpoint(slot.service, slot.availabilityZone);
		await delay(bounds.leavingMs + lingerMs);
		this.store.remove(`servers/${slot.id}`);
		this.endpoints = this.endpoints.filter(other => other !== slot);
		await slot.endpoint.dispose();
	}

	/** Kills an endpoint and starts it again under its id and address, cold. */
	async restart(slot: EndpointSlot, downMs: Milliseconds): Promise<void> {
		slot.isBusy = true;
		const {port} = splitAddress(slot.endpoint.address);
		await slot.endpoint.dispose();
		slot.proxy.resetConnections();
		await delay(downMs);
		slot.endpoint = await this.#listen(slot.id, slot.service, port);
		slot.startNumber++;
		this.#starts.push({slot, endpoint: slot.endpoint});
		const at = performance.now();
		const isEngine = slot.service === engineService;
		if (isEngine) {
			this.events.push({
				kind: 'endpoint-cold', endpoint: slot.id, at, until: at + coldMs,
			});
		}

		this.#register(slot, {cold_remaining_ms: isEngine ? coldMs : 0}); // eslint-disable-line @typescript-eslint/naming-convention
		slot.isBusy = false;
	}

	/** Starts an instance's process again and waits until it is ready. */
	async startAgain(instance: Instance): Promise<void> {
		instance.process = this.#spawn(instance.host, instance.settingsPath);
		await this.#whenReady(instance);
	}

	/** Starts instances again that have ended by themselves, as the platform does. */
	superviseInstances(): void {
		for (const instance of this.instances.filter(({isHeld, process: child}) => !isHeld && !child.isRunning)) {
			this.exits.push({instance: instance.host, at: performance.now()});
			instance.process = this.#spawn(instance.host, instance.settingsPath);
		}
	}

	/** Asks an instance to stop, and starts it again when it has ended. */
	async stopAndStart(instance: Instance): Promise<void> {
		const event: SiteEvent = {
			kind: 'stop-requested', instance: instance.host, at: performance.now(), until: Infinity,
		};
		this.events.push(event);
		await instance.process.stop(stopMs);
		event.until = performance.now();
		await this.startAgain(instance);
	}

	/** Resolves when all instances are ready. */
	async whenReady(): Promise<void> {
		await Promise.all(this.instances.map(async instance => this.#whenReady(instance)));
	}

	runs(): RunRecord[] {
		return this.#starts.flatMap(({slot, endpoint}) => endpoint.receivedRequests.map(({requestId, receivedAt: at, isExecuted: isRun, isExpected, closedAt}) => ({
			requestId, at, isRun, isExpected, closedAt, endpoint: slot.id, service: slot.service, availabilityZone: slot.availabilityZone,
		})));
	}

	/** Reads from the logs which versions each process took over. */
	async versions(): Promise<ProcessVersions[]> {
		const logs = await Promise.all(this.instances.map(async ({host}) => ({host, text: await readFile(this.#logPath(host), 'utf8')})));
		return logs.flatMap(({host, text}) => text.split('event=started ').slice(1).map(life => ({
			instance: host,
			versions: life.split('\n').map(line => parseLogLine(line)).filter(({event}) => event === 'configuration').map(({version}) => Number(version)),
		})));
	}

	async dispose(): Promise<void> {
		await Promise.all(this.instances.map(async ({process: child}) => child.dispose()));
		await Promise.all(this.endpoints.map(async ({endpoint}) => endpoint.dispose()));
		await this.#disposables.dispose();
	}

	#keyName(offset: number): string {
		return `key-temporary-${this.#temporaryKey + offset}`;
	}

	async #listen(id: string, service: string, port?: number): Promise<PlatformEndpoint> {
		return PlatformEndpoint.listen({
			id, isEngine: service === engineService, eventIntervalMs: eventMs, eventCount: streamEvents, serviceTimeMs: workMs, port,
		});
	}

	#register({id, service, availabilityZone, proxy, startNumber}: EndpointSlot, values: Record<string, unknown> = {}): void {
		this.store.put(`servers/${id}`, createEndpointDocument({
			service, address: proxy.address, zone: availabilityZone, born: startNumber, slots: engineSlots, ...values,
		}));
	}

	async #addInstance(host: string, zone: string, seeds: readonly string[]): Promise<void> {
		const storeProxy = this.#disposables.add(await FaultProxy.start({target: `${this.store.address.host}:${this.store.address.port}`}));
		const settingsPath = path.join(this.directory, `${host}.json`);
		/* eslint-disable @typescript-eslint/naming-convention -- the platform's names */
		await writeFile(settingsPath, JSON.stringify(createSettingsDocument({
			host, zone, seeds, store: splitAddress(storeProxy.address),
			bounds: {
				grace_s: stopMs / 1000,
				revoke_ms: bounds.revocationMs,
				retry_budget_ratio: bounds.retryShare,
				retry_budget_extra: bounds.retryExtra,
				quota_overage: bounds.quotaOverage,
				quota_slack: bounds.quotaSlack,
				cold_overage: bounds.coldOverage,
				cold_slack: bounds.coldSlack,
			},
		})));
		/* eslint-enable @typescript-eslint/naming-convention */
		const instance: Instance = {
			host, storeProxy, settingsPath, process: this.#spawn(host, settingsPath), isHeld: false,
		};
		this.instances.push(instance);
	}

	/** Asks as the balancer does. */
	async #whenReady({host}: Instance): Promise<void> {
		await waitFor(async () => {
			const response = await fetch(`http://${host}:${instancePorts.readiness}${platformProtocol.readinessPath}`, {signal: AbortSignal.timeout(1000)});
			return response.status === 200;
		}, {what: `${host} is ready`, timeoutMs: readyWithinMs});
	}

	#logPath(host: string): string {
		return path.join(this.directory, `${host}.log`);
	}

	#spawn(host: string, settingsPath: string): FleetProcess {
		return FleetProcess.start({
			name: host, mainPath, arguments: ['--settings', settingsPath], logPath: this.#logPath(host),
		});
	}
}
