import type {Milliseconds} from '../../shared/clock.js';
import {
	crashKey, type EndpointCrash, type Evidence, type PartSurvival, type Suspect,
} from './types.js';

/** Time for which a crash is remembered that no culprit explains. */
const rememberedMs: Milliseconds = 300_000;

/** Crashes that no culprit explains; the oldest are dropped. */
const maximumCrashes = 64;
const maximumSuspectsPerCrash = 32;

/** Parts whose last survival is remembered. */
const maximumSurvivals = 4096;

/** Survivals of suspected parts that are passed over in the search for one to drop. */
const maximumKeptPerDrop = 16;

/** Crashes with a part from which on a survival is worth telling. Common parts survive at every instance. */
const reportedFromCrashes = 2;

function mergeSuspects(first: readonly Suspect[], second: readonly Suspect[]): readonly Suspect[] {
	if (first.length >= maximumSuspectsPerCrash) {
		return first;
	}

	const byParts = new Map([...first, ...second].map(suspect => [suspect.join(','), suspect]));
	return byParts.size === first.length ? first : [...byParts.values()].slice(0, maximumSuspectsPerCrash);
}

/** Merges the comparisons of several reports; a report that is repeated changes nothing. */
function mergeComparisons(first: EndpointCrash['comparisons'], second: EndpointCrash['comparisons']): EndpointCrash['comparisons'] {
	const merged = {...first};
	let isChanged = false;
	for (const [host, {survived, crashed}] of Object.entries(second)) {
		const known = merged[host];
		if (known === undefined || survived > known.survived || crashed > known.crashed) {
			merged[host] = {survived: Math.max(survived, known?.survived ?? 0), crashed: Math.max(crashed, known?.crashed ?? 0)};
			isChanged = true;
		}
	}

	return isChanged ? merged : first;
}

/** Joins two reports of one crash. */
export function joinCrashes(first: EndpointCrash, second: EndpointCrash): EndpointCrash {
	return {
		...first,
		at: Math.min(first.at, second.at),
		suspects: mergeSuspects(first.suspects, second.suspects),
		comparisons: mergeComparisons(first.comparisons, second.comparisons),
	};
}

/** What is known of crashed endpoints and of parts that survived, from this instance and from others. Its size is bounded. */
export class CrashEvidence {
	static create(): CrashEvidence {
		return new CrashEvidence();
	}

	readonly #crashes = new Map<string, EndpointCrash>();
	/** Least recently survived first. */
	readonly #survivedAt = new Map<string, Milliseconds>();
	/** The survivals that the other instances know. */
	readonly #reportedSurvivedAt = new Map<string, Milliseconds>();
	#sortedCrashes: readonly EndpointCrash[] | undefined;
	/** Parts of all suspects, with the times of their crashes. */
	#suspectParts = new Map<string, Milliseconds[]>();

	private constructor() {}

	/** In order of time. */
	crashes(): readonly EndpointCrash[] {
		this.#sortedCrashes ??= [...this.#crashes.values()].toSorted((a, b) => a.at - b.at);
		return this.#sortedCrashes;
	}

	/** Returns the crash of a process of an endpoint, if it is known. */
	findCrash(endpoint: Pick<EndpointCrash, 'endpointId' | 'startedAt'>): EndpointCrash | undefined {
		return this.#crashes.get(crashKey(endpoint));
	}

	survivedAt(part: string): Milliseconds {
		return this.#survivedAt.get(part) ?? -Infinity;
	}

	/** Whether requests with each of the parts have survived, as far as this instance knows. */
	haveSurvived(parts: readonly string[]): boolean {
		return parts.every(part => this.#survivedAt.has(part));
	}

	/** All that another instance needs to come to the same conclusions. */
	all(): Pick<Evidence, 'crashes' | 'survivals'> {
		const survivals = [...this.#suspectParts.keys()]
			.filter(part => this.#survivedAt.has(part))
			.map(part => ({part, at: this.survivedAt(part)}));
		return {crashes: this.crashes(), survivals};
	}

	/** Adds evidence of this instance or of others. Returns what was not known before: of a known crash only the new suspects and comparisons. */
	add({crashes, survivals}: Pick<Evidence, 'crashes' | 'survivals'>): Pick<Evidence, 'crashes' | 'survivals'> {
		const news = crashes.map(crash => this.#addCrash(crash)).filter(crash => crash !== undefined);
		if (news.length > 0) {
			this.#index();
		}

		const newSurvivals = survivals.filter(({part, at}) => this.#addSurvival(part, at));
		return {crashes: news, survivals: newSurvivals};
	}

	/** Records that requests with these parts survived at this instance. Returns whether a suspected part is among them. */
	recordSurvival(parts: readonly string[], now: Milliseconds): boolean {
		let isNews = false;
		for (const part of parts) {
			isNews = this.#addSurvival(part, now) || isNews;
		}

		return isNews;
	}

	/** Takes the survivals that the others have not been told of and that speak against several crashes. */
	takeUnreportedSurvivals(): PartSurvival[] {
		const unreported: PartSurvival[] = [];
		for (const [part, times] of this.#suspectParts) {
			const at = this.survivedAt(part);
			const counted = times.filter(time => time > (this.#reportedSurvivedAt.get(part) ?? -Infinity));
			if (counted.length >= reportedFromCrashes && at > counted[0]!) {
				this.#reportedSurvivedAt.set(part, at);
				unreported.push({part, at});
			}
		}

		return unreported;
	}

	/** Records that the other instances were told of survivals. */
	markReported(survivals: readonly PartSurvival[]): void {
		for (const {part, at} of survivals) {
			if (this.#suspectParts.has(part)) {
				this.#reportedSurvivedAt.set(part, Math.max(at, this.#reportedSurvivedAt.get(part) ?? -Infinity));
			}
		}
	}

	/**
	Drops what is too old or too much.

	@param kept crashes that show a culprit
	@param dropped crashes of a culprit that are not needed any more
	*/
	prune(now: Milliseconds, kept: ReadonlySet<EndpointCrash>, dropped: ReadonlySet<EndpointCrash>): void {
		const sizeBefore = this.#crashes.size;
		const unexplained = this.crashes().filter(crash => !kept.has(crash));
		const excess = unexplained.length - maximumCrashes;
		for (const [index, crash] of unexplained.entries()) {
			if (dropped.has(crash) || index < excess || now - crash.at > rememberedMs) {
				this.#crashes.delete(crashKey(crash));
			}
		}

		if (this.#crashes.size !== sizeBefore) {
			this.#sortedCrashes = undefined;
			this.#index();
		}
	}

	/** Returns what was not known before. */
	#addCrash(crash: EndpointCrash): EndpointCrash | undefined {
		const key = crashKey(crash);
		const known = this.#crashes.get(key);
		const joined = joinCrashes(known ?? {...crash, suspects: [], comparisons: {}}, crash);
		if (joined.suspects === known?.suspects && joined.comparisons === known.comparisons) {
			return undefined;
		}

		this.#crashes.set(key, joined);
		this.#sortedCrashes = undefined;
		return {
			...joined,
			suspects: joined.suspects.slice(known?.suspects.length ?? 0),
			comparisons: Object.fromEntries(Object.entries(joined.comparisons).filter(([host, comparison]) => comparison !== known?.comparisons[host])),
		};
	}

	#addSurvival(part: string, at: Milliseconds): boolean {
		const before = this.survivedAt(part);
		if (at <= before) {
			return false;
		}

		this.#survivedAt.delete(part);
		this.#survivedAt.set(part, at);
		if (this.#survivedAt.size > maximumSurvivals) {
			this.#dropOldestSurvival();
		}

		return this.#suspectParts.get(part)?.some(time => time > before && time < at) === true;
	}

	/** Survivals of suspected parts are kept: without them, a sound part could be convicted. */
	#dropOldestSurvival(): void {
		let keptCount = 0;
		for (const [part, at] of this.#survivedAt) {
			this.#survivedAt.delete(part);
			if (!this.#suspectParts.has(part)) {
				return;
			}

			this.#survivedAt.set(part, at);
			keptCount++;
			if (keptCount >= maximumKeptPerDrop) {
				return;
			}
		}
	}

	#index(): void {
		this.#suspectParts = new Map();
		for (const {suspects, at} of this.crashes()) {
			for (const part of new Set(suspects.flat())) {
				const times = this.#suspectParts.get(part) ?? [];
				times.push(at);
				this.#suspectParts.set(part, times);
			}
		}

		for (const part of this.#reportedSurvivedAt.keys()) {
			if (!this.#suspectParts.has(part)) {
				this.#reportedSurvivedAt.delete(part);
			}
		}
	}
}
