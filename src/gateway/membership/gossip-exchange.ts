import {pack} from 'msgpackr';
import type {Milliseconds} from '../../shared/clock.js';
import {ByteBudget, type ByteBudgetLimits} from './byte-budget.js';
import type {OutgoingDatagram} from './heartbeat-exchange.js';
import type {PeerGroup} from './peer-group.js';

/** Number of times that a new item is sent, and the time between them: datagrams are lost. */
const sendsPerItem = 4;
const resendIntervalMs: Milliseconds = 200;

/** Interval at which an instance sends items that it holds to another one at random, for those that missed them. */
const repairIntervalMs: Milliseconds = 1000;

/** Number of instances that send all items to one that has joined. */
const greetingInstances = 4;

/** Items that wait to be sent. Beyond it, repetitions are dropped first, then what matters least. All are repaired later. */
const maximumPending = 256;

/** Bytes that one exchange sends, with all copies, because the link also carries requests and their cancellations. What exceeds it waits. */
const minimumBytesPerSecond = 32_768;
const bytesPerSecondForTarget = 1536;
const minimumBurstBytes = 24_576;

/** Largest content of a datagram in bytes, so that it fits into one packet. */
export const maximumPacketBytes = 1100;

/** Divides items into groups of at most the given size; a larger item is a group of its own. */
export function splitBySize<Item>(items: readonly Item[], maximumBytes: number): Item[][] {
	const groups: Item[][] = [];
	let bytes = Infinity;
	for (const item of items) {
		const itemBytes = pack(item).byteLength;
		if (bytes + itemBytes > maximumBytes) {
			groups.push([]);
			bytes = 0;
		}

		groups.at(-1)!.push(item);
		bytes += itemBytes;
	}

	return groups;
}

/** Returns some items, beginning at a position that may exceed their number, so that repeated repairs cover all in turn. */
export function selectInRotation<Item>(items: readonly Item[], position: number, count: number): Item[] {
	return Array.from({length: Math.min(count, items.length)}, (_, index) => items[(position + index) % items.length]!);
}

type PendingItem<Item> = {
	item: Item;
	/** Items from another zone are sent within this zone only. */
	readonly isFromOtherZone: boolean;
	sendsLeft: number;
	nextAt: Milliseconds;
};

function isUnsent({sendsLeft}: PendingItem<unknown>): boolean {
	return sendsLeft === sendsPerItem;
}

export type GossipExchangeOptions<Item> = {
	readonly peers: PeerGroup;
	readonly ownHost: string;
	/** All items that this instance holds. */
	readonly allItems: () => readonly Item[];
	/** The items of the next repair. */
	readonly repairItems: () => readonly Item[];
	/** Returns one item with the content of two, or undefined if they can't be joined. */
	readonly join: (first: Item, second: Item) => Item | undefined;
	/** Items of a lower rank are sent before the others. */
	readonly rank: (item: Item) => number;
	/** Encodes items that fit into one packet. */
	readonly encode: (items: readonly Item[], now: Milliseconds) => Uint8Array;
	/** Returns a random number from 0 to below 1. */
	readonly random: () => number;
};

/**
Decides which items that instances learn are sent to whom, without network or timers.

An instance sends what it has learnt to its peers and, in a large fleet, to a few instances of each other zone, which pass it on within theirs. So the datagrams for an item grow with the zone and the number of zones, not with the fleet. All of them together stay within a budget of bytes.
*/
export class GossipExchange<Item> {
	static create<Item>(options: GossipExchangeOptions<Item>): GossipExchange<Item> {
		return new GossipExchange(options);
	}

	#pending: Array<PendingItem<Item>> = [];
	#lastRepairAt: Milliseconds = -Infinity;
	readonly #budget = ByteBudget.create(() => this.#limits());

	private constructor(private readonly options: GossipExchangeOptions<Item>) {}

	/** Number of items that wait to be sent, for the first time or again. */
	get pendingCount(): number {
		return this.#pending.length;
	}

	/** Returns what is to be sent of new items of this instance. */
	publish(items: readonly Item[], now: Milliseconds): OutgoingDatagram[] {
		this.#queue(items, false, now);
		return this.#sendDue(now);
	}

	/** Returns what is to be sent of new items that were received from another instance. */
	passOn(items: readonly Item[], sender: string, now: Milliseconds): OutgoingDatagram[] {
		const {peers} = this.options;
		if (!peers.isZoned || peers.isZonePeer(sender)) {
			return [];
		}

		this.#queue(items, true, now);
		return this.#sendDue(now);
	}

	/** Returns what is to be sent now. */
	tick(now: Milliseconds): OutgoingDatagram[] {
		return [...this.#sendDue(now), ...this.#repair(now)];
	}

	/** Returns all items for an instance that has started or was out of touch, as far as the budget allows. Only some of the others send them. */
	greet(host: string, now: Milliseconds): OutgoingDatagram[] {
		const {peers, random, allItems} = this.options;
		if (random() * peers.presentHosts().length >= greetingInstances) {
			return [];
		}

		return this.#encodeWithinBudget(allItems(), new Set([host]), now).map(({outgoing}) => outgoing);
	}

	#queue(items: readonly Item[], isFromOtherZone: boolean, now: Milliseconds): void {
		for (const item of items) {
			if (!this.#joinUnsent(item, isFromOtherZone)) {
				this.#pending.push({
					item, isFromOtherZone, sendsLeft: sendsPerItem, nextAt: now,
				});
			}
		}

		if (this.#pending.length > maximumPending) {
			this.#pending = this.#pending.toSorted((a, b) => this.#compare(a, b)).slice(0, maximumPending);
		}
	}

	/** Adds an item to one that waits for its first sending. */
	#joinUnsent(item: Item, isFromOtherZone: boolean): boolean {
		for (const pending of this.#pending) {
			const joined = pending.isFromOtherZone === isFromOtherZone && isUnsent(pending) ? this.options.join(pending.item, item) : undefined;
			if (joined !== undefined) {
				pending.item = joined;
				return true;
			}
		}

		return false;
	}

	/** Orders what was never sent before repetitions, by rank, the oldest first. */
	#compare(a: PendingItem<Item>, b: PendingItem<Item>): number {
		const {rank} = this.options;
		return Number(isUnsent(b)) - Number(isUnsent(a)) || rank(a.item) - rank(b.item) || a.nextAt - b.nextAt;
	}

	/** Sends in order. What comes after an item that exceeds the budget waits, too, however small it is. */
	#sendDue(now: Milliseconds): OutgoingDatagram[] {
		const due = this.#pending.filter(({nextAt}) => nextAt <= now).toSorted((a, b) => this.#compare(a, b));
		const outgoing: OutgoingDatagram[] = [];
		for (let index = 0; index < due.length;) {
			const {isFromOtherZone} = due[index]!;
			const end = due.findIndex((pending, other) => other > index && pending.isFromOtherZone !== isFromOtherZone);
			const group = due.slice(index, end === -1 ? undefined : end);
			const sent = this.#encodeWithinBudget(group.map(({item}) => item), this.#targets(isFromOtherZone), now);
			const sentCount = sent.reduce((count, {itemCount}) => count + itemCount, 0);
			for (const pending of group.slice(0, sentCount)) {
				pending.sendsLeft--;
				pending.nextAt = now + resendIntervalMs;
			}

			outgoing.push(...sent.map(packet => packet.outgoing));
			if (sentCount < group.length) {
				break;
			}

			index += group.length;
		}

		this.#pending = this.#pending.filter(({sendsLeft}) => sendsLeft > 0);
		return outgoing;
	}

	#targets(isFromOtherZone: boolean): ReadonlySet<string> {
		const {peers} = this.options;
		return new Set([...peers.presentHosts(), ...(isFromOtherZone ? [] : peers.summaryTargets())]);
	}

	#limits(): ByteBudgetLimits {
		const targets = this.#targets(false).size;
		return {
			bytesPerSecond: Math.max(minimumBytesPerSecond, targets * bytesPerSecondForTarget),
			burstBytes: Math.max(minimumBurstBytes, targets * maximumPacketBytes),
		};
	}

	/** Encodes the first items, as many as the budget allows. */
	#encodeWithinBudget(items: readonly Item[], targets: ReadonlySet<string>, now: Milliseconds): Array<{readonly outgoing: OutgoingDatagram; readonly itemCount: number}> {
		const packets: Array<{readonly outgoing: OutgoingDatagram; readonly itemCount: number}> = [];
		for (const group of splitBySize(items, maximumPacketBytes)) {
			const datagram = this.options.encode(group, now);
			if (!this.#budget.take(datagram.byteLength * targets.size, now)) {
				break;
			}

			packets.push({outgoing: {datagram, targets}, itemCount: group.length});
		}

		return packets;
	}

	#repair(now: Milliseconds): OutgoingDatagram[] {
		const {peers, ownHost, random, repairItems} = this.options;
		if (now - this.#lastRepairAt < repairIntervalMs || this.#pending.some(pending => isUnsent(pending))) {
			return [];
		}

		this.#lastRepairAt = now;
		const hosts = peers.members().filter(host => host !== ownHost);
		const target = hosts[Math.floor(random() * hosts.length)];
		return target === undefined ? [] : this.#encodeWithinBudget(repairItems(), new Set([target]), now).map(({outgoing}) => outgoing);
	}
}
