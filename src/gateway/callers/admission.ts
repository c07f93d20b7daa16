import type {Clock, Milliseconds} from '../../shared/clock.js';
import type {WorkspaceQuotas} from '../limits/workspace-quotas.js';
import {partKeysOf} from '../quarantine/part-keys.js';
import type {Freshness} from '../site/freshness.js';
import {chooseTarget, type RouteTable} from '../site/route-table.js';
import type {SiteState} from '../site/site-state.js';
import {quotaUnits, type Route, type Workspace} from '../site/types.js';
import type {GatewayFailure} from './failures.js';
import type {CallerRequestMetadata} from './types.js';

/** Time after which a caller may retry when this instance lacks a fresh configuration or an endpoint; another instance may serve it. */
const staleRetryAfterMs: Milliseconds = 300;

/** Minimum time that a caller over its quota is told to wait. */
const minimumQuotaRetryAfterMs: Milliseconds = 200;

/** A request that may be queued. */
export type Admitted = {
	readonly kind: 'admitted';
	readonly route: Route;
	readonly service: string;
	readonly tier: number;
	readonly workspace?: Workspace;
	/** Units that were taken from the workspace's quota. */
	readonly units: number;
	readonly version: number;
};

export type Rejected = {
	readonly kind: 'rejected';
	readonly failure: GatewayFailure;
	readonly route?: Route;
	/** Set when the quota was exceeded. */
	readonly workspace?: Workspace;
	readonly units?: number;
};

export type AdmissionResult = Admitted | Rejected;

/** A request that an operator asks about. */
export type PreviewedRequest = {
	readonly route: Route;
	readonly workspace?: Workspace;
	readonly tokens?: CallerRequestMetadata['tokens'];
};

export type AdmissionOptions = {
	readonly site: SiteState;
	readonly freshness: Freshness;
	readonly quotas: WorkspaceQuotas;
	readonly clock: Clock;
	/** Returns the time after which the caller may retry a request with these prompt parts, or undefined when it may be dispatched. */
	readonly withhold: (promptParts: readonly string[]) => Milliseconds | undefined;
	/** Returns a random number from 0 to below 1. */
	readonly random: () => number;
};

function rejected(failure: GatewayFailure, route?: Route): Rejected {
	return {kind: 'rejected', failure, route};
}

/** Whether a caller sent a key that no workspace holds. It is refused on every route: served as a request without a key, it would run although its key was taken away. */
function isKeyUnknown(routes: RouteTable, key: string | undefined, workspace: Workspace | undefined): boolean {
	return key !== undefined && workspace === undefined && routes.hasKeys;
}

/** Whether a request that belongs to no workspace is on a route that serves workspaces only. */
function isKeyMissing(routes: RouteTable, route: Route, workspace: Workspace | undefined): boolean {
	return workspace === undefined && routes.hasWorkspaces && !route.allowsAnonymous;
}

/** Decides whether a request may be queued, by its route, its key, the age of the configuration, and the quota of its workspace. */
export class Admission {
	static create(options: AdmissionOptions): Admission {
		return new Admission(options);
	}

	private constructor(private readonly options: AdmissionOptions) {}

	/** @param arrivedAt arrival of the request on the clock of the site state */
	decide(metadata: CallerRequestMetadata, path: string, arrivedAt: Milliseconds): AdmissionResult {
		const {site, random, withhold} = this.options;
		const {routes} = site;
		if (metadata.requestId === undefined) {
			return rejected({type: 'missingRequestId'});
		}

		if (routes === undefined) {
			return rejected({type: 'noConfiguration', retryAfterMs: staleRetryAfterMs});
		}

		const stale = this.#findStale(arrivedAt);
		if (stale !== undefined) {
			return rejected(stale);
		}

		const route = routes.findRoute(metadata.host, path);
		if (route === undefined) {
			return rejected({type: 'unknownRoute'});
		}

		const workspace = metadata.key === undefined ? undefined : routes.findWorkspaceByKey(metadata.key);
		if (isKeyUnknown(routes, metadata.key, workspace) || isKeyMissing(routes, route, workspace)) {
			return rejected({type: 'unknownKey'}, route);
		}

		const service = chooseTarget(route, random());
		if (service === undefined || routes.service(service) === undefined) {
			return rejected({type: 'noEndpoint', retryAfterMs: staleRetryAfterMs}, route);
		}

		const withheldForMs = withhold(partKeysOf(metadata.sharedPromptParts));
		if (withheldForMs !== undefined) {
			return rejected({type: 'withheld', retryAfterMs: withheldForMs}, route);
		}

		return this.#takeQuota(metadata, {
			kind: 'admitted', route, service, tier: workspace?.tier ?? route.tier, workspace, units: 0, version: routes.version,
		});
	}

	/**
	Returns why a request on a route would be rejected, and takes nothing. Prompt parts are not considered.

	@param arrivedAt as for `decide`
	*/
	preview({route, workspace, tokens}: PreviewedRequest, arrivedAt: Milliseconds): GatewayFailure | undefined {
		const {site: {routes}, quotas, clock} = this.options;
		const stale = this.#findStale(arrivedAt);
		if (stale !== undefined) {
			return stale;
		}

		if (routes !== undefined && isKeyMissing(routes, route, workspace)) {
			return {type: 'unknownKey'};
		}

		const waitMs = workspace?.quota === undefined ? 0 : quotas.waitMs(workspace.name, this.#requiredUnits(tokens, workspace.quota), clock.now());
		return waitMs > 0 ? this.#quotaFailure(waitMs) : undefined;
	}

	#findStale(arrivedAt: Milliseconds): GatewayFailure | undefined {
		const {site, freshness} = this.options;
		return freshness.allowsForwarding(arrivedAt, site.confirmedAt) ? undefined : {type: 'stale', retryAfterMs: staleRetryAfterMs};
	}

	#quotaFailure(waitMs: Milliseconds): GatewayFailure {
		return {type: 'quotaExceeded', retryAfterMs: Math.max(waitMs, minimumQuotaRetryAfterMs)};
	}

	#takeQuota(metadata: CallerRequestMetadata, admitted: Admitted): AdmissionResult {
		const {workspace, route} = admitted;
		const units = workspace?.quota === undefined ? 0 : this.#requiredUnits(metadata.tokens, workspace.quota);
		if (workspace !== undefined && units > 0) {
			const taken = this.options.quotas.tryTake(workspace.name, units, this.options.clock.now());
			if (!taken.isTaken) {
				return {...rejected(this.#quotaFailure(taken.waitMs), route), workspace, units};
			}
		}

		return {...admitted, units};
	}

	#requiredUnits(tokens: CallerRequestMetadata['tokens'], quota: NonNullable<Workspace['quota']>): number {
		if (quota.unit === quotaUnits.requests) {
			return 1;
		}

		return tokens === undefined ? quota.defaultTokens : tokens.prompt + tokens.output;
	}
}
