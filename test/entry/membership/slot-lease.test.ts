import test from 'ava';
import {Invariants} from '../../../src/shared/invariants.js';
import {
	leaseQuorums, SlotLease, type LeaseGroup, type VersionedLeaseReply,
} from '../../../src/entry/membership/slot-lease.js';

const invariants = Invariants.create('throw');
const slots = ['entry-1', 'entry-2', 'entry-3', 'entry-4', 'entry-5', 'entry-6', 'entry-7'];
const group: LeaseGroup = {slots, leaseMilliseconds: 2000, configurationVersion: 1};

class JumpingClock {
	#now = 0;
	#wallTime = 1_700_000_000_000;

	now(): number {
		return this.#now;
	}

	wallTime(): number {
		return this.#wallTime;
	}

	advance(milliseconds: number): void {
		this.#now += milliseconds;
		this.#wallTime += milliseconds;
	}

	jumpWallTime(milliseconds: number): void {
		this.#wallTime += milliseconds;
	}
}

/** Entry 1 with its clock and the replies that the other entries would send. */
class LeaseHolder {
	static create(leaseGroup: LeaseGroup = group): LeaseHolder {
		return new LeaseHolder(leaseGroup);
	}

	readonly clock = new JumpingClock();
	readonly lease: SlotLease;
	#sequence = 0;

	private constructor(leaseGroup: LeaseGroup) {
		this.lease = SlotLease.create({
			slot: 'entry-1', incarnation: 'one', clock: this.clock, invariants, random: () => 0.5,
		});
		this.lease.setGroup(leaseGroup);
	}

	/** Sends one heartbeat to each peer and delivers its reply immediately. */
	readonly exchangeHeartbeats = (peers: readonly string[], reply: Partial<VersionedLeaseReply> = {}): void => {
		for (const peer of peers) {
			this.#sequence++;
			this.lease.recordSentHeartbeat(peer, this.#sequence);
			this.lease.receiveReply(peer, this.#sequence, {
				accepted: true, bindingId: `${peer}/1`, configurationVersion: 1, ...reply,
			});
		}
	};
}

function otherSlots(count: number): string[] {
	return slots.slice(1, 1 + count);
}

function startVoter(): {voter: SlotLease; clock: JumpingClock} {
	const clock = new JumpingClock();
	const voter = SlotLease.create({
		slot: 'entry-1', incarnation: 'voter', clock, invariants,
	});
	voter.setGroup(group);
	clock.advance(2000);
	return {voter, clock};
}

// Guards against quorums that two incarnations can both reach, or that a majority can't reach.
test('acquisition and renewal quorums share a slot, and a renewal quorum with the own slot is a majority', t => {
	t.deepEqual(leaseQuorums(1), {renewal: 0, acquisition: 0});
	t.deepEqual(leaseQuorums(7), {renewal: 3, acquisition: 4});
	for (let count = 2; count < 50; count++) {
		const {renewal, acquisition} = leaseQuorums(count);
		t.true(renewal + acquisition > count - 1);
		t.true(1 + renewal > count / 2);
		t.true(acquisition <= count - 1);
	}
});

test('a lease is acquired by four of seven slots and not by three', t => {
	const {lease, exchangeHeartbeats} = LeaseHolder.create();
	exchangeHeartbeats(otherSlots(3));
	t.false(lease.isHeld());
	t.is(lease.firstHeldAt, undefined);
	exchangeHeartbeats(['entry-5']);
	t.true(lease.isHeld());
	t.is(lease.firstHeldAt, 0);
});

// Guards against a lease that is counted from the arrival of the reply and outlasts the bindings.
test('a lease lasts 98 % of its duration from the third-latest acknowledged heartbeat', t => {
	const {lease, clock, exchangeHeartbeats} = LeaseHolder.create();
	exchangeHeartbeats(otherSlots(4));
	clock.advance(400);
	exchangeHeartbeats(otherSlots(3));
	t.is(lease.heldUntil(), 400 + 1960);
	clock.advance(400);
	exchangeHeartbeats(otherSlots(2));
	t.is(lease.heldUntil(), 400 + 1960);
	clock.advance(1559);
	t.true(lease.isHeld());
	clock.advance(1);
	t.false(lease.isHeld());
});

// Guards against a late reply that extends the lease by its network delay.
test('a late reply counts from the time when its heartbeat was sent', t => {
	const {lease, clock} = LeaseHolder.create();
	for (const [index, peer] of otherSlots(4).entries()) {
		lease.recordSentHeartbeat(peer, index);
	}

	clock.advance(1900);
	for (const [index, peer] of otherSlots(4).entries()) {
		lease.receiveReply(peer, index, {accepted: true, bindingId: peer});
	}

	t.is(lease.heldUntil(), 1960);
	clock.advance(100);
	t.false(lease.isHeld());
});

// Guards against replays: a reply to a sequence that was never sent, or was already replied to, must not count.
test('replies to unknown, processed or expired sequences are ignored', t => {
	const {lease, clock} = LeaseHolder.create();
	for (const peer of otherSlots(6)) {
		lease.receiveReply(peer, 99, {accepted: true, bindingId: peer});
	}

	t.false(lease.isHeld());
	lease.recordSentHeartbeat('entry-2', 1);
	clock.advance(10_000);
	lease.recordSentHeartbeat('entry-2', 2);
	lease.receiveReply('entry-2', 1, {accepted: true, bindingId: 'entry-2'});
	t.false(lease.isHeld());
});

// Guards against an outage: after a pause of the process, with a zone of three entries down, only three others can reply.
test('an expired lease is regained with three unchanged bindings in the same tenure', t => {
	const {lease, clock, exchangeHeartbeats} = LeaseHolder.create();
	exchangeHeartbeats(otherSlots(4));
	clock.advance(5000);
	t.false(lease.isHeld());
	exchangeHeartbeats(otherSlots(3));
	t.true(lease.isHeld());
	t.is(lease.firstHeldAt, 0);
});

// Guards against a second holder: changed bindings mean that another incarnation may have been bound in the meantime.
test('an expired lease with changed bindings needs four acknowledgements and starts a new tenure', t => {
	const {lease, clock, exchangeHeartbeats} = LeaseHolder.create();
	exchangeHeartbeats(otherSlots(4));
	clock.advance(5000);
	exchangeHeartbeats(otherSlots(2));
	exchangeHeartbeats(['entry-4'], {bindingId: 'entry-4/2'});
	t.false(lease.isHeld());
	exchangeHeartbeats(['entry-5'], {bindingId: 'entry-5/2'});
	t.true(lease.isHeld());
	t.is(lease.firstHeldAt, 5000, 'units must be quarantined again');
});

// Guards against counting bindings that were reported after the lease expired: they may be younger than another incarnation's tenure.
test('bindings that were first reported after the lease expired do not count as unchanged', t => {
	const {lease, clock, exchangeHeartbeats} = LeaseHolder.create();
	exchangeHeartbeats(otherSlots(4));
	clock.advance(5000);
	exchangeHeartbeats(['entry-6', 'entry-7', 'entry-2']);
	clock.advance(400);
	exchangeHeartbeats(['entry-6', 'entry-7', 'entry-2']);
	t.false(lease.isHeld());
});

// Guards against a suspended machine whose monotonic clock stopped while the bindings expired.
test('a jump of the wall clock ends the lease until it is renewed', t => {
	const {lease, clock, exchangeHeartbeats} = LeaseHolder.create();
	exchangeHeartbeats(otherSlots(6));
	clock.jumpWallTime(900);
	t.true(lease.isHeld());
	clock.jumpWallTime(200);
	t.false(lease.isHeld());
	exchangeHeartbeats(otherSlots(3));
	t.true(lease.isHeld());
});

test('a reply to a heartbeat from before a jump of the wall clock does not count', t => {
	const {lease, clock, exchangeHeartbeats} = LeaseHolder.create();
	exchangeHeartbeats(otherSlots(4));
	for (const peer of otherSlots(4)) {
		lease.recordSentHeartbeat(peer, 100);
	}

	clock.jumpWallTime(-60_000);
	for (const peer of otherSlots(4)) {
		lease.receiveReply(peer, 100, {accepted: true, bindingId: `${peer}/1`});
	}

	t.false(lease.isHeld());
});

// Guards against dispatching with a configuration that a majority has already replaced.
test('acknowledgements from a newer configuration count only after it has been adopted', t => {
	const {lease, exchangeHeartbeats} = LeaseHolder.create();
	exchangeHeartbeats(otherSlots(3));
	exchangeHeartbeats(otherSlots(6).slice(3), {configurationVersion: 2});
	t.false(lease.isHeld());
	lease.setGroup({...group, configurationVersion: 2});
	t.true(lease.isHeld());
});

// Guards against an old process that continues to serve after its slot was taken.
test('a former holder that four slots refuse is superseded permanently and stops voting', t => {
	const {lease, clock, exchangeHeartbeats} = LeaseHolder.create();
	exchangeHeartbeats(otherSlots(4));
	exchangeHeartbeats(otherSlots(4), {accepted: false, reason: 'slot-bound'});
	t.false(lease.isSuperseded(), 'it still holds the lease');
	clock.advance(2500);
	exchangeHeartbeats(otherSlots(3), {accepted: false, reason: 'slot-bound'});
	t.false(lease.isSuperseded());
	exchangeHeartbeats(['entry-5'], {accepted: false, reason: 'slot-bound'});
	t.true(lease.isSuperseded());
	exchangeHeartbeats(otherSlots(6));
	t.false(lease.isHeld());
	t.false(lease.maySendHeartbeat());
	t.deepEqual(lease.receiveHeartbeat({slot: 'entry-2', incarnation: 'x'}), {accepted: false, reason: 'not-voting'});
});

// Guards against a replacement that exits because its predecessor's bindings have not expired yet.
test('an incarnation that never held the lease is not superseded by refusals', t => {
	const {lease, exchangeHeartbeats} = LeaseHolder.create();
	exchangeHeartbeats(otherSlots(6), {accepted: false, reason: 'slot-bound'});
	t.false(lease.isSuperseded());
	exchangeHeartbeats(otherSlots(4));
	t.true(lease.isHeld());
});

// Guards against two new incarnations that keep each other from an acquisition quorum indefinitely.
test('an incarnation without the lease pauses its heartbeats when its slot stays contested', t => {
	const {lease, clock, exchangeHeartbeats} = LeaseHolder.create();
	exchangeHeartbeats(otherSlots(3), {accepted: false, reason: 'slot-bound'});
	clock.advance(3999);
	exchangeHeartbeats(otherSlots(3), {accepted: false, reason: 'slot-bound'});
	t.true(lease.maySendHeartbeat());
	clock.advance(1);
	exchangeHeartbeats(otherSlots(1), {accepted: false, reason: 'slot-bound'});
	t.false(lease.maySendHeartbeat());
	clock.advance(8000);
	t.true(lease.maySendHeartbeat());
});

// Guards against a restarted voter that has lost its bindings.
test('a voter acknowledges nothing during its first lease duration', t => {
	const clock = new JumpingClock();
	const voter = SlotLease.create({
		slot: 'entry-1', incarnation: 'voter', clock, invariants,
	});
	t.is(voter.receiveHeartbeat({slot: 'entry-2', incarnation: 'x'}).reason, 'not-voting');
	voter.setGroup(group);
	clock.advance(1999);
	t.is(voter.receiveHeartbeat({slot: 'entry-2', incarnation: 'x'}).reason, 'not-voting');
	clock.advance(1);
	t.true(voter.receiveHeartbeat({slot: 'entry-2', incarnation: 'x'}).accepted);
});

// Guards against two processes of one slot that both vote: with two such slots, two incarnations could each reach a quorum.
test('an incarnation without the lease does not vote while another one is bound to its slot', t => {
	const {lease, clock, exchangeHeartbeats} = LeaseHolder.create();
	const peer = {slot: 'entry-7', incarnation: 'x'};
	exchangeHeartbeats(otherSlots(3));
	clock.advance(2000);
	t.true(lease.receiveHeartbeat(peer).accepted);
	exchangeHeartbeats(['entry-5'], {accepted: false, reason: 'slot-bound'});
	t.is(lease.receiveHeartbeat(peer).reason, 'not-voting');
	clock.advance(60_000);
	t.is(lease.receiveHeartbeat(peer).reason, 'not-voting', 'no refusal comes while nothing is sent');
	exchangeHeartbeats(otherSlots(3));
	t.is(lease.receiveHeartbeat(peer).reason, 'not-voting');
	exchangeHeartbeats(otherSlots(4));
	t.true(lease.isHeld());
	t.true(lease.receiveHeartbeat(peer).accepted);
});

test('another incarnation is refused until the binding of the slot expires', t => {
	const {voter, clock} = startVoter();
	const first = voter.receiveHeartbeat({slot: 'entry-2', incarnation: 'x'});
	clock.advance(1999);
	t.deepEqual(voter.receiveHeartbeat({slot: 'entry-2', incarnation: 'y'}), {accepted: false, reason: 'slot-bound'});
	t.is(voter.boundIncarnation('entry-2'), 'x');
	clock.advance(1);
	t.is(voter.boundIncarnation('entry-2'), undefined);
	const second = voter.receiveHeartbeat({slot: 'entry-2', incarnation: 'y'});
	t.true(second.accepted);
	t.not(second.bindingId, first.bindingId);
});

test('a binding keeps its id as long as no other incarnation was bound, even after it expired', t => {
	const {voter, clock} = startVoter();
	const {bindingId} = voter.receiveHeartbeat({slot: 'entry-2', incarnation: 'x'});
	clock.advance(60_000);
	t.is(voter.receiveHeartbeat({slot: 'entry-2', incarnation: 'x'}).bindingId, bindingId);
});

test('a goodbye releases the binding of its own incarnation only', t => {
	const {voter} = startVoter();
	voter.receiveHeartbeat({slot: 'entry-2', incarnation: 'x'});
	voter.receiveGoodbye({slot: 'entry-2', incarnation: 'y'}, true);
	t.is(voter.receiveHeartbeat({slot: 'entry-2', incarnation: 'z'}).reason, 'slot-bound');
	voter.receiveGoodbye({slot: 'entry-2', incarnation: 'x'}, true);
	const reply = voter.receiveHeartbeat({slot: 'entry-2', incarnation: 'z'});
	t.true(reply.accepted);
	t.is(reply.cleanPredecessor, 'x');
});

// Guards against ending quarantine because of a predecessor's predecessor.
test('only the incarnation bound last can be reported as a clean predecessor', t => {
	const {voter, clock} = startVoter();
	voter.receiveHeartbeat({slot: 'entry-2', incarnation: 'x'});
	voter.receiveGoodbye({slot: 'entry-2', incarnation: 'x'}, true);
	voter.receiveHeartbeat({slot: 'entry-2', incarnation: 'y'});
	clock.advance(3000);
	t.is(voter.receiveHeartbeat({slot: 'entry-2', incarnation: 'z'}).cleanPredecessor, undefined);
	voter.receiveGoodbye({slot: 'entry-2', incarnation: 'z'}, false);
	t.is(voter.receiveHeartbeat({slot: 'entry-2', incarnation: 'last'}).cleanPredecessor, undefined);
});

// Guards against ending the quarantine because of one peer with outdated information.
test('the predecessor left cleanly when a renewal quorum reports the same one', t => {
	const tooFew = LeaseHolder.create();
	tooFew.exchangeHeartbeats(otherSlots(2), {cleanPredecessor: 'zero'});
	tooFew.exchangeHeartbeats(otherSlots(5).slice(2), {cleanPredecessor: undefined});
	t.true(tooFew.lease.isHeld());
	t.false(tooFew.lease.predecessorLeftCleanly);
	const enough = LeaseHolder.create();
	enough.exchangeHeartbeats(otherSlots(3), {cleanPredecessor: 'zero'});
	enough.exchangeHeartbeats(otherSlots(4).slice(3));
	t.true(enough.lease.predecessorLeftCleanly);
});

test('slots outside the group and the own slot get no acknowledgement', t => {
	const {voter} = startVoter();
	t.is(voter.receiveHeartbeat({slot: 'entry-9', incarnation: 'x'}).reason, 'unknown-slot');
	t.is(voter.receiveHeartbeat({slot: 'entry-1', incarnation: 'x'}).reason, 'own-slot');
});

// Guards against a safety factor that is too large for clocks that differ by 1 % in both directions.
test('a holder with a slow clock stops before a voter with a fast clock releases the binding', t => {
	const holder = LeaseHolder.create();
	const {voter, clock} = startVoter();
	holder.exchangeHeartbeats(otherSlots(3));
	holder.lease.recordSentHeartbeat('entry-5', 100);
	const reply = voter.receiveHeartbeat({slot: 'entry-5', incarnation: 'one'});
	holder.lease.receiveReply('entry-5', 100, reply);
	t.true(holder.lease.isHeld());
	while (holder.lease.isHeld()) {
		holder.clock.advance(0.99);
		clock.advance(1.01);
	}

	t.is(voter.receiveHeartbeat({slot: 'entry-5', incarnation: 'two'}).reason, 'slot-bound');
	clock.advance(3);
	t.true(voter.receiveHeartbeat({slot: 'entry-5', incarnation: 'two'}).accepted);
});

// Guards against a second holder when a slot is removed from the configuration and added again within one lease duration.
test('a binding outlasts the removal of its slot from the group', t => {
	const {voter, clock} = startVoter();
	voter.receiveHeartbeat({slot: 'entry-2', incarnation: 'x'});
	voter.setGroup({...group, slots: slots.filter(slot => slot !== 'entry-2'), configurationVersion: 2});
	voter.setGroup({...group, configurationVersion: 3});
	t.is(voter.receiveHeartbeat({slot: 'entry-2', incarnation: 'y'}).reason, 'slot-bound');
	clock.advance(2000);
	t.true(voter.receiveHeartbeat({slot: 'entry-2', incarnation: 'y'}).accepted);
});

test('a slot that leaves the group loses its lease immediately', t => {
	const {lease, exchangeHeartbeats} = LeaseHolder.create();
	exchangeHeartbeats(otherSlots(6));
	lease.setGroup({...group, slots: slots.slice(1)});
	t.false(lease.isHeld());
	t.is(lease.heldUntil(), undefined);
});

// Guards against an outage while slots are added: their processes start only afterwards.
test('a held lease continues to its granted end when the group grows', t => {
	const {lease, clock, exchangeHeartbeats} = LeaseHolder.create({...group, slots: slots.slice(0, 3)});
	exchangeHeartbeats(otherSlots(2));
	t.true(lease.isHeld());
	clock.advance(400);
	lease.setGroup(group);
	exchangeHeartbeats(otherSlots(2));
	t.is(lease.heldUntil(), 1960);
	exchangeHeartbeats(['entry-4']);
	t.is(lease.heldUntil(), 400 + 1960);
});

// Guards against relying on a binding for longer than the voter keeps it, while a changed lease duration is being adopted.
test('the shorter of the own and the granted duration counts', t => {
	const {lease, exchangeHeartbeats} = LeaseHolder.create();
	exchangeHeartbeats(otherSlots(4), {bindingMilliseconds: 1000});
	t.is(lease.heldUntil(), 980);
	exchangeHeartbeats(otherSlots(4), {bindingMilliseconds: 9000});
	t.is(lease.heldUntil(), 1960);
	lease.setGroup({...group, leaseMilliseconds: 500, configurationVersion: 2});
	t.is(lease.heldUntil(), 500);
});

test('an entry alone in its group holds the lease as long as it runs', t => {
	const {lease, clock} = LeaseHolder.create({...group, slots: ['entry-1']});
	t.true(lease.isHeld());
	clock.advance(1_000_000);
	t.true(lease.isHeld());
	t.false(lease.predecessorLeftCleanly);
	t.is(lease.firstHeldAt, 0);
});

// Guards against dispatching after the slot was released, and against a clean goodbye without the lease.
test('an incarnation that left holds no lease, even when replies arrive later', t => {
	const {lease, exchangeHeartbeats} = LeaseHolder.create();
	t.false(lease.leave());
	const other = LeaseHolder.create();
	other.exchangeHeartbeats(otherSlots(4));
	t.true(other.lease.leave());
	other.exchangeHeartbeats(otherSlots(6));
	t.false(other.lease.isHeld());
	exchangeHeartbeats(otherSlots(6));
	t.false(lease.isHeld());
});
