/** The scheduler with its aggregates in this process. Its peers exist only as their heartbeats. */
import {Writable} from 'node:stream';
import {
	checkDocument, configurationSchema, differenceBetween, mergeOverlay,
} from '../../src/shared/configuration/index.js';
import type {Clock} from '../../src/shared/clock.js';
import {Invariants, invariantMode} from '../../src/shared/invariants.js';
import {createLogger} from '../../src/shared/log.js';
import {ConfigurationInForce} from '../../src/entry/configuration/configuration-in-force.js';
import {PeerContacts} from '../../src/entry/membership/peer-contacts.js';
import type {HeartbeatMessage} from '../../src/entry/membership/messages.js';
import {AuditTrail, Metrics} from '../../src/entry/observability/index.js';
import {RequestRegistry} from '../../src/entry/requests/index.js';
import type {Submission} from '../../src/entry/requests/types.js';
import {toWaitingItem} from '../../src/entry/scheduler/admission.js';
import type {
	Dispatcher, PeerPort, PendingRequest, SchedulerContext,
} from '../../src/entry/scheduler/context.js';
import {createSchedulerContext} from '../../src/entry/scheduler/create-context.js';
import {groupSlots, SchedulerTask} from '../../src/entry/scheduler/scheduler-task.js';
import {StatusBuilder} from '../../src/entry/status-builder.js';
import {createDocuments, type DocumentSize} from './documents.js';

const slot = 'entry-1';
const region = 'region-1';

/** A clock that only moves when advanced, so that leases and reports do not expire during a measurement. */
class ManualClock implements Clock {
	static create(): ManualClock {
		return new ManualClock();
	}

	#now = 1000;

	private constructor() {}

	now(): number {
		return this.#now;
	}

	wallTime(): number {
		return this.#now;
	}

	advance(durationMs: number): void {
		this.#now += durationMs;
	}
}

function createPeers(clock: ManualClock, slots: readonly string[]): {port: PeerPort; contacts: PeerContacts} {
	const contacts = PeerContacts.create({clock});
	for (const peer of slots) {
		contacts.recordContact({
			kind: 'hello', slot: peer, incarnation: `incarnation-of-${peer}`, region, availabilityZone: 'zone-1', protocol: 1, peers: [],
			addresses: {callers: '127.0.0.1:1', peers: '127.0.0.1:2', operators: '127.0.0.1:3'},
		});
		contacts.recordVersion(`incarnation-of-${peer}`, 1);
	}

	const lease: PeerPort['lease'] = {
		heldUntil: () => clock.now() + 1960,
		isHeld: () => true,
		firstHeldAt: 0,
		predecessorLeftCleanly: true,
		cleanPredecessorVersion: 1,
		isSuperseded: () => false,
		boundIncarnation: () => undefined,
	};
	return {
		contacts,
		port: {
			lease,
			send: () => true,
			broadcast: () => [],
			contacts: () => contacts.all().map(contact => ({...contact, isConnected: true})),
		},
	};
}

/** No request is dispatched during a measurement, because all units are reserved. */
const neverDispatch: Dispatcher = async () => ({kind: 'not-sent', reason: 'aborted', symptom: 'none'});

export type SchedulerHarness = {
	readonly context: SchedulerContext;
	readonly scheduler: SchedulerTask;
	readonly status: StatusBuilder;
	readonly metrics: Metrics;
	readonly slots: readonly string[];
	/** Waits until all posted messages and the dispatches after them are handled. */
	settle(): Promise<void>;
	tick(): Promise<void>;
	/** Creates a heartbeat as the entry would send it. */
	createHeartbeat(): HeartbeatMessage;
	/** Adds requests to the queue and reserves all own units, so that the requests keep waiting. */
	addWaitingRequests(count: number): void;
};

function createSubmission(index: number, {services, workspaces}: Required<Pick<DocumentSize, 'services' | 'workspaces'>>): Submission {
	return {
		requestId: `request-${index}`,
		kind: 'plain',
		isKeyed: false,
		isIdempotent: false,
		workspace: `workspace-${(index % workspaces) + 1}`,
		tier: 'standard',
		service: `service-${(index % services) + 1}`,
		promptTokens: 1000,
		outputTokens: 200,
		prefixBlocks: [],
		receivedAt: 0,
		queueDeadlineAt: Number.MAX_SAFE_INTEGER,
		http: {
			method: 'POST', path: '/orders', headers: {}, body: new Uint8Array(0), wantsStream: false,
		},
	};
}

export async function createHarness(size: DocumentSize): Promise<SchedulerHarness> {
	const clock = ManualClock.create();
	const invariants = Invariants.create(invariantMode.throw);
	const logger = createLogger({
		name: 'capacity', level: 'error', output: new Writable({
			write(_chunk, _encoding, callback) {
				callback();
			},
		}),
	});
	const inForce = ConfigurationInForce.create({
		site: 'capacity', clock, invariants, mergeOverlay, checkDocument, differenceBetween,
	});
	const {base, overlay} = createDocuments(size);
	const offered = inForce.offer({
		version: 1, base, overlay, source: 'service',
	});
	if (offered.kind !== 'adopted') {
		throw new Error(`the generated document was not adopted: ${JSON.stringify(offered).slice(0, 500)}`);
	}

	const current = inForce.current()!;
	const slots = groupSlots(current.configuration, region);
	const {port, contacts} = createPeers(clock, slots.filter(peer => peer !== slot));
	const metrics = Metrics.create();
	const policy = configurationSchema.shape.policy.parse({});
	let context!: SchedulerContext;
	const scheduler = SchedulerTask.create(mailbox => {
		context = createSchedulerContext({
			slot,
			region,
			incarnation: 'own',
			clock,
			logger,
			invariants,
			mailbox,
			peers: port,
			registry: RequestRegistry.create({
				slot, incarnation: 'own', clock, invariants, policy,
			}),
			metrics,
			audit: AuditTrail.create({clock}),
			dispatchers: {engine: neverDispatch, plain: neverDispatch},
			configuration: () => current,
			queuePlaces: 100_000,
		});
		return context;
	});
	const {ledger} = context;
	const settle = async () => {
		for (let turn = 0; turn < 6; turn++) {
			// eslint-disable-next-line no-await-in-loop
			await Promise.resolve();
		}
	};

	const tick = async () => {
		scheduler.post({kind: 'tick'});
		await settle();
	};

	const createHeartbeat = (): HeartbeatMessage => ({
		kind: 'heartbeat', sequence: 1_000_000, incarnation: 'lz3k9x2a-0123456789ab', configurationVersion: 1, configurationDigest: current.digest, leaving: false, ...scheduler.heartbeatContent(),
	});
	scheduler.post({kind: 'configuration-changed', current});
	await settle();
	await tick();
	clock.advance(60_000);
	for (const peer of slots) {
		contacts.recordContact({
			kind: 'hello', slot: peer, incarnation: `incarnation-of-${peer}`, region, availabilityZone: 'zone-1', protocol: 1, peers: [],
			addresses: {callers: '127.0.0.1:1', peers: '127.0.0.1:2', operators: '127.0.0.1:3'},
		});
	}

	await tick();
	for (const peer of slots) {
		if (peer !== slot) {
			context.peerReports.record(peer, createHeartbeat());
		}
	}

	return {
		context,
		scheduler,
		metrics,
		slots,
		settle,
		tick,
		createHeartbeat,
		status: StatusBuilder.create({
			settings: {
				slot, site: 'capacity', region, availabilityZone: 'zone-1', listen: {callers: '127.0.0.1:1', peers: '127.0.0.1:2', operators: '127.0.0.1:3'},
				configurationServiceUrl: 'http://127.0.0.1:4', instanceListUrl: 'http://127.0.0.1:5', seedPeers: [], logLevel: 'info', invariants: 'throw',
			},
			incarnation: 'own',
			clock,
			startedAt: 0,
			context,
			snapshot: () => scheduler.snapshot(),
			readiness: () => ({ready: true}),
			operatorAddress: () => '127.0.0.1:3',
			configurationService: () => ({isReachable: true, lastResponseAt: 0, revision: 1}),
			instanceList: () => ({isReachable: true, lastResponseAt: 0, revision: 1}),
			lostLeaseCount: () => 0,
			violations: [],
			configurationProblems: () => [],
		}),
		addWaitingRequests(count) {
			for (const {endpoint} of ledger.snapshot()) {
				const units = ledger.availableUnits(endpoint);
				ledger.reserve({endpoint, units, requestId: `running-${endpoint}`});
			}

			for (let index = 0; index < count; index++) {
				const submission = createSubmission(index, {services: size.services ?? 7, workspaces: size.workspaces});
				const pending: PendingRequest = {
					submission, tierRank: 2, weight: 1, unreachableAttempts: 0, isRetry: false, prefixBorrowState: 'untried',
				};
				context.pending.set(submission.requestId, pending);
				context.queue.enqueue(toWaitingItem(pending));
			}
		},
	};
}
