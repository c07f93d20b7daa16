import {createHash} from 'node:crypto';
import type {IncomingMessage, Server} from 'node:http';
import type {Socket} from 'node:net';
import {H3, serve, type H3Event} from 'h3';
import type {Clock} from '../../shared/clock.js';
import type {Configuration, TierConfiguration} from '../../shared/configuration/index.js';
import {
	createFailure, FailureError, outcomes, toProblemDocument, type Failure, type Outcome,
} from '../../shared/failure.js';
import type {Logger} from '../../shared/log.js';
import {closeAfterReading} from '../../shared/listen.js';
import {PrefixBlockHasher} from '../../shared/prefix-blocks.js';
import type {ReadingProgress} from '../../shared/reading-progress.js';
import type {Mailbox} from '../../shared/message-loop.js';
import {withoutHopByHopHeaders} from '../dispatch/headers.js';
import {
	RequestId, requestKinds, requestStates, type RequestKind, type RequestRegistry, type ResponseEvent, type Submission,
} from '../requests/index.js';
import type {EntrySettings} from '../settings.js';
import {discardBody, readBody} from './body.js';
import {readChatRequest, readCompletionRequest, type EngineRequest} from './engine-request.js';
import {Forwarder, forwardedHeader} from './forwarder.js';
import {createProblemResponse} from './problem-response.js';
import {
	checkJsonContentType, checkQueueTimeout, checkTier, checkWorkspace, findEngineService, findOperation, type CallerHeaders,
} from './request-checks.js';
import {relayResponse} from './response-stream.js';
import {
	readinessStates, type CallerMessage, type FindOwnerAddress, type ReadinessState,
} from './types.js';

/** Load balancers commonly reuse idle connections for 60 s, and the entry must not close them first. */
const keepAliveTimeoutMs = 75_000;

/** Limits of request bodies until a configuration is known. */
const initialBodyBounds = {maximumBodyBytes: 1_048_576, bodyTimeoutMilliseconds: 10_000};

/** Added to the queue and request timeouts when a request is forwarded to another entry. */
const forwardMarginMs = 5000;

export type CallerServerOptions = {
	readonly settings: EntrySettings;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly registry: RequestRegistry;
	readonly mailbox: Mailbox<CallerMessage>;
	readonly readingProgress: ReadingProgress;
	/** Returns the configuration in force, or undefined until there is one. */
	readonly configuration: () => Configuration | undefined;
	readonly readiness: () => ReadinessState;
	readonly findOwnerAddress: FindOwnerAddress;
};

/** A request from a caller that is being handled. */
type Call = {
	readonly event: H3Event;
	readonly request: IncomingMessage;
	readonly method: string;
	/** Normalised, so that dot segments can't bypass the path prefix of the operation. */
	readonly path: string;
	readonly search: string;
	readonly headers: CallerHeaders;
	/** The caller's idempotency key, or a generated id if it sent none. */
	requestId: string;
	idempotencyKey?: RequestId;
};

/** The fields of a submission that depend on the kind of request. */
type SubmissionDetails = Pick<Submission, 'kind' | 'isIdempotent' | 'service' | 'promptTokens' | 'outputTokens' | 'prefixBlocks' | 'http'>;

type Route = {
	readonly pattern: RegExp;
	/** All methods are allowed if undefined. */
	readonly methods?: readonly string[];
	readonly handle: (call: Call, groups: Readonly<Record<string, string>>) => Promise<Response>;
};

const refusalsByReadiness: Readonly<Record<Exclude<ReadinessState, 'ready'>, {type: 'not-ready' | 'shutting-down'; detail: string}>> = {
	[readinessStates.notReady]: {type: 'not-ready', detail: 'this entry does not take new requests at present'},
	[readinessStates.shuttingDown]: {type: 'shutting-down', detail: 'this entry takes no new requests because it is stopping'},
};

/** Headers that are meant for the entry and are not forwarded to plain services. */
const entryHeaders = new Set(['x-tier', 'x-timeout-ms', 'idempotency-key', 'content-length', forwardedHeader]);

function joinHeaders(request: IncomingMessage): CallerHeaders {
	const headers: Record<string, string> = {};
	for (const [name, value] of Object.entries(request.headers)) {
		if (value !== undefined) {
			headers[name] = Array.isArray(value) ? value.join(', ') : value;
		}
	}

	return headers;
}

function createFingerprint(workspace: string, call: Call, body: Uint8Array): string {
	return createHash('sha256').update(JSON.stringify([workspace, call.method, call.path, call.search])).update(body).digest('base64');
}

/** HTTP server for callers. Validates requests, passes them to the scheduler, and relays the responses. */
export class CallerServer {
	static create(options: CallerServerOptions): CallerServer {
		return new CallerServer(options);
	}

	readonly #settings: EntrySettings;
	readonly #clock: Clock;
	readonly #logger: Logger;
	readonly #registry: RequestRegistry;
	readonly #mailbox: Mailbox<CallerMessage>;
	readonly #readingProgress: ReadingProgress;
	readonly #configuration: () => Configuration | undefined;
	readonly #readiness: () => ReadinessState;
	readonly #findOwnerAddress: FindOwnerAddress;
	readonly #forwarder = Forwarder.create();
	readonly #routes: readonly Route[];
	#server: ReturnType<typeof serve> | undefined;
	#hasher: PrefixBlockHasher | undefined;

	private constructor(options: CallerServerOptions) {
		this.#settings = options.settings;
		this.#clock = options.clock;
		this.#logger = options.logger;
		this.#registry = options.registry;
		this.#mailbox = options.mailbox;
		this.#readingProgress = options.readingProgress;
		this.#configuration = options.configuration;
		this.#readiness = options.readiness;
		this.#findOwnerAddress = options.findOwnerAddress;
		this.#routes = [
			{pattern: /^\/v1\/chat\/completions$/v, methods: ['POST'], handle: async call => this.#submitEngineRequest(call, readChatRequest)},
			{pattern: /^\/v1\/completions$/v, methods: ['POST'], handle: async call => this.#submitEngineRequest(call, readCompletionRequest)},
			{pattern: /^\/v1\/services\/(?<service>[^\/]+)(?<rest>\/.*)?$/v, handle: async (call, groups) => this.#submitServiceCall(call, groups)},
			{pattern: /^\/v1\/request-ids$/v, methods: ['POST'], handle: async call => this.#issueRequestId(call)},
			{pattern: /^\/v1\/requests\/(?<id>[^\/]+)$/v, methods: ['GET'], handle: async (call, groups) => this.#showRequest(call, groups.id!)},
		];
	}

	/** The port that the server listens on, or undefined before `listen`. */
	get port(): number | undefined {
		const address = this.#server?.node?.server?.address();
		return typeof address === 'object' && address !== null ? address.port : undefined;
	}

	/**
	@throws {Error} when the server can't listen on the address
	*/
	async listen(): Promise<void> {
		this.#hasher = await PrefixBlockHasher.create();
		const [hostname, port] = this.#settings.listen.callers.split(':');
		// eslint-disable-next-line @typescript-eslint/naming-convention -- h3's name
		const app = new H3({silent: true, allowMalformedURL: true});
		app.all('/**', async event => this.#respond(event));
		this.#server = serve(app, {
			hostname,
			port: Number(port),
			silent: true,
			// The signal handler of h3 would close all connections five seconds after SIGTERM; the entry has its own graceful shutdown.
			gracefulShutdown: false,
			node: {keepAliveTimeout: keepAliveTimeoutMs},
		});
		this.#server.node!.server!.on('connection', (socket: Socket) => {
			this.#readingProgress.recordConnection(socket);
		});
		await this.#server.ready();
	}

	/** Accepts no new connections and closes those between two requests. Resolves when all connections have ended, which a caller that sends nothing may prevent. */
	async stopAccepting(): Promise<void> {
		const server = this.#server?.node?.server as Server | undefined;
		if (server !== undefined) {
			await closeAfterReading(server, error => {
				this.#logger.error({err: error}, 'reading-mark-failed');
			});
		}
	}

	/** Closes the server and all connections. */
	async dispose(): Promise<void> {
		await this.#server?.close(true);
		await this.#forwarder.dispose();
	}

	async #respond(event: H3Event): Promise<Response> {
		const request = event.runtime!.node!.req as IncomingMessage;
		const url = this.#parseUrl(request.url ?? '/');
		const call: Call = {
			event,
			request,
			method: request.method ?? 'GET',
			path: url?.pathname ?? '',
			search: url?.search ?? '',
			headers: joinHeaders(request),
			requestId: this.#registry.nextId(),
		};
		const response = await this.#handle(call);
		if (this.#readiness() === readinessStates.shuttingDown) {
			// The caller's next request needs another entry.
			response.headers.set('connection', 'close');
		}

		return response;
	}

	async #handle(call: Call): Promise<Response> {
		try {
			return await this.#route(call);
		} catch (error) {
			discardBody(call.request, this.#bodyBounds().bodyTimeoutMilliseconds);
			return createProblemResponse(this.#failureOf(error, call), call.requestId);
		}
	}

	#parseUrl(target: string): URL | undefined {
		return URL.canParse(target, 'http://localhost') ? new URL(target, 'http://localhost') : undefined;
	}

	async #route(call: Call): Promise<Response> {
		for (const {pattern, methods, handle} of this.#routes) {
			const match = pattern.exec(call.path);
			if (match !== null) {
				if (methods?.includes(call.method) === false) {
					throw FailureError.create('method-not-allowed', `${call.path} allows ${methods.join(', ')}`);
				}

				return handle(call, match.groups ?? {});
			}
		}

		throw FailureError.create('unknown-path', `there is nothing at ${call.path}`);
	}

	async #submitEngineRequest(call: Call, read: (body: Uint8Array) => EngineRequest): Promise<Response> {
		return this.#submit(call, requestKinds.engine, (configuration, body) => {
			checkJsonContentType(call.headers);
			const engineRequest = read(body);
			const {promptTokens, outputTokens, wantsStream} = engineRequest;
			return {
				kind: requestKinds.engine,
				isIdempotent: false,
				service: findEngineService(configuration, engineRequest.model),
				promptTokens,
				outputTokens,
				prefixBlocks: this.#hasher!.hash(engineRequest.prompt, configuration.policy.prefixBlockCharacters),
				http: {
					method: call.method, path: call.path, headers: {'content-type': 'application/json'}, body, wantsStream,
				},
			};
		});
	}

	async #submitServiceCall(call: Call, groups: Readonly<Record<string, string>>): Promise<Response> {
		const service = groups.service!;
		const path = groups.rest ?? '/';
		return this.#submit(call, requestKinds.plain, (configuration, body) => {
			const operation = findOperation(configuration, service, call.method, path);
			const headers = Object.fromEntries(Object.entries(withoutHopByHopHeaders(call.headers)).filter(([name]) => !entryHeaders.has(name)));
			return {
				kind: requestKinds.plain,
				isIdempotent: operation.idempotent,
				service,
				promptTokens: 0,
				outputTokens: 0,
				prefixBlocks: [],
				http: {
					method: call.method, path: path + call.search, headers, body, wantsStream: false,
				},
			};
		});
	}

	/** Handles a request of any kind: forwards it if another incarnation issued its id; otherwise makes the checks that need no body, reads the body, makes the remaining checks, registers the request and submits it to the scheduler. */
	async #submit(call: Call, kind: RequestKind, createDetails: (configuration: Configuration, body: Uint8Array) => SubmissionDetails): Promise<Response> {
		this.#readIdempotencyKey(call);
		const receivedAt = this.#clock.now();
		if (call.idempotencyKey !== undefined && !this.#registry.namesThisIncarnation(call.requestId)) {
			return this.#forwardToOwner(call, kind, await this.#readBody(call));
		}

		const configuration = this.#requireConfiguration();
		const {name: workspaceName, workspace} = checkWorkspace(configuration, call.headers);
		const {name: tierName, tier} = checkTier(configuration, call.headers, workspace);
		this.#checkReadiness(call);
		const body = await this.#readBody(call);
		await this.#checkCaller(call);
		const details = createDetails(configuration, body);
		const queueTimeoutMs = checkQueueTimeout(call.headers, tier);
		// The state may have changed while the body was being read.
		this.#checkReadiness(call);
		const opened = this.#registry.open({requestId: call.idempotencyKey && call.requestId, fingerprint: createFingerprint(workspaceName, call, body)});
		if (opened.kind === 'refused') {
			throw FailureError.from(opened.failure);
		}

		call.requestId = opened.kind === 'new' ? opened.requestId : opened.record.requestId;
		// The reader is attached before the submission, so that no part of the response is dropped.
		const events = this.#registry.readResponse(call.requestId);
		if (opened.kind === 'new') {
			this.#mailbox.post({
				kind: 'submit',
				submission: {
					...details,
					requestId: opened.requestId,
					isKeyed: call.idempotencyKey !== undefined,
					workspace: workspaceName,
					tier: tierName,
					receivedAt,
					queueDeadlineAt: receivedAt + queueTimeoutMs,
				},
			});
		}

		return this.#relayResponse(call, kind, events);
	}

	/**
	Waits until the disconnect of a caller whose request was read late would have been read. A keyed request runs to completion although its caller has left.

	@throws {FailureError} when the caller has left
	*/
	async #checkCaller({request: {socket}, idempotencyKey}: Call): Promise<void> {
		const waitingSince = this.#readingProgress.takeWaitingSince(socket);
		if (idempotencyKey !== undefined || !this.#readingProgress.isLate(waitingSince)) {
			return;
		}

		await new Promise<void>(resolve => {
			this.#readingProgress.afterReading(resolve);
		});
		if (socket.readableEnded || socket.destroyed) {
			throw FailureError.create('cancelled', 'the caller disconnected before the request was submitted');
		}
	}

	/** Must be called after the submission is posted, so that `caller-gone` never precedes it. */
	async #relayResponse(call: Call, kind: RequestKind, events: AsyncIterableIterator<ResponseEvent>): Promise<Response> {
		const {requestId, method} = call;
		const {signal} = call.event.req;
		let isDisconnected = false;
		const onCallerDisconnect = () => {
			if (!isDisconnected) {
				isDisconnected = true;
				void events.return?.();
				this.#mailbox.post({kind: 'caller-gone', requestId});
			}
		};

		if (signal.aborted) {
			onCallerDisconnect();
		} else {
			signal.addEventListener('abort', onCallerDisconnect, {once: true});
		}

		return relayResponse(events, {
			requestId, isEngine: kind === requestKinds.engine, method, onCallerDisconnect,
		});
	}

	async #forwardToOwner(call: Call, kind: RequestKind, body: Uint8Array): Promise<Response> {
		const {requestId, method, headers} = call;
		const address = headers[forwardedHeader] === undefined ? this.#findOwnerAddress(call.idempotencyKey!.slot, call.idempotencyKey!.incarnation) : undefined;
		if (address === undefined) {
			throw FailureError.create('outcome-unknown', 'the incarnation that owns this request is gone or not known here');
		}

		return this.#forwarder.forward({
			requestId,
			isEngine: kind === requestKinds.engine,
			address,
			method,
			path: call.path + call.search,
			headers,
			body,
			timeoutMs: this.#forwardTimeoutMs(),
			signal: call.event.req.signal,
		});
	}

	async #issueRequestId(call: Call): Promise<Response> {
		checkWorkspace(this.#requireConfiguration(), call.headers);
		this.#checkReadiness(call);
		call.requestId = this.#registry.reserveId();
		discardBody(call.request, this.#bodyBounds().bodyTimeoutMilliseconds);
		const expiresInMilliseconds = this.#requireConfiguration().policy.reservedIdMilliseconds;
		return Response.json({requestId: call.requestId, expiresInMilliseconds}, {status: 201, headers: {'x-request-id': call.requestId}});
	}

	async #showRequest(call: Call, id: string): Promise<Response> {
		checkWorkspace(this.#requireConfiguration(), call.headers);
		const key = RequestId.parse(id);
		if (key === undefined) {
			throw FailureError.create('unknown-request', `${id} is not a request id`);
		}

		call.requestId = id;
		call.idempotencyKey = key;
		if (!this.#registry.namesThisIncarnation(id)) {
			return this.#forwardToOwner(call, requestKinds.plain, new Uint8Array());
		}

		const record = this.#registry.findRecord(id);
		if (record === undefined) {
			throw FailureError.create('unknown-request', `${id} is not known here`);
		}

		const body = {
			requestId: id,
			state: record.state,
			outcome: this.#registry.outcome(id),
			...(record.failure && {problem: toProblemDocument(record.failure)}),
		};
		return Response.json(body, {headers: {'x-request-id': id}});
	}

	#readIdempotencyKey(call: Call): void {
		const text = call.headers['idempotency-key'];
		if (text === undefined) {
			return;
		}

		call.idempotencyKey = RequestId.parse(text);
		if (call.idempotencyKey === undefined) {
			throw FailureError.create('idempotency-key-not-issued', 'request an id with POST /v1/request-ids first');
		}

		call.requestId = text;
	}

	async #readBody(call: Call): Promise<Uint8Array> {
		const {maximumBodyBytes, bodyTimeoutMilliseconds} = this.#bodyBounds();
		return readBody(call.request, {maximumBytes: maximumBodyBytes, timeoutMs: bodyTimeoutMilliseconds});
	}

	#bodyBounds(): typeof initialBodyBounds {
		return this.#configuration()?.policy ?? initialBodyBounds;
	}

	#requireConfiguration(): Configuration {
		const configuration = this.#configuration();
		if (configuration === undefined) {
			throw FailureError.create('not-ready', 'this entry has no configuration yet');
		}

		return configuration;
	}

	/** Retries of a request that is in flight or has ended are accepted in any state, because they dispatch nothing. */
	#checkReadiness(call: Call): void {
		const state = this.#readiness();
		const isRetry = call.idempotencyKey !== undefined && this.#registry.findRecord(call.requestId)?.state !== requestStates.reserved;
		if (state !== readinessStates.ready && !isRetry) {
			const {type, detail} = refusalsByReadiness[state];
			throw FailureError.create(type, detail);
		}
	}

	/** The maximum time that the owner of a request may take to complete its response. */
	#forwardTimeoutMs(): number {
		const configuration = this.#configuration();
		const tiers: TierConfiguration[] = Object.values(configuration?.tiers ?? {});
		const queueTimeouts = tiers.map(tier => tier.queueTimeoutMilliseconds);
		const requestTimeouts = Object.values(configuration?.endpoints ?? {}).map(endpoint => endpoint.requestTimeoutMilliseconds);
		return Math.max(0, ...queueTimeouts) + Math.max(0, ...requestTimeouts) + forwardMarginMs;
	}

	#failureOf(error: unknown, call: Call): Failure {
		if (!(error instanceof FailureError)) {
			this.#logger.error({err: error, requestId: call.requestId}, 'caller-request-failed');
		}

		const failure = error instanceof FailureError ? error.failure : createFailure('internal-error', 'the request could not be handled');
		if (call.idempotencyKey !== undefined && failure.outcome === outcomes.notRun) {
			this.#registry.closeReservedId(call.requestId, failure);
		}

		return {...failure, outcome: this.#outcomeForCaller(failure, call)};
	}

	/** When a retry is refused, the outcome must not say that the request has not run if its first submission may have. */
	#outcomeForCaller({outcome}: Failure, {idempotencyKey, requestId}: Call): Outcome {
		if (idempotencyKey === undefined || outcome !== outcomes.notRun) {
			return outcome;
		}

		if (!this.#registry.namesThisIncarnation(requestId)) {
			return outcomes.unknown;
		}

		return this.#registry.hasIssued(requestId) ? this.#registry.outcome(requestId) : outcomes.notRun;
	}
}
