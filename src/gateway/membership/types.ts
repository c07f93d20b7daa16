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
	/** Number of instances that the sender knows; undefined while it may know only a part of a small fleet. */
	readonly fleetSize?: number;
};

/** What one instance sends to the other availability zones on behalf of its own. Like a heartbeat, it holds the complete state. */
export type ZoneSummary = {
	readonly availabilityZone: string;
	/** The instance that created it. */
	readonly relayHost: string;
	readonly relayIncarnation: number;
	/** Increases with each summary of an incarnation. */
	readonly sequence: number;
	/** Hosts of the instances in the zone that are not forgotten. */
	readonly hosts: readonly string[];
	/** The relays of the other zones that the sender knows, so that zones without a common seed find each other. */
	readonly otherRelays: ReadonlyArray<readonly [availabilityZone: string, host: string]>;
	/** Sums over the present instances of the zone. */
	readonly inFlight: readonly EndpointInFlight[];
	/** Units that the zone has used since the relay's start, as far as the relay knows. */
	readonly usage: readonly WorkspaceUsage[];
};

/** Another instance, as known from its last heartbeat. */
export type Peer = {
	readonly host: string;
	readonly availabilityZone: string;
	readonly incarnation: number;
	readonly sequence: number;
	/** When its process was first heard. */
	readonly heardSince: Milliseconds;
	readonly lastHeardAt: Milliseconds;
	readonly inFlight: readonly EndpointInFlight[];
};
