import type {Milliseconds} from '../../shared/clock.js';

/** Number of requests that one instance has in flight at an endpoint. */
export type EndpointInFlight = readonly [endpointId: string, requests: number];

/** Units that one instance has used of a workspace's quota since its start, and the units that it estimates are left for all instances. */
export type WorkspaceUsage = readonly [workspace: string, units: number, level: number];

/** What an instance sends to the others periodically. Each heartbeat holds the complete state, so losing one only makes the data older. */
export type Heartbeat = {
	readonly host: string;
	readonly availabilityZone: string;
	/** Random number that identifies one run of the process. */
	readonly incarnation: number;
	/** Increases with each heartbeat of an incarnation. */
	readonly sequence: number;
	/** Whether the process is about to end. */
	readonly isLeaving: boolean;
	readonly inFlight: readonly EndpointInFlight[];
	readonly usage: readonly WorkspaceUsage[];
	/** Hosts of some instances from which the sender receives heartbeats. */
	readonly knownHosts: readonly string[];
};

/** Another instance, as known from its last heartbeat. */
export type Peer = {
	readonly host: string;
	readonly availabilityZone: string;
	readonly incarnation: number;
	readonly sequence: number;
	readonly lastHeardAt: Milliseconds;
	readonly inFlight: readonly EndpointInFlight[];
};
