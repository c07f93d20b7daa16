import type {Milliseconds} from '../../shared/clock.js';

/** A request that may have crashed an endpoint: the keys of its shared prompt parts. */
export type Suspect = readonly string[];

/** An endpoint whose process ended while requests ran there. */
export type EndpointCrash = {
	readonly endpointId: string;
	/** Start of the process that crashed, as the endpoint's record named it. */
	readonly startedAt: number;
	readonly at: Milliseconds;
	readonly suspects: readonly Suspect[];
};

/** A part of which a request was answered, or its stream went on, without a crash. */
export type PartSurvival = {
	readonly part: string;
	readonly at: Milliseconds;
};

/** Crashes and survivals that instances tell each other. */
export type Evidence = {
	readonly crashes: readonly EndpointCrash[];
	readonly survivals: readonly PartSurvival[];
};

/** Evidence as it is sent: ages take the place of times, because instances share no clock. */
export type CrashReport = {
	readonly crashes: ReadonlyArray<Omit<EndpointCrash, 'at'> & {readonly ageMs: Milliseconds}>;
	readonly survivals: ReadonlyArray<{readonly part: string; readonly ageMs: Milliseconds}>;
};

/** Parts that together crash endpoints, and the crashes that show it. */
export type Culprit = {
	/** A request is withheld when it has all of them. There are several only as long as all crashes had them in one request. */
	readonly parts: readonly string[];
	readonly crashes: readonly EndpointCrash[];
};

export function crashKey({endpointId, startedAt}: Pick<EndpointCrash, 'endpointId' | 'startedAt'>): string {
	return `${endpointId} ${startedAt}`;
}
