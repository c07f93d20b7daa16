import type {EndpointInFlight} from '../membership/types.js';
import type {SiteState} from '../site/site-state.js';
import type {Service} from '../site/types.js';
import type {ServiceScheduler} from './service-scheduler.js';

export type ServiceSchedulersOptions = {
	readonly site: SiteState;
	readonly createScheduler: (service: Service) => ServiceScheduler;
};

/** The schedulers of all services that requests were sent to or that the configuration names. */
export class ServiceSchedulers {
	static create(options: ServiceSchedulersOptions): ServiceSchedulers {
		return new ServiceSchedulers(options);
	}

	readonly #schedulers = new Map<string, ServiceScheduler>();

	private constructor(private readonly options: ServiceSchedulersOptions) {}

	/** The scheduler of a service, which is created when it is first asked for. */
	of(service: Service): ServiceScheduler {
		let scheduler = this.#schedulers.get(service.name);
		if (scheduler === undefined) {
			scheduler = this.options.createScheduler(service);
			this.#schedulers.set(service.name, scheduler);
			this.#useEndpoints(service.name, scheduler);
		}

		return scheduler;
	}

	/** Takes over what has changed of the site. */
	update(): void {
		const {site} = this.options;
		for (const service of site.routes?.services() ?? []) {
			this.of(service).useService(service);
		}

		for (const [name, scheduler] of this.#schedulers) {
			this.#useEndpoints(name, scheduler);
		}
	}

	pump(): void {
		for (const scheduler of this.#schedulers.values()) {
			scheduler.pump();
		}
	}

	/** Requests of this instance under way at endpoints. */
	runs(): EndpointInFlight[] {
		const runs: EndpointInFlight[] = [];
		for (const scheduler of this.#schedulers.values()) {
			for (const [id, load] of scheduler.loads) {
				if (load.running > 0) {
					runs.push([id, load.running]);
				}
			}
		}

		return runs;
	}

	/** Waiting requests by service. */
	waiting(): Record<string, number> {
		return Object.fromEntries([...this.#schedulers].map(([name, scheduler]) => [name, scheduler.waiting]));
	}

	#useEndpoints(name: string, scheduler: ServiceScheduler): void {
		const {endpoints, evacuatedZones} = this.options.site;
		scheduler.useEndpoints([...endpoints.values()].filter(endpoint => endpoint.service === name), evacuatedZones);
	}
}
