import {randomBytes} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Clock} from '../shared/clock.js';
import {
	checkDocument, configurationSchema, differenceBetween, mergeOverlay,
} from '../shared/configuration/index.js';
import {DisposableStore, type Disposable} from '../shared/disposable-store.js';
import {Invariants, type InvariantViolation} from '../shared/invariants.js';
import type {Logger} from '../shared/log.js';
import {ReadingProgress} from '../shared/reading-progress.js';
import type {Mailbox} from '../shared/message-loop.js';
import {CallerServer, readinessStates} from './callers/index.js';
import {ConfigurationInForce, type CurrentConfiguration} from './configuration/configuration-in-force.js';
import {ConfigurationRecorder} from './configuration/configuration-recorder.js';
import {ConfigurationWatchTask} from './configuration/configuration-watch-task.js';
import {dispatchToEngine, dispatchToPlainService, EndpointConnections} from './dispatch/index.js';
import {PeerTask} from './membership/peer-task.js';
import {AuditTrail, Metrics, OperatorServer} from './observability/index.js';
import {ConfigurationServiceClient} from './platform/configuration-service-client.js';
import {InstanceDirectory} from './platform/instance-directory.js';
import {InstanceListClient} from './platform/instance-list-client.js';
import {InstanceListTask, type InstanceListMessage} from './platform/instance-list-task.js';
import {EnginePollTask, type PolledEngine} from './polling/engine-poll-task.js';
import {readinessOf, type EntryReadiness} from './readiness.js';
import {RequestRegistry} from './requests/index.js';
import type {SchedulerContext} from './scheduler/context.js';
import {createSchedulerContext} from './scheduler/create-context.js';
import type {SchedulerMessage} from './scheduler/messages.js';
import {groupSlots, SchedulerTask} from './scheduler/scheduler-task.js';
import type {EntrySettings} from './settings.js';
import {StatusBuilder} from './status-builder.js';

/** Interval of the scheduler tick, which checks loans, leases and queue timeouts. */
const tickIntervalMs = 50;

/** Shortest time for which a stopping entry refuses requests before it closes its connections: callers and load balancers still send to it until a response or a health check tells them. */
const refuseBeforeStopMs = 1000;

/** Longest wait of a stopping entry for requests on connections that it had accepted before it closed its listener. */
const lastRequestsMs = 1000;

/** Interval at which a shutdown checks whether all requests have ended. */
const drainCheckIntervalMs = 20;

/** Time that aborted dispatches have to report their end, after the deadline of a shutdown. */
const abortGraceMs = 1500;

/** Longest wait of a stopping entry for the return of units that it has lent. */
const loanReturnTimeoutMs = 10_000;

/** Exit code of an entry whose slot another incarnation has taken. */
const supersededExitCode = 3;

/** Invariant violations kept for the status report. */
const maximumRetainedViolations = 100;

export type EntryProcessOptions = {
	readonly settings: EntrySettings;
	readonly clock: Clock;
	readonly logger: Logger;
	/** Called with an exit code when the entry wants its process to end without a signal. */
	readonly onExitRequested: (exitCode: number) => void;
};

/** One entry process: creates its components and connects them. */
export class EntryProcess implements Disposable {
	static create(options: EntryProcessOptions): EntryProcess {
		return new EntryProcess(options);
	}

	readonly #settings: EntrySettings;
	readonly #clock: Clock;
	readonly #logger: Logger;
	readonly #incarnation: string;
	readonly #disposables = DisposableStore.create();
	readonly #violations: InvariantViolation[] = [];
	readonly #metrics = Metrics.create();
	readonly #audit: AuditTrail;
	readonly #invariants: Invariants;
	readonly #inForce: ConfigurationInForce;
	readonly #recorder: ConfigurationRecorder;
	readonly #peers: PeerTask;
	readonly #registry: RequestRegistry;
	readonly #scheduler: SchedulerTask;
	readonly #configurationWatch: ConfigurationWatchTask;
	readonly #instanceList: InstanceListTask;
	readonly #instanceDirectory = InstanceDirectory.create();
	readonly #callers: CallerServer;
	readonly #readingProgress: ReadingProgress;
	readonly #operators: OperatorServer;
	readonly #enginePoll: EnginePollTask;
	readonly #connections = EndpointConnections.create();
	readonly #startedAt: number;
	#context!: SchedulerContext;
	#isShuttingDown = false;
	#shutDown: Promise<void> | undefined;
	#wasReady = false;
	#lostLeaseCount = 0;

	private constructor(private readonly options: EntryProcessOptions) {
		const {settings, clock, logger} = options;
		this.#settings = settings;
		this.#clock = clock;
		this.#incarnation = `${clock.wallTime().toString(36)}-${randomBytes(6).toString('hex')}`;
		this.#logger = logger.child({incarnation: this.#incarnation});
		this.#startedAt = clock.now();
		this.#audit = AuditTrail.create({
			clock,
			onEntry: ({sequence, event, actor}) => {
				this.#logger.debug({sequence, auditEvent: event, actor}, 'audit');
			},
		});
		this.#invariants = this.#createInvariants();
		this.#inForce = ConfigurationInForce.create({
			site: settings.site, clock, invariants: this.#invariants, mergeOverlay, checkDocument, differenceBetween,
		});
		this.#recorder = ConfigurationRecorder.create({
			audit: this.#audit,
			metrics: this.#metrics,
			onChanged: current => {
				this.#applyConfiguration(current);
			},
		});
		this.#configurationWatch = ConfigurationWatchTask.create({
			service: ConfigurationServiceClient.create({url: settings.configurationServiceUrl, site: settings.site}),
			inForce: this.#inForce,
			clock,
			logger: this.#logger,
			mailbox: this.#recorder,
		});
		this.#instanceList = InstanceListTask.create({
			instanceList: InstanceListClient.create({url: settings.instanceListUrl}),
			clock,
			logger: this.#logger,
			mailbox: {
				post: message => {
					this.#applyInstanceList(message);
				},
			},
		});
		this.#registry = RequestRegistry.create({
			slot: settings.slot,
			incarnation: this.#incarnation,
			clock,
			invariants: this.#invariants,
			policy: configurationSchema.shape.policy.parse({}),
		});
		const mailbox: Mailbox<SchedulerMessage> = {
			post: message => {
				this.#routeMessage(message);
			},
		};
		this.#peers = PeerTask.create({
			settings,
			incarnation: this.#incarnation,
			clock,
			logger: this.#logger,
			invariants: this.#invariants,
			mailbox,
			configuration: this.#inForce,
			countEvent: event => {
				if (event.startsWith('peer-message-')) {
					this.#metrics.countMalformedMessage(event);
				}
			},
		});
		this.#scheduler = SchedulerTask.create(mailbox => this.#createContext(mailbox));
		this.#enginePoll = EnginePollTask.create({
			clock, logger: this.#logger, mailbox: this.#scheduler, engines: () => this.#polledEngines(),
		});
		this.#readingProgress = ReadingProgress.create(clock, error => {
			this.#logger.error({err: error}, 'late-request-failed');
		});
		this.#callers = CallerServer.create({
			settings,
			clock,
			logger: this.#logger,
			registry: this.#registry,
			mailbox: this.#scheduler,
			readingProgress: this.#readingProgress,
			configuration: () => this.#inForce.current()?.configuration,
			readiness: () => this.#readiness().state,
			findOwnerAddress: (slot, incarnation) => this.#findOwnerAddress(slot, incarnation),
		});
		const status = StatusBuilder.create({
			settings,
			incarnation: this.#incarnation,
			clock,
			startedAt: this.#startedAt,
			context: this.#context,
			snapshot: () => this.#scheduler.snapshot(),
			readiness: () => this.#operatorReadiness(),
			operatorAddress: () => settings.advertise?.operators ?? this.#operators.address,
			configurationService: () => ({...this.#configurationWatch.status, revision: this.#configurationWatch.serviceRevision}),
			instanceList: () => ({...this.#instanceList.status, revision: this.#instanceList.listing?.revision}),
			lostLeaseCount: () => this.#lostLeaseCount,
			violations: this.#violations,
			configurationProblems: () => this.#recorder.problems(),
		});
		this.#operators = OperatorServer.create({
			settings,
			clock,
			metrics: this.#metrics,
			audit: this.#audit,
			status: () => status.build(),
			readiness: () => this.#operatorReadiness(),
			updateGauges: () => {
				this.#updateGauges();
			},
		});
	}

	/** @throws {Error} when an address can't be bound */
	async start(): Promise<void> {
		this.#audit.record({event: 'start', slot: this.#settings.slot, incarnation: this.#incarnation});
		this.#disposables.add(this.#connections);
		this.#disposables.add(this.#operators);
		await this.#operators.listen();
		this.#disposables.add(this.#callers);
		await this.#callers.listen();
		this.#peers.setHeartbeatProvider(() => this.#createHeartbeatContent());
		this.#disposables.add(this.#peers);
		await this.#peers.start();
		this.#disposables.add(this.#scheduler);
		this.#disposables.add(this.#enginePoll);
		this.#enginePoll.start();
		this.#disposables.add(this.#configurationWatch);
		this.#configurationWatch.start();
		this.#disposables.add(this.#instanceList);
		this.#instanceList.start();
		this.#disposables.addInterval(() => {
			this.#readingProgress.update();
			this.#scheduler.post({kind: 'tick'});
			this.#reportReadiness();
		}, tickIntervalMs);
		this.#logger.info({callers: this.#settings.listen.callers, peers: this.#settings.listen.peers, operators: this.#settings.listen.operators}, 'started');
	}

	/**
	Accepts no new requests, lets accepted ones end within the configured time, and sends a goodbye to the peers.

	Repeated calls wait for the same shutdown.
	*/
	async shutDown(): Promise<void> {
		this.#shutDown ??= this.#performShutDown();
		await this.#shutDown;
	}

	async dispose(): Promise<void> {
		await this.#disposables.dispose();
	}

	get #isDrained(): boolean {
		// The registry also counts responses whose last bytes have not been written to the caller's connection.
		return this.#scheduler.isIdle && this.#registry.openCount === 0;
	}

	async #performShutDown(): Promise<void> {
		this.#isShuttingDown = true;
		const startedAt = this.#clock.now();
		this.#logger.info({}, 'shutdown-started');
		this.#scheduler.post({kind: 'shutdown'});
		const gracefulStopMs = this.#inForce.current()?.configuration.policy.gracefulStopMilliseconds ?? 0;
		const isDrained = await this.#waitUntil(() => this.#isDrained, gracefulStopMs);
		if (!isDrained) {
			this.#scheduler.abortRequests();
			await this.#waitUntil(() => this.#isDrained, abortGraceMs);
		}

		await sleep(Math.max(0, startedAt + refuseBeforeStopMs - this.#clock.now()));
		await Promise.race([this.#callers.stopAccepting(), sleep(lastRequestsMs)]);

		// Leaving cleanly requires that no units are lent. The successor of such an entry needs no quarantine.
		await this.#waitUntil(() => this.#context.ledger.lentLoanCount === 0, loanReturnTimeoutMs);

		// Since the last tick the lease may have been renewed with a new tenure, which restarts the quarantine.
		this.#context.ledger.setLease(this.#peers.lease.heldUntil(), this.#peers.lease.firstHeldAt);
		const isClean = isDrained && this.#context.ledger.isClean();
		this.#audit.record({event: 'stop', reason: 'signal', clean: isClean});
		await this.#peers.sendGoodbye(isClean);
		this.#logger.info({isClean, isDrained}, 'stopped');
	}

	async #waitUntil(condition: () => boolean, timeoutMs: number): Promise<boolean> {
		const deadlineAt = this.#clock.now() + timeoutMs;
		while (!condition()) {
			if (this.#clock.now() >= deadlineAt) {
				return false;
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(drainCheckIntervalMs);
		}

		return true;
	}

	#createInvariants(): Invariants {
		return Invariants.create(this.#settings.invariants, violation => {
			this.#violations.push(violation);
			this.#violations.splice(0, Math.max(this.#violations.length - maximumRetainedViolations, 0));
			this.#metrics.countInvariantViolation(violation.property);
			this.#logger.error({property: violation.property, detail: violation.detail}, 'invariant-broken');
		});
	}

	#createContext(mailbox: Mailbox<SchedulerMessage>): SchedulerContext {
		const {slot, region} = this.#settings;
		this.#context = createSchedulerContext({
			slot,
			region,
			incarnation: this.#incarnation,
			clock: this.#clock,
			logger: this.#logger,
			invariants: this.#invariants,
			mailbox,
			peers: this.#peers,
			registry: this.#registry,
			metrics: this.#metrics,
			audit: this.#audit,
			dispatchers: {
				engine: async order => dispatchToEngine(order, this.#connections),
				plain: async order => dispatchToPlainService(order, this.#connections),
			},
			configuration: () => this.#inForce.current(),
		});
		return this.#context;
	}

	/** Handles configuration documents from peers and posts all other messages to the scheduler. */
	#routeMessage(message: SchedulerMessage): void {
		if (message.kind === 'peer-message' && message.message.kind === 'configuration-document') {
			const {version, base, overlay} = message.message;
			this.#configurationWatch.offer({
				version, base, overlay, source: message.from.slot,
			});
			return;
		}

		if (message.kind === 'lease-changed') {
			this.#lostLeaseCount += message.isHeld ? 0 : 1;
			if (message.isSuperseded) {
				void this.#shutDownSuperseded();
			}
		}

		this.#scheduler.post(message);
	}

	/** Another incarnation has taken the slot, so this one ends once its requests in flight have ended. */
	async #shutDownSuperseded(): Promise<void> {
		this.#logger.warn({}, 'superseded');
		await this.shutDown();
		this.options.onExitRequested(supersededExitCode);
	}

	#applyConfiguration(current: CurrentConfiguration): void {
		const {configuration, version} = current;
		this.#peers.setGroup({
			slots: groupSlots(configuration, this.#settings.region),
			leaseMilliseconds: configuration.policy.leaseMilliseconds,
			heartbeatMilliseconds: configuration.policy.heartbeatMilliseconds,
			configurationVersion: version,
		});
		this.#scheduler.post({kind: 'configuration-changed', current});
	}

	#applyInstanceList(message: InstanceListMessage): void {
		if (message.kind !== 'instance-list-changed') {
			return;
		}

		const {entryPeerAddresses, leavingEndpoints} = this.#instanceDirectory.applyListing(message.listing);
		for (const instance of leavingEndpoints) {
			if (!this.#context.directory.isLeaving(instance)) {
				this.#audit.record({
					event: 'instance-leaving', actor: 'instance-list', instance, role: 'endpoint',
				});
			}
		}

		this.#peers.setInstanceAddresses(entryPeerAddresses);
		this.#scheduler.post({kind: 'leaving-changed', leavingEndpoints});
	}

	#createHeartbeatContent(): ReturnType<Parameters<PeerTask['setHeartbeatProvider']>[0]> {
		const current = this.#inForce.current();
		return current && {
			configurationVersion: current.version,
			configurationDigest: current.digest,
			leaving: this.#isShuttingDown,
			...this.#scheduler.heartbeatContent(),
		};
	}

	#readiness(): EntryReadiness {
		return readinessOf({
			slot: this.#settings.slot,
			isShuttingDown: this.#isShuttingDown,
			configuration: this.#inForce.current()?.configuration,
			isLeaseHeld: this.#peers.lease.isHeld(),
		});
	}

	#operatorReadiness(): {ready: boolean; reason?: string} {
		const {state, reason} = this.#readiness();
		return {ready: state === readinessStates.ready, reason};
	}

	#reportReadiness(): void {
		const {ready, reason} = this.#operatorReadiness();
		if (ready !== this.#wasReady) {
			this.#wasReady = ready;
			this.#logger.info({reason, version: this.#inForce.current()?.version}, ready ? 'ready' : 'not-ready');
		}
	}

	#findOwnerAddress(slot: string, incarnation: string): string | undefined {
		const contact = this.#peers.contacts().find(known => known.slot === slot && known.incarnation === incarnation);
		return contact && !contact.hasLeft ? contact.addresses.callers : undefined;
	}

	/** Engines at which this entry owns units. */
	#polledEngines(): PolledEngine[] {
		const {directory, ledger} = this.#context;
		return directory.services()
			.filter(service => directory.service(service)?.kind === 'engine')
			.flatMap(service => directory.endpointsInService(service))
			.filter(({name}) => ledger.ownsUnits(name))
			.map(({name, address}) => ({name, address}));
	}

	#updateGauges(): void {
		const tiers = Object.entries(this.#inForce.current()?.configuration.tiers ?? {});
		const {waitingByTier} = this.#scheduler.snapshot();
		this.#metrics.setWaitingRequests(tiers.map(([tier, {rank}]) => [tier, waitingByTier[rank] ?? 0]));
		this.#metrics.setEndpointUnits(this.#context.ledger.snapshot().map(({endpoint, started, reserved, limit}) => ({
			endpoint, unitsInUse: started + reserved, limit,
		})));
	}
}
