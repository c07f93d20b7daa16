/** Baseline routers for comparison: they send immediately, have no queue and no tiers, and know only their own requests. */
import type {Disposable} from '../src/shared/disposable-store.js';
import {createRecord} from './attempts.js';
import {DirectClient} from './direct-client.js';
import type {PlannedRequest} from './load-plan.js';
import {Random} from './random.js';
import type {RequestRecord} from './records.js';

/** Host and port by endpoint name. */
export type Addresses = ReadonlyMap<string, string>;

/** State of one router for the endpoints of one service. */
type RouterState = {
	readonly names: readonly string[];
	readonly outstanding: Map<string, number>;
	readonly random: Random;
	/** Round-robin position of the next request. */
	nextPosition: number;
};

type Policy = (knowledge: RouterState) => string;

function pickRandom(names: readonly string[], random: Random): string {
	return names[Math.floor(random.uniform() * names.length)]!;
}

const policies = {
	'round robin'({names, nextPosition}) {
		return names[nextPosition % names.length]!;
	},
	random({names, random}) {
		return pickRandom(names, random);
	},
	'least outstanding'({names, outstanding, random}) {
		const least = Math.min(...names.map(name => outstanding.get(name) ?? 0));
		// Routers that all break ties in the same order would send to the same endpoint.
		return pickRandom(names.filter(name => (outstanding.get(name) ?? 0) === least), random);
	},
} as const satisfies Record<string, Policy>;

export type BaselineName = keyof typeof policies;

export const baselineNames = Object.keys(policies) as readonly BaselineName[];

class Router {
	static create(endpoints: readonly Addresses[], seed: number): Router {
		const random = Random.create(seed);
		return new Router(endpoints.map(addresses => {
			const names = [...addresses.keys()];
			return {
				names, outstanding: new Map(), random, nextPosition: Math.floor(random.uniform() * names.length),
			};
		}));
	}

	private constructor(private readonly states: readonly RouterState[]) {}

	/** Selects an endpoint and counts the request as outstanding. */
	startRequest(service: number, baseline: BaselineName): string {
		const state = this.states[service]!;
		const name = policies[baseline](state);
		state.nextPosition++;
		state.outstanding.set(name, (state.outstanding.get(name) ?? 0) + 1);
		return name;
	}

	endRequest(service: number, name: string): void {
		const {outstanding} = this.states[service]!;
		outstanding.set(name, outstanding.get(name)! - 1);
	}
}

export type BaselineOptions = {
	readonly baseline: BaselineName;
	/** Number of routers. The planned entry position of a request selects its router. */
	readonly routers: number;
	readonly seed: number;
	readonly engines: Addresses;
	readonly plainServices: Addresses;
	readonly timeoutMs: number;
};

/** Independent routers of one kind, which replace the entries. */
export class Baseline implements Disposable {
	static create(options: BaselineOptions): Baseline {
		return new Baseline(options);
	}

	readonly #client: DirectClient;
	readonly #routers: readonly Router[];
	/** Indexed like the services of the routers. */
	readonly #services: readonly Addresses[];

	private constructor(private readonly options: BaselineOptions) {
		const {routers, seed, engines, plainServices, timeoutMs} = options;
		this.#services = [engines, plainServices];
		this.#client = DirectClient.create({timeoutMs});
		this.#routers = Array.from({length: routers}, (_, index) => Router.create(this.#services, seed + index));
	}

	async send(planned: PlannedRequest, startedAt: number): Promise<RequestRecord[]> {
		const router = this.#routers[Math.floor(planned.entryPosition * this.#routers.length)]!;
		const service = planned.kind === 'engine' ? 0 : 1;
		const name = router.startRequest(service, this.options.baseline);
		const attempt = await this.#client.send(planned, this.#services[service]!.get(name)!);
		router.endRequest(service, name);
		return [createRecord(planned, startedAt, attempt, [])];
	}

	async dispose(): Promise<void> {
		await this.#client.dispose();
	}
}
