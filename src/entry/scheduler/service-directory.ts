import type {Configuration, EndpointConfiguration, ServiceConfiguration} from '../../shared/configuration/index.js';

/** An endpoint of a service with its configuration. */
export type DirectoryEndpoint = EndpointConfiguration & {readonly name: string};

/**
The configured services and endpoints, and which endpoints may get new requests.

An endpoint may not get new requests when it or its availability zone is configured `out`, when the instance list shows it as leaving, or when it is in another region, whose entries own its units.
*/
export class ServiceDirectory {
	static create(region: string): ServiceDirectory {
		return new ServiceDirectory(region);
	}

	#configuration: Configuration | undefined;
	#leavingEndpoints: ReadonlySet<string> = new Set();
	#inService = new Map<string, DirectoryEndpoint[]>();

	private constructor(private readonly region: string) {}

	setConfiguration(configuration: Configuration): void {
		this.#configuration = configuration;
		this.#rebuild();
	}

	setLeaving(leavingEndpoints: ReadonlySet<string>): void {
		this.#leavingEndpoints = leavingEndpoints;
		this.#rebuild();
	}

	service(name: string): ServiceConfiguration | undefined {
		return this.#configuration?.services[name];
	}

	services(): string[] {
		return Object.keys(this.#configuration?.services ?? {});
	}

	/** Endpoints of a service that may get new requests. */
	endpointsInService(service: string): readonly DirectoryEndpoint[] {
		return this.#inService.get(service) ?? [];
	}

	endpoint(name: string): DirectoryEndpoint | undefined {
		const endpoint = this.#configuration?.endpoints[name];
		return endpoint && {...endpoint, name};
	}

	/** Whether the endpoint may get new requests now. */
	mayReceiveWork(name: string): boolean {
		const endpoint = this.#configuration?.endpoints[name];
		const availabilityZone = endpoint && this.#configuration?.availabilityZones[endpoint.availabilityZone];
		return endpoint?.state === 'in'
			&& availabilityZone?.state === 'in'
			&& availabilityZone.region === this.region
			&& !this.#leavingEndpoints.has(name);
	}

	isLeaving(name: string): boolean {
		return this.#leavingEndpoints.has(name);
	}

	#rebuild(): void {
		this.#inService = new Map();
		for (const [name, endpoint] of Object.entries(this.#configuration?.endpoints ?? {})) {
			if (this.mayReceiveWork(name)) {
				const endpoints = this.#inService.get(endpoint.service) ?? [];
				endpoints.push({...endpoint, name});
				this.#inService.set(endpoint.service, endpoints);
			}
		}
	}
}
