/** The lease of an entry slot: the bindings granted to other slots, and the acknowledgements that renew the own lease. */
import type {Clock, Milliseconds} from '../../shared/clock.js';
import type {Invariants} from '../../shared/invariants.js';
import type {HeartbeatReplyMessage} from './messages.js';
import {SlotContention} from './slot-contention.js';

/** One process running as a slot. */
export type EntryIdentity = {
	readonly slot: string;
	/** Random per process. */
	readonly incarnation: string;
};

/** The lease group, from the configuration in force. */
export type LeaseGroup = {
	/** All entry slots of the region, including the own one. */
	readonly slots: readonly string[];
	readonly leaseMilliseconds: Milliseconds;
	/** Version of the configuration that names the group. Acknowledgements from a newer version do not count. Default: 0. */
	readonly configurationVersion?: number;
};

/** The lease part of a heartbeat reply. */
export type LeaseReply = Pick<HeartbeatReplyMessage, 'accepted' | 'bindingId' | 'bindingMilliseconds' | 'cleanPredecessor' | 'cleanPredecessorVersion' | 'reason'>;

/** A lease reply with the replying entry's configuration version. */
export type VersionedLeaseReply = LeaseReply & {readonly configurationVersion?: number};

export type LeaseQuorums = {
	/** Acknowledgements of other slots that renew a lease. */
	readonly renewal: number;
	/** Acknowledgements of other slots that acquire a lease. */
	readonly acquisition: number;
};

/**
The quorums of a group of `slotCount` slots.

Any acquisition quorum shares a slot with any renewal quorum, because renewal + acquisition is more than `slotCount` - 1. The own slot plus a renewal quorum is more than half of the group. A slot that is alone in its group needs no acknowledgement, so two incarnations of it do not exclude each other.
*/
export function leaseQuorums(slotCount: number): LeaseQuorums {
	const renewal = Math.floor(slotCount / 2);
	return {renewal, acquisition: Math.min(slotCount - renewal, slotCount - 1)};
}

export type SlotLeaseOptions = EntryIdentity & {
	readonly clock: Clock;
	readonly invariants: Invariants;
	/** Default: {@link leaseQuorums}. Tests replace it to show that exclusion depends on the acquisition quorum. */
	readonly quorums?: (slotCount: number) => LeaseQuorums;
	/** Uniform random numbers from 0 to 1 for the pause after a prolonged contention. Default: `Math.random`. */
	readonly random?: () => number;
};

/** The promise to accept no other incarnation of a slot until the binding expires. */
type Binding = {
	readonly incarnation: string;
	readonly bindingId: string;
	readonly expiresAt: Milliseconds;
	/** The incarnation bound before this one, if its goodbye had the clean flag. */
	readonly cleanPredecessor: string | undefined;
	/** The configuration version that the predecessor had in force when it left. */
	readonly cleanPredecessorVersion: number | undefined;
};

type Departure = {readonly incarnation: string; readonly isClean: boolean; readonly configurationVersion: number | undefined};

type Acknowledgement = {
	readonly peer: string;
	readonly sentAt: Milliseconds;
	readonly bindingId: string;
	readonly bindingMilliseconds: Milliseconds;
	readonly configurationVersion: number;
	readonly cleanPredecessor: string | undefined;
	/** The configuration version that the predecessor had in force when it left. */
	readonly cleanPredecessorVersion: number | undefined;
};

/** Covers clock rates that differ by up to 2 % between the holder and the slots that bound it. */
const clockRateSafetyFactor = 0.98;

/** A larger difference between the wall clock's and the monotonic clock's advance means that the machine was suspended. */
const maximumClockJumpMs: Milliseconds = 1000;

/**
Decides whether this process holds the lease of its slot, and binds other slots to their incarnations.

Two incarnations of one slot never hold the lease at the same time. It does no I/O.
*/
export class SlotLease {
	static create(options: SlotLeaseOptions): SlotLease {
		return new SlotLease(options);
	}

	readonly #identity: EntryIdentity;
	readonly #clock: Clock;
	readonly #invariants: Invariants;
	readonly #quorumsOf: (slotCount: number) => LeaseQuorums;
	readonly #startedAt: Milliseconds;
	readonly #bindings = new Map<string, Binding>();
	readonly #departures = new Map<string, Departure>();
	readonly #sentHeartbeats = new Map<string, Map<number, Milliseconds>>();
	readonly #acknowledgements = new Map<string, Acknowledgement>();
	/** Binding ids that peers reported while this incarnation held the lease, by peer. */
	readonly #bindingIdsWhileHeld = new Map<string, string>();
	readonly #contention: SlotContention;
	#slots: readonly string[] = [];
	#leaseMs: Milliseconds = 0;
	#configurationVersion = 0;
	#bindingCount = 0;
	#grantedUntil: Milliseconds = Number.NEGATIVE_INFINITY;
	#firstHeldAt: Milliseconds | undefined;
	#predecessorLeftCleanly = false;
	#cleanPredecessorVersion: number | undefined;
	#isSuperseded = false;
	#hasLeft = false;
	#clockOffset: Milliseconds;

	private constructor(options: SlotLeaseOptions) {
		this.#identity = {slot: options.slot, incarnation: options.incarnation};
		this.#clock = options.clock;
		this.#invariants = options.invariants;
		this.#quorumsOf = options.quorums ?? leaseQuorums;
		this.#contention = SlotContention.create(options);
		this.#startedAt = options.clock.now();
		this.#clockOffset = options.clock.wallTime() - this.#startedAt;
	}

	/**
	Start of the current tenure, in which no other incarnation can have held the lease; undefined before the lease was held for the first time.

	It changes when the lease is regained with changed bindings, because another incarnation may have held it in between.
	*/
	get firstHeldAt(): Milliseconds | undefined {
		this.#checkClockJump();
		return this.#firstHeldAt;
	}

	/** Whether the incarnation before the current tenure sent a goodbye with no request in flight and nothing lent. */
	get predecessorLeftCleanly(): boolean {
		return this.#predecessorLeftCleanly;
	}

	/** The configuration version that the predecessor had in force when it left cleanly. */
	get cleanPredecessorVersion(): number | undefined {
		return this.#cleanPredecessorVersion;
	}

	get quorums(): LeaseQuorums {
		return this.#quorumsOf(this.#slots.length);
	}

	/** Sets the group of a newly adopted configuration. A held lease continues until its granted end, or for one new lease duration when that is shorter. */
	setGroup(group: LeaseGroup): void {
		this.#checkClockJump();
		this.#slots = [...group.slots];
		this.#leaseMs = group.leaseMilliseconds;
		this.#configurationVersion = group.configurationVersion ?? 0;
		this.#grantedUntil = Math.min(this.#grantedUntil, this.#clock.now() + group.leaseMilliseconds);
		this.#removeNonMembers(new Set(group.slots));
		this.#contention.setGroup(new Set(group.slots), group.leaseMilliseconds);
		if (!group.slots.includes(this.#identity.slot)) {
			this.#loseLease();
		}

		this.#updateLease();
	}

	/** Whether heartbeats may be sent now. They stop permanently when the incarnation has left or is superseded, and temporarily when its slot stays contested. */
	maySendHeartbeat(): boolean {
		return !this.#hasLeft && !this.#isSuperseded && !this.#contention.isPaused;
	}

	/** Records that a heartbeat is about to be sent. Call it before the bytes are handed to the socket. */
	recordSentHeartbeat(peer: string, sequence: number): void {
		this.#checkClockJump();
		const now = this.#clock.now();
		const sent = this.#sentHeartbeats.get(peer) ?? new Map<number, Milliseconds>();
		this.#sentHeartbeats.set(peer, sent);
		for (const [oldSequence, sentAt] of sent) {
			if (sentAt + this.#leaseMs < now) {
				sent.delete(oldSequence);
			}
		}

		sent.set(sequence, now);
	}

	/** Returns the reply to a heartbeat of another slot, and binds that slot to the sender when this is allowed. */
	receiveHeartbeat(from: EntryIdentity): LeaseReply {
		const now = this.#clock.now();
		const reason = this.#findRefusal(from, now);
		if (reason) {
			return {accepted: false, reason};
		}

		const binding = this.#createOrRenewBinding(from, now);
		this.#bindings.set(from.slot, binding);
		return {
			accepted: true,
			bindingId: binding.bindingId,
			bindingMilliseconds: this.#leaseMs,
			cleanPredecessor: binding.cleanPredecessor,
			cleanPredecessorVersion: binding.cleanPredecessorVersion,
		};
	}

	/** Processes the reply to a heartbeat of this entry. Replies to unknown or expired sequences are ignored. */
	receiveReply(peer: string, sequence: number, reply: VersionedLeaseReply): void {
		this.#checkClockJump();
		const sent = this.#sentHeartbeats.get(peer);
		const sentAt = sent?.get(sequence);
		if (sent === undefined || sentAt === undefined) {
			return;
		}

		sent.delete(sequence);
		if (reply.accepted && reply.bindingId !== undefined) {
			this.#recordAcknowledgement(peer, sentAt, reply, reply.bindingId);
		} else {
			this.#recordRefusal(peer, sentAt, reply);
		}

		this.#updateLease();
	}

	/** Releases the binding of an incarnation that stops. */
	receiveGoodbye(from: EntryIdentity, isClean = false, configurationVersion?: number): void {
		const binding = this.#bindings.get(from.slot);
		if (binding?.incarnation !== from.incarnation) {
			return;
		}

		this.#bindings.delete(from.slot);
		this.#departures.set(from.slot, {incarnation: from.incarnation, isClean, configurationVersion});
	}

	/**
	Releases the lease permanently. Call it before the goodbye is sent.

	@returns whether the lease was held until now. If it was not, the goodbye can't be clean, because another incarnation may have held the slot since.
	*/
	leave(): boolean {
		const wasHeld = this.isHeld();
		this.#hasLeft = true;
		this.#loseLease();
		return wasHeld;
	}

	/** The monotonic time until which the lease is held; undefined when it is not held now. */
	heldUntil(): Milliseconds | undefined {
		this.#checkClockJump();
		if (this.quorums.renewal === 0) {
			this.#updateLease();
		}

		return this.#isHeldAt(this.#clock.now()) ? this.#grantedUntil : undefined;
	}

	isHeld(): boolean {
		return this.heldUntil() !== undefined;
	}

	/** Whether another incarnation has taken the slot after this one held it. It never becomes false again. */
	isSuperseded(): boolean {
		return this.#isSuperseded;
	}

	/** The incarnation that a slot is bound to at this entry; undefined when the binding has expired. */
	boundIncarnation(slot: string): string | undefined {
		const binding = this.#bindings.get(slot);
		return binding && binding.expiresAt > this.#clock.now() ? binding.incarnation : undefined;
	}

	/** A binding that has not expired is kept, because its holder may rely on it when the slot returns to the group. */
	#removeNonMembers(members: ReadonlySet<string>): void {
		const now = this.#clock.now();
		for (const [slot, {expiresAt}] of this.#bindings) {
			if (!members.has(slot) && expiresAt <= now) {
				this.#bindings.delete(slot);
			}
		}

		for (const records of [this.#departures, this.#sentHeartbeats, this.#acknowledgements, this.#bindingIdsWhileHeld]) {
			for (const slot of records.keys()) {
				if (!members.has(slot)) {
					records.delete(slot);
				}
			}
		}
	}

	#findRefusal(from: EntryIdentity, now: Milliseconds): LeaseReply['reason'] {
		if (from.slot === this.#identity.slot) {
			return 'own-slot';
		}

		if (!this.#isVoting(now)) {
			return 'not-voting';
		}

		if (!this.#slots.includes(from.slot)) {
			return 'unknown-slot';
		}

		const binding = this.#bindings.get(from.slot);
		const isBoundElsewhere = binding && binding.incarnation !== from.incarnation && now < binding.expiresAt;
		return isBoundElsewhere ? 'slot-bound' : undefined;
	}

	#isVoting(now: Milliseconds): boolean {
		const hasEnded = this.#hasLeft || this.#isSuperseded;
		const hasStarted = this.#leaseMs > 0 && now >= this.#startedAt + this.#leaseMs;
		return hasStarted && !hasEnded && !this.#isContested(now);
	}

	/** Two incarnations of one slot must not both vote, because quorums of slots would no longer intersect. */
	#isContested(now: Milliseconds): boolean {
		return !this.#isHeldAt(now) && this.#contention.isContested;
	}

	#createOrRenewBinding(from: EntryIdentity, now: Milliseconds): Binding {
		const expiresAt = now + this.#leaseMs;
		const previous = this.#bindings.get(from.slot);
		if (previous?.incarnation === from.incarnation) {
			return {...previous, expiresAt: Math.max(previous.expiresAt, expiresAt)};
		}

		const departure = this.#departures.get(from.slot);
		this.#departures.delete(from.slot);
		this.#bindingCount++;
		return {
			incarnation: from.incarnation,
			bindingId: `${this.#identity.incarnation}/${this.#bindingCount}`,
			expiresAt,
			cleanPredecessor: departure?.isClean ? departure.incarnation : undefined,
			cleanPredecessorVersion: departure?.isClean ? departure.configurationVersion : undefined,
		};
	}

	#recordAcknowledgement(peer: string, sentAt: Milliseconds, reply: VersionedLeaseReply, bindingId: string): void {
		const previous = this.#acknowledgements.get(peer);
		if (previous && previous.sentAt > sentAt) {
			return;
		}

		this.#contention.recordReply(peer, true);
		this.#acknowledgements.set(peer, {
			peer,
			sentAt,
			bindingId,
			bindingMilliseconds: reply.bindingMilliseconds ?? this.#leaseMs,
			configurationVersion: reply.configurationVersion ?? 0,
			cleanPredecessor: reply.cleanPredecessor,
			cleanPredecessorVersion: reply.cleanPredecessorVersion,
		});
	}

	#recordRefusal(peer: string, sentAt: Milliseconds, reply: LeaseReply): void {
		const previous = this.#acknowledgements.get(peer);
		if (previous && previous.sentAt > sentAt) {
			return;
		}

		this.#acknowledgements.delete(peer);
		if (reply.reason === 'slot-bound') {
			this.#contention.recordRefusal(peer, sentAt, this.#isHeldAt(this.#clock.now()));
		} else {
			this.#contention.recordReply(peer, false);
		}
	}

	#isHeldAt(now: Milliseconds): boolean {
		return now < this.#grantedUntil;
	}

	/** When the holder must stop relying on the acknowledgement. */
	#expiresAt({sentAt, bindingMilliseconds}: Acknowledgement): Milliseconds {
		return sentAt + (Math.min(bindingMilliseconds, this.#leaseMs) * clockRateSafetyFactor);
	}

	#loseLease(): void {
		this.#grantedUntil = Number.NEGATIVE_INFINITY;
		this.#acknowledgements.clear();
		this.#sentHeartbeats.clear();
	}

	/** Drops the lease after a suspension, because the acknowledgements may be older than the monotonic clock indicates. */
	#checkClockJump(): void {
		const offset = this.#clock.wallTime() - this.#clock.now();
		if (Math.abs(offset - this.#clockOffset) > maximumClockJumpMs) {
			this.#clockOffset = offset;
			this.#loseLease();
		}
	}

	/** Acknowledgements that count towards a quorum, latest expiry first. */
	#countedAcknowledgements(): Acknowledgement[] {
		return [...this.#acknowledgements.values()]
			.filter(({configurationVersion}) => configurationVersion <= this.#configurationVersion)
			.toSorted((left, right) => this.#expiresAt(right) - this.#expiresAt(left));
	}

	#updateLease(): void {
		if (this.#hasLeft || this.#isSuperseded || !this.#slots.includes(this.#identity.slot)) {
			return;
		}

		const now = this.#clock.now();
		const acknowledgements = this.#countedAcknowledgements();
		if (this.#isHeldAt(now)) {
			this.#extendLease(acknowledgements, this.quorums.renewal, now);
		} else {
			this.#regainOrAcquire(acknowledgements, now);
		}
	}

	#regainOrAcquire(acknowledgements: readonly Acknowledgement[], now: Milliseconds): void {
		const withUnchangedBinding = acknowledgements.filter(({peer, bindingId}) => this.#bindingIdsWhileHeld.get(peer) === bindingId);
		if (this.#firstHeldAt !== undefined && this.#extendLease(withUnchangedBinding, this.quorums.renewal, now)) {
			return;
		}

		if (this.#extendLease(acknowledgements, this.quorums.acquisition, now)) {
			this.#startTenure(acknowledgements, now);
			return;
		}

		this.#detectSuccessor();
	}

	/** Extends the lease when the acknowledgement that completes the quorum has not expired. */
	#extendLease(acknowledgements: readonly Acknowledgement[], quorum: number, now: Milliseconds): boolean {
		const deciding = acknowledgements[quorum - 1];
		const expiresAt = quorum === 0 ? now + (this.#leaseMs * clockRateSafetyFactor) : deciding && this.#expiresAt(deciding);
		if (expiresAt === undefined || expiresAt <= now) {
			return false;
		}

		this.#grantedUntil = Math.max(this.#grantedUntil, expiresAt);
		this.#contention.reset();
		this.#checkInvariants(acknowledgements, now);
		for (const {peer, bindingId} of acknowledgements) {
			this.#bindingIdsWhileHeld.set(peer, bindingId);
		}

		return true;
	}

	#checkInvariants(acknowledgements: readonly Acknowledgement[], now: Milliseconds): void {
		const slotCount = this.#slots.length;
		const {renewal, acquisition} = this.quorums;
		const votes = 1 + acknowledgements.filter(acknowledgement => this.#expiresAt(acknowledgement) > now).length;
		this.#invariants.check('G10', 2 * votes > slotCount, () => `lease held with ${votes} of ${slotCount} slots at version ${this.#configurationVersion} or older`);
		this.#invariants.check('G3', slotCount === 1 || renewal + acquisition >= slotCount, () => `quorums ${renewal} and ${acquisition} of ${slotCount} slots need not intersect`);
		this.#invariants.check('G4', this.#grantedUntil <= now + this.#leaseMs, () => `lease held for more than ${this.#leaseMs} ms ahead`);
	}

	#startTenure(acknowledgements: readonly Acknowledgement[], now: Milliseconds): void {
		this.#firstHeldAt = now;
		const predecessor = this.#findCleanPredecessor(acknowledgements);
		this.#predecessorLeftCleanly = predecessor !== undefined;
		this.#cleanPredecessorVersion = predecessor?.cleanPredecessorVersion;
	}

	/**
	A renewal quorum must name the same predecessor. Any incarnation that held the lease after that predecessor was bound by an acquisition quorum, which shares a slot with the renewal quorum, and that slot would report another predecessor.
	*/
	#findCleanPredecessor(acknowledgements: readonly Acknowledgement[]): Acknowledgement | undefined {
		return acknowledgements.find(({cleanPredecessor}) => {
			const agreeing = acknowledgements.filter(acknowledgement => acknowledgement.cleanPredecessor === cleanPredecessor);
			return cleanPredecessor !== undefined && agreeing.length >= Math.max(1, this.quorums.renewal);
		});
	}

	#detectSuccessor(): void {
		const {acquisition} = this.quorums;
		if (this.#firstHeldAt !== undefined && acquisition > 0 && this.#contention.recentRefusals >= acquisition) {
			this.#isSuperseded = true;
		}
	}
}
