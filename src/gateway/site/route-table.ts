import {
	type Route, type Service, type SiteConfiguration, type Workspace,
} from './types.js';

/** Looks up routes, services and workspaces of one configuration. */
export class RouteTable {
	static create(configuration: SiteConfiguration): RouteTable {
		return new RouteTable(configuration);
	}

	readonly version: number;
	/** Routes of each host, longest prefix first. */
	readonly #routes = new Map<string, Route[]>();
	readonly #services: ReadonlyMap<string, Service>;
	readonly #workspaces: ReadonlyMap<string, Workspace>;
	readonly #workspacesByKey = new Map<string, Workspace>();

	private constructor(readonly configuration: SiteConfiguration) {
		const {workspaces = []} = configuration;
		this.version = configuration.version;
		for (const route of configuration.routes) {
			const routes = this.#routes.get(route.host) ?? [];
			routes.push(route);
			this.#routes.set(route.host, routes);
		}

		for (const routes of this.#routes.values()) {
			routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
		}

		this.#services = new Map(configuration.services.map(service => [service.name, service]));
		this.#workspaces = new Map(workspaces.map(workspace => [workspace.name, workspace]));
		for (const workspace of workspaces) {
			for (const key of workspace.keys) {
				this.#workspacesByKey.set(key, workspace);
			}
		}
	}

	get hasWorkspaces(): boolean {
		return this.#workspaces.size > 0;
	}

	/** Whether a key means anything. It does even when the last workspace has been removed: the keys of that one are no longer valid. */
	get hasKeys(): boolean {
		return this.configuration.workspaces !== undefined;
	}

	/** @param path may include a query */
	findRoute(host: string, path: string): Route | undefined {
		return this.#routes.get(host)?.find(route => path.startsWith(route.pathPrefix));
	}

	service(name: string): Service | undefined {
		return this.#services.get(name);
	}

	services(): Iterable<Service> {
		return this.#services.values();
	}

	workspaces(): Iterable<Workspace> {
		return this.#workspaces.values();
	}

	findWorkspaceByKey(key: string): Workspace | undefined {
		return this.#workspacesByKey.get(key);
	}
}

/**
Chooses the service of a request at random, by the weights of the route's targets.

@param random from 0 (inclusive) to 1 (exclusive)
*/
export function chooseTarget(route: Route, random: number): string | undefined {
	let total = 0;
	for (const target of route.targets) {
		total += target.weight;
	}

	let remaining = random * total;
	for (const target of route.targets) {
		remaining -= target.weight;
		if (remaining < 0) {
			return target.service;
		}
	}

	return route.targets.at(-1)?.service;
}
