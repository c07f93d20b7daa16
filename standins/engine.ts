/** Stand-in of a language model engine as described in section 3.3 of the design page. */
import {randomUUID} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import {performance} from 'node:perf_hooks';
import {z} from 'zod';
import {DisposableStore, type Disposable} from '../src/shared/disposable-store.js';
import {
	countPromptTokens, expectedCompletion, promptText, type CompletionBody,
} from './completion.js';
import {DispatchLog, type DispatchOutcome} from './dispatch-log.js';
import {EndpointPhase, type Phase} from './endpoint-phase.js';
import {EngineBatch} from './engine-batch.js';
import {writeDocument, writeEvents, type ResponseFault} from './engine-responses.js';
import {engineSettingsSchema, type EngineOptions, type EngineSettings} from './engine-settings.js';
import {EngineStream} from './engine-stream.js';
import {PrefixCache} from './prefix-cache.js';
import {
	parseBody, resetConnection, sendJson, StandInServer, type Exchange, type Route,
} from './stand-in-server.js';

/** Interval at which the load is sampled for reports. */
const loadSampleIntervalMs = 50;

const bodySchema = z.looseObject({
	model: z.string(),
	messages: z.array(z.looseObject({role: z.string(), content: z.string()})).min(1).optional(),
	prompt: z.string().optional(),
	max_tokens: z.number().int().positive().optional(), // eslint-disable-line @typescript-eslint/naming-convention
	stream: z.boolean().optional(),
}).refine(body => body.messages !== undefined || body.prompt !== undefined, 'expected messages or a prompt');

export type EngineCounters = {
	readonly name: string;
	readonly running: number;
	readonly phase: Phase;
	readonly admitted: number;
	readonly completed: number;
	readonly cancelled: number;
	/** Requests above the units of a cold engine; each was failed with status 500. */
	readonly coldOverloads: number;
	/** Requests above the units of a warm engine; each slowed all others down. */
	readonly warmOverloads: number;
	/** Highest number of requests that ran concurrently. */
	readonly highestConcurrency: number;
	readonly promptTokensComputed: number;
	readonly promptTokensSaved: number;
	/** Prompt tokens computed for responses that were not sent completely to any client. Counted when the stream is discarded. */
	readonly promptTokensWasted: number;
	/** Prompt tokens computed for complete responses that have not been sent completely to any client yet. They count as wasted when the stream is discarded. */
	readonly promptTokensUndelivered: number;
	readonly outputTokens: number;
};

type LoadSample = {
	readonly sampledAt: number;
	readonly startId: string;
	readonly phase: Phase;
	readonly running: number;
	readonly tokensInUse: number;
};

export class Engine implements Disposable {
	static async start(options: EngineOptions): Promise<Engine> {
		const engine = new Engine(engineSettingsSchema.parse(options));
		await engine.#listen();
		return engine;
	}

	readonly #disposables = DisposableStore.create();
	readonly #phase: EndpointPhase;
	readonly #cache: PrefixCache;
	readonly #batch: EngineBatch;
	readonly #dispatchLog = DispatchLog.create();
	readonly #streams = new Map<string, EngineStream>();
	readonly #discardedStreams = new WeakSet<EngineStream>();
	readonly #loadSamples: LoadSample[] = [];
	readonly #orders: unknown[] = [];
	readonly #faults: ResponseFault[] = [];
	readonly #counts = {
		admitted: 0, completed: 0, cancelled: 0, coldOverloads: 0, warmOverloads: 0, highestConcurrency: 0, promptTokensComputed: 0, promptTokensSaved: 0, promptTokensWasted: 0, outputTokens: 0,
	};

	#server!: StandInServer;
	#highestFencingNumber = 0;
	#resetsConnections = false;
	#hidesColdStart = false;

	private constructor(readonly settings: EngineSettings) {
		this.#phase = EndpointPhase.create(settings.coldMilliseconds);
		this.#cache = PrefixCache.create({
			maximumBlocks: Math.floor(settings.cacheTokens * 4 / settings.blockCharacters),
			eventLagMs: settings.cacheEventLagMilliseconds,
			eventLossRatio: settings.cacheEventLossRatio,
			now: () => performance.now(),
		});
		this.#batch = EngineBatch.create({
			settings,
			phase: this.#phase,
			cache: this.#cache,
			onStreamEnd: stream => {
				this.#handleStreamEnd(stream);
			},
		});
	}

	/** Host and port. */
	get address(): string {
		return this.#server.address;
	}

	get counters(): EngineCounters {
		return {
			...this.#counts,
			name: this.settings.name,
			running: this.#batch.running,
			phase: this.#phase.current,
			promptTokensUndelivered: this.#countUndeliveredPromptTokens(),
		};
	}

	get dispatches() {
		return this.#dispatchLog.entriesFrom(0);
	}

	async dispose(): Promise<void> {
		await this.#disposables.dispose();
	}

	/** Makes the engine cold, as after a restart. */
	turnCold(options: {readonly milliseconds: number; readonly isHidden?: boolean}): void {
		this.#phase.turnCold(options.milliseconds);
		this.#cache.clear();
		this.#hidesColdStart = options.isHidden ?? false;
	}

	turnWarm(): void {
		this.#phase.turnWarm();
	}

	/** Makes the engine slower by a factor; 1 is normal. */
	setSlowdown(factor: number): void {
		this.#batch.slowdown = factor;
	}

	/** Resets the connections of all running streams. The streams continue unless they are to be forgotten. @returns the number of connections */
	cutStreams(options: {readonly isForgotten?: boolean} = {}): number {
		let disconnected = 0;
		for (const stream of this.#streams.values()) {
			disconnected += stream.disconnectSubscribers();
			if (options.isForgotten) {
				this.#batch.cancel(stream);
				this.#discardStream(stream);
			}
		}

		return disconnected;
	}

	/** While on, resets every connection that carries a request. */
	resetConnections(isOn: boolean): void {
		this.#resetsConnections = isOn;
		if (isOn) {
			this.cutStreams();
		}
	}

	/** Queues faults for the next responses, one for each. */
	queueFaults(fault: ResponseFault, count: number): void {
		this.#faults.push(...Array.from({length: count}, () => fault));
	}

	async #listen(): Promise<void> {
		const {host, port} = this.settings;
		this.#disposables.addInterval(() => {
			this.#sampleLoad();
		}, loadSampleIntervalMs);
		this.#sampleLoad();
		this.#server = this.#disposables.add(await StandInServer.listen({
			host,
			port,
			routes: [...this.#engineRoutes(), ...this.#controlRoutes()],
			intercept: request => this.#intercept(request),
		}));
		this.#disposables.defer(() => {
			this.#batch.stop();
		});
	}

	#engineRoutes(): Route[] {
		return [
			{
				method: 'POST', pattern: /^\/v1\/(?:chat\/)?completions$/v, handle: exchange => {
					this.#handleCompletion(exchange);
				},
			},
			{
				method: 'GET', pattern: /^\/v1\/streams\/(?<id>[^\/]+)$/v, handle: exchange => {
					this.#handleResumption(exchange);
				},
			},
			{
				method: 'DELETE', pattern: /^\/v1\/streams\/(?<id>[^\/]+)$/v, handle: exchange => {
					this.#handleCancellation(exchange);
				},
			},
			{
				method: 'GET', pattern: /^\/v1\/load$/v, handle: ({response}) => {
					sendJson(response, 200, this.#loadReport());
				},
			},
			{
				method: 'GET', pattern: /^\/v1\/cache-events$/v, handle: ({response, url}) => {
					const events = this.#cache.eventsAfter(Number(url.searchParams.get('after') ?? 0));
					sendJson(response, 200, {startId: this.#phase.startId, events});
				},
			},
			{
				method: 'POST', pattern: /^\/v1\/orders$/v, handle: exchange => {
					this.#handleOrder(exchange);
				},
			},
		];
	}

	#controlRoutes(): Route[] {
		const post = (action: string, run: (body: Record<string, unknown>) => unknown): Route => ({
			method: 'POST',
			pattern: new RegExp(`^/control/${action}$`, 'v'),
			handle(exchange) {
				sendJson(exchange.response, 200, run(parseBody(exchange)) ?? {});
			},
		});
		return [
			post('cold', body => {
				this.turnCold({milliseconds: Number(body.milliseconds), isHidden: Boolean(body.isHidden)});
			}),
			post('warm', () => {
				this.turnWarm();
			}),
			post('slow', body => {
				this.setSlowdown(Number(body.factor));
			}),
			post('cut', body => ({cut: this.cutStreams({isForgotten: Boolean(body.isForgotten)})})),
			post('reset', body => {
				this.resetConnections(Boolean(body.isOn));
			}),
			post('fault', body => {
				this.queueFaults(body.fault as ResponseFault, Number(body.count ?? 1));
			}),
			{
				method: 'GET', pattern: /^\/control\/counters$/v, handle: ({response}) => {
					sendJson(response, 200, this.counters);
				},
			},
			{
				method: 'GET', pattern: /^\/control\/dispatches$/v, handle: ({response, url}) => {
					sendJson(response, 200, this.#dispatchLog.entriesFrom(Number(url.searchParams.get('from') ?? 0)));
				},
			},
			{
				method: 'GET', pattern: /^\/control\/orders$/v, handle: ({response}) => {
					sendJson(response, 200, this.#orders);
				},
			},
		];
	}

	#intercept(request: IncomingMessage): boolean {
		if (!this.#resetsConnections) {
			return false;
		}

		if (request.method === 'POST') {
			this.#logDispatch(String(request.headers['x-request-id'] ?? ''), 'reset');
		}

		resetConnection(request);
		return true;
	}

	#logDispatch(requestId: string, outcome: DispatchOutcome): void {
		this.#dispatchLog.add({
			requestId, outcome, phase: this.#phase.current, concurrency: this.#batch.running + 1,
		});
	}

	#handleCompletion(exchange: Exchange): void {
		const {request, response} = exchange;
		const parsed = bodySchema.safeParse(parseBody(exchange));
		if (!parsed.success) {
			sendJson(response, 400, {error: {message: z.prettifyError(parsed.error)}});
			return;
		}

		const requestId = String(request.headers['x-request-id'] ?? randomUUID());
		if (!this.#tryAdmit(requestId)) {
			sendJson(response, 500, {error: {message: `${this.settings.name} is cold and has no room`}}, {'x-request-id': requestId});
			return;
		}

		const body: CompletionBody = parsed.data;
		const stream = EngineStream.create(requestId, body, expectedCompletion(requestId, body), countPromptTokens(promptText(body)));
		this.#streams.set(requestId, stream);
		this.#batch.admit(stream);
		const target = {request, response, fault: this.#faults.shift() ?? 'none'} as const;
		if (body.stream) {
			writeEvents(stream, target, 0);
		} else {
			writeDocument(stream, target);
		}
	}

	/** Counts and logs the request. @returns false when the cold engine fails it */
	#tryAdmit(requestId: string): boolean {
		const {units, coldUnits} = this.settings;
		const concurrency = this.#batch.running + 1;
		if (this.#phase.current === 'cold' && concurrency > coldUnits) {
			this.#counts.coldOverloads++;
			this.#logDispatch(requestId, 'overload');
			return false;
		}

		if (concurrency > units) {
			this.#counts.warmOverloads++;
		}

		this.#counts.admitted++;
		this.#counts.highestConcurrency = Math.max(this.#counts.highestConcurrency, concurrency);
		this.#logDispatch(requestId, 'admitted');
		return true;
	}

	#handleResumption({request, response, url, parameters}: Exchange): void {
		const stream = this.#streams.get(decodeURIComponent(parameters.id ?? ''));
		if (!stream || stream.state === 'cancelled') {
			sendJson(response, 404, {error: {message: 'unknown stream'}});
			return;
		}

		const after = Number(url.searchParams.get('after') ?? 0);
		writeEvents(stream, {request, response, fault: this.#faults.shift() ?? 'none'}, after);
	}

	#handleCancellation({response, parameters}: Exchange): void {
		const stream = this.#streams.get(decodeURIComponent(parameters.id ?? ''));
		if (!stream) {
			sendJson(response, 404, {error: {message: 'unknown stream'}});
			return;
		}

		this.#batch.cancel(stream);
		response.writeHead(204).end();
	}

	#handleStreamEnd(stream: EngineStream): void {
		const {usage} = stream;
		this.#counts.promptTokensComputed += usage.promptTokensComputed;
		this.#counts.promptTokensSaved += usage.promptTokensSaved;
		this.#counts.outputTokens += stream.emittedTokens;
		if (stream.state === 'cancelled') {
			this.#counts.cancelled++;
			this.#discardStream(stream);
			return;
		}

		this.#counts.completed++;
		const timer = setTimeout(() => {
			this.#discardStream(stream);
		}, this.settings.retentionMilliseconds);
		timer.unref();
	}

	/** Removes a stream and counts its prefill as wasted if no client received the whole response. */
	#discardStream(stream: EngineStream): void {
		// A second dispatch of the same request id may have replaced the stream in the map.
		if (this.#streams.get(stream.requestId) === stream) {
			this.#streams.delete(stream.requestId);
		}

		if (!stream.isDelivered && !this.#discardedStreams.has(stream)) {
			this.#counts.promptTokensWasted += stream.usage.promptTokensComputed;
		}

		this.#discardedStreams.add(stream);
	}

	#countUndeliveredPromptTokens(): number {
		let sum = 0;
		for (const stream of this.#streams.values()) {
			sum += stream.state === 'complete' && !stream.isDelivered ? stream.usage.promptTokensComputed : 0;
		}

		return sum;
	}

	#handleOrder(exchange: Exchange): void {
		const order = parseBody(exchange);
		const fencingNumber = Number(order.fencingNumber);
		const isStale = fencingNumber < this.#highestFencingNumber;
		const highestFencingNumber = Math.max(this.#highestFencingNumber, fencingNumber);
		this.#highestFencingNumber = highestFencingNumber;
		if (isStale && this.settings.checksFencing) {
			sendJson(exchange.response, 409, {error: {message: 'the fencing number is old'}, highestFencingNumber});
			return;
		}

		this.#orders.push(order);
		sendJson(exchange.response, 202, {highestFencingNumber});
	}

	#sampleLoad(): void {
		const sampledAt = performance.now();
		this.#loadSamples.push({
			sampledAt,
			startId: this.#phase.startId,
			phase: this.#hidesColdStart ? 'warm' : this.#phase.current,
			running: this.#batch.running,
			tokensInUse: this.#batch.tokensInUse,
		});
		while ((this.#loadSamples[1]?.sampledAt ?? Number.POSITIVE_INFINITY) <= sampledAt - this.settings.loadLagMilliseconds) {
			this.#loadSamples.shift();
		}
	}

	#loadReport() {
		const {sampledAt, ...sample} = this.#loadSamples[0]!;
		return {...sample, ageMilliseconds: Math.round(performance.now() - sampledAt)};
	}
}
