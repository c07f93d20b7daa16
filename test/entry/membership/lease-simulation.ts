/** A simulated lease group: several SlotLease objects with drifting clocks, connected by an unreliable network. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {Clock, Milliseconds} from '../../../src/shared/clock.js';
import {Invariants, type InvariantMode} from '../../../src/shared/invariants.js';
import {SlotLease, type LeaseQuorums, type LeaseReply} from '../../../src/entry/membership/slot-lease.js';

export const leaseMs = 2000;
export const heartbeatIntervalMs = 400;

/** One step of a random history. Targets are taken modulo the number of candidates. */
export type Fault
	= | {readonly kind: 'wait'; readonly durationMs: Milliseconds}
		/** Kills a process and starts a new incarnation of its slot after `delayMs`. */
		| {readonly kind: 'restart'; readonly target: number; readonly delayMs: Milliseconds}
		/** Starts another incarnation of a slot while the others keep running. Default: the contested slot. */
		| {readonly kind: 'duplicate'; readonly slot?: string}
		/** Pauses a process; its clock continues, and messages wait for it. */
		| {readonly kind: 'pause'; readonly target: number; readonly durationMs: Milliseconds}
		/** Pauses a process together with its monotonic clock, but not its wall clock. */
		| {readonly kind: 'suspend'; readonly target: number; readonly durationMs: Milliseconds}
		| {readonly kind: 'goodbye'; readonly target: number}
		/** Drops all messages from the processes of one side to the other; in both directions when `isTwoWay`. */
		| {readonly kind: 'partition'; readonly side: number; readonly isTwoWay: boolean; readonly durationMs: Milliseconds}
		/** Puts a higher configuration version into force at one process. */
		| {readonly kind: 'publish'; readonly target: number};

export type SimulationOptions = {
	readonly seed: number;
	readonly slotCount: number;
	/** Fraction of messages that are lost, 0 to 1. */
	readonly lossRatio: number;
	/** Fraction of messages that are delivered twice, 0 to 1. */
	readonly duplicationRatio: number;
	/** Fraction of messages that are delayed by up to three seconds, 0 to 1. */
	readonly lateRatio: number;
	/** Largest deviation of a clock's rate. Default: 0.01. */
	readonly clockRateDeviation?: number;
	readonly quorums?: (slotCount: number) => LeaseQuorums;
	readonly invariantMode?: InvariantMode;
};

export type Violation = {readonly property: 'exclusion' | 'majority'; readonly detail: string};

class DriftingClock implements Clock {
	static create(rate: number, start: Milliseconds): DriftingClock {
		return new DriftingClock(rate, start);
	}

	#localTime: Milliseconds;
	#lastUpdateAt: Milliseconds;
	#wallOffset: Milliseconds;
	#isFrozen = false;

	private constructor(private readonly rate: number, start: Milliseconds) {
		this.#localTime = start * 7 % 100_003;
		this.#lastUpdateAt = start;
		this.#wallOffset = 1_000_000 + start;
	}

	now(): Milliseconds {
		return this.#localTime;
	}

	wallTime(): Milliseconds {
		return this.#wallOffset + this.#localTime;
	}

	advanceTo(time: Milliseconds): void {
		const passedMs = (time - this.#lastUpdateAt) * this.rate;
		this.#lastUpdateAt = time;
		if (this.#isFrozen) {
			this.#wallOffset += passedMs;
		} else {
			this.#localTime += passedMs;
		}
	}

	setFrozen(isFrozen: boolean): void {
		this.#isFrozen = isFrozen;
	}
}

type Process = {
	readonly slot: string;
	readonly incarnation: string;
	readonly clock: DriftingClock;
	readonly lease: SlotLease;
	version: number;
	sequence: number;
	/** No event is handled before this time. */
	stoppedUntil: Milliseconds;
	isSuspended: boolean;
	isAlive: boolean;
};

type Event = {readonly dueAt: Milliseconds; readonly process: Process | undefined; readonly run: () => void};

type Partition = {readonly from: ReadonlySet<string>; readonly to: ReadonlySet<string>; readonly until: Milliseconds};

/** The slot that `duplicate` uses by default. */
export const contestedSlot = 'entry-1';

export class LeaseSimulation {
	static create(options: SimulationOptions): LeaseSimulation {
		return new LeaseSimulation(options);
	}

	readonly violations: Violation[] = [];
	/** Tenures of all incarnations, to show that leases were held in a history. */
	readonly tenures = new Set<string>();
	readonly slots: readonly string[];
	#now: Milliseconds = 0;
	#incarnations = 0;
	#version = 1;
	#isHealed = false;
	readonly #events: Event[] = [];
	#processes: readonly Process[] = [];
	#partitions: Partition[] = [];
	readonly #majorityNewerFrom = new Map<string, Milliseconds>();
	readonly #generator;

	private constructor(private readonly options: SimulationOptions) {
		this.#generator = xoroshiro128plus(options.seed);
		this.slots = Array.from({length: options.slotCount}, (_, index) => `entry-${index + 1}`);
		for (const slot of this.slots) {
			this.#startProcess(slot);
		}
	}

	get processes(): ReadonlyArray<Readonly<Process>> {
		return this.#processes;
	}

	/** Advances the simulated time without new faults. */
	advance(durationMs: Milliseconds): void {
		const endAt = this.#now + durationMs;
		for (let event = this.#takeNextEvent(endAt); event; event = this.#takeNextEvent(endAt)) {
			this.#advanceTo(event.dueAt);
			this.#handle(event);
			this.#checkProperties();
		}

		this.#advanceTo(endAt);
		this.#checkProperties();
	}

	apply(fault: Fault): void {
		const handlers = {
			wait: this.#wait,
			restart: this.#restart,
			duplicate: this.#duplicate,
			pause: this.#pause,
			suspend: this.#suspend,
			goodbye: this.#goodbye,
			partition: this.#partition,
			publish: this.#publish,
		} as const;
		(handlers[fault.kind] as (fault: Fault) => void).call(this, fault);
		this.#checkProperties();
	}

	/** Ends all faults. From now on superseded incarnations exit and a new incarnation is started for each empty slot. */
	heal(): void {
		this.#isHealed = true;
		this.#partitions = [];
		for (const process of this.#processes) {
			process.stoppedUntil = this.#now;
			this.#resume(process);
		}

		for (const slot of this.slots) {
			this.#replaceSuperseded(slot);
		}
	}

	holders(slot: string): Array<Readonly<Process>> {
		return this.#liveProcesses().filter(process => process.slot === slot && !process.isSuspended && process.lease.isHeld());
	}

	/** A superseded incarnation exits, and the platform starts another one when the slot is empty. */
	#replaceSuperseded(slot: string): void {
		for (const process of this.#liveProcesses().filter(other => other.slot === slot && other.lease.isSuperseded())) {
			this.#kill(process);
		}

		if (!this.#liveProcesses().some(process => process.slot === slot)) {
			this.#startProcess(slot);
		}
	}

	#random(): number {
		return uniformFloat64(this.#generator);
	}

	#liveProcesses(): readonly Process[] {
		return this.#processes;
	}

	#pickProcess(target: number): Process | undefined {
		const living = this.#liveProcesses();
		return living[target % Math.max(1, living.length)];
	}

	#schedule(delayMs: Milliseconds, process: Process | undefined, run: () => void): void {
		this.#insert({dueAt: this.#now + delayMs, process, run});
	}

	/** Keeps the events sorted, the next one last. Events of the same time keep their order. */
	#insert(event: Event): void {
		let low = 0;
		let high = this.#events.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (this.#events[middle]!.dueAt > event.dueAt) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		this.#events.splice(low, 0, event);
	}

	#takeNextEvent(endAt: Milliseconds): Event | undefined {
		const next = this.#events.at(-1);
		return next && next.dueAt <= endAt ? this.#events.pop() : undefined;
	}

	#advanceTo(time: Milliseconds): void {
		this.#now = Math.max(this.#now, time);
		for (const process of this.#liveProcesses()) {
			process.clock.advanceTo(this.#now);
		}
	}

	#handle(event: Event): void {
		const {process} = event;
		if (process && !process.isAlive) {
			return;
		}

		if (process && process.stoppedUntil > this.#now) {
			this.#insert({...event, dueAt: process.stoppedUntil});
			return;
		}

		event.run();
	}

	#startProcess(slot: string): Process {
		this.#incarnations++;
		const {clockRateDeviation = 0.01, quorums, invariantMode = 'throw'} = this.options;
		// Half of the clocks run at the maximum deviation, where the safety margin is smallest.
		const deviation = this.#random() < 0.5 ? Math.sign(this.#random() - 0.5) : (2 * this.#random()) - 1;
		const clock = DriftingClock.create(1 + (clockRateDeviation * deviation), this.#now);
		const incarnation = `${slot}#${this.#incarnations}`;
		const process: Process = {
			slot,
			incarnation,
			clock,
			lease: SlotLease.create({
				slot, incarnation, clock, invariants: Invariants.create(invariantMode), quorums, random: () => this.#random(),
			}),
			version: 1,
			sequence: 0,
			stoppedUntil: this.#now,
			isSuspended: false,
			isAlive: true,
		};
		this.#processes = [...this.#processes, process];
		this.#adoptVersion(process, 1);
		this.#schedule(this.#random() * heartbeatIntervalMs, process, () => {
			this.#sendHeartbeats(process);
		});
		return process;
	}

	#adoptVersion(process: Process, version: number): void {
		process.version = version;
		process.lease.setGroup({slots: this.slots, leaseMilliseconds: leaseMs, configurationVersion: version});
	}

	#sendHeartbeats(process: Process): void {
		if (this.#isHealed && process.lease.isSuperseded()) {
			this.#replaceSuperseded(process.slot);
			return;
		}

		if (process.lease.maySendHeartbeat()) {
			for (const slot of this.slots) {
				if (slot !== process.slot) {
					this.#sendHeartbeat(process, slot);
				}
			}
		}

		this.#schedule(heartbeatIntervalMs, process, () => {
			this.#sendHeartbeats(process);
		});
	}

	/** As in the peer task, a process has one connection to one incarnation of each slot. During the faults it may be any of them. */
	#sendHeartbeat(sender: Process, slot: string): void {
		const receivers = this.#liveProcesses().filter(process => process.slot === slot);
		const bound = this.#isHealed ? sender.lease.boundIncarnation(slot) : undefined;
		const receiver = receivers.find(({incarnation}) => incarnation === bound) ?? receivers[Math.floor(this.#random() * receivers.length)];
		if (!receiver) {
			return;
		}

		sender.sequence++;
		const {sequence} = sender;
		sender.lease.recordSentHeartbeat(slot, sequence);
		this.#transmit(sender, receiver, () => {
			const reply = receiver.lease.receiveHeartbeat(sender);
			const {version} = receiver;
			this.#transmit(receiver, sender, () => {
				this.#receiveReply(sender, slot, sequence, {...reply, configurationVersion: version});
			});
		});
	}

	#receiveReply(process: Process, slot: string, sequence: number, reply: LeaseReply & {configurationVersion: number}): void {
		process.lease.receiveReply(slot, sequence, reply);
		if (reply.configurationVersion > process.version) {
			this.#schedule(this.#random() * 300, process, () => {
				if (reply.configurationVersion > process.version) {
					this.#adoptVersion(process, reply.configurationVersion);
				}
			});
		}

		if (process.lease.firstHeldAt !== undefined) {
			this.tenures.add(`${process.incarnation}@${process.lease.firstHeldAt}`);
		}
	}

	#transmit(from: Process, to: Process, deliver: () => void): void {
		const {lossRatio, duplicationRatio, lateRatio} = this.options;
		const isCut = this.#partitions.some(partition => partition.until > this.#now && partition.from.has(from.incarnation) && partition.to.has(to.incarnation));
		if (isCut || (!this.#isHealed && this.#random() < lossRatio)) {
			return;
		}

		const copies = !this.#isHealed && this.#random() < duplicationRatio ? 2 : 1;
		for (let copy = 0; copy < copies; copy++) {
			const isLate = !this.#isHealed && this.#random() < lateRatio;
			this.#schedule(this.#random() * (isLate ? 3000 : 20), to, deliver);
		}
	}

	#wait({durationMs}: Extract<Fault, {kind: 'wait'}>): void {
		this.advance(durationMs);
	}

	#restart({target, delayMs}: Extract<Fault, {kind: 'restart'}>): void {
		const process = this.#pickProcess(target);
		if (process) {
			this.#kill(process);
			this.#schedule(delayMs, undefined, () => {
				if (process.slot === contestedSlot || !this.#liveProcesses().some(({slot}) => slot === process.slot)) {
					this.#startProcess(process.slot);
				}
			});
		}
	}

	#kill(process: Process): void {
		process.isAlive = false;
		this.#processes = this.#processes.filter(other => other !== process);
	}

	#duplicate({slot = contestedSlot}: Extract<Fault, {kind: 'duplicate'}>): void {
		if (this.#liveProcesses().filter(process => process.slot === slot).length < 3) {
			this.#startProcess(slot);
		}
	}

	#pause({target, durationMs}: Extract<Fault, {kind: 'pause'}>): void {
		const process = this.#pickProcess(target);
		if (process) {
			process.stoppedUntil = Math.max(process.stoppedUntil, this.#now + durationMs);
		}
	}

	#suspend({target, durationMs}: Extract<Fault, {kind: 'suspend'}>): void {
		const process = this.#pickProcess(target);
		if (!process || process.isSuspended) {
			return;
		}

		process.stoppedUntil = Math.max(process.stoppedUntil, this.#now + durationMs);
		process.isSuspended = true;
		process.clock.setFrozen(true);
		this.#schedule(durationMs, undefined, () => {
			this.#resume(process);
		});
	}

	#resume(process: Process): void {
		process.isSuspended = false;
		process.clock.setFrozen(false);
	}

	#goodbye({target}: Extract<Fault, {kind: 'goodbye'}>): void {
		const process = this.#pickProcess(target);
		if (!process || process.stoppedUntil > this.#now) {
			return;
		}

		const isClean = process.lease.leave();
		for (const receiver of this.#liveProcesses()) {
			if (receiver.slot !== process.slot) {
				this.#transmit(process, receiver, () => {
					receiver.lease.receiveGoodbye(process, isClean);
				});
			}
		}

		this.#kill(process);
		this.#schedule(this.#random() * 5000, undefined, () => {
			if (!this.#liveProcesses().some(({slot}) => slot === process.slot)) {
				this.#startProcess(process.slot);
			}
		});
	}

	#partition({side, isTwoWay, durationMs}: Extract<Fault, {kind: 'partition'}>): void {
		const left = new Set<string>();
		const right = new Set<string>();
		for (const [index, {incarnation}] of this.#liveProcesses().entries()) {
			// eslint-disable-next-line no-bitwise
			(((side >> (index % 16)) & 1) === 1 ? left : right).add(incarnation);
		}

		const until = this.#now + durationMs;
		this.#partitions.push({from: left, to: right, until});
		if (isTwoWay) {
			this.#partitions.push({from: right, to: left, until});
		}
	}

	#publish({target}: Extract<Fault, {kind: 'publish'}>): void {
		const process = this.#pickProcess(target);
		if (process) {
			this.#version++;
			this.#adoptVersion(process, this.#version);
		}
	}

	#checkProperties(): void {
		const holders = this.#processes.filter(({isSuspended, lease}) => !isSuspended && lease.isHeld());
		for (const [index, holder] of holders.entries()) {
			const other = holders.slice(0, index).find(({slot}) => slot === holder.slot);
			if (other) {
				this.violations.push({property: 'exclusion', detail: `${other.incarnation} and ${holder.incarnation} hold the lease at ${this.#now}`});
			}

			this.#checkVersion(holder);
		}
	}

	/** A holder must know every version that has been in force at a majority of slots for one lease. */
	#checkVersion(holder: Readonly<Process>): void {
		if (holder.version === this.#version) {
			return;
		}

		const newer = this.slots.filter(slot => slot !== holder.slot && this.#isSlotNewerThan(slot, holder.version));
		const key = `${holder.incarnation}@${holder.version}`;
		if (newer.length <= this.slots.length / 2) {
			this.#majorityNewerFrom.delete(key);
			return;
		}

		const newerFrom = this.#majorityNewerFrom.get(key) ?? this.#now;
		this.#majorityNewerFrom.set(key, newerFrom);
		if (this.#now > newerFrom + leaseMs) {
			this.violations.push({property: 'majority', detail: `${holder.incarnation} holds the lease with version ${holder.version} at ${this.#now}; a majority knew a newer one at ${newerFrom}`});
		}
	}

	#isSlotNewerThan(slot: string, version: number): boolean {
		const incarnations = this.#liveProcesses().filter(process => process.slot === slot);
		return incarnations.length > 0 && incarnations.every(process => process.version > version);
	}
}
