import * as z from 'zod';

/**
The status report that an entry instance serves on its operator port, shared by the entry and `jackdawfork-fleet`.

Objects are not strict: a newer entry may report fields that an older operator program does not know.
*/

const milliseconds = z.number();
const count = z.number().int().nonnegative();

/** Types of problems that an entry reports or that a comparison of several reports finds. */
export const problemTypes = {
	notReady: 'not-ready',
	leaseNotHeld: 'lease-not-held',
	noConfiguration: 'no-configuration',
	configurationConflict: 'configuration-conflict',
	configurationRejected: 'configuration-rejected',
	configurationServiceUnreachable: 'configuration-service-unreachable',
	configurationServiceBehind: 'configuration-service-behind',
	instanceListUnreachable: 'instance-list-unreachable',
	peerUnreachable: 'peer-unreachable',
	slotBound: 'slot-bound',
	endpointUnreachable: 'endpoint-unreachable',
	endpointCold: 'endpoint-cold',
	endpointSlow: 'endpoint-slow',
	tierSlow: 'tier-slow',
	invariantBroken: 'invariant-broken',
	entryUnreachable: 'entry-unreachable',
	slotVacant: 'slot-vacant',
	versionsDiffer: 'versions-differ',
	availabilityZoneStatesDiffer: 'availability-zone-states-differ',
	duplicateSlot: 'duplicate-slot',
} as const;

export type ProblemType = (typeof problemTypes)[keyof typeof problemTypes];

/** A problem that exists when the report is made. */
export const statusProblemSchema = z.object({
	/** One of `problemTypes`; a newer entry may report others. */
	type: z.string(),
	/** What is affected: an endpoint, tier, slot, address or invariant. */
	subject: z.string(),
	detail: z.string(),
});

export type StatusProblem = z.infer<typeof statusProblemSchema>;

const endpointFindingSchema = z.object({
	type: z.literal('endpoint-slow'),
	endpoint: z.string(),
	service: z.string(),
	measure: z.enum(['first-token', 'between-tokens']),
	/** What the endpoint was compared with. */
	comparedWith: z.enum(['own-past', 'peers']),
	/** Current value divided by the reference value. */
	factor: z.number(),
	presentMilliseconds: milliseconds,
	referenceMilliseconds: milliseconds,
	/** Number of observations in the current value. */
	observations: count,
});

const tierFindingSchema = z.object({
	type: z.literal('tier-slow'),
	tier: z.string(),
	measure: z.enum(['first-token', 'answer']),
	/** Current value divided by the tier's bound. */
	factor: z.number(),
	presentMilliseconds: milliseconds,
	boundMilliseconds: milliseconds,
	observations: count,
});

/** A finding of the slow detector. */
export const slowFindingSchema = z.discriminatedUnion('type', [endpointFindingSchema, tierFindingSchema]);

export type SlowFinding = z.infer<typeof slowFindingSchema>;
export type EndpointSlowFinding = z.infer<typeof endpointFindingSchema>;
export type TierSlowFinding = z.infer<typeof tierFindingSchema>;

const platformContactSchema = z.object({
	isReachable: z.boolean(),
	/** Time since the last successful request; absent before the first. */
	lastContactMillisecondsAgo: milliseconds.optional(),
	/** The highest revision that it returned. */
	revision: z.number().optional(),
});

/** The state of one entry instance. */
export const statusReportSchema = z.object({
	slot: z.string(),
	incarnation: z.string(),
	site: z.string(),
	region: z.string(),
	availabilityZone: z.string(),
	/** Host and port where this report is served. */
	operatorAddress: z.string(),
	/** Wall-clock time of the report, milliseconds since the Unix epoch. */
	wallTime: milliseconds,
	upMilliseconds: milliseconds,
	readiness: z.object({
		ready: z.boolean(),
		reason: z.string().optional(),
	}),
	/** Absent until the first valid document is adopted. */
	configuration: z.object({
		version: z.number(),
		digest: z.string(),
		/** Where the version came from: the configuration service or the name of a slot. */
		source: z.string(),
		inForceMilliseconds: milliseconds,
	}).optional(),
	configurationService: platformContactSchema,
	instanceList: platformContactSchema,
	lease: z.object({
		isHeld: z.boolean(),
		/** Time until it expires unless it is renewed; absent when it is not held. */
		remainingMilliseconds: milliseconds.optional(),
		/** How often it was lost since the process started. */
		lostCount: count,
		/** All slots of the lease group, its own included, from the configuration in force; empty without one. */
		groupSlots: z.array(z.string()),
	}),
	/** The other slots of the lease group and other entries that are known. */
	peers: z.array(z.object({
		slot: z.string(),
		region: z.string().optional(),
		availabilityZone: z.string().optional(),
		incarnation: z.string().optional(),
		/** Host and port of its operator port, if known. */
		operatorAddress: z.string().optional(),
		/** Absent before the first contact. */
		lastContactMillisecondsAgo: milliseconds.optional(),
		configurationVersion: z.number().optional(),
		isReachable: z.boolean(),
		isLeaving: z.boolean().default(false),
	})),
	/** Highest tier first. */
	tiers: z.array(z.object({
		tier: z.string(),
		rank: count,
		waiting: count,
		running: count,
		/** Waiting time of the oldest waiting request; absent when there is none. */
		oldestWaitingMilliseconds: milliseconds.optional(),
	})),
	endpoints: z.array(z.object({
		endpoint: z.string(),
		service: z.string(),
		address: z.string(),
		availabilityZone: z.string(),
		/** Whether both its configured state and that of its availability zone are `in`. */
		isInService: z.boolean(),
		isLeaving: z.boolean().default(false),
		phase: z.enum(['cold', 'warming', 'warm']),
		/** Units that may be used in the current phase, by all slots together. */
		limit: count,
		/** Units that may be used when the endpoint is warm. */
		units: count,
		/** Units in use by this entry. */
		unitsInUse: count,
	})),
	availabilityZones: z.array(z.object({
		availabilityZone: z.string(),
		region: z.string(),
		state: z.enum(['in', 'out']),
	})),
	slowFindings: z.array(slowFindingSchema),
	/** Problems known to the entry that no other field shows, such as a rejected configuration version. */
	problems: z.array(statusProblemSchema),
});

export type StatusReport = z.infer<typeof statusReportSchema>;
