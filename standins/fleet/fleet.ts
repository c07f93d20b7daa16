/** A whole fleet of real processes on the loopback interface, for tests, demo and bench. */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {DisposableStore, type Disposable} from '../../src/shared/disposable-store.js';
import {entrySettingsSchema, type EntrySettings} from '../../src/entry/settings.js';
import {ConfigurationService} from '../configuration-service.js';
import {FaultProxy, type ProxyFault} from '../fault-proxy.js';
import {InstanceList} from '../instance-list.js';
import {findConnectionOwner} from './connection-owner.js';
import {waitFor, type WaitOptions} from './deadline.js';
import type {Deployment, Document, SiteOverlay} from './deployment.js';
import type {EndpointControl} from './endpoint-control.js';
import {hostEndpoints, type HostedEndpoint} from './endpoint-host.js';
import {EntryProcess} from './entry-process.js';
import {findFreeAddress} from './ports.js';

/** Links in which a fault proxy can be placed. */
export type ProxiedLink = 'peers' | 'configuration' | 'endpoints';

export type FleetOptions = {
	readonly deployment: Deployment;
	/** Entry slots to run. Default: all of the deployment. */
	readonly slots?: readonly string[];
	/** Number of stand-in endpoints in one child process. Default: 0, all run in this process. */
	readonly endpointsPerProcess?: number;
	/** Links with a fault proxy. Default: none. */
	readonly proxies?: readonly ProxiedLink[];
	/** Delay with which the instance list shows changes. Default: 200. */
	readonly instanceListLagMs?: number;
	/** Default: `info`. */
	readonly logLevel?: EntrySettings['logLevel'];
	/** Default: the compiled `src/entry/main.js`. */
	readonly entryMainPath?: string;
	/** Whether settings and logs stay on disk after `dispose`. Default: false. */
	readonly keepsDirectory?: boolean;
};

const partition: ProxyFault = {blackHole: 'both'};
const defaultEntryMainPath = fileURLToPath(new URL('../../src/entry/main.js', import.meta.url));

export class Fleet implements Disposable {
	/**
	Starts the stand-ins, publishes the deployment's documents and starts the entry processes. It does not wait until they are ready.

	@throws {Error} when a stand-in can't be started; everything that was started before has been disposed of
	*/
	static async start(options: FleetOptions): Promise<Fleet> {
		const fleet = new Fleet(options);
		try {
			await fleet.#startStandIns();
			await fleet.#createEntries();
			for (const entry of fleet.entries.values()) {
				fleet.startEntry(entry.slot);
			}
		} catch (error) {
			await fleet.dispose();
			throw error;
		}

		return fleet;
	}

	/** Settings and logs of all processes. */
	readonly directory: string;
	readonly entries = new Map<string, EntryProcess>();
	configurationService!: ConfigurationService;
	instanceList!: InstanceList;
	readonly #disposables = DisposableStore.create();
	readonly #peerProxies = new Map<string, FaultProxy>();
	readonly #configurationProxies = new Map<string, FaultProxy>();
	readonly #endpointProxies = new Map<string, FaultProxy>();
	#endpoints: ReadonlyMap<string, HostedEndpoint> = new Map();
	#overlay: SiteOverlay;
	#keepsDirectory: boolean;

	private constructor(private readonly options: FleetOptions) {
		this.directory = mkdtempSync(path.join(tmpdir(), 'jackdawfork-fleet-'));
		this.#keepsDirectory = options.keepsDirectory ?? false;
		this.#disposables.defer(() => {
			if (!this.#keepsDirectory) {
				rmSync(this.directory, {recursive: true, force: true});
			}
		});
		this.#overlay = options.deployment.overlay;
	}

	get deployment(): Deployment {
		return this.options.deployment;
	}

	/** The overlay published last, without the addresses of the stand-ins. */
	get overlay(): SiteOverlay {
		return this.#overlay;
	}

	get endpoints(): readonly EndpointControl[] {
		return [...this.#endpoints.values()].map(({control}) => control);
	}

	/** Ends every process and closes every stand-in, in reverse order of their start. */
	async dispose(): Promise<void> {
		await this.#disposables.dispose();
	}

	/** Keeps settings and logs on disk after `dispose`. */
	keepDirectory(): void {
		this.#keepsDirectory = true;
	}

	entry(slot: string): EntryProcess {
		const entry = this.entries.get(slot);
		if (!entry) {
			throw new Error(`no entry ${slot} in the fleet`);
		}

		return entry;
	}

	endpoint(name: string): EndpointControl {
		return this.#hostedEndpoint(name).control;
	}

	/** Sends SIGKILL to the child process of an endpoint; connections to it are then refused. */
	async killEndpoint(name: string): Promise<void> {
		const {process} = this.#hostedEndpoint(name);
		if (!process) {
			throw new Error(`${name} has no process of its own; set endpointsPerProcess to 1`);
		}

		await process.kill();
	}

	/** Starts an entry and adds it to the instance list. */
	startEntry(slot: string): void {
		const entry = this.entry(slot);
		entry.start();
		this.instanceList.put({
			name: slot, role: 'entry', state: 'live', availabilityZone: entry.settings.availabilityZone, addresses: entry.settings.advertise ?? entry.settings.listen,
		});
	}

	/** Sends SIGKILL; the entry disappears from the instance list after the delay of the list. */
	async killEntry(slot: string): Promise<void> {
		await this.entry(slot).kill();
		this.instanceList.remove(slot);
	}

	/** A planned stop: `leaving` in the instance list, SIGTERM, and removal from the list. */
	async stopEntry(slot: string, timeoutMs?: number): Promise<void> {
		const entry = this.entry(slot);
		this.instanceList.put({
			name: slot, role: 'entry', state: 'leaving', availabilityZone: entry.settings.availabilityZone, addresses: entry.settings.advertise ?? entry.settings.listen,
		});
		await entry.stop(timeoutMs);
		this.instanceList.remove(slot);
	}

	/** Sets the state of an endpoint in the instance list. */
	setInstanceState(endpoint: string, state: 'live' | 'leaving'): void {
		const {availabilityZone} = this.#overlay.endpoints[endpoint]!;
		this.instanceList.put({
			name: endpoint, role: 'endpoint', state, availabilityZone,
		});
	}

	/** Publishes documents with the addresses of the stand-ins. @returns the revision */
	publish(base: Document | undefined, overlay: SiteOverlay = this.#overlay): number {
		this.#overlay = overlay;
		return this.configurationService.publish({base, overlay: this.#withAddresses(overlay), site: this.deployment.site});
	}

	/** Publishes a changed overlay. @returns the revision */
	changeOverlay(edit: (overlay: SiteOverlay) => SiteOverlay): number {
		return this.publish(undefined, edit(structuredClone(this.#overlay)));
	}

	/** Takes an availability zone out of service or returns it. @returns the revision */
	setAvailabilityZoneState(name: string, state: 'in' | 'out'): number {
		return this.changeOverlay(overlay => ({
			...overlay,
			availabilityZones: {...overlay.availabilityZones, [name]: {...overlay.availabilityZones[name]!, state}},
		}));
	}

	/** Takes an endpoint out of service or returns it. @returns the revision */
	setEndpointState(name: string, state: 'in' | 'out'): number {
		return this.changeOverlay(overlay => ({
			...overlay,
			endpoints: {...overlay.endpoints, [name]: {...overlay.endpoints[name]!, state}},
		}));
	}

	/** Waits until the given entries are ready, by default all running ones. @throws {DeadlineError} */
	async waitUntilReady(slots?: readonly string[], timeoutMs?: number): Promise<void> {
		const entries = slots?.map(slot => this.entry(slot)) ?? [...this.entries.values()].filter(entry => entry.isRunning);
		await Promise.all(entries.map(async entry => entry.waitUntilReady(timeoutMs)));
	}

	/** @throws {DeadlineError} */
	async waitFor(condition: () => boolean | Promise<boolean>, options: WaitOptions): Promise<void> {
		await waitFor(condition, options);
	}

	/** Blocks one direction between two entries: what `from` sends does not reach `to`, whichever of them opened the connection. */
	blockOneWay(from: string, to: string): void {
		this.#peerProxy(to).setFault({blackHole: 'forward'}, from);
		this.#peerProxy(from).setFault({blackHole: 'backward'}, to);
	}

	/** Applies a fault between two entries, whichever of them opened the connection. */
	setPeerFault(one: string, other: string, fault: ProxyFault): void {
		this.#peerProxy(one).setFault(fault, other);
		this.#peerProxy(other).setFault(fault, one);
	}

	/** Applies a fault, by default a partition, between one entry and all others. */
	isolateEntry(slot: string, fault: ProxyFault = partition): void {
		for (const other of this.entries.keys()) {
			if (other !== slot) {
				this.setPeerFault(slot, other, fault);
			}
		}
	}

	/** Removes all faults between entries. */
	clearPeerFaults(): void {
		for (const proxy of this.#peerProxies.values()) {
			proxy.clearFaults();
		}
	}

	/** The proxy between one entry and the configuration service. */
	configurationProxy(slot: string): FaultProxy {
		return this.#proxyOf(this.#configurationProxies, slot);
	}

	/** The proxy in front of an endpoint. Its sources are the slots of the entries. */
	endpointProxy(name: string): FaultProxy {
		return this.#proxyOf(this.#endpointProxies, name);
	}

	#peerProxy(slot: string): FaultProxy {
		return this.#proxyOf(this.#peerProxies, slot);
	}

	#proxyOf(proxies: ReadonlyMap<string, FaultProxy>, name: string): FaultProxy {
		const proxy = proxies.get(name);
		if (!proxy) {
			throw new Error(`no proxy for ${name}; add the link to the option proxies`);
		}

		return proxy;
	}

	#hostedEndpoint(name: string): HostedEndpoint {
		const hosted = this.#endpoints.get(name);
		if (!hosted) {
			throw new Error(`no endpoint ${name} in the fleet`);
		}

		return hosted;
	}

	async #startStandIns(): Promise<void> {
		const {deployment, endpointsPerProcess = 0, instanceListLagMs = 200} = this.options;
		this.configurationService = this.#disposables.add(await ConfigurationService.start());
		this.instanceList = this.#disposables.add(await InstanceList.start({lagMilliseconds: instanceListLagMs}));
		this.#endpoints = await hostEndpoints({
			deployment, endpointsPerProcess, directory: this.directory, disposables: this.#disposables,
		});
		if (this.#isProxied('endpoints')) {
			await Promise.all(this.endpoints.map(async ({name, address}) => this.#addProxy(this.#endpointProxies, name, address)));
		}

		for (const name of Object.keys(deployment.overlay.endpoints)) {
			this.setInstanceState(name, 'live');
		}

		this.publish(deployment.base);
	}

	#isProxied(link: ProxiedLink): boolean {
		return this.options.proxies?.includes(link) ?? false;
	}

	/** @returns the address of the proxy */
	async #addProxy(proxies: Map<string, FaultProxy>, name: string, target: string): Promise<string> {
		const proxy = this.#disposables.add(await FaultProxy.start({
			target, identifySource: (sourcePort, proxyPort) => findConnectionOwner(sourcePort, proxyPort, this.#entryPids()),
		}));
		proxies.set(name, proxy);
		return proxy.address;
	}

	#entryPids(): Array<readonly [string, number]> {
		return [...this.entries.values()].flatMap(({slot, pid}) => pid === undefined ? [] : [[slot, pid] as const]);
	}

	async #createEntries(): Promise<void> {
		const slots = this.options.slots ?? Object.keys(this.#overlay.entrySlots);
		const settings = await Promise.all(slots.map(async slot => this.#createSettings(slot)));
		const peers = settings.map(({listen, advertise}) => (advertise ?? listen).peers);
		for (const item of settings) {
			const ownAddress = (item.advertise ?? item.listen).peers;
			this.entries.set(item.slot, this.#disposables.add(EntryProcess.create({
				settings: {...item, seedPeers: peers.filter(address => address !== ownAddress)},
				mainPath: this.options.entryMainPath ?? defaultEntryMainPath,
				directory: this.directory,
			})));
		}
	}

	async #createSettings(slot: string): Promise<EntrySettings> {
		const {availabilityZones, entrySlots} = this.#overlay;
		const {availabilityZone} = entrySlots[slot]!;
		const listen = {callers: await findFreeAddress(), peers: await findFreeAddress(), operators: await findFreeAddress()};
		const advertise = this.#isProxied('peers') ? {...listen, peers: await this.#addProxy(this.#peerProxies, slot, listen.peers)} : undefined;
		return entrySettingsSchema.parse({
			slot,
			site: this.deployment.site,
			region: availabilityZones[availabilityZone]!.region,
			availabilityZone,
			listen,
			advertise,
			configurationServiceUrl: `http://${await this.#configurationAddress(slot)}`,
			instanceListUrl: `http://${this.instanceList.address}`,
			logLevel: this.options.logLevel,
			invariants: 'throw',
		});
	}

	/** Each entry has its own address, so that the service can respond differently to each. */
	async #configurationAddress(slot: string): Promise<string> {
		const address = await this.configurationService.addClient(slot);
		return this.#isProxied('configuration') ? this.#addProxy(this.#configurationProxies, slot, address) : address;
	}

	#withAddresses(overlay: SiteOverlay): SiteOverlay {
		const endpoints = Object.entries(overlay.endpoints).map(([name, endpoint]) => {
			const address = this.#endpointProxies.get(name)?.address ?? this.#endpoints.get(name)?.control.address;
			return [name, address === undefined ? endpoint : {...endpoint, address}] as const;
		});
		return {...overlay, endpoints: Object.fromEntries(endpoints)};
	}
}
