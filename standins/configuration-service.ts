/**
Stand-in of the platform's configuration service: a snapshot, a watch and one store-wide revision.

Each named client can have its own listening address, so that the service can respond differently to each of them.
*/
import type {IncomingMessage, ServerResponse} from 'node:http';
import {z} from 'zod';
import {DisposableStore, type Disposable} from '../src/shared/disposable-store.js';
import {availabilities, handleUnavailability, type Availability} from './availability.js';
import {
	parseBody, sendJson, StandInServer, type Exchange, type Route,
} from './stand-in-server.js';

export const configurationServiceSettingsSchema = z.strictObject({
	host: z.string().default('127.0.0.1'),
	/** 0: any free port. */
	port: z.number().int().nonnegative().default(0),
	/** How long a watch waits for a change. */
	watchMilliseconds: z.number().positive().default(25_000),
	/** Revision of the first documents. */
	firstRevision: z.number().int().positive().default(1),
	clients: z.array(z.string()).default([]),
});

export type ConfigurationServiceSettings = z.infer<typeof configurationServiceSettingsSchema>;
export type ConfigurationServiceOptions = z.input<typeof configurationServiceSettingsSchema>;

type Document = Readonly<Record<string, unknown>>;

/** The documents that a publication replaces; absent ones stay as they are. */
export type Publication = {
	readonly base?: Document;
	/** The overlay of one site, or of all sites that have none of their own. */
	readonly overlay?: Document;
	readonly site?: string;
};

type StoredRevision = {
	readonly revision: number;
	readonly base: Document;
	readonly overlays: ReadonlyMap<string, Document>;
};

/** How the service responds to a client. */
export type ClientBehaviour = {
	readonly availability: Availability;
	/** The revision to return instead of the current one, so that the response is stale or goes backward. */
	readonly frozenRevision?: number;
	/** Replaces members of the base document under the same revision, so that the response conflicts with those to other clients. */
	readonly alteredBase?: Document;
};

type Watcher = {
	readonly client: string;
	readonly respond: () => void;
};

const allClients = '*';
const allSites = '*';
const normalBehaviour: ClientBehaviour = {availability: availabilities.up};
const behaviourSchema = z.strictObject({
	client: z.string().default(allClients),
	availability: z.enum(availabilities).default(availabilities.up),
	frozenRevision: z.number().int().nonnegative().optional(),
	alteredBase: z.record(z.string(), z.unknown()).optional(),
});
const publicationSchema = z.strictObject({
	base: z.record(z.string(), z.unknown()).optional(),
	overlay: z.record(z.string(), z.unknown()).optional(),
	site: z.string().optional(),
});

export class ConfigurationService implements Disposable {
	static async start(options: ConfigurationServiceOptions = {}): Promise<ConfigurationService> {
		const service = new ConfigurationService(configurationServiceSettingsSchema.parse(options));
		service.#mainServer = await service.#listen(allClients, service.settings.port);
		for (const client of service.settings.clients) {
			// eslint-disable-next-line no-await-in-loop
			await service.addClient(client);
		}

		return service;
	}

	readonly #disposables = DisposableStore.create();
	readonly #servers = new Map<string, StandInServer>();
	readonly #behaviours = new Map<string, ClientBehaviour>();
	readonly #history: StoredRevision[] = [];
	readonly #watchers = new Set<Watcher>();
	readonly #readCounts = new Map<string, number>();
	#mainServer!: StandInServer;

	private constructor(readonly settings: ConfigurationServiceSettings) {
		this.#history.push({revision: settings.firstRevision - 1, base: {}, overlays: new Map()});
	}

	/** Host and port for all clients without an address of their own. */
	get address(): string {
		return this.#mainServer.address;
	}

	get revision(): number {
		return this.#history.at(-1)!.revision;
	}

	/** Reads since the start: snapshots and watches, each watch counted once when it arrives. */
	get counters() {
		const byClient = Object.fromEntries(this.#readCounts);
		let reads = 0;
		for (const count of this.#readCounts.values()) {
			reads += count;
		}

		return {
			reads, waitingWatches: this.#watchers.size, byClient, revision: this.revision,
		};
	}

	async dispose(): Promise<void> {
		await this.#disposables.dispose();
	}

	/** Opens an address for one client. @returns host and port */
	async addClient(client: string): Promise<string> {
		const listener = this.#servers.get(client) ?? await this.#listen(client, 0);
		return listener.address;
	}

	/** Stores documents under the next revision. @returns the revision */
	publish(publication: Publication): number {
		const last = this.#history.at(-1)!;
		const overlays = new Map(last.overlays);
		if (publication.overlay) {
			overlays.set(publication.site ?? allSites, publication.overlay);
		}

		this.#history.push({revision: last.revision + 1, base: publication.base ?? last.base, overlays});
		this.#respondToWatchers(allClients);
		return this.revision;
	}

	/** Sets how the service responds to one client, or to all clients without a behaviour of their own. */
	setBehaviour(behaviour: Partial<ClientBehaviour>, client: string = allClients): void {
		this.#behaviours.set(client, {...normalBehaviour, ...behaviour});
		this.#respondToWatchers(client);
	}

	/** Restores the normal behaviour for all clients. */
	resetBehaviours(): void {
		this.#behaviours.clear();
		this.#respondToWatchers(allClients);
	}

	/** The response that a client gets now. */
	snapshot(site: string, client: string = allClients): {revision: number; base: Document; overlay: Document} {
		const {frozenRevision, alteredBase} = this.#behaviourOf(client);
		const stored = frozenRevision === undefined
			? this.#history.at(-1)!
			: this.#history.findLast(({revision}) => revision <= frozenRevision) ?? this.#history[0]!;
		return {
			revision: stored.revision,
			base: {...stored.base, ...alteredBase},
			overlay: stored.overlays.get(site) ?? stored.overlays.get(allSites) ?? {},
		};
	}

	async #listen(client: string, port: number): Promise<StandInServer> {
		const listener = this.#disposables.add(await StandInServer.listen({
			host: this.settings.host,
			port,
			routes: this.#routes(client),
			intercept: request => this.#intercept(client, request),
		}));
		this.#servers.set(client, listener);
		return listener;
	}

	#routes(client: string): Route[] {
		return [
			{
				method: 'GET', pattern: /^\/v1\/snapshot$/v, handle: ({response, url}) => {
					sendJson(response, 200, this.snapshot(url.searchParams.get('site') ?? '', client));
				},
			},
			{
				method: 'GET', pattern: /^\/v1\/watch$/v, handle: exchange => {
					this.#handleWatch(client, exchange);
				},
			},
			{
				method: 'PUT', pattern: /^\/control\/documents$/v, handle: exchange => {
					sendJson(exchange.response, 200, {revision: this.publish(publicationSchema.parse(parseBody(exchange)))});
				},
			},
			{
				method: 'POST', pattern: /^\/control\/behaviour$/v, handle: exchange => {
					const {client: target, ...behaviour} = behaviourSchema.parse(parseBody(exchange));
					this.setBehaviour(behaviour, target);
					sendJson(exchange.response, 200, {});
				},
			},
			{
				method: 'POST', pattern: /^\/control\/recover$/v, handle: ({response}) => {
					this.resetBehaviours();
					sendJson(response, 200, {});
				},
			},
			{
				method: 'POST', pattern: /^\/control\/clients$/v, handle: async exchange => {
					const {client: name} = z.strictObject({client: z.string()}).parse(parseBody(exchange));
					sendJson(exchange.response, 200, {address: await this.addClient(name)});
				},
			},
			{
				method: 'GET', pattern: /^\/control\/counters$/v, handle: ({response}) => {
					sendJson(response, 200, this.counters);
				},
			},
		];
	}

	#intercept(client: string, request: IncomingMessage): boolean {
		this.#readCounts.set(client, (this.#readCounts.get(client) ?? 0) + 1);
		return handleUnavailability(this.#behaviourOf(client).availability, request);
	}

	#handleWatch(client: string, {request, response, url}: Exchange): void {
		const site = url.searchParams.get('site') ?? '';
		const after = Number(url.searchParams.get('after') ?? 0);
		const respond = () => {
			if (!handleUnavailability(this.#behaviourOf(client).availability, request)) {
				sendJson(response, 200, this.snapshot(site, client));
			}
		};

		if (this.snapshot(site, client).revision > after) {
			respond();
		} else {
			this.#addWatcher({client, respond}, response);
		}
	}

	#addWatcher(watcher: Watcher, response: ServerResponse): void {
		const timer = setTimeout(() => {
			if (this.#watchers.delete(watcher)) {
				watcher.respond();
			}
		}, this.settings.watchMilliseconds);
		timer.unref();
		response.once('close', () => {
			clearTimeout(timer);
			this.#watchers.delete(watcher);
		});
		this.#watchers.add(watcher);
	}

	/** Responds to waiting watches after a change; watches of a client to which the service is unavailable are reset or left without a response. */
	#respondToWatchers(client: string): void {
		for (const watcher of this.#watchers) {
			if (client === allClients || watcher.client === client) {
				this.#watchers.delete(watcher);
				watcher.respond();
			}
		}
	}

	#behaviourOf(client: string): ClientBehaviour {
		return this.#behaviours.get(client) ?? this.#behaviours.get(allClients) ?? normalBehaviour;
	}
}
