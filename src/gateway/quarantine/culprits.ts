import type {Milliseconds} from '../../shared/clock.js';
import type {Culprit, EndpointCrash} from './types.js';

/** Fewest crashes with a part, and without a survival since the first of them, that convict the part. Five may happen before requests have to be withheld; two or three happen to rare parts by chance. */
export const minimumCrashes = 4;

/** When a part is convicted: after so many crashes that a sound part is hardly in all of them by chance. */
type ConvictionLimits = {
	readonly minimumCrashes: number;
	/** Probability that all requests with a sound part end in crashes, above which the part is not convicted yet. */
	readonly chanceLimit: number;
	/** Share of all crashes that nothing else explains from which a part is prominent. A rare sound part hardly is. */
	readonly prominentShare: number;
	readonly prominentChanceLimit: number;
	/** Crashes that convict a prominent part although most of the comparable requests crash. */
	readonly maximumOfProminent: number;
};

/** Limits for parts that no request has survived with. */
const unprovenLimits: ConvictionLimits = {
	minimumCrashes, chanceLimit: 1 / 5000, prominentShare: 0.5, prominentChanceLimit: 1 / 500, maximumOfProminent: 7,
};

/** Limits for the others: while all endpoints crash nothing survives, and common parts are in most crashes. */
const provenLimits: ConvictionLimits = {
	minimumCrashes: 10, chanceLimit: 1 / 2000, prominentShare: 0.4, prominentChanceLimit: 1 / 20, maximumOfProminent: Infinity,
};

/** Comparable requests below which the comparison says little, as right after a start of all instances, and the fewest crashes that convict a part then. */
const minimumComparable = 10;
const minimumCrashesUncompared = 6;

/** Crashed and surviving requests that are assumed while few have been counted. */
const assumedCrashed = 0.5;
const assumedRequests = 5;

/** Crashes within this time count once: endpoints that fail together, as in a power loss, say nothing about the requests there. */
const simultaneousMs: Milliseconds = 50;

/** Time in which all instances report their requests at an endpoint that crashed, those with a short response last. */
export const settleMs: Milliseconds = 500;

/** Crashes without a convicted part after which another part, which was in all of its crashes and in these, is at fault in its place. */
const supersedingCrashes = 2;

/** Crashes beyond the required ones after which parts are convicted one by one although the crashes don't distinguish them. */
const undecidedCrashes = 3;

function countDistinct(crashes: readonly EndpointCrash[]): number {
	let count = 0;
	let groupStartedAt = -Infinity;
	for (const {at} of crashes) {
		if (at - groupStartedAt > simultaneousMs) {
			groupStartedAt = at;
			count++;
		}
	}

	return count;
}

function hasAll(suspect: readonly string[], parts: readonly string[]): boolean {
	return parts.every(part => suspect.includes(part));
}

type Candidate = {readonly part: string; readonly crashes: readonly EndpointCrash[]; readonly count: number};

/** Returns for each part the crashes that count against it. */
function findCandidates(crashes: readonly EndpointCrash[], survivedAt: (part: string) => Milliseconds): Candidate[] {
	const crashesByPart = new Map<string, EndpointCrash[]>();
	for (const crash of crashes) {
		for (const part of new Set(crash.suspects.flat())) {
			if (crash.at > survivedAt(part)) {
				const list = crashesByPart.get(part) ?? [];
				list.push(crash);
				crashesByPart.set(part, list);
			}
		}
	}

	return [...crashesByPart].map(([part, list]) => ({part, crashes: list, count: countDistinct(list)}));
}

/** What is known of parts beside the crashes. */
export type PartKnowledge = {
	readonly now: Milliseconds;
	/** When a request with a part last survived, or -Infinity. */
	readonly survivedAt: (part: string) => Milliseconds;
	/** Parts that are convicted already, each with the number of crashes that suffices to keep them so. */
	readonly convictions: ReadonlyArray<{readonly parts: readonly string[]; readonly sufficientCrashes: number}>;
};

/** Returns the number of suspected parts that no request has survived with. The more there are, the likelier all requests of one of them crash by chance. */
function countUnproven(crashes: readonly EndpointCrash[], {survivedAt}: PartKnowledge): number {
	return new Set(crashes.flatMap(({suspects}) => suspects.flat()).filter(part => survivedAt(part) === -Infinity)).size;
}

/** Returns the number of crashes that convict a part: the more of comparable requests crash for no known reason, the more of them happen by chance. */
function requiredCrashes({part, crashes: counted, count}: Candidate, unexplained: readonly EndpointCrash[], unprovenCount: number, {survivedAt}: PartKnowledge): number {
	const [from, until] = [counted[0]!.at, counted.at(-1)!.at];
	let allCrashed = assumedCrashed;
	let all = assumedRequests;
	for (const {at, comparisons} of unexplained) {
		if (at >= from && at <= until) {
			for (const {survived, crashed} of Object.values(comparisons)) {
				allCrashed += crashed;
				all += crashed + survived;
			}
		}
	}

	const isUnproven = survivedAt(part) === -Infinity;
	const limits = isUnproven ? unprovenLimits : provenLimits;
	const isProminent = counted.length >= limits.prominentShare * unexplained.filter(({at}) => at >= from).length;
	const chance = isProminent ? limits.prominentChanceLimit / (isUnproven ? unprovenCount : 1) : limits.chanceLimit;
	const required = Math.ceil(Math.log(chance) / Math.log(allCrashed / all));
	const minimum = all - assumedRequests < minimumComparable ? Math.max(limits.minimumCrashes, minimumCrashesUncompared) : limits.minimumCrashes;
	return Math.max(minimum, isProminent ? Math.min(required, limits.maximumOfProminent) : required);
}

/** Returns the part with the most crashes. Those within a moment distinguish parts that have as many at different times. */
function findLeading(candidates: readonly Candidate[]): Candidate | undefined {
	return candidates.toSorted((a, b) => b.count - a.count || b.crashes.length - a.crashes.length)[0];
}

function isCrashUnder({suspects}: EndpointCrash, parts: readonly string[]): boolean {
	return suspects.some(suspect => hasAll(suspect, parts));
}

/** Whether another part was in all crashes of a convicted one, and in several more. */
function isSuperseded(part: string, counted: readonly EndpointCrash[], candidates: readonly Candidate[]): boolean {
	return candidates.some(other => other.part !== part
		&& counted.every(crash => other.crashes.includes(crash))
		&& countDistinct(other.crashes.filter(crash => !isCrashUnder(crash, [part]))) >= supersedingCrashes);
}

/** Returns the parts that remain convicted. Several parts do not when a crash had only some of them, and one does not when another part explains its crashes and more. */
function keepConvicted(crashes: readonly EndpointCrash[], {survivedAt, convictions}: PartKnowledge): Culprit[] {
	const kept: Culprit[] = [];
	const candidates = convictions.length === 0 ? [] : findCandidates(crashes, survivedAt);
	for (const {parts, sufficientCrashes} of convictions) {
		const since = Math.max(...parts.map(part => survivedAt(part)));
		const counted = crashes.filter(crash => crash.at > since && isCrashUnder(crash, parts));
		const isDistinguished = parts.length > 1 && crashes.some(crash => crash.at > since && !counted.includes(crash) && parts.some(part => isCrashUnder(crash, [part])));
		const isRefuted = isDistinguished || (parts.length === 1 && isSuperseded(parts[0]!, counted, candidates));
		if (counted.length >= sufficientCrashes && !isRefuted && !kept.some(culprit => hasAll(parts, culprit.parts))) {
			kept.push({parts, crashes: counted});
		}
	}

	return kept;
}

/** Whether another part may be in all crashes of a part as well, because not every instance has reported the latest ones yet. */
function hasUnsettledRival({crashes}: Candidate, candidates: readonly Candidate[], now: Milliseconds): boolean {
	const settled = crashes.filter(({at}) => now - at >= settleMs);
	const isShared = (shared: readonly EndpointCrash[], other: Candidate) => shared.every(crash => other.crashes.includes(crash));
	return settled.length > 0 && settled.length < crashes.length && candidates.some(other => isShared(settled, other) && !isShared(crashes, other));
}

/** Splits parts with the same crashes: those that one request of each crash had in common can't be told apart and are convicted together. Of others, the rarer one is convicted at last: a wrong verdict on it withholds fewer requests, and further crashes correct it. */
function convict(tied: readonly Candidate[], required: number): Array<readonly string[]> {
	const parts = tied.map(({part}) => part);
	const {crashes, count} = tied[0]!;
	if (crashes.every(({suspects}) => suspects.some(suspect => hasAll(suspect, parts)))) {
		return [parts];
	}

	if (count < required + undecidedCrashes) {
		return [];
	}

	const suspects = crashes.flatMap(crash => crash.suspects);
	const requestCounts = parts.map(part => suspects.filter(suspect => suspect.includes(part)).length);
	return parts.filter((_, index) => requestCounts[index] === Math.min(...requestCounts)).map(part => [part]);
}

/**
Returns the parts that crash endpoints.

A part is convicted when it was there in so many crashes, without a survival since the first of them, that it is no chance. The part with the most crashes comes first and explains its crashes; only the others count against the remaining parts. So a sound part that happened to be there is not convicted with it.

@param crashes in order of time
*/
export function findCulprits(crashes: readonly EndpointCrash[], knowledge: PartKnowledge): Culprit[] {
	const culprits = keepConvicted(crashes, knowledge);
	let unexplained = crashes.filter(crash => !culprits.some(({parts}) => isCrashUnder(crash, parts)));
	for (;;) {
		const remaining = unexplained;
		const unprovenCount = countUnproven(remaining, knowledge);
		const required = new Map<Candidate, number>();
		const suspected = findCandidates(remaining, knowledge.survivedAt);
		for (const candidate of suspected) {
			if (candidate.count >= minimumCrashes) {
				required.set(candidate, requiredCrashes(candidate, remaining, unprovenCount, knowledge));
			}
		}

		const candidates = [...required.keys()].filter(candidate => candidate.count >= required.get(candidate)!);
		const leading = findLeading(candidates);
		if (leading === undefined) {
			return culprits;
		}

		const isTied = (other: Candidate) => other.crashes.length === leading.crashes.length && other.crashes.every((crash, index) => crash === leading.crashes[index]);
		const convicted = hasUnsettledRival(leading, suspected, knowledge.now)
			? []
			: convict(candidates.filter(candidate => isTied(candidate)), required.get(leading)!);
		for (const parts of convicted) {
			culprits.push({parts, crashes: leading.crashes});
		}

		// Without a conviction, the next crash or report distinguishes the parts.
		const explained = new Set(convicted.length === 0
			? leading.crashes
			: remaining.filter(crash => convicted.some(parts => isCrashUnder(crash, parts))));
		unexplained = remaining.filter(crash => !explained.has(crash));
	}
}
