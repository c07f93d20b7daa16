import type {Milliseconds} from '../../shared/clock.js';
import {SortedList} from './sorted-list.js';
import type {RequestNeed, RequestOrder, WaitingRequest} from './types.js';
import {WorkspaceShares} from './workspace-shares.js';

type Entry = {
	readonly request: WaitingRequest;
	readonly workspace: string;
	readonly slotMs: Milliseconds;
	/** Latest dispatch with which the first event is expected by its target. */
	readonly latestOnTimeDispatchAt: Milliseconds;
	/** Whether the request was sent to an endpoint before. */
	readonly isRetry: boolean;
	readonly sequence: number;
	/** Number of the last walk that has passed it. */
	passedIn: number;
};

type EntryKey = (entry: Entry) => number;

function compareBy(key: EntryKey): (a: Entry, b: Entry) => number {
	return (a, b) => key(a) - key(b) || a.sequence - b.sequence;
}

/** Least slack first: the slack of all falls alike with time. */
const onTimeKey: EntryKey = ({latestOnTimeDispatchAt}) => latestOnTimeDispatchAt;

/** Shortest first, with the time since the target deducted: that of all grows alike, so the order stays the same. */
const lateKey: EntryKey = ({slotMs, request: {targetAt}}) => slotMs + targetAt;

/** The waiting requests of one workspace. */
type Lane = {
	readonly firstAttempts: SortedList<Entry>;
	readonly retries: SortedList<Entry>;
	slotMs: Milliseconds;
};

/** A place in a lane during a walk, and the expected slot time of the requests that the walk has passed. */
type Cursor = {
	readonly workspace: string;
	readonly lane: Lane;
	firstAttempt: number;
	retry: number;
	passedMs: Milliseconds;
};

/** The requests of one tier that are on time, or those that are late: between workspaces by their shares, within one by a key. */
class Group {
	readonly #shares = WorkspaceShares.create();
	readonly #lanes = new Map<string, Lane>();
	/** First attempts by target. A retry comes after those with an earlier target. */
	readonly #firstByTarget = SortedList.create<Entry>(compareBy(({request}) => request.targetAt));
	#size = 0;
	#walks = 0;

	constructor(private readonly key: EntryKey) {}

	get size(): number {
		return this.#size;
	}

	add(entry: Entry): void {
		const {workspace, request: {workspaceWeight}} = entry;
		let lane = this.#lanes.get(workspace);
		if (lane === undefined) {
			lane = {firstAttempts: SortedList.create(compareBy(this.key)), retries: SortedList.create(compareBy(this.key)), slotMs: 0};
			this.#lanes.set(workspace, lane);
		}

		(entry.isRetry ? lane.retries : lane.firstAttempts).add(entry);
		lane.slotMs += entry.slotMs;
		if (!entry.isRetry) {
			this.#firstByTarget.add(entry);
		}

		entry.passedIn = 0;
		this.#size++;
		this.#shares.enter(workspace, workspaceWeight);
	}

	remove(entry: Entry, isDispatched: boolean): void {
		const {workspace} = entry;
		const lane = this.#lanes.get(workspace)!;
		(entry.isRetry ? lane.retries : lane.firstAttempts).remove(entry);
		lane.slotMs -= entry.slotMs;
		if (lane.firstAttempts.length + lane.retries.length === 0) {
			this.#lanes.delete(workspace);
		}

		this.#firstByTarget.remove(entry);
		this.#size--;
		if (isDispatched) {
			this.#shares.recordDispatch(workspace, entry.slotMs);
		} else {
			this.#shares.leave(workspace);
		}
	}

	/** Returns the expected number of requests that are dispatched before one, whether or not it waits already. */
	ahead(entry: Entry): number {
		const {workspace} = entry;
		const own = this.#lanes.get(workspace);
		let ahead = own === undefined ? 0 : own.firstAttempts.position(entry) + own.retries.position(entry);
		const dueAt = this.#shares.start(workspace) + (own === undefined ? 0 : ahead * meanSlotMs(own) / this.#shares.weight(workspace));
		for (const [other, lane] of this.#lanes) {
			const dueMs = (dueAt - this.#shares.start(other)) * this.#shares.weight(other);
			if (other !== workspace && dueMs >= 0) {
				ahead += Math.min(lane.firstAttempts.length + lane.retries.length, 1 + Math.floor(dueMs / meanSlotMs(lane)));
			}
		}

		return ahead;
	}

	/** Removes and returns the requests whose key is before a time. */
	takeBefore(now: Milliseconds): Entry[] {
		const taken: Entry[] = [];
		for (const {firstAttempts, retries} of this.#lanes.values()) {
			for (const list of [firstAttempts, retries]) {
				for (let entry = list.at(0); entry !== undefined && this.key(entry) < now; entry = list.at(0)) {
					this.remove(entry, false);
					taken.push(entry);
				}
			}
		}

		return taken;
	}

	/** Yields the requests in the order in which they would be dispatched. Requests may be added and removed meanwhile; those added may be left out. */
	* inOrder(): Generator<Entry> {
		const walk = ++this.#walks;
		const cursors: Cursor[] = [...this.#lanes].map(([workspace, lane]) => ({
			workspace, lane, firstAttempt: 0, retry: 0, passedMs: 0,
		}));
		let earliest = 0;
		for (;;) {
			while (this.#firstByTarget.at(earliest)?.passedIn === walk) {
				earliest++;
			}

			const next = this.#next(cursors, this.#firstByTarget.at(earliest)?.request.targetAt ?? Infinity);
			if (next === undefined) {
				return;
			}

			const {cursor, entry} = next;
			const firstCount = this.#firstByTarget.length;
			const list = entry.isRetry ? cursor.lane.retries : cursor.lane.firstAttempts;
			entry.passedIn = walk;
			yield entry;
			if (list.at(list.position(entry)) === entry) {
				cursor[entry.isRetry ? 'retry' : 'firstAttempt']++;
				cursor.passedMs += entry.slotMs;
			}

			const added = this.#firstByTarget.length - firstCount;
			earliest = added > 0 ? 0 : Math.max(0, earliest + added);
		}
	}

	/** Returns the next request of the workspace that is due first. */
	#next(cursors: readonly Cursor[], earliestTargetAt: Milliseconds): {readonly cursor: Cursor; readonly entry: Entry} | undefined {
		let best: {readonly cursor: Cursor; readonly entry: Entry} | undefined;
		let bestDueAt = Infinity;
		for (const cursor of cursors) {
			const {workspace, lane, passedMs} = cursor;
			const first = lane.firstAttempts.at(cursor.firstAttempt);
			const retry = lane.retries.at(cursor.retry);
			const isRetryNext = retry !== undefined && retry.request.targetAt <= earliestTargetAt && (first === undefined || this.key(retry) < this.key(first));
			const entry = isRetryNext ? retry : first;
			if (entry === undefined) {
				continue;
			}

			const dueAt = this.#shares.start(workspace) + (passedMs / this.#shares.weight(workspace));
			if (best === undefined || dueAt < bestDueAt || (dueAt === bestDueAt && this.key(entry) < this.key(best.entry))) {
				best = {cursor, entry};
				bestDueAt = dueAt;
			}
		}

		return best;
	}
}

function meanSlotMs({firstAttempts, retries, slotMs}: Lane): Milliseconds {
	return Math.max(1, slotMs / (firstAttempts.length + retries.length));
}

/** Requests by tier, those that can still meet their target before the late ones, and within both by the shares of workspaces and by what each request needs. */
export class ServiceOrder implements RequestOrder {
	static create(need: (request: WaitingRequest) => RequestNeed): ServiceOrder {
		return new ServiceOrder(need);
	}

	readonly #entries = new Map<WaitingRequest, Entry>();
	readonly #late = new Set<WaitingRequest>();
	readonly #groups = {onTime: new Map<number, Group>(), late: new Map<number, Group>()};
	#sequence = 0;

	private constructor(private readonly need: (request: WaitingRequest) => RequestNeed) {}

	add(request: WaitingRequest, isLate = false): void {
		const entry = this.#createEntry(request);
		this.#entries.set(request, entry);
		if (isLate) {
			this.#late.add(request);
		}

		this.#group(request.tier, isLate).add(entry);
	}

	remove(request: WaitingRequest, isDispatched: boolean): void {
		const entry = this.#entries.get(request);
		if (entry !== undefined) {
			this.#entries.delete(request);
			this.#group(request.tier, this.#late.delete(request)).remove(entry, isDispatched);
		}
	}

	isLate(request: WaitingRequest): boolean {
		return this.#late.has(request);
	}

	latestOnTimeDispatch(request: WaitingRequest): Milliseconds {
		return (this.#entries.get(request) ?? this.#createEntry(request)).latestOnTimeDispatchAt;
	}

	onTimeAhead(tier: number, request?: WaitingRequest): number {
		return this.#ahead(tier, false, request);
	}

	lateAhead(tier: number, request?: WaitingRequest): number {
		return this.#ahead(tier, true, request);
	}

	moveLate(now: Milliseconds): WaitingRequest[] {
		const moved: WaitingRequest[] = [];
		for (const [tier, group] of this.#groups.onTime) {
			for (const entry of group.takeBefore(now)) {
				this.#late.add(entry.request);
				this.#group(tier, true).add(entry);
				moved.push(entry.request);
			}
		}

		return moved;
	}

	* inOrder(): Generator<WaitingRequest> {
		for (const groups of [this.#groups.onTime, this.#groups.late]) {
			for (const tier of [...groups.keys()].toSorted((a, b) => a - b)) {
				for (const {request} of groups.get(tier)!.inOrder()) {
					yield request;
				}
			}
		}
	}

	#ahead(tier: number, isLate: boolean, request: WaitingRequest | undefined): number {
		let ahead = 0;
		for (const [other, group] of isLate ? this.#groups.late : this.#groups.onTime) {
			if (other < tier || (other === tier && request === undefined)) {
				ahead += group.size;
			} else if (other === tier) {
				const entry = this.#entries.get(request!);
				// A request that waits in the group counts itself, as it does by its number alone.
				ahead += entry === undefined ? group.ahead(this.#createEntry(request!)) : group.ahead(entry) + (this.#late.has(request!) === isLate ? 1 : 0);
			}
		}

		return ahead;
	}

	#createEntry(request: WaitingRequest): Entry {
		const {firstEventMs, slotMs} = this.need(request);
		return {
			request,
			workspace: request.workspace ?? '',
			slotMs,
			latestOnTimeDispatchAt: request.targetAt - firstEventMs,
			isRetry: request.excluded.size > 0 || request.hasBegun(),
			sequence: this.#sequence++,
			passedIn: 0,
		};
	}

	#group(tier: number, isLate: boolean): Group {
		const groups = isLate ? this.#groups.late : this.#groups.onTime;
		let group = groups.get(tier);
		if (group === undefined) {
			group = new Group(isLate ? lateKey : onTimeKey);
			groups.set(tier, group);
		}

		return group;
	}
}
