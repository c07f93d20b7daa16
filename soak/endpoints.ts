import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {splitAddress} from '../src/shared/address.js';
import type {Milliseconds} from '../src/shared/clock.js';
import {DisposableStore, type Disposable} from '../src/shared/disposable-store.js';
import {FaultProxy} from '../standins/fault-proxy.js';
import {findFreePort} from '../standins/fleet/ports.js';
import {createEndpointDocument} from '../standins/platform-documents.js';
import {crashMoments, PlatformEndpoint} from '../standins/platform-endpoint.js';
import type {PlatformStore} from '../standins/platform-store.js';
import {bounds, streamEventCount} from './checks.js';
import type {FaultPeriod, ReceivedRequestRecord, SiteEvent} from './history.js';

export const availabilityZones = ['a', 'b'] as const;

export const engineService = 'engines';

const allCrashMoments = Object.values(crashMoments);

const engineCount = 4;

/** Endpoints of each plain service. */
const plainEndpointsPerService = 2;

/** Long enough that a stream outlasts the bound for its cancellation; otherwise a missing cancellation would not be noticed. */
const eventIntervalMs: Milliseconds = 70;

const slotsPerEndpoint = 8;
const slotsPerSlowEndpoint = 4;

const serviceTimeMs: Milliseconds = 20;

/** A plain service whose requests take so long that others wait for it when the grace of a stop ends. */
export const slowService = 'reports';
const slowServiceTimeMs: Milliseconds = 7000;

export const coldMs: Milliseconds = 3000;

/** Time for which an endpoint continues to serve after its draining time. */
const lingerMs: Milliseconds = 1500;

/** Time for which an engine that crashed is down. */
const crashedDownMs: Milliseconds = 2500;

/** An endpoint with its fixed address, at which its stand-in may be started again. */
export type SoakEndpoint = {
	id: string;
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
	/** Whether it answers to an id that its record doesn't have yet. */
	isTakingId?: boolean;
};

export type SoakEndpointsOptions = {
	readonly store: PlatformStore;
	readonly events: SiteEvent[];
	readonly faultPeriods: FaultPeriod[];
	/** Parts of prompts that crash engines. */
	readonly crashingParts: ReadonlySet<string>;
};

/** Stand-ins of the endpoints behind proxies, and their records in the store. */
export class SoakEndpoints implements Disposable {
	static create(options: SoakEndpointsOptions): SoakEndpoints {
		return new SoakEndpoints(options);
	}

	/** Those that have a record now. */
	current: SoakEndpoint[] = [];
	readonly #disposables = DisposableStore.create();
	/** Every started stand-in, with its endpoint. */
	readonly #starts: Array<{readonly endpoint: SoakEndpoint; readonly standIn: PlatformEndpoint}> = [];
	#isDisposed = false;
	#lastNumber = 0;

	private constructor(private readonly options: SoakEndpointsOptions) {}

	/** Starts engines and the endpoints of plain services in all zones. */
	async start(plainServices: readonly string[]): Promise<void> {
		const services = [
			...Array.from({length: engineCount}, () => engineService),
			...plainServices.flatMap(service => Array.from({length: plainEndpointsPerService}, () => service)),
		];
		for (const [index, service] of services.entries()) {
			// eslint-disable-next-line no-await-in-loop
			await this.add(service, availabilityZones[index % availabilityZones.length]!);
		}
	}

	/** @param crashedPort port of the crashed endpoint that it replaces */
	async add(service: string, availabilityZone: string, crashedPort?: number): Promise<void> {
		const id = this.#createId();
		const standIn = await this.#startStandIn(id, service);
		const proxy = this.#disposables.add(await FaultProxy.start({target: standIn.address, port: crashedPort ?? await findFreePort()}));
		const endpoint: SoakEndpoint = {
			id, service, availabilityZone, proxy, standIn, startCount: 1, isBusy: false,
		};
		this.current.push(endpoint);
		this.#starts.push({endpoint, standIn});
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
	async drain(endpoint: SoakEndpoint, servesForMs: Milliseconds = 0): Promise<void> {
		if (endpoint.isCrashed) {
			return;
		}

		endpoint.isBusy = true;
		this.#writeEndpointRecord(endpoint, {state: 'draining'});
		this.options.events.push({kind: 'endpoint-draining', endpoint: endpoint.id, at: performance.now()});
		await this.add(endpoint.service, endpoint.availabilityZone);
		await delay(bounds.drainingMs + lingerMs);
		this.options.store.remove(`servers/${endpoint.id}`);
		this.current = this.current.filter(other => other !== endpoint);
		await delay(servesForMs);
		this.options.events.push({kind: 'endpoint-ended', endpoint: endpoint.id, at: performance.now()});
		await endpoint.standIn.dispose();
	}

	/** Lets an endpoint name a limit in its responses. */
	async limit({id, standIn}: SoakEndpoint, perSecond: number, durationMs: Milliseconds): Promise<void> {
		const event: SiteEvent = {
			kind: 'endpoint-limited', endpoint: id, perSecond, at: performance.now(), until: Infinity,
		};
		this.options.events.push(event);
		standIn.statedHeaders = {...standIn.statedHeaders, 'server-limit': String(perSecond)};
		await delay(durationMs);
		event.until = Math.min(event.until, performance.now());
		const {'server-limit': _, ...otherHeaders} = standIn.statedHeaders;
		standIn.statedHeaders = otherHeaders;
	}

	/** Lets an endpoint state in its responses that it leaves, while its record says that it is ready, and drains it later. */
	async leaveByStatement(endpoint: SoakEndpoint, durationMs: Milliseconds): Promise<void> {
		endpoint.isBusy = true;
		this.options.events.push({
			kind: 'endpoint-states-leaving', endpoint: endpoint.id, at: performance.now(), until: Infinity,
		});
		endpoint.standIn.statedHeaders = {...endpoint.standIn.statedHeaders, 'server-leaving': '1'};
		await delay(durationMs);
		await this.drain(endpoint);
	}

	/** Kills an endpoint and starts it again, cold, with the same id and address. */
	async restart(endpoint: SoakEndpoint, downMs: Milliseconds): Promise<void> {
		endpoint.isBusy = true;
		endpoint.isRestarting = true;
		this.#endStatements(endpoint);
		const {port} = splitAddress(endpoint.standIn.address);
		await endpoint.standIn.dispose();
		endpoint.proxy.resetConnections();
		await delay(downMs);
		endpoint.standIn = await this.#startStandIn(endpoint.id, endpoint.service, port);
		endpoint.startCount++;
		this.#starts.push({endpoint, standIn: endpoint.standIn});
		this.#writeColdRecord(endpoint);
		endpoint.isBusy = false;
		endpoint.isRestarting = false;
	}

	/** Lets an endpoint answer to a new id at its address, while its connections stay open. Its record names the new id later. */
	async takeNewId(endpoint: SoakEndpoint, untoldMs: Milliseconds): Promise<void> {
		const {id: oldId, standIn} = endpoint;
		endpoint.isTakingId = true;
		standIn.id = this.#createId();
		await delay(untoldMs);
		endpoint.isTakingId = false;
		// A crashed engine comes back under a third id.
		if (endpoint.isCrashed !== true) {
			this.options.store.remove(`servers/${oldId}`);
			endpoint.id = standIn.id;
			this.#writeEndpointRecord(endpoint);
		}
	}

	/** Ids of the endpoints that write their records themselves now. A crashed engine writes none. */
	writingIds(): string[] {
		return this.current.filter(({isCrashed}) => isCrashed !== true).map(({id}) => id);
	}

	receivedRequests(): ReceivedRequestRecord[] {
		return this.#starts.flatMap(({endpoint: {service, availabilityZone}, standIn}, start) => standIn.receivedRequests.map(({requestId, endpointId, receivedAt, ...received}) => ({
			requestId, receivedAt, isExecuted: received.isExecuted, isExpected: received.isExpected, retryAfterMs: received.retryAfterMs, closedAt: received.closedAt,
			start, endpoint: endpointId, service, availabilityZone,
		})));
	}

	async dispose(): Promise<void> {
		this.#isDisposed = true;
		await Promise.all(this.current.map(async ({standIn}) => standIn.dispose()));
		await this.#disposables.dispose();
	}

	#createId(): string {
		this.#lastNumber++;
		return `e${this.#lastNumber}`;
	}

	/** Ends what an endpoint has stated, because a later start of it knows nothing of it. */
	#endStatements({id}: SoakEndpoint): void {
		for (const event of this.options.events) {
			if ((event.kind === 'endpoint-limited' || event.kind === 'endpoint-states-leaving') && event.endpoint === id) {
				event.until = Math.min(event.until, performance.now());
			}
		}
	}

	async #startStandIn(id: string, service: string, port?: number): Promise<PlatformEndpoint> {
		const standIn: PlatformEndpoint = await PlatformEndpoint.listen({
			id, isEngine: service === engineService, eventIntervalMs, eventCount: streamEventCount, port,
			serviceTimeMs: service === slowService ? slowServiceTimeMs : serviceTimeMs,
			crashingParts: this.options.crashingParts,
			crashMoment: allCrashMoments[this.#starts.length % allCrashMoments.length],
			onCrash: part => {
				void this.#crashEngine(standIn, part);
			},
		});
		return standIn;
	}

	#writeEndpointRecord({id, service, availabilityZone, proxy, startCount}: SoakEndpoint, values: Record<string, unknown> = {}): void {
		this.options.store.put(`servers/${id}`, createEndpointDocument({
			service, address: proxy.address, zone: availabilityZone, born: startCount, slots: service === slowService ? slotsPerSlowEndpoint : slotsPerEndpoint, ...values,
		}));
	}

	/** Writes the record of an endpoint that has started again. */
	#writeColdRecord(endpoint: SoakEndpoint): void {
		const at = performance.now();
		const isEngine = endpoint.service === engineService;
		if (isEngine) {
			this.options.events.push({
				kind: 'endpoint-cold', endpoint: endpoint.id, at, until: at + coldMs,
			});
		}

		this.#writeEndpointRecord(endpoint, {cold_remaining_ms: isEngine ? coldMs : 0}); // eslint-disable-line @typescript-eslint/naming-convention
	}

	/** Crashes an engine under a request. It comes back at the same address under a new id. */
	async #crashEngine(standIn: PlatformEndpoint, part: string): Promise<void> {
		const endpoint = this.current.find(other => other.standIn === standIn);
		if (endpoint === undefined || endpoint.isCrashed === true || endpoint.isRestarting === true) {
			return;
		}

		endpoint.isCrashed = true;
		const isReplaced = endpoint.isBusy;
		endpoint.isBusy = true;
		const {id, proxy, service, availabilityZone} = endpoint;
		const {port} = splitAddress(proxy.address);
		const period: FaultPeriod = {kind: 'engine-crashed', at: performance.now(), until: Infinity};
		this.options.events.push({
			kind: 'engine-crashed', endpoint: id, part, at: period.at,
		});
		this.options.faultPeriods.push(period);
		// The proxy refuses connections as the crashed process would.
		await Promise.all([proxy.dispose(), standIn.dispose()]);
		await delay(crashedDownMs);
		if (!isReplaced && !this.#isDisposed) {
			this.options.store.remove(`servers/${id}`);
			this.current = this.current.filter(other => other !== endpoint);
			await this.add(service, availabilityZone, port);
		}

		period.until = performance.now();
	}
}
