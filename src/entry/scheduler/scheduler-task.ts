import type {Configuration} from '../../shared/configuration/index.js';
import type {Disposable} from '../../shared/disposable-store.js';
import {MessageLoop, type HandlerTable, type Mailbox} from '../../shared/message-loop.js';
import type {UnitLayout} from '../limits/types.js';
import type {HeartbeatContent, PeerMessage} from '../membership/messages.js';
import {Admission} from './admission.js';
import {Assignments} from './assignment.js';
import type {SchedulerContext} from './context.js';
import {Dispatching} from './dispatching.js';
import {Lending, sendAll} from './lending.js';
import type {SchedulerMessage} from './messages.js';
import {PhaseReports} from './phase-reports.js';

type PeerMessageHandlers = {
	readonly [Kind in PeerMessage['kind']]?: (peer: string, message: Extract<PeerMessage, {kind: Kind}>) => void;
};

/** Waiting requests and requests in flight, for status and metrics. */
export type SchedulerSnapshot = {
	readonly waitingByTier: Readonly<Record<number, number>>;
	readonly inFlightByTier: ReadonlyMap<string, number>;
	readonly inFlight: number;
	/** Requests that wait for a peer's reply before they are queued or shed. */
	readonly pendingDisplacements: number;
};

/** Makes every decision about a request, handling one message at a time. */
export class SchedulerTask implements Mailbox<SchedulerMessage>, Disposable {
	static create(createContext: (mailbox: Mailbox<SchedulerMessage>) => SchedulerContext): SchedulerTask {
		return new SchedulerTask(createContext);
	}

	readonly #context: SchedulerContext;
	readonly #loop: MessageLoop<SchedulerMessage>;
	readonly #admission: Admission;
	readonly #lending: Lending;
	readonly #phaseReports: PhaseReports;
	readonly #dispatching: Dispatching;
	readonly #assignments: Assignments;
	/** Services whose queue or units changed since the last assignment. */
	readonly #changedServices = new Set<string>();

	readonly #peerHandlers: PeerMessageHandlers = {
		heartbeat: (peer, message) => {
			this.#context.peerReports.record(peer, message);
			this.#phaseReports.receivePhases(peer, message.phases);
		},
		goodbye: peer => {
			this.#context.peerReports.remove(peer);
		},
		'borrow-request': (peer, message) => {
			this.#lending.receiveBorrowRequest(peer, message);
			this.#scheduleAssignmentAt(message.endpoint);
		},
		'borrow-reply': (peer, message) => {
			this.#lending.receiveBorrowReply(peer, message);
			this.#scheduleAllAssignments();
		},
		'borrow-cancel': (peer, message) => {
			this.#lending.receiveBorrowCancel(peer, message);
		},
		'loan-renew': (peer, message) => {
			this.#context.ledger.receiveRenewal(peer, message.loanIds);
		},
		'loan-return': (peer, message) => {
			this.#context.ledger.receiveReturn(peer, message.loanId);
			this.#scheduleAllAssignments();
		},
		'displace-request': (peer, message) => {
			this.#admission.displaceForPeer(peer, message);
		},
		'displace-reply': (peer, message) => {
			this.#admission.receiveDisplaceReply(peer, message);
			this.#scheduleAllAssignments();
		},
		'endpoint-phase': (peer, message) => {
			this.#phaseReports.receivePhase(peer, message);
			this.#scheduleAssignmentAt(message.endpoint);
		},
		'units-above-limit': (peer, message) => {
			this.#phaseReports.receiveUnitsAboveLimit(peer, message);
			this.#scheduleAssignmentAt(message.endpoint);
		},
		'endpoint-answer': (_peer, message) => {
			this.#phaseReports.receivePeerResponse(message);
			this.#scheduleAssignmentAt(message.endpoint);
		},
	};

	private constructor(createContext: (mailbox: Mailbox<SchedulerMessage>) => SchedulerContext) {
		this.#loop = MessageLoop.create<SchedulerMessage>(this.#handlers(), (error, message) => {
			this.#context.logger.error({err: error, kind: message.kind}, 'scheduler-message-failed');
		});
		this.#context = createContext(this);
		this.#admission = Admission.create(this.#context);
		this.#lending = Lending.create(this.#context);
		this.#phaseReports = PhaseReports.create(this.#context);
		this.#dispatching = Dispatching.create(this.#context, this.#admission, this.#phaseReports);
		this.#assignments = Assignments.create(this.#context, this.#dispatching, this.#lending);
	}

	post(message: SchedulerMessage): void {
		this.#loop.post(message);
	}

	dispose(): void {
		this.#loop.close();
	}

	/** Whether no request waits or is in flight. */
	get isIdle(): boolean {
		return this.#context.pending.size === 0 && this.#dispatching.size === 0;
	}

	/** Refuses waiting requests and aborts those in flight, at the deadline of a shutdown. */
	abortRequests(): void {
		for (const {submission} of this.#context.pending.values()) {
			if (this.#admission.withdraw(submission.requestId)) {
				this.#admission.refuse(submission, 'shutting-down', 'the entry instance stopped before the request was dispatched');
			}
		}

		this.#dispatching.abortAll();
	}

	snapshot(): SchedulerSnapshot {
		return {
			waitingByTier: this.#context.queue.waitingByTier(),
			inFlightByTier: this.#dispatching.inFlightByTier(),
			inFlight: this.#dispatching.size,
			pendingDisplacements: this.#admission.pendingDisplacements,
		};
	}

	/** The scheduler's part of the next heartbeat. */
	heartbeatContent(): Pick<HeartbeatContent, 'waitingByTier' | 'freeUnits' | 'phases' | 'unitsAboveLimit'> {
		const {directory, ledger, phases, queue} = this.#context;
		const waitingByTier = Object.fromEntries(directory.services().map(service => [service, queue.waitingByTier(service)]));
		const freeUnits: Record<string, number> = {};
		const unitsAboveLimit: Record<string, number> = {};
		for (const {endpoint, available} of ledger.snapshot()) {
			if (available > 0) {
				freeUnits[endpoint] = available;
			}

			const aboveLimit = ledger.unitsAboveLimit(endpoint);
			if (aboveLimit > 0) {
				unitsAboveLimit[endpoint] = aboveLimit;
			}
		}

		return {
			waitingByTier,
			freeUnits,
			unitsAboveLimit,
			phases: phases.toMessages().map(({endpoint, epoch, phase, limit}) => ({
				endpoint, epoch, phase, limit,
			})),
		};
	}

	#handlers(): HandlerTable<SchedulerMessage> {
		return {
			submit: ({submission}) => {
				this.#admission.submit(submission);
				this.#scheduleAssignments([submission.service]);
			},
			'caller-gone': ({requestId}) => {
				this.#handleCallerDisconnect(requestId);
			},
			'peer-message': ({from, message}) => {
				this.#receivePeerMessage(from.slot, message);
			},
			'peer-connected': ({from}) => {
				sendAll(this.#context.peers, this.#context.ledger.messagesToResend(from.slot));
			},
			'lease-changed': ({isHeld, isSuperseded}) => {
				this.#handleLeaseChange(isHeld, isSuperseded);
			},
			'configuration-changed': ({current}) => {
				this.#applyConfiguration(current.version, current.configuration);
			},
			'leaving-changed': ({leavingEndpoints}) => {
				this.#context.directory.setLeaving(leavingEndpoints);
				this.#scheduleAllAssignments();
			},
			'endpoint-symptom': ({requestId, symptom}) => {
				this.#dispatching.handleSymptom(requestId, symptom);
			},
			'dispatch-ended': ({requestId, result}) => {
				const service = this.#context.pending.get(requestId)?.submission.service;
				this.#dispatching.handleResult(requestId, result);
				this.#scheduleAssignments(service === undefined ? [] : [service]);
			},
			'load-report': ({endpoint, report, takenAt}) => {
				this.#context.ledger.observeInFlight(endpoint, report.running, takenAt);
				this.#phaseReports.announceChanges(this.#context.phases.observeLoadReport(endpoint, report));
			},
			'cache-events': ({endpoint, events}) => {
				this.#context.prefixIndex.applyEvents(endpoint, events);
			},
			tick: () => {
				this.#tick();
			},
			shutdown: () => {
				this.#admission.shutDown();
				this.#lending.stopLending();
			},
		};
	}

	#receivePeerMessage(peer: string, message: PeerMessage): void {
		const handler = this.#peerHandlers[message.kind] as ((peer: string, message: PeerMessage) => void) | undefined;
		handler?.(peer, message);
	}

	#handleCallerDisconnect(requestId: string): void {
		const pending = this.#context.pending.get(requestId);
		if (!pending || pending.submission.isKeyed) {
			return;
		}

		if (this.#admission.withdraw(requestId)) {
			this.#admission.refuse(pending.submission, 'cancelled', 'the caller disconnected while the request waited');
		} else {
			this.#dispatching.handleCallerDisconnect(requestId);
		}
	}

	#handleLeaseChange(isHeld: boolean, isSuperseded: boolean): void {
		const {audit, metrics} = this.#context;
		metrics.setLeaseHeld(isHeld);
		if (isHeld) {
			audit.record({event: 'lease-gained'});
		} else {
			const reason = isSuperseded ? 'superseded' : 'expired';
			metrics.countLeaseLost(reason);
			audit.record({event: 'lease-lost', reason});
		}

		this.#updateLease();
		this.#scheduleAllAssignments();
	}

	#updateLease(): void {
		const {ledger, peers} = this.#context;
		ledger.setLease(peers.lease.heldUntil(), peers.lease.firstHeldAt);
		if (peers.lease.predecessorLeftCleanly) {
			ledger.endQuarantine({predecessorVersion: peers.lease.cleanPredecessorVersion});
		}
	}

	#applyConfiguration(version: number, configuration: Configuration): void {
		const {directory, ledger, phases, queue, registry, slowDetector} = this.#context;
		directory.setConfiguration(configuration);
		const layout = toUnitLayout(version, configuration, this.#context.region);
		ledger.applyLayout(layout);
		phases.setEndpoints(layout.endpoints);
		queue.setCapacity(configuration.policy.queuePlaces);
		registry.setPolicy(configuration.policy);
		slowDetector.setEndpoints(Object.entries(configuration.endpoints).map(([endpoint, {service, hardware}]) => ({endpoint, service, hardware})));
		slowDetector.setTiers(Object.entries(configuration.tiers).map(([tier, bounds]) => ({tier, ...bounds})));
		this.#updateLease();
		this.#phaseReports.applyLimits();
		this.#scheduleAllAssignments();
	}

	/** Tells the ledger which configuration version a majority of the lease group has in force. */
	#updateMajorityVersion(): void {
		const current = this.#context.configuration();
		if (!current) {
			return;
		}

		const {peers, clock, slot} = this.#context;
		const slots = groupSlots(current.configuration, this.#context.region);
		const oldestContactAt = clock.now() - current.configuration.policy.leaseMilliseconds;
		const versions = new Map([[slot, current.version]]);
		for (const contact of peers.contacts()) {
			if (slots.includes(contact.slot) && contact.slot !== slot && contact.lastContactAt >= oldestContactAt && contact.configurationVersion !== undefined) {
				versions.set(contact.slot, Math.min(versions.get(contact.slot) ?? Number.POSITIVE_INFINITY, contact.configurationVersion));
			}
		}

		const majorityVersion = [...versions.values()].toSorted((left, right) => right - left)[Math.floor(slots.length / 2)];
		if (majorityVersion !== undefined) {
			this.#context.ledger.observeMajorityVersion(majorityVersion);
		}
	}

	#tick(): void {
		this.#context.pauses.recordTick(this.#context.clock.now());
		this.#updateMajorityVersion();
		this.#updateLease();
		this.#phaseReports.applyLimits();
		sendAll(this.#context.peers, this.#context.ledger.tick());
		this.#admission.tick();
		this.#lending.tick();
		this.#lending.returnIdleUnits();
		this.#context.registry.sweep();
		this.#scheduleAllAssignments();
	}

	#scheduleAssignmentAt(endpoint: string): void {
		const service = this.#context.directory.endpoint(endpoint)?.service;
		this.#scheduleAssignments(service === undefined ? [] : [service]);
	}

	#scheduleAllAssignments(): void {
		this.#scheduleAssignments(this.#context.directory.services());
	}

	/** Schedules an assignment run for the services. Messages that are handled together share one run. */
	#scheduleAssignments(services: readonly string[]): void {
		if (this.#changedServices.size === 0 && services.length > 0) {
			queueMicrotask(() => {
				this.#runAssignments();
			});
		}

		for (const service of services) {
			this.#changedServices.add(service);
		}
	}

	#runAssignments(): void {
		const services = [...this.#changedServices];
		this.#changedServices.clear();
		for (const service of services) {
			this.#assignments.assignUnits(service);
			if (this.#context.peers.lease.isHeld()) {
				this.#lending.borrowFor(service);
			}
		}
	}
}

/** The entry slots whose availability zone belongs to the region. */
export function groupSlots(configuration: Configuration, region: string): string[] {
	return Object.entries(configuration.entrySlots)
		.filter(([, {availabilityZone}]) => configuration.availabilityZones[availabilityZone]?.region === region)
		.map(([slot]) => slot)
		.toSorted();
}

function toUnitLayout(version: number, configuration: Configuration, region: string): UnitLayout {
	return {
		version,
		slots: groupSlots(configuration, region),
		endpoints: Object.entries(configuration.endpoints)
			.filter(([, {availabilityZone}]) => configuration.availabilityZones[availabilityZone]?.region === region)
			.map(([endpoint, {limit, requestTimeoutMilliseconds}]) => ({endpoint, ...limit, requestTimeoutMilliseconds})),
		loanMilliseconds: configuration.policy.loanMilliseconds,
		leaseMilliseconds: configuration.policy.leaseMilliseconds,
	};
}
