import type {SocketAddress} from '../shared/address.js';
import type {Milliseconds} from '../shared/clock.js';

/** Limits that the deployment promises; the units are in the names. */
export type Bounds = {
	/** Time between the request to stop and the kill. */
	readonly stopGraceMs: Milliseconds;
	/** Time after which a removed key may not be served by any instance. */
	readonly revocationMs: Milliseconds;
	/** Repeats allowed for each request to a service within the retry window. */
	readonly retryRatio: number;
	readonly retryWindowMs: Milliseconds;
	/** Repeats allowed besides the share, for a service and all instances together. */
	readonly retryExtra: number;
	readonly quotaWindowMs: Milliseconds;
	/** Tolerated part of a quota beyond itself. */
	readonly quotaOverageRatio: number;
	/** Tolerated tokens beyond the quota and its overage. */
	readonly quotaSlackTokens: number;
	/** Tolerated multiple of a cold endpoint's rate. */
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
	/** Hosts of a few instances; they may be stale or down. */
	readonly seedHosts: readonly string[];
	/** Whether the whole system starts for the first time. */
	readonly isFirstStart: boolean;
	readonly callerAddress: SocketAddress;
	readonly readinessAddress: SocketAddress;
	readonly storeAddress: SocketAddress;
	readonly bounds: Bounds;
};
