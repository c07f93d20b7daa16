import type {SocketAddress} from '../shared/address.js';
import type {Milliseconds} from '../shared/clock.js';
import type {SchedulingSettings} from './scheduling/scheduling-features.js';

/** Bounds that the deployment guarantees. */
export type Bounds = {
	/** Time between the request to stop a process and its kill. */
	readonly stopGraceMs: Milliseconds;
	/** Time within which a new configuration and the removal of an endpoint must take effect. */
	readonly changeMs: Milliseconds;
	/** Time after which no instance may serve a removed key. */
	readonly revocationMs: Milliseconds;
	/** Allowed ratio of retries to requests of a service within the retry window. */
	readonly retryRatio: number;
	readonly retryWindowMs: Milliseconds;
	/** Retries allowed beyond the ratio, for each service and all instances together. */
	readonly retryExtra: number;
	readonly quotaWindowMs: Milliseconds;
	/** Tolerated overuse as a ratio of the quota. */
	readonly quotaOverageRatio: number;
	/** Tolerated tokens beyond the quota and its overage. */
	readonly quotaSlackTokens: number;
	/** Tolerated multiple of the rate of a cold endpoint. */
	readonly coldRateFactor: number;
	/** Tolerated requests a second beyond that multiple. */
	readonly coldSlackPerSecond: number;
};

/** Settings of one gateway process. */
export type InstanceSettings = {
	readonly instanceName: string;
	readonly host: string;
	readonly availabilityZone: string;
	/** Ports for traffic between instances, the same on all of them. */
	readonly internalPorts: {readonly first: number; readonly last: number};
	/** Hosts of some instances, used to find the others. They may be outdated or down. */
	readonly seedHosts: readonly string[];
	/** Whether this is the first start of the whole system. */
	readonly isFirstStart: boolean;
	readonly callerAddress: SocketAddress;
	readonly readinessAddress: SocketAddress;
	readonly storeAddress: SocketAddress;
	readonly bounds: Bounds;
	/** Connections that callers may open. Default: three quarters of the descriptors beyond 200, 2,922 at most. */
	readonly maximumCallerConnections?: number;
	/** Optional parts of the scheduling; none of them acts without it. */
	readonly scheduling?: SchedulingSettings;
};
