import type {Clock, Milliseconds} from '../../shared/clock.js';
import type {OutgoingDatagram} from '../membership/heartbeat-exchange.js';
import type {PeerGroup} from '../membership/peer-group.js';
import type {Heartbeat} from '../membership/types.js';
import type {EventLog} from '../observability/event-log.js';
import type {EndpointLoad} from '../scheduling/endpoint-load.js';
import type {SchedulingFeatures} from '../scheduling/scheduling-features.js';
import type {SlotGroup} from '../scheduling/types.js';
import {encodeSlotMessages} from './coordination-codec.js';
import {SlotCoordinator} from './slot-coordinator.js';
import {groupKey, rankCoordinators} from './slot-groups.js';
import {SlotRequester} from './slot-requester.js';
import type {CoordinatorMessage, RequesterMessage, SlotMessage} from './types.js';

/** Time for which the coordinators of a group are kept: finding them hashes each host of the zone. */
const coordinatorsKeptMs: Milliseconds = 200;

/** Time without use after which the coordinators of a group are forgotten. */
const coordinatorsForgottenMs: Milliseconds = 60_000;

/** Hosts of a group that are kept: the coordinator, and those that take its place. */
const rankedHosts = 3;

/** Time after the start until this process coordinates: by then it has heard the heartbeats of its zone, which name the requests in flight. */
const coordinatesAfterMs: Milliseconds = 1000;

export type SlotMetrics = {
	recordSlotGrant(group: string, waitedMs: Milliseconds): void;
	recordSlotDenial(group: string): void;
	recordExpiredSlotGrant(): void;
	recordUnansweredSlotRequest(): void;
};

export type CoordinationExchangeOptions = {
	readonly ownHost: string;
	readonly availabilityZone: string;
	readonly peers: Pick<PeerGroup, 'hostsOf' | 'members' | 'isZonePeer'>;
	readonly clock: Clock;
	readonly log: Pick<EventLog, 'event'>;
	readonly metrics: SlotMetrics;
	/** Whether slots are coordinated now. */
	readonly isActive: () => boolean;
	/** Endpoints of a group that take requests now and whose slots are coordinated. */
	readonly findEndpoints: (group: SlotGroup) => readonly EndpointLoad[];
	/** The optional parts of the scheduling that act now. */
	readonly features: () => SchedulingFeatures;
	/** Requests of all instances in flight at an endpoint, as known from heartbeats and summaries. */
	readonly knownInFlight: (endpointId: string) => number;
	readonly send: (outgoing: readonly OutgoingDatagram[]) => void;
	/** Called when requests are to be dispatched or asked for again. */
	readonly onAnswered: () => void;
};

/** Routes the messages between requesters and coordinators, without network or timers. */
export class CoordinationExchange {
	static create(options: CoordinationExchangeOptions): CoordinationExchange {
		return new CoordinationExchange(options);
	}

	readonly requester: SlotRequester;
	readonly #coordinator: SlotCoordinator;
	readonly #startedAt: Milliseconds;
	/** Messages that wait to be sent, by host. */
	readonly #outbox = new Map<string, SlotMessage[]>();
	readonly #urgentHosts = new Set<string>();
	/** Messages of this instance to itself. */
	readonly #own: SlotMessage[] = [];
	readonly #coordinators = new Map<string, {readonly hosts: readonly string[]; readonly at: Milliseconds}>();
	#isDelivering = false;
	#hasAnswers = false;

	private constructor(private readonly options: CoordinationExchangeOptions) {
		const {clock, log, metrics, findEndpoints, features, knownInFlight} = options;
		this.#startedAt = clock.now();
		this.#coordinator = SlotCoordinator.create({
			now: clock.now(),
			findEndpoints,
			features,
			knownInFlight,
			events: {
				onGrant(group, waitedMs) {
					metrics.recordSlotGrant(`${group.service} ${group.availabilityZone}`, waitedMs);
				},
				onDenial(group) {
					metrics.recordSlotDenial(`${group.service} ${group.availabilityZone}`);
				},
				onExpiry() {
					metrics.recordExpiredSlotGrant();
				},
			},
		});
		this.requester = SlotRequester.create({
			clock,
			findCoordinator: (group, isSilent) => this.#findCoordinator(group, isSilent),
			send: (host, message, isUrgent) => {
				this.#post(host, message, isUrgent);
				// Otherwise the messages that are being delivered now are sent with it.
				if (isUrgent && !this.#isDelivering) {
					this.#deliver();
				}
			},
			events: {
				onSilent(host, silenceMs) {
					log.event('coordinator-silent', {host, silenceMs});
				},
				onUnanswered() {
					metrics.recordUnansweredSlotRequest();
				},
			},
		});
	}

	/** What this instance coordinates and holds now. */
	get status(): {readonly granted: number; readonly waiting: number; readonly held: number} {
		return {granted: this.#coordinator.grantCount, waiting: this.#coordinator.waitingCount, held: this.requester.heldCount};
	}

	/** Processes the messages of a datagram, and sends what follows from them. */
	receive(messages: readonly SlotMessage[], sender: string): void {
		if (this.options.isActive()) {
			for (const message of messages) {
				this.#handle(message, sender);
			}

			this.#finish();
		}
	}

	/** Frees the grants of a holder that has ended requests without a release. */
	receiveHeartbeat({host, inFlight}: Heartbeat): void {
		if (this.options.isActive()) {
			this.#postAll(this.#coordinator.reconcile(host, inFlight, this.options.clock.now()));
			this.#finish();
		}
	}

	/** Called every 50 ms, after what has arrived was read. */
	tick(): void {
		if (this.options.isActive()) {
			this.#postAll(this.#coordinator.tick(this.options.clock.now()));
		} else {
			this.#coordinator.reset(this.options.clock.now());
		}

		this.#hasAnswers = this.requester.tick() || this.#hasAnswers;
		for (const host of this.#outbox.keys()) {
			this.#urgentHosts.add(host);
		}

		this.#finish();
	}

	#finish(): void {
		this.#deliver();
		if (this.#hasAnswers) {
			this.#hasAnswers = false;
			this.options.onAnswered();
		}
	}

	#handle(message: SlotMessage, sender: string): void {
		if (message.kind === 'slot-grant' || message.kind === 'slot-denied' || message.kind === 'slot-queued') {
			this.#hasAnswers = this.requester.receive(message, sender) || this.#hasAnswers;
		} else {
			this.#coordinate(message, sender);
		}
	}

	#coordinate(message: CoordinatorMessage, sender: string): void {
		const {ownHost, peers, clock} = this.options;
		const now = clock.now();
		if (message.kind === 'slot-request') {
			const mayCoordinate = now - this.#startedAt >= coordinatesAfterMs
				&& (sender === ownHost || peers.isZonePeer(sender) || this.#findCoordinator(message.group, () => false) === ownHost);
			if (!mayCoordinate) {
				this.#postAll([{
					host: sender, message: {
						kind: 'slot-denied', sequence: message.sequence, expectedWaitMs: 0, freeSlots: 0,
					},
				}]);
				return;
			}
		}

		this.#postAll(this.#coordinator.receive(message, sender, now));
	}

	#postAll(answers: ReadonlyArray<{readonly host: string; readonly message: RequesterMessage}>): void {
		for (const {host, message} of answers) {
			this.#post(host, message, true);
		}
	}

	#post(host: string, message: SlotMessage, isUrgent: boolean): void {
		if (host === this.options.ownHost) {
			this.#own.push(message);
			return;
		}

		const messages = this.#outbox.get(host);
		if (messages === undefined) {
			this.#outbox.set(host, [message]);
		} else {
			messages.push(message);
		}

		if (isUrgent) {
			this.#urgentHosts.add(host);
		}
	}

	/** Delivers the messages of this instance to itself, and sends the urgent ones to the others, with what else waits for the same host. */
	#deliver(): void {
		const {ownHost, send} = this.options;
		this.#isDelivering = true;
		try {
			for (let message = this.#own.shift(); message !== undefined; message = this.#own.shift()) {
				this.#handle(message, ownHost);
			}
		} finally {
			this.#isDelivering = false;
		}

		const outgoing: OutgoingDatagram[] = [];
		for (const host of this.#urgentHosts) {
			const messages = this.#outbox.get(host) ?? [];
			this.#outbox.delete(host);
			for (const datagram of encodeSlotMessages(messages)) {
				outgoing.push({datagram, targets: [host]});
			}
		}

		this.#urgentHosts.clear();
		if (outgoing.length > 0) {
			send(outgoing);
		}
	}

	/** Returns the first host of a group that is not silent, or the first one if all are. */
	#findCoordinator(group: SlotGroup, isSilent: (host: string) => boolean): string | undefined {
		const {ownHost, availabilityZone, peers, clock, log} = this.options;
		const key = groupKey(group);
		const now = clock.now();
		let known = this.#coordinators.get(key);
		if (known === undefined || now - known.at >= coordinatorsKeptMs) {
			const hosts = peers.hostsOf(group.availabilityZone);
			if (group.availabilityZone === availabilityZone) {
				hosts.push(ownHost);
			}

			const ranked = rankCoordinators(key, hosts.length > 0 ? hosts : peers.members()).slice(0, rankedHosts);
			if (ranked[0] !== known?.hosts[0]) {
				log.event('coordinator-changed', {
					service: group.service, availabilityZone: group.availabilityZone, part: group.part, host: ranked[0], before: known?.hosts[0],
				});
			}

			known = {hosts: ranked, at: now};
			this.#coordinators.set(key, known);
			for (const [other, {at}] of this.#coordinators) {
				if (now - at > coordinatorsForgottenMs) {
					this.#coordinators.delete(other);
				}
			}
		}

		return known.hosts.find(host => !isSilent(host)) ?? known.hosts[0];
	}
}
