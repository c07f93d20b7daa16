import {performance} from 'node:perf_hooks';
import type {Milliseconds} from '../src/shared/clock.js';
import {createConfigurationDocument} from '../standins/platform-documents.js';
import type {PlatformStore} from '../standins/platform-store.js';
import type {CallerKey} from './callers.js';
import {bounds, limitedWorkspace} from './checks.js';
import {coldMs, engineService, slowService} from './endpoints.js';
import type {SiteEvent} from './history.js';

/** Services that lookups are routed to alternately. The service that receives a lookup shows which configuration is in force. */
export const lookupServices = ['diaries', 'calendars'] as const;

/** Revoked keys that callers continue to use, as offsets from the current temporary key. */
const revokedKeyOffsets = [-1, -2, -3] as const;

const defaultIdleTimeoutMs: Milliseconds = 15_000;

/** Longer than any caller waits. */
const routeTimeoutMs: Milliseconds = 15_000;

export type ConfigurationChange = {
	/** Default: 0. */
	readonly addedRoutes?: number;
	/** Default: 15 s. */
	readonly idleTimeoutMs?: Milliseconds;
};

/** The configuration of the site, with the keys and routes that it changes. */
export class SoakConfiguration {
	static create(store: PlatformStore, events: SiteEvent[]): SoakConfiguration {
		return new SoakConfiguration(store, events);
	}

	#version = 0;
	#lookupServiceIndex = 0;
	#temporaryKeyNumber = 0;

	private constructor(private readonly store: PlatformStore, private readonly events: SiteEvent[]) {}

	/** Keys that callers use: permanent ones, the temporary one, and recently revoked ones. */
	callerKeys(): CallerKey[] {
		return [
			{key: 'key-wick', workspace: 'wick'},
			{key: 'key-wick', workspace: 'wick'},
			{key: 'key-busy', workspace: limitedWorkspace},
			{key: 'key-busy', workspace: limitedWorkspace},
			{key: this.#temporaryKeyName(0), workspace: 'wick'},
			...revokedKeyOffsets.map(offset => ({key: this.#temporaryKeyName(offset), workspace: 'wick'})),
		];
	}

	/** Writes a new version of the configuration. */
	publish({addedRoutes = 0, idleTimeoutMs = defaultIdleTimeoutMs}: ConfigurationChange = {}): void {
		this.#version += 1 + (this.#version % 3);
		const document = createConfigurationDocument();
		const lookupService = lookupServices[this.#lookupServiceIndex];
		const knownRoutes = (document.routes as Array<Record<string, unknown>>).map(route =>
			// eslint-disable-next-line @typescript-eslint/naming-convention -- the platform's name
			route.name === 'lookups' ? {...route, service: lookupService, allow_anonymous: true} : route);
		const bookings = knownRoutes.find(({name}) => name === 'bookings');
		this.events.push({kind: 'configuration-published', at: performance.now()});
		/* eslint-disable @typescript-eslint/naming-convention -- the platform's names */
		const routes = [
			...knownRoutes,
			{
				...bookings, name: 'reports', path_prefix: '/reports/', service: slowService, timeout_ms: routeTimeoutMs,
			},
			...Array.from({length: addedRoutes}, (_, index) => ({...knownRoutes[0], name: `added-${index}`, path_prefix: `/added/${index}/`})),
		];
		this.store.put('op/config', {
			...document,
			version: this.#version,
			routes,
			limits: {...document.limits as Record<string, unknown>, idle_timeout_ms: idleTimeoutMs},
			services: [
				{
					name: engineService, max_connections: 100, cold_start_s: coldMs / 1000, cold_per_s: bounds.coldRequestsPerSecond,
				},
				...[...lookupServices, slowService].map(name => ({name, max_connections: 100})),
			],
			tenants: [
				{name: 'wick', api_keys: ['key-wick', this.#temporaryKeyName(0)]},
				{
					name: limitedWorkspace, api_keys: ['key-busy'], unit: 'tokens', plain_tokens: 10, rate_per_s: bounds.quotaPerSecond, burst: bounds.quotaBurst,
				},
			],
		});
		/* eslint-enable @typescript-eslint/naming-convention */
	}

	/** Routes lookups to the other service. */
	moveLookups(): void {
		const now = performance.now();
		for (const event of this.events) {
			if (event.kind === 'lookups-moved') {
				event.until = Math.min(event.until, now);
			}
		}

		this.#lookupServiceIndex = (this.#lookupServiceIndex + 1) % lookupServices.length;
		this.publish();
		this.events.push({
			kind: 'lookups-moved', service: lookupServices[this.#lookupServiceIndex]!, at: performance.now(), until: Infinity,
		});
	}

	/** Replaces the temporary key with a new one. */
	revokeKey(): void {
		const key = this.#temporaryKeyName(0);
		this.#temporaryKeyNumber++;
		this.publish();
		this.events.push({kind: 'key-revoked', key, at: performance.now()});
	}

	#temporaryKeyName(offset: number): string {
		return `key-temporary-${this.#temporaryKeyNumber + offset}`;
	}
}
