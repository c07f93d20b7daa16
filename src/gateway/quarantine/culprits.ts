import type {Milliseconds} from '../../shared/clock.js';
import type {Culprit, EndpointCrash} from './types.js';

/** Crashes with a part, and without a survival since the first of them, that convict the part. Five may happen before requests have to be withheld; two or three happen to rare parts by chance. */
export const convictingCrashes = 4;

/** Crashes within this time count once: endpoints that fail together, as in a power loss, say nothing about the requests there. */
export const simultaneousMs: Milliseconds = 50;

/** Crashes beyond `convictingCrashes` after which parts are convicted one by one although the crashes don't distinguish them. */
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

/** Splits parts with the same crashes: those that one request of each crash had in common can't be told apart and are convicted together. */
function convict(tied: readonly Candidate[]): Array<readonly string[]> {
	const parts = tied.map(({part}) => part);
	const {crashes, count} = tied[0]!;
	if (crashes.every(({suspects}) => suspects.some(suspect => hasAll(suspect, parts)))) {
		return [parts];
	}

	return count >= convictingCrashes + undecidedCrashes ? parts.map(part => [part]) : [];
}

/**
Returns the parts that crash endpoints.

A part is convicted when it was there in enough crashes and no request with it has survived since the first of them. The part with the most crashes comes first and explains its crashes; only the others count against the remaining parts. So a sound part that happened to be there is not convicted with it.

@param crashes in order of time
@param survivedAt when a request with a part last survived, or -Infinity
*/
export function findCulprits(crashes: readonly EndpointCrash[], survivedAt: (part: string) => Milliseconds): Culprit[] {
	const culprits: Culprit[] = [];
	let unexplained = [...crashes];
	for (;;) {
		const candidates = findCandidates(unexplained, survivedAt).filter(({count}) => count >= convictingCrashes);
		const most = Math.max(0, ...candidates.map(({count}) => count));
		const leading = candidates.find(({count}) => count === most);
		if (leading === undefined) {
			return culprits;
		}

		const isTied = (other: Candidate) => other.crashes.length === leading.crashes.length && other.crashes.every((crash, index) => crash === leading.crashes[index]);
		const convicted = convict(candidates.filter(candidate => isTied(candidate)));
		for (const parts of convicted) {
			culprits.push({parts, crashes: leading.crashes});
		}

		// Without a conviction, the next crash distinguishes the tied parts.
		const explained = new Set(convicted.length === 0
			? leading.crashes
			: unexplained.filter(({suspects}) => suspects.some(suspect => convicted.some(parts => hasAll(suspect, parts)))));
		unexplained = unexplained.filter(crash => !explained.has(crash));
	}
}
