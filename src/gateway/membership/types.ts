import type {Milliseconds} from '../../shared/clock.js';

/** Requests that one instance has under way at an endpoint. */
export type EndpointInFlight = readonly [endpointId: string, running: number];

/** Units that one instance has used of a workspace's quota since its start, and what it believes is left for all instances. */
export type WorkspaceUsage = readonly [workspace: string, units: number, level: number];

/** What an instance tells the others again and again. Each beat is complete, so a lost one costs nothing but age. */
export type Heartbeat = {
	readonly host: string;
	readonly availabilityZone: string;
	/** Random number of one run of the process. */
	readonly incarnation: number;
	/** Grows with each beat of an incarnation. */
	readonly sequence: number;
	/** Whether the process is about to end. */
	readonly isLeaving: boolean;
	readonly inFlight: readonly EndpointInFlight[];
	readonly usage: readonly WorkspaceUsage[];
	/** Hosts of some instances that the sender hears. */
	readonly knownHosts: readonly string[];
};

/** Another instance, as far as it is known. */
export type Peer = {
	readonly host: string;
	readonly availabilityZone: string;
	readonly incarnation: number;
	readonly sequence: number;
	readonly lastHeardAt: Milliseconds;
	readonly inFlight: readonly EndpointInFlight[];
};
