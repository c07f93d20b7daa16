import type {Milliseconds} from '../../shared/clock.js';

/** A request that may have crashed an endpoint: the keys of its shared prompt parts. */
export type Suspect = readonly string[];

/** Requests of one instance whose parts had all survived before, so that crashes did not come from them. */
export type Comparison = {
	/** Those that survived since its report before. */
	readonly survived: number;
	/** Those among the suspects of the crash. */
	readonly crashed: number;
};

/** An endpoint whose process ended while requests ran there. */
export type EndpointCrash = {
	readonly endpointId: string;
	/** Start of the process that crashed, as the endpoint's record named it. */
	readonly startedAt: number;
	readonly at: Milliseconds;
	readonly suspects: readonly Suspect[];
	/** What became of comparable requests, by the host of the instance that reports it. */
	readonly comparisons: Readonly<Record<string, Comparison>>;
};

/** A crash as it is detected, before it is compared. */
export type DetectedCrash = Omit<EndpointCrash, 'comparisons'>;

/** A part of which a request was answered, or its stream went on, without a crash. */
export type PartSurvival = {
	readonly part: string;
	readonly at: Milliseconds;
};

/** What instances tell each other. */
export type Evidence = {
	readonly crashes: readonly EndpointCrash[];
	readonly survivals: readonly PartSurvival[];
	/** Parts that the sender has convicted. */
	readonly convictions: ReadonlyArray<readonly string[]>;
};

/** Evidence as it is sent: ages take the place of times, because instances share no clock. */
export type CrashReport = {
	readonly crashes: ReadonlyArray<Omit<EndpointCrash, 'at'> & {readonly ageMs: Milliseconds}>;
	readonly survivals: ReadonlyArray<{readonly part: string; readonly ageMs: Milliseconds}>;
	readonly convictions: ReadonlyArray<readonly string[]>;
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
