/** HTTP client of the platform's instance list. */
import {z} from 'zod';
import {hostAndPort} from '../../shared/address.js';
import type {Milliseconds} from '../../shared/clock.js';
import {JsonClient} from './json-client.js';
import {PlatformError, platformErrorTypes} from './platform-error.js';
import type {InstanceListService, InstanceListing} from './types.js';

const listingSchema = z.object({
	revision: z.number().int().nonnegative(),
	instances: z.array(z.object({
		name: z.string().min(1),
		role: z.enum(['entry', 'endpoint']),
		state: z.enum(['live', 'leaving']),
		availabilityZone: z.string().min(1),
		addresses: z.object({
			callers: hostAndPort.optional(),
			peers: hostAndPort.optional(),
			operators: hostAndPort.optional(),
		}).default({}),
	})).max(65_536),
});

export type InstanceListClientOptions = {
	readonly url: string;
	/** Timeout of reading the list. Default: 2,000 ms. */
	readonly timeoutMs?: Milliseconds;
};

export class InstanceListClient implements InstanceListService {
	static create(options: InstanceListClientOptions): InstanceListClient {
		return new InstanceListClient(options);
	}

	readonly #client: JsonClient;

	private constructor(private readonly options: InstanceListClientOptions) {
		this.#client = JsonClient.create({baseUrl: options.url});
	}

	async readListing(signal: AbortSignal): Promise<InstanceListing> {
		const listing = await this.#client.get({
			path: '/v1/instances', schema: listingSchema, timeoutMs: this.options.timeoutMs ?? 2000, signal,
		});
		if (listing === undefined) {
			throw PlatformError.create(platformErrorTypes.malformed, '/v1/instances: no content');
		}

		return listing;
	}

	async dispose(): Promise<void> {
		await this.#client.dispose();
	}
}
