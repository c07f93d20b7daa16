import type {Milliseconds} from '../../shared/clock.js';
import type {EndpointInFlight} from '../membership/types.js';
import type {SiteState} from '../site/site-state.js';
import type {Service} from '../site/types.js';
import type {ServiceScheduler} from './service-scheduler.js';

export type ServiceSchedulersOptions = {
	readonly site: SiteState;
	readonly createScheduler: (service: Service) => ServiceScheduler;
};

/** The schedulers of all services that the configuration names or that requests were sent to. */
export class ServiceSchedulers {
	static create(options: ServiceSchedulersOptions): ServiceSchedulers {
		return new ServiceSchedulers(options);
	}

	readonly #schedulers = new Map<string, ServiceScheduler>();

	private constructor(private readonly options: ServiceSchedulersOptions) {}

	/** Returns the scheduler of a service; the first call creates it. */
	getOrCreate(service: Service): ServiceScheduler {
		let scheduler = this.#schedulers.get(service.name);
		if (scheduler === undefined) {
			scheduler = this.options.createScheduler(service);
			this.#schedulers.set(service.name, scheduler);
			this.#setEndpoints(service.name, scheduler);
		}

		return scheduler;
	}

	/** Returns the scheduler of a service if it has been created. */
	get(service: string): ServiceScheduler | undefined {
		return this.#schedulers.get(service);
	}

	/** Applies the current services, endpoints and evacuated availability zones of the site. */
	update(): void {
		const {site} = this.options;
		for (const service of site.routes?.services() ?? []) {
			this.getOrCreate(service).setService(service);
		}

		for (const [name, scheduler] of this.#schedulers) {
			this.#setEndpoints(name, scheduler);
		}
	}

	dispatchWaiting(): void {
		for (const scheduler of this.#schedulers.values()) {
			scheduler.dispatchWaiting();
		}
	}

	/** Returns the requests of this instance in flight at each endpoint. */
	inFlight(): EndpointInFlight[] {
		const inFlight: EndpointInFlight[] = [];
		for (const scheduler of this.#schedulers.values()) {
			for (const [id, load] of scheduler.loads) {
				if (load.inFlight > 0) {
					inFlight.push([id, load.inFlight]);
				}
			}
		}

		return inFlight;
	}

	/** Returns the requests of this instance in flight at an endpoint. */
	inFlightAt(endpointId: string): number {
		for (const scheduler of this.#schedulers.values()) {
			const load = scheduler.loads.get(endpointId);
			if (load !== undefined) {
				return load.inFlight;
			}
		}

		return 0;
	}

	/** Returns the number of waiting requests by service. */
	waiting(): Record<string, number> {
		return Object.fromEntries([...this.#schedulers].map(([name, scheduler]) => [name, scheduler.waiting]));
	}

	/** Returns the number of endpoints that are briefly slow. */
	slowEndpoints(now: Milliseconds): number {
		let count = 0;
		for (const scheduler of this.#schedulers.values()) {
			for (const {speed} of scheduler.loads.values()) {
				count += speed.slowdown(now) > 1 ? 1 : 0;
			}
		}

		return count;
	}

	#setEndpoints(name: string, scheduler: ServiceScheduler): void {
		const {endpoints, evacuatedZones} = this.options.site;
		scheduler.setEndpoints([...endpoints.values()].filter(endpoint => endpoint.service === name), evacuatedZones);
	}
}
