/** HTTP client of the platform's configuration service. */
import {z} from 'zod';
import type {Milliseconds} from '../../shared/clock.js';
import {JsonClient} from './json-client.js';
import {PlatformError, platformErrorTypes} from './platform-error.js';
import type {ConfigurationService, ConfigurationSnapshot} from './types.js';

const snapshotSchema = z.object({
	revision: z.number().int().nonnegative(),
	base: z.unknown(),
	/** A site without an overlay has an empty one. */
	overlay: z.unknown().transform(overlay => overlay ?? {}),
});

export type ConfigurationServiceClientOptions = {
	readonly url: string;
	readonly site: string;
	/** Timeout of reading a snapshot. Default: 2,000 ms. */
	readonly snapshotTimeoutMs?: Milliseconds;
	/** Timeout of one watch. The service must end the watch earlier, otherwise it fails. Default: 40,000 ms. */
	readonly watchTimeoutMs?: Milliseconds;
};

export class ConfigurationServiceClient implements ConfigurationService {
	static create(options: ConfigurationServiceClientOptions): ConfigurationServiceClient {
		return new ConfigurationServiceClient(options);
	}

	readonly #client: JsonClient;

	private constructor(private readonly options: ConfigurationServiceClientOptions) {
		this.#client = JsonClient.create({baseUrl: options.url});
	}

	async readSnapshot(signal: AbortSignal): Promise<ConfigurationSnapshot> {
		const snapshot = await this.#client.get({
			path: '/v1/snapshot',
			query: {site: this.options.site},
			schema: snapshotSchema,
			timeoutMs: this.options.snapshotTimeoutMs ?? 2000,
			signal,
		});
		if (snapshot === undefined) {
			throw PlatformError.create(platformErrorTypes.malformed, '/v1/snapshot: no content');
		}

		return snapshot;
	}

	async watch(afterRevision: number, signal: AbortSignal): Promise<ConfigurationSnapshot | undefined> {
		return this.#client.get({
			path: '/v1/watch',
			query: {site: this.options.site, after: afterRevision},
			schema: snapshotSchema,
			timeoutMs: this.options.watchTimeoutMs ?? 40_000,
			signal,
		});
	}

	async dispose(): Promise<void> {
		await this.#client.dispose();
	}
}
