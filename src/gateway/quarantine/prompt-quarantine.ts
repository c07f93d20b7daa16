import type {Milliseconds} from '../../shared/clock.js';
import {hashText} from '../../shared/hash.js';
import {CrashEvidence} from './crash-evidence.js';
import {findCulprits, minimumCrashes, settleMs} from './culprits.js';
import type {
	Culprit, EndpointCrash, Evidence,
} from './types.js';

/** Shortest and longest time for which requests are withheld after the last crash. In between it grows with the time over which the parts have crashed endpoints, so each trial that fails about doubles it. */
const minimumHoldMs: Milliseconds = 300_000;
const maximumHoldMs: Milliseconds = 7_200_000;

/** Multiple of the hold time after which parts are forgotten that no caller has sent to the instance of the trial. */
const forgottenAfterHolds = 2;

/** Minimum time between two trial requests. */
const trialIntervalMs: Milliseconds = 10_000;

/** Crashes of a culprit that are kept beside the first one. */
const keptCrashesPerCulprit = 11;

const maximumCulprits = 16;
const maximumConvictedByOthers = 64;

/** Minimum time that a refused caller is told to wait. */
const minimumRetryAfterMs: Milliseconds = 1000;

/** Parts whose requests are withheld. */
export type QuarantineEntry = {
	readonly parts: readonly string[];
	readonly convictedAt: Milliseconds;
	readonly firstCrashAt: Milliseconds;
	lastCrashAt: Milliseconds;
	crashCount: number;
	/** Endpoints that crashed lately. */
	endpointIds: readonly string[];
	/** Requests that this instance has withheld. */
	withheldCount: number;
	lastTrialAt: Milliseconds;
};

export const releaseReasons = {
	/** A request with the parts was answered. */
	survived: 'survived',
	/** No crash and no trial for a long time. */
	expired: 'expired',
	/** Later crashes showed other parts. */
	revised: 'revised',
} as const;

export type QuarantineChange
	= | {readonly kind: 'parts-quarantined'; readonly entry: QuarantineEntry}
		| {readonly kind: 'parts-released'; readonly entry: QuarantineEntry; readonly reason: (typeof releaseReasons)[keyof typeof releaseReasons]};

export type PromptQuarantineOptions = {
	readonly ownHost: string;
	/** Hosts of all instances, including this one. */
	readonly members: () => readonly string[];
	/** Whether this process has listened for peers long enough to know all members. */
	readonly knowsMembers: () => boolean;
	/** Called when entries are added or removed. */
	readonly onChanges: (changes: readonly QuarantineChange[]) => void;
	/** Called with evidence that the other instances should know. */
	readonly onEvidence: (evidence: Evidence) => void;
};

function entryKey(parts: readonly string[]): string {
	return parts.toSorted().join(' ');
}

function holdMs({firstCrashAt, lastCrashAt}: QuarantineEntry): Milliseconds {
	return Math.min(Math.max(minimumHoldMs, lastCrashAt - firstCrashAt), maximumHoldMs);
}

/**
Withholds requests whose prompts have parts that crash endpoints.

Instances tell each other of crashes and survivals, and each draws the same conclusions. After the hold time one instance sends a single request as a trial: a survival releases the parts everywhere, a crash starts another hold.
*/
export class PromptQuarantine {
	static create(options: PromptQuarantineOptions): PromptQuarantine {
		return new PromptQuarantine(options);
	}

	readonly #evidence = CrashEvidence.create();
	readonly #entries = new Map<string, QuarantineEntry>();
	/** Parts that other instances have convicted; they may know more than the crashes that are kept. */
	readonly #convictedByOthers = new Map<string, readonly string[]>();

	/** When all reports of the last crash have arrived, or Infinity after a decision with them. */
	#settlesAt: Milliseconds = Infinity;

	private constructor(private readonly options: PromptQuarantineOptions) {}

	entries(): QuarantineEntry[] {
		return [...this.#entries.values()];
	}

	/** All evidence, for an instance that has just started or was out of touch. */
	evidence(): Evidence {
		return {...this.#evidence.all(), convictions: this.entries().map(({parts}) => parts)};
	}

	/**
	Decides whether a request may be dispatched. A request that may is a trial if its parts are due for one.

	@returns the time after which the caller may retry, or undefined when the request may be dispatched
	*/
	withhold(parts: readonly string[], now: Milliseconds): Milliseconds | undefined {
		const entry = this.#findEntry(parts);
		if (entry === undefined || this.#takeTrial(entry, now)) {
			return undefined;
		}

		entry.withheldCount++;
		return this.#retryAfterMs(entry, now);
	}

	/** As `withhold`, for a request that was admitted before: it is no trial, and a trial is not sent a second time. */
	withholdAdmitted(parts: readonly string[], now: Milliseconds): Milliseconds | undefined {
		const entry = this.#findEntry(parts);
		if (entry === undefined) {
			return undefined;
		}

		entry.withheldCount++;
		return this.#retryAfterMs(entry, now);
	}

	/** Whether requests with each of the parts have survived. */
	haveSurvived(parts: readonly string[]): boolean {
		return this.#evidence.haveSurvived(parts);
	}

	/** Returns the crash of a process of an endpoint, if this instance or another one has seen it. */
	findCrash(endpoint: Pick<EndpointCrash, 'endpointId' | 'startedAt'>): EndpointCrash | undefined {
		return this.#evidence.findCrash(endpoint);
	}

	recordCrash(crash: EndpointCrash): void {
		const {crashes} = this.#evidence.add({crashes: [crash], survivals: []});
		this.#report(crashes);
		this.#update(crash.at);
	}

	recordSurvival(parts: readonly string[], now: Milliseconds): void {
		if (this.#evidence.recordSurvival(parts, now)) {
			this.#report([]);
			this.#update(now);
		}
	}

	/** Applies evidence of another instance. Returns what was new. */
	receive(evidence: Evidence, now: Milliseconds): Evidence {
		this.#evidence.markReported(evidence.survivals);
		const news = this.#evidence.add(evidence);
		const convictions = evidence.convictions.filter(parts => this.#addConvictedByOthers(parts));
		if (news.crashes.length > 0 || news.survivals.length > 0 || convictions.length > 0) {
			this.#report([]);
			this.#update(now);
		}

		return {...news, convictions};
	}

	/** Decides again once all instances have reported their requests at the last endpoint that crashed. Called periodically. */
	reconsider(now: Milliseconds): void {
		if (now >= this.#settlesAt) {
			this.#update(now);
		}
	}

	/** Forgets what is too old. Called periodically. */
	expire(now: Milliseconds): void {
		if (this.#evidence.crashes().length > 0) {
			this.#update(now);
		} else {
			this.#convictedByOthers.clear();
		}
	}

	/** Adopts a conviction, but not of parts that requests of this instance have survived with. */
	#addConvictedByOthers(parts: readonly string[]): boolean {
		const key = entryKey(parts);
		const isAdopted = !this.#convictedByOthers.has(key) && !this.#entries.has(key) && !this.#evidence.haveSurvived(parts) && this.#convictedByOthers.size < maximumConvictedByOthers;
		if (isAdopted) {
			this.#convictedByOthers.set(key, parts);
		}

		return isAdopted;
	}

	/** Tells the others of own crashes, and of survivals that they should know. */
	#report(crashes: readonly EndpointCrash[]): void {
		const survivals = this.#evidence.takeUnreportedSurvivals();
		if (crashes.length > 0 || survivals.length > 0) {
			this.options.onEvidence({crashes, survivals, convictions: []});
		}
	}

	#findEntry(parts: readonly string[]): QuarantineEntry | undefined {
		if (this.#entries.size === 0 || parts.length === 0) {
			return undefined;
		}

		return [...this.#entries.values()].find(entry => entry.parts.every(part => parts.includes(part)));
	}

	#retryAfterMs(entry: QuarantineEntry, now: Milliseconds): Milliseconds {
		return Math.max(minimumRetryAfterMs, entry.lastCrashAt + holdMs(entry) - now);
	}

	#takeTrial(entry: QuarantineEntry, now: Milliseconds): boolean {
		const isDue = now > entry.lastCrashAt + holdMs(entry) && now - entry.lastTrialAt >= trialIntervalMs;
		if (!isDue || !this.options.knowsMembers() || !this.#isResponsible(entry)) {
			return false;
		}

		entry.lastTrialAt = now;
		return true;
	}

	/** One instance makes the trials of an entry, so that several do not crash an endpoint each. */
	#isResponsible({parts}: QuarantineEntry): boolean {
		const rank = (host: string) => hashText(`${host} ${entryKey(parts)}`);
		const ownRank = rank(this.options.ownHost);
		return this.options.members().every(host => rank(host) >= ownRank);
	}

	#update(now: Milliseconds): void {
		const culprits = findCulprits(this.#evidence.crashes(), {
			now,
			survivedAt: part => this.#evidence.survivedAt(part),
			convictions: [
				...this.entries().map(({parts}) => ({parts, sufficientCrashes: 1})),
				...[...this.#convictedByOthers.values()].map(parts => ({parts, sufficientCrashes: minimumCrashes})),
			],
		});
		const lastCrashAt = this.#evidence.crashes().at(-1)?.at ?? -Infinity;
		this.#settlesAt = now < lastCrashAt + settleMs ? lastCrashAt + settleMs : Infinity;
		const changes = [...this.#removeReleased(culprits), ...this.#removeExpired(culprits, now)];
		for (const culprit of culprits.slice(0, maximumCulprits)) {
			const added = this.#updateEntry(culprit, now);
			changes.push(...added);
		}

		this.#prune(culprits, now);
		if (changes.length > 0) {
			this.#publish(changes);
			this.options.onChanges(changes);
		}
	}

	#publish(changes: readonly QuarantineChange[]): void {
		const convictions: Array<readonly string[]> = [];
		for (const {kind, entry: {parts}} of changes) {
			const isOwn = !this.#convictedByOthers.has(entryKey(parts));
			if (kind === 'parts-released') {
				this.#convictedByOthers.delete(entryKey(parts));
			} else if (isOwn) {
				convictions.push(parts);
			}
		}

		if (convictions.length > 0) {
			this.options.onEvidence({crashes: [], survivals: [], convictions});
		}
	}

	#removeReleased(culprits: readonly Culprit[]): QuarantineChange[] {
		const keys = new Set(culprits.map(({parts}) => entryKey(parts)));
		const changes: QuarantineChange[] = [];
		for (const [key, entry] of this.#entries) {
			if (!keys.has(key)) {
				this.#entries.delete(key);
				const hasSurvived = entry.parts.some(part => this.#evidence.survivedAt(part) > entry.firstCrashAt);
				changes.push({kind: 'parts-released', entry, reason: hasSurvived ? releaseReasons.survived : releaseReasons.revised});
			}
		}

		return changes;
	}

	#removeExpired(culprits: readonly Culprit[], now: Milliseconds): QuarantineChange[] {
		const changes: QuarantineChange[] = [];
		for (const {parts, crashes} of culprits) {
			const key = entryKey(parts);
			const entry = this.#entries.get(key);
			if (entry !== undefined && now - Math.max(entry.lastCrashAt, crashes.at(-1)!.at) > forgottenAfterHolds * holdMs(entry)) {
				this.#entries.delete(key);
				changes.push({kind: 'parts-released', entry, reason: releaseReasons.expired});
			}
		}

		return changes;
	}

	#updateEntry({parts, crashes}: Culprit, now: Milliseconds): QuarantineChange[] {
		const key = entryKey(parts);
		const known = this.#entries.get(key);
		const lastCrashAt = crashes.at(-1)!.at;
		const endpointIds = crashes.slice(-keptCrashesPerCulprit).map(({endpointId}) => endpointId);
		if (known !== undefined) {
			known.crashCount += crashes.filter(({at}) => at > known.lastCrashAt).length;
			known.lastCrashAt = Math.max(known.lastCrashAt, lastCrashAt);
			known.endpointIds = endpointIds;
			return [];
		}

		const entry: QuarantineEntry = {
			parts, convictedAt: now, firstCrashAt: crashes[0]!.at, lastCrashAt, crashCount: crashes.length, endpointIds, withheldCount: 0, lastTrialAt: -Infinity,
		};
		if (now - lastCrashAt > forgottenAfterHolds * holdMs(entry)) {
			return [];
		}

		this.#entries.set(key, entry);
		return [{kind: 'parts-quarantined', entry}];
	}

	/** Keeps the first and the latest crashes of each culprit, from which other instances draw the same conclusions. */
	#prune(culprits: readonly Culprit[], now: Milliseconds): void {
		const kept = new Set<EndpointCrash>();
		const dropped = new Set<EndpointCrash>();
		for (const {parts, crashes} of culprits) {
			const isEntry = this.#entries.has(entryKey(parts));
			for (const [index, crash] of crashes.entries()) {
				if (isEntry && (index === 0 || index >= crashes.length - keptCrashesPerCulprit)) {
					kept.add(crash);
				} else {
					dropped.add(crash);
				}
			}
		}

		this.#evidence.prune(now, kept, dropped);
	}
}
