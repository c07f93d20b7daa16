import {randomInt} from 'node:crypto';
import type {Clock, Milliseconds} from '../shared/clock.js';
import {describeError} from '../shared/describe-error.js';
import {readDescriptorLimit} from '../shared/descriptor-limit.js';
import {DisposableStore} from '../shared/disposable-store.js';
import {explainPath} from '../shared/explanation.js';
import {MemoryBudget} from '../shared/memory-budget.js';
import {ReadingProgress} from '../shared/reading-progress.js';
import {Admission} from './callers/admission.js';
import {defaultCallerConnections} from './callers/connection-limit.js';
import {CallerServer, type ReceivedRequest} from './callers/caller-server.js';
import {CoordinationExchange} from './coordination/coordination-exchange.js';
import {Explainer} from './explainer.js';
import {EndpointConnectionPools} from './forwarding/endpoint-connection-pools.js';
import {ForwardTask} from './forwarding/forward-task.js';
import {writeObstacles, type ForwardResult, type WriteObstacle} from './forwarding/types.js';
import {LateTickDetector} from './late-tick-detector.js';
import {ColdRateLimiter} from './limits/cold-rate-limiter.js';
import {RetryBudgets} from './limits/retry-budgets.js';
import {WorkspaceQuotas} from './limits/workspace-quotas.js';
import {HeartbeatExchange} from './membership/heartbeat-exchange.js';
import {HeartbeatTask} from './membership/heartbeat-task.js';
import {PeerAccounting} from './membership/peer-accounting.js';
import {PeerGroup, type PeerChange} from './membership/peer-group.js';
import type {Heartbeat} from './membership/types.js';
import {CrashContainment} from './quarantine/crash-containment.js';
import {partKeysOf} from './quarantine/part-keys.js';
import type {EventLog} from './observability/event-log.js';
import {GatewayMetrics} from './observability/gateway-metrics.js';
import {MonitoringServer, type MonitoringHandler} from './observability/monitoring-server.js';
import {siteChangeFields} from './observability/site-change-fields.js';
import type {Protocol} from './protocol.js';
import {ExtraAttempts} from './scheduling/extra-attempts.js';
import {activeFeatures, noSchedulingFeatures} from './scheduling/scheduling-features.js';
import {ServiceScheduler} from './scheduling/service-scheduler.js';
import {ServiceSchedulers} from './scheduling/service-schedulers.js';
import type {InstanceSettings} from './settings.js';
import {ConfirmationTask} from './site/confirmation-task.js';
import {selectReader} from './site/reader-selection.js';
import {Freshness} from './site/freshness.js';
import {SiteReaderTask, type SiteSource} from './site/site-reader-task.js';
import {SiteState, type SiteChange} from './site/site-state.js';
import {selectWitnesses} from './site/witness-selection.js';
import {
	requestKinds, type EndpointRecord, type Service, type SiteConfiguration, type SiteConfirmation,
} from './site/types.js';
import {StatedRestrictions} from './statements/stated-restrictions.js';
import {PlannedStop} from './stopping/planned-stop.js';

/** What the heads and bodies of all requests, and the responses to them, may hold in memory, in bytes. The smallest instances have 178 MB, and the process takes half of it without any. */
const maximumHeadBytes = 12_582_912;
const maximumRequestBytes = 12_582_912;
const maximumResponseBytes = 12_582_912;

/** Interval of the checks for requests whose deadline may have passed. */
const checkIntervalMs: Milliseconds = 50;

/** Interval at which evidence of crashes that is too old is forgotten. */
const expiryIntervalMs: Milliseconds = 5000;

/** Offset of the metrics port from the first internal port. */
const metricsPortOffset = 1;

/** Offset of the port for confirmations of the site state from the first internal port. */
const confirmationPortOffset = 2;

const incarnationCount = 2 ** 47;

export type GatewayProcessOptions = {
	readonly settings: InstanceSettings;
	/** Measures everything but the age of the site state. It must not follow steps of the time of day. */
	readonly clock: Clock;
	/** Measures the age of the site state. It must not run slower than real time, also over a suspension of the instance, but may run ahead. */
	readonly freshnessClock: Clock;
	readonly log: EventLog;
	readonly protocol: Protocol;
	readonly source: SiteSource;
};

/** The gateway daemon of an instance: creates, connects and disposes of its components. */
export class GatewayProcess {
	static create(options: GatewayProcessOptions): GatewayProcess {
		return new GatewayProcess(options);
	}

	readonly #disposables = DisposableStore.create();
	readonly #metrics = GatewayMetrics.create();
	readonly #site = SiteState.create();
	readonly #peers: PeerGroup;
	readonly #quotas: WorkspaceQuotas;
	readonly #peerAccounting: PeerAccounting;
	readonly #coldRateLimiter: ColdRateLimiter;
	readonly #retryBudgets: RetryBudgets;
	readonly #extraAttempts: ExtraAttempts;
	readonly #freshness: Freshness;
	readonly #admission: Admission;
	readonly #explainer: Explainer;
	readonly #callerServer: CallerServer;
	readonly #maximumCallerConnections: number;
	readonly #headMemory = MemoryBudget.create(maximumHeadBytes);
	readonly #requestMemory = MemoryBudget.create(maximumRequestBytes);
	readonly #responseMemory = MemoryBudget.create(maximumResponseBytes);
	readonly #siteReader: SiteReaderTask;
	readonly #confirmations: ConfirmationTask;
	readonly #heartbeats: HeartbeatTask;
	readonly #schedulers: ServiceSchedulers;
	readonly #connectionPools: EndpointConnectionPools;
	readonly #containment: CrashContainment;
	readonly #restrictions: StatedRestrictions;
	/** Undefined unless the settings call for coordination. */
	readonly #slots: CoordinationExchange | undefined;
	/** Services with streaming routes. */
	#streamingServices: ReadonlySet<string> = new Set();
	readonly #tasks = new Set<ForwardTask>();
	readonly #lateTickDetector = LateTickDetector.create(checkIntervalMs);
	readonly #readingProgress: ReadingProgress;
	readonly #startedAt: Milliseconds;
	readonly #plannedStop: PlannedStop;
	#features = noSchedulingFeatures;
	#wasReady = false;
	#wasFleetKnown = false;

	private constructor(private readonly options: GatewayProcessOptions) {
		const {settings, clock, freshnessClock, log, source} = options;
		this.#startedAt = clock.now();
		this.#readingProgress = ReadingProgress.create(clock, error => {
			log.event('request-error', {reason: describeError(error)});
		});
		this.#peers = PeerGroup.create({ownHost: settings.host, availabilityZone: settings.availabilityZone, startedAt: this.#startedAt});
		this.#peers.setSeedHosts(settings.seedHosts);
		this.#quotas = WorkspaceQuotas.create({bounds: settings.bounds, now: this.#startedAt});
		this.#peerAccounting = PeerAccounting.create(this.#peers, this.#quotas, settings.availabilityZone);
		this.#coldRateLimiter = ColdRateLimiter.create({bounds: settings.bounds, ownHost: settings.host});
		this.#retryBudgets = RetryBudgets.create(settings.bounds);
		this.#extraAttempts = ExtraAttempts.create(this.#retryBudgets);
		this.#freshness = Freshness.create(settings.bounds.revocationMs);
		this.#connectionPools = EndpointConnectionPools.create({
			clock,
			readingProgress: this.#readingProgress,
			onConnect: () => {
				this.#metrics.recordConnect();
			},
		});
		this.#schedulers = ServiceSchedulers.create({site: this.#site, createScheduler: service => this.#createScheduler(service)});
		this.#containment = CrashContainment.create({
			ownHost: settings.host,
			clock,
			log,
			peers: this.#peers,
			isServing: endpoint => this.#isServing(endpoint),
			send: outgoing => {
				this.#heartbeats.send(outgoing);
			},
			onQuarantined: () => {
				this.#forEachTask(task => {
					task.withholdIfQuarantined();
				});
			},
			onCrash: () => {
				this.#metrics.recordCrash();
			},
			random: Math.random,
		});
		this.#restrictions = StatedRestrictions.create({
			ownHost: settings.host,
			clock,
			log,
			peers: this.#peers,
			isListed: start => this.#site.endpoints.get(start.id)?.startedAt === start.startedAt,
			send: outgoing => {
				this.#heartbeats.send(outgoing);
			},
			onGranted: () => {
				this.#schedulers.dispatchWaiting();
			},
			onStatement: kind => {
				this.#metrics.recordStatement(kind);
			},
			random: Math.random,
		});
		this.#slots = settings.scheduling?.slotCoordination === true ? this.#createCoordination() : undefined;
		this.#admission = Admission.create({
			site: this.#site,
			freshness: this.#freshness,
			quotas: this.#quotas,
			clock,
			withhold: parts => this.#containment.withhold(parts),
			random: Math.random,
		});
		this.#maximumCallerConnections = settings.maximumCallerConnections ?? defaultCallerConnections(readDescriptorLimit());
		this.#callerServer = CallerServer.create({
			address: settings.callerAddress,
			clock,
			log,
			readingProgress: this.#readingProgress,
			maximumConnections: this.#maximumCallerConnections,
			onTooManyConnections: closed => {
				log.event('caller-connections-closed', {closed, reason: 'too many connections'});
				this.#metrics.recordClosedCallerConnections(closed);
			},
			headMemory: this.#headMemory,
			requestMemory: this.#requestMemory,
			responseMemory: this.#responseMemory,
			decodeHeaders: headers => options.protocol.decodeRequestHeaders(headers),
			onRequest: request => {
				this.#onRequest(request);
			},
		});
		this.#plannedStop = PlannedStop.create({
			clock,
			log,
			graceMs: settings.bounds.stopGraceMs,
			callerServer: this.#callerServer,
			countRequests: () => this.#tasks.size,
			endRequests: () => {
				this.#forEachTask(task => {
					task.endForStop();
				});
			},
			announceLeaving: () => {
				this.#heartbeats.sendLeaving();
			},
		});
		this.#explainer = Explainer.create({
			clock,
			site: this.#site,
			admission: this.#admission,
			schedulers: this.#schedulers,
			findTask: id => [...this.#tasks].find(({requestId}) => requestId === id),
			acceptsRequests: () => this.#plannedStop.acceptsRequests,
			freshnessNow: () => freshnessClock.now(),
		});
		this.#siteReader = SiteReaderTask.create({
			source,
			state: this.#site,
			clock: freshnessClock,
			log,
			onChanges: changes => {
				this.#onSiteChanges(changes);
			},
			onRead: (outcome, durationMs) => {
				this.#metrics.recordStoreRead(outcome, durationMs);
			},
			changeBoundMs: settings.bounds.changeMs,
			findReader: () => selectReader(settings.host, settings.availabilityZone, this.#peers.presentPeers()),
			findWitnesses: () => selectWitnesses(settings.host, this.#peers.presentHosts(), this.#peers.members(), Math.random),
			findStartWitnesses: () => selectWitnesses(settings.host, this.#peers.presentHosts(), [...new Set([...this.#peers.members(), ...settings.seedHosts])], Math.random),
			ask: async (host, timeoutMs) => this.#confirmations.ask(host, timeoutMs),
		});
		this.#confirmations = ConfirmationTask.create({
			host: settings.host,
			port: settings.internalPorts.first + confirmationPortOffset,
			log,
			ownConfirmation: () => this.#ownConfirmation(),
		});
		const exchange = HeartbeatExchange.create({
			host: settings.host,
			availabilityZone: settings.availabilityZone,
			incarnation: randomInt(incarnationCount),
			peers: this.#peers,
			content: () => ({inFlight: this.#schedulers.inFlight(), usage: this.#quotas.usage(clock.now())}),
			zoneUsage: () => this.#quotas.zoneUsage(clock.now()),
			onHeartbeat: heartbeat => {
				this.#onHeartbeat(heartbeat);
			},
			crashReports: this.#containment.exchange,
			statementReports: this.#restrictions.exchange,
			permits: this.#restrictions.permits,
			slots: this.#slots,
			onSummary: summary => this.#peerAccounting.receiveSummary(summary, clock.now()),
		});
		this.#heartbeats = HeartbeatTask.create({
			host: settings.host,
			port: settings.internalPorts.first,
			clock,
			log,
			exchange,
			onTick: () => {
				this.#logPeerChanges(this.#peerAccounting.tick(clock.now()));
				this.#logFleetSize();
			},
			onSent: bytes => {
				this.#metrics.recordSentToPeers(bytes);
			},
		});
	}

	get isReady(): boolean {
		return !this.#plannedStop.isRequested && this.#freshness.isReady(this.options.freshnessClock.now(), this.#site.confirmedAt);
	}

	/** @throws {Error} when an address can't be bound */
	async start(): Promise<void> {
		const {settings, protocol, log, clock} = this.options;
		log.event('started', {
			instance: settings.instanceName, host: settings.host, availabilityZone: settings.availabilityZone, isFirstStart: settings.isFirstStart, seeds: settings.seedHosts.join(','), maximumCallerConnections: this.#maximumCallerConnections,
		});
		await this.#confirmations.start();
		this.#disposables.add(this.#confirmations);
		this.#siteReader.start();
		this.#disposables.add(this.#siteReader);
		await this.#heartbeats.start();
		this.#disposables.add(this.#heartbeats);
		await this.#callerServer.start();
		await this.#startMonitoringServers(settings, protocol);
		this.#disposables.addInterval(() => {
			this.#runPeriodicChecks();
		}, checkIntervalMs);
		this.#disposables.addInterval(() => {
			this.#containment.expire();
			this.#restrictions.expire();
			this.#extraAttempts.expire(clock.now());
		}, expiryIntervalMs);
	}

	/** Applies the settings that can change at run time. */
	reload(settings: InstanceSettings): void {
		this.#peers.setSeedHosts(settings.seedHosts);
		this.options.log.event('reloaded', {seeds: settings.seedHosts.join(',')});
	}

	/**
	Stops gracefully: readiness fails, so callers are sent to other instances, and requests in flight are completed within the grace period.

	Repeated calls wait for the same stop.
	*/
	async stop(): Promise<void> {
		const now = this.options.clock.now();
		// The signal is read like everything else that arrives.
		const readUntil = this.#readingProgress.isLate() ? now - this.#readingProgress.unreadMs() : now;
		await this.#plannedStop.run({earliest: Math.min(readUntil, this.#lateTickDetector.earliestArrivalAt(now)), latest: now});
	}

	async dispose(): Promise<void> {
		const closed = this.#callerServer.close();
		this.#callerServer.closeAllConnections();
		await Promise.all([closed, this.#disposables.dispose()]);
		await this.#connectionPools.dispose();
	}

	async #startMonitoringServers(settings: InstanceSettings, protocol: Protocol): Promise<void> {
		const {log} = this.options;
		const ready = MonitoringServer.create(settings.readinessAddress, log, new Map([[protocol.readinessPath, () => ({status: this.isReady ? 200 : 503})]]));
		const metrics = MonitoringServer.create({host: settings.host, port: settings.internalPorts.first + metricsPortOffset}, log, new Map<string, MonitoringHandler>([
			['/metrics', async () => ({status: 200, body: await this.#renderMetrics()})],
			['/quarantine', () => ({status: 200, contentType: 'application/json', body: JSON.stringify(this.#containment.status())})],
			['/statements', () => ({status: 200, contentType: 'application/json', body: JSON.stringify(this.#restrictions.status())})],
			[explainPath, parameters => this.#explainer.explain(parameters)],
		]), new Set([explainPath]));
		for (const server of [ready, metrics]) {
			// eslint-disable-next-line no-await-in-loop -- the second is not needed when the first can't start
			await server.start();
			this.#disposables.add(server);
		}
	}

	#onRequest({message, metadata, headers, body, arrivedAt, waitingSince, response, onDisconnect, onMemoryExceeded, keepInMemory}: ReceivedRequest): void {
		const {protocol, clock, freshnessClock, log} = this.options;
		const path = message.url ?? '';
		if (!this.#plannedStop.acceptsRequests) {
			log.event('request-refused', {requestId: metadata.requestId, reason: 'stopping'});
			response.fail({type: 'stopping', retryAfterMs: 0});
			return;
		}

		// A suspension since the arrival makes it look later, and the site state older.
		const freshnessArrivedAt = freshnessClock.now() - (clock.now() - arrivedAt);
		const admitted = this.#admission.decide(metadata, path, freshnessArrivedAt);
		if (admitted.kind === 'rejected') {
			const {failure, route, workspace, units} = admitted;
			log.event('request-refused', {
				requestId: metadata.requestId,
				reason: failure.type,
				hasKey: failure.type === 'unknownKey' ? metadata.key !== undefined : undefined,
				route: route?.name,
				version: this.#site.routes?.version,
				confirmedAgeMs: this.#confirmedAgeMs(),
				retryAfterMs: failure.retryAfterMs,
				workspace: workspace?.name,
				units,
			});
			this.#metrics.recordRequest(route?.kind ?? 'none', failure.type);
			response.fail(failure);
			return;
		}

		const {route, service, tier, workspace, units, version} = admitted;
		const task = ForwardTask.create({
			metadata: {...metadata, requestId: metadata.requestId!},
			method: message.method ?? 'GET',
			path,
			get rawHeaders() {
				return headers.unpack();
			},
			body,
			route,
			service,
			tier,
			workspace: workspace?.name,
			workspaceWeight: workspace?.quota?.perSecond,
			arrivedAt,
			waitingSince,
			configurationVersion: version,
			promptParts: partKeysOf(metadata.sharedPromptParts),
		}, response, {
			clock,
			log,
			protocol,
			responseMemory: this.#responseMemory,
			scheduler: this.#schedulers.getOrCreate(this.#site.routes!.service(service)!),
			features: () => this.#features,
			retryBudgets: this.#retryBudgets,
			extraAttempts: this.#extraAttempts,
			sharingCount: () => this.#peers.estimatedCount,
			confirmedAgeMs: () => this.#confirmedAgeMs(),
			unreadMs: () => this.#readingProgress.unreadMs(),
			afterReading: callback => {
				this.#readingProgress.afterReading(callback);
			},
			findLimit: endpoint => this.#restrictions.findLimit(endpoint),
			findEndpoint: id => this.#site.endpoints.get(id),
			acquireConnection: (endpoint, requestId, isRetryable) => this.#connectionPools.poolFor(endpoint).acquire(requestId, isRetryable),
			findObstacle: endpoint => this.#findObstacle(endpoint),
			containment: this.#containment,
			recordStatement: (endpoint, statement, completedSentAt) => {
				this.#restrictions.record(endpoint, statement, completedSentAt);
			},
			onForeignAnswer: () => {
				this.#metrics.recordForeignAnswer();
			},
			onDispatch: keepInMemory,
			onAttemptEnd: outcome => {
				this.#metrics.recordAttempt(outcome);
			},
			onExtraAttempt: (outcome, savedMs) => {
				this.#metrics.recordExtraAttempt(outcome, savedMs);
			},
			onExtraAttemptWithheld: reason => {
				this.#metrics.recordExtraAttemptWithheld(reason);
			},
			onInvalidState: () => {
				this.#metrics.recordInvalidState();
			},
			onEnd: result => {
				this.#tasks.delete(task);
				if (!result.mayHaveRun && workspace !== undefined) {
					this.#quotas.refund(workspace.name, units);
				}

				this.#recordResult(task, tier, arrivedAt, result);
			},
		});
		this.#tasks.add(task);
		onDisconnect(() => {
			task.handleCallerDisconnect();
		});
		onMemoryExceeded(() => {
			task.refuseForMemory();
		});
		task.start();
	}

	/** Whether the process that wrote an endpoint's record is registered and does not leave. */
	#isServing(endpoint: EndpointRecord): boolean {
		const current = this.#site.endpoints.get(endpoint.id);
		return current !== undefined && !current.isLeaving && current.startedAt === endpoint.startedAt && !this.#restrictions.isLeaving(endpoint);
	}

	/** Returns what keeps requests from being written to an endpoint now. The age of the site state counts at the write, however early the request arrived. */
	#findObstacle(endpoint: EndpointRecord): WriteObstacle | undefined {
		if (!this.#freshness.allowsForwarding(this.options.freshnessClock.now(), this.#site.confirmedAt)) {
			return writeObstacles.stale;
		}

		const availabilityZone = this.#site.endpoints.get(endpoint.id)?.availabilityZone;
		const isUsable = this.#plannedStop.allowsDispatch(0)
			&& this.#isServing(endpoint) && this.options.clock.now() >= this.#restrictions.retryAt(endpoint) && availabilityZone !== undefined && !this.#site.evacuatedZones.has(availabilityZone);
		return isUsable ? undefined : writeObstacles.endpoint;
	}

	#recordResult(task: ForwardTask, tier: number, arrivedAt: Milliseconds, {outcome, status, firstResponseMs, disconnectedAfterMs}: ForwardResult): void {
		this.options.log.event('request-ended', {
			requestId: task.requestId,
			outcome,
			status,
			firstMs: firstResponseMs === undefined ? undefined : Math.round(firstResponseMs),
			totalMs: Math.round(this.options.clock.now() - arrivedAt),
			disconnectedAfterMs: disconnectedAfterMs === undefined ? undefined : Math.round(disconnectedAfterMs),
		});
		this.#metrics.recordRequest(task.route.kind, outcome);
		if (disconnectedAfterMs !== undefined) {
			this.#metrics.recordDisconnect(disconnectedAfterMs);
		}

		if (firstResponseMs !== undefined) {
			this.#metrics.recordFirstResponse(task.route.kind, tier, firstResponseMs);
		}
	}

	#onHeartbeat(heartbeat: Heartbeat): void {
		this.#logPeerChanges(this.#peerAccounting.receive(heartbeat, this.options.clock.now()));
		this.#slots?.receiveHeartbeat(heartbeat);
		this.#schedulers.dispatchWaiting();
	}

	#logPeerChanges(changes: readonly PeerChange[]): void {
		for (const {kind, ...fields} of changes) {
			this.options.log.event(kind, fields);
		}

		this.#containment.handlePeerChanges(changes);
		this.#restrictions.handlePeerChanges(changes);
	}

	/** Logs when this instance begins or ceases to know how many there are. */
	#logFleetSize(): void {
		const {isFleetKnown, memberCount, sharingCount} = this.#peers;
		if (isFleetKnown !== this.#wasFleetKnown) {
			this.#wasFleetKnown = isFleetKnown;
			this.options.log.event(isFleetKnown ? 'fleet-known' : 'fleet-unknown', {members: memberCount, sharing: sharingCount});
		}
	}

	#onSiteChanges(changes: readonly SiteChange[]): void {
		const {log, clock} = this.options;
		for (const change of changes) {
			log.event(change.kind, siteChangeFields(change));
		}

		const {routes} = this.#site;
		if (routes !== undefined && changes.some(change => change.kind === 'configuration')) {
			this.#callerServer.setLimits(routes.configuration.limits);
			this.#quotas.configure(routes.workspaces(), clock.now());
			this.#streamingServices = new Set(routes.configuration.routes.filter(({kind}) => kind === requestKinds.streaming).flatMap(({targets}) => targets.map(({service}) => service)));
			this.#updateFeatures(routes.configuration);
		}

		this.#schedulers.update();
	}

	#updateFeatures(configuration: SiteConfiguration): void {
		const features = activeFeatures(this.options.settings.scheduling, configuration);
		if (JSON.stringify(features) !== JSON.stringify(this.#features)) {
			this.#features = features;
			this.options.log.event('scheduling-features', features);
		}
	}

	#createCoordination(): CoordinationExchange {
		const {settings, clock, log} = this.options;
		return CoordinationExchange.create({
			ownHost: settings.host,
			availabilityZone: settings.availabilityZone,
			peers: this.#peers,
			clock,
			log,
			metrics: this.#metrics,
			isActive: () => this.#features.slotCoordination,
			findEndpoints: group => this.#schedulers.get(group.service)?.coordinatedLoads(group) ?? [],
			features: () => this.#features,
			knownInFlight: id => this.#peers.inFlightAt(id) + this.#schedulers.inFlightAt(id),
			send: outgoing => {
				this.#heartbeats.send(outgoing);
			},
			onAnswered: () => {
				this.#schedulers.dispatchWaiting();
			},
		});
	}

	#createScheduler(service: Service): ServiceScheduler {
		const {clock, settings} = this.options;
		return ServiceScheduler.create({
			service,
			clock,
			readingProgress: this.#readingProgress,
			coldRateLimiter: this.#coldRateLimiter,
			availabilityZone: settings.availabilityZone,
			restrictions: this.#restrictions,
			features: () => this.#features,
			peerInFlightAt: id => this.#peers.inFlightAt(id),
			isPeerLoadLate: () => this.#peers.isZoned,
			members: () => this.#peers.members(),
			memberCount: () => this.#peers.memberCount,
			sharingCount: () => this.#peers.sharingCount,
			knowsMembers: () => this.#peers.knowsMembers(clock.now()),
			mayDispatch: expectedRunMs => this.#plannedStop.allowsDispatch(expectedRunMs),
			random: Math.random,
			slots: this.#slots?.requester,
			isCoordinated: name => this.#streamingServices.has(name),
			onDecision: decision => {
				this.#metrics.recordDecision(decision);
			},
		});
	}

	#runPeriodicChecks(): void {
		const now = this.options.clock.now();
		this.#readingProgress.update();
		if (!this.#lateTickDetector.tick(now)) {
			// Data that has arrived is read before anything is judged by its absence.
			setImmediate(() => {
				this.#judgeByAbsence(now);
				this.#slots?.tick();
			});
		}

		this.#restrictions.givePermits();
		this.#schedulers.dispatchWaiting();
		this.#connectionPools.closeIdleConnections();

		const {isReady} = this;
		if (isReady !== this.#wasReady) {
			this.#wasReady = isReady;
			this.options.log.event(isReady ? 'ready' : 'not-ready', {confirmedAgeMs: this.#confirmedAgeMs(), isStopping: this.#plannedStop.isRequested});
		}
	}

	/** Ends what has had no response in time, and takes endpoints that have not crashed for sound. */
	#judgeByAbsence(now: Milliseconds): void {
		if (this.#features.extraAttemptRatio > 0) {
			this.#forEachTask(task => {
				task.recordPendingResponses(now);
			});
		}

		this.#forEachTask(task => {
			task.enforceTimeouts(now);
		});

		this.#containment.confirmSurvivals();
	}

	/** An unexpected error of one request must not keep the others from being checked. */
	#forEachTask(callback: (task: ForwardTask) => void): void {
		for (const task of this.#tasks) {
			try {
				callback(task);
			} catch (error) {
				this.options.log.event('request-error', {requestId: task.requestId, reason: describeError(error)});
			}
		}
	}

	#confirmedAgeMs(): number | undefined {
		const {confirmedAt} = this.#site;
		return confirmedAt === undefined ? undefined : Math.round(this.options.freshnessClock.now() - confirmedAt);
	}

	#ownConfirmation(): SiteConfirmation | undefined {
		const {digest, configurationDigest, confirmedAt} = this.#site;
		const now = this.options.freshnessClock.now();
		return digest === undefined || configurationDigest === undefined || confirmedAt === undefined
			? undefined
			: {
				digest, configurationDigest, ageMs: now - confirmedAt, recordGraceMs: this.#site.recordGraceMs(now), era: this.#site.era, heldMs: this.#site.heldMs(now),
			};
	}

	async #renderMetrics(): Promise<string> {
		const statements = this.#restrictions.status();
		const slots = this.#slots?.status ?? {granted: 0, held: 0, waiting: 0};
		return this.#metrics.render({
			waiting: this.#schedulers.waiting(),
			inFlight: [...this.#tasks].filter(task => task.isInFlight).length,
			openRequests: this.#callerServer.openRequests,
			heldConnections: this.#callerServer.heldConnections,
			presentPeers: this.#peers.presentHosts().length,
			sharingInstances: this.#peers.sharingCount,
			confirmedAgeMs: this.#confirmedAgeMs() ?? -1,
			endpointConnections: this.#connectionPools.size,
			grantedSlots: slots.granted,
			heldSlots: slots.held,
			slotRequestsWaiting: slots.waiting,
			quarantineEntries: this.#containment.status().length,
			storeEra: this.#site.era ?? -1,
			keptRestrictions: this.#site.keptRestrictions,
			limitedEndpoints: statements.filter(({limit}) => limit !== undefined).length,
			leavingEndpoints: statements.filter(({leaving}) => leaving !== undefined).length,
			slowEndpoints: this.#schedulers.slowEndpoints(this.options.clock.now()),
			pendingReports: this.#containment.exchange.pendingCount + this.#restrictions.exchange.pendingCount,
			endpointsWithRetryTime: statements.filter(({retryInMs}) => retryInMs !== undefined).length,
		});
	}
}
