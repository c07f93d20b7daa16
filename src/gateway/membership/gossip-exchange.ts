import {pack} from 'msgpackr';
import type {Milliseconds} from '../../shared/clock.js';
import type {OutgoingDatagram} from './heartbeat-exchange.js';
import type {PeerGroup} from './peer-group.js';

/** Number of times that a new item is sent, and the time between them: datagrams are lost. */
const sendsPerItem = 4;
const resendIntervalMs: Milliseconds = 200;

/** Interval at which an instance sends items that it holds to another one at random, for those that missed them. */
const repairIntervalMs: Milliseconds = 1000;

/** Number of instances that send all items to one that has joined. */
const greetingInstances = 4;

/** Items that wait to be sent; the oldest are dropped. All are repaired later. */
const maximumPending = 256;

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
	readonly item: Item;
	/** Items from another zone are sent within this zone only. */
	readonly isFromOtherZone: boolean;
	sendsLeft: number;
	nextAt: Milliseconds;
};

export type GossipExchangeOptions<Item> = {
	readonly peers: PeerGroup;
	readonly ownHost: string;
	/** All items that this instance holds. */
	readonly allItems: () => readonly Item[];
	/** The items of the next repair. */
	readonly repairItems: () => readonly Item[];
	/** Encodes items as datagrams that each fit into one packet. */
	readonly encode: (items: readonly Item[], now: Milliseconds) => Uint8Array[];
	/** Returns a random number from 0 to below 1. */
	readonly random: () => number;
};

/**
Decides which items that instances learn are sent to whom, without network or timers.

An instance sends what it has learnt to its peers and, in a large fleet, to a few instances of each other zone, which pass it on within theirs. So the datagrams for an item grow with the zone and the number of zones, not with the fleet.
*/
export class GossipExchange<Item> {
	static create<Item>(options: GossipExchangeOptions<Item>): GossipExchange<Item> {
		return new GossipExchange(options);
	}

	#pending: Array<PendingItem<Item>> = [];
	#lastRepairAt: Milliseconds = -Infinity;

	private constructor(private readonly options: GossipExchangeOptions<Item>) {}

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

	/** Returns all items for an instance that has started or was out of touch. Only some of the others send them. */
	greet(host: string, now: Milliseconds): OutgoingDatagram[] {
		const {peers, random, allItems, encode} = this.options;
		if (random() * peers.presentHosts().length >= greetingInstances) {
			return [];
		}

		return encode(allItems(), now).map(datagram => ({datagram, targets: [host]}));
	}

	#queue(items: readonly Item[], isFromOtherZone: boolean, now: Milliseconds): void {
		const added = items.map(item => ({
			item, isFromOtherZone, sendsLeft: sendsPerItem, nextAt: now,
		}));
		this.#pending = [...this.#pending, ...added].slice(-maximumPending);
	}

	#sendDue(now: Milliseconds): OutgoingDatagram[] {
		const {peers, encode} = this.options;
		const due = this.#pending.filter(({nextAt}) => nextAt <= now);
		for (const pending of due) {
			pending.sendsLeft--;
			pending.nextAt = now + resendIntervalMs;
		}

		this.#pending = this.#pending.filter(({sendsLeft}) => sendsLeft > 0);
		return [true, false].flatMap(isFromOtherZone => {
			const items = due.filter(pending => pending.isFromOtherZone === isFromOtherZone).map(({item}) => item);
			const targets = new Set([...peers.presentHosts(), ...(isFromOtherZone ? [] : peers.summaryTargets())]);
			return encode(items, now).map(datagram => ({datagram, targets}));
		});
	}

	#repair(now: Milliseconds): OutgoingDatagram[] {
		const {peers, ownHost, random, repairItems, encode} = this.options;
		if (now - this.#lastRepairAt < repairIntervalMs) {
			return [];
		}

		this.#lastRepairAt = now;
		const hosts = peers.members().filter(host => host !== ownHost);
		const target = hosts[Math.floor(random() * hosts.length)];
		return target === undefined ? [] : encode(repairItems(), now).map(datagram => ({datagram, targets: [target]}));
	}
}
