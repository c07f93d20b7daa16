import * as z from 'zod';

/**
What a gateway answers to a question of `jackdawfork-fleet explain`, shared by both.

Objects are not strict: a newer gateway may report fields that an older operator program does not know.
*/

const milliseconds = z.number();

/** What keeps a request from being dispatched to an endpoint. */
export const placementObstacles = {
	leaving: 'leaving',
	evacuated: 'evacuated',
	/** It is paused after failures or silence. */
	failing: 'failing',
	/** It has stated that it takes requests of this instance again later. */
	retryTime: 'retry-time',
	/** This instance uses its share of the connections that the endpoint accepts. */
	connections: 'connections',
	/** It is cold, and the rate that it bears is used up. */
	cold: 'cold',
	/** The request was there before, or must not be sent there. */
	excluded: 'excluded',
	/** It has not sent anything for a while. */
	notAnswering: 'not-answering',
	full: 'full',
	/** It limits the requests of all instances, and this one has no permit. */
	limited: 'limited',
} as const;

export type PlacementObstacle = (typeof placementObstacles)[keyof typeof placementObstacles];

export const placementExplanationSchema = z.object({
	/** The endpoint that the request would be dispatched to now; if `isRandom`, one of several. */
	selected: z.string().optional(),
	/** Whether a coordinator assigns the slot. The rest says what this instance would do without its answer. */
	isCoordinated: z.boolean(),
	isRandom: z.boolean(),
	candidates: z.array(z.object({
		endpoint: z.string(),
		costMs: milliseconds,
		inFlight: z.number(),
		slots: z.number(),
		isFailing: z.boolean(),
		isSameZone: z.boolean(),
		/** Whether the request is expected to complete there before its caller gives up. */
		canFinish: z.boolean(),
	})),
	leftOut: z.array(z.object({endpoint: z.string(), reason: z.string()})),
	/** Requests of the service that wait here, and those that come before this one. */
	waiting: z.number(),
	ahead: z.number(),
	isLate: z.boolean(),
	/** Absent while too little is known, and while no request is dispatched. */
	expectedWaitMs: milliseconds.optional(),
	refusal: z.object({reason: z.string(), retryAfterMs: milliseconds}).optional(),
});

export type PlacementExplanation = z.infer<typeof placementExplanationSchema>;

export const explanationSchema = z.object({
	requestId: z.string().optional(),
	route: z.string(),
	kind: z.string(),
	workspace: z.string().optional(),
	tier: z.number(),
	/** A request with several possible services is explained for each. */
	services: z.array(z.object({
		service: z.string(),
		/** Share of the route's requests that go there. */
		share: z.number(),
		/** Endpoints that have the request now. */
		inFlightAt: z.array(z.string()),
		placement: placementExplanationSchema.optional(),
	})),
	/** Set when the request would be refused before it waits. */
	refusal: z.object({reason: z.string(), retryAfterMs: milliseconds.optional()}).optional(),
});

export type Explanation = z.infer<typeof explanationSchema>;

/** Names of the query parameters, and how long a value may be. */
export const explainParameters = ['id', 'route', 'workspace', 'kind', 'prompt', 'output', 'deadline'] as const;

export type ExplainParameter = (typeof explainParameters)[number];

export const maximumParameterLength = 256;

export const explainPath = '/explain';
