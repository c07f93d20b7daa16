/** Stand-in of a plain service, for example a diary or an order desk. */
import {setTimeout as delay} from 'node:timers/promises';
import type {IncomingMessage} from 'node:http';
import {z} from 'zod';
import type {Disposable} from '../src/shared/disposable-store.js';
import {DispatchLog, type DispatchOutcome} from './dispatch-log.js';
import {EndpointPhase, type Phase} from './endpoint-phase.js';
import {
	parseBody, resetConnection, sendJson, StandInServer, type Exchange, type Route,
} from './stand-in-server.js';

export const plainServiceSettingsSchema = z.strictObject({
	name: z.string().min(1),
	host: z.string().default('127.0.0.1'),
	/** 0: any free port. */
	port: z.number().int().nonnegative().default(0),
	/** Path segment of the collection. */
	collection: z.string().regex(/^[a-z]+$/v).default('bookings'),
	serviceMilliseconds: z.number().nonnegative().default(20),
	/** Concurrent calls that the warm service sustains; calls above take longer. */
	units: z.number().int().positive().default(16),
	/** Concurrent calls that the cold service sustains; it fails calls above them. */
	coldUnits: z.number().int().positive().default(4),
	coldMilliseconds: z.number().nonnegative().default(0),
});

export type PlainServiceSettings = z.infer<typeof plainServiceSettingsSchema>;
export type PlainServiceOptions = z.input<typeof plainServiceSettingsSchema>;

/** An entry of the collection, as returned to the client. */
export type StoredItem = {
	readonly id: string;
	/** The request that created it, so that a client can check that it received its own response. */
	readonly requestId: string;
	readonly content: unknown;
};

export type PlainServiceCounters = {
	readonly name: string;
	readonly running: number;
	readonly phase: Phase;
	/** Calls that created an item. */
	readonly created: number;
	readonly read: number;
	readonly coldOverloads: number;
	readonly warmOverloads: number;
	readonly highestConcurrency: number;
};

export class PlainService implements Disposable {
	static async start(options: PlainServiceOptions): Promise<PlainService> {
		const service = new PlainService(plainServiceSettingsSchema.parse(options));
		const {host, port} = service.settings;
		service.#server = await StandInServer.listen({
			host, port, routes: service.#routes(), intercept: request => service.#intercept(request),
		});
		return service;
	}

	readonly #phase: EndpointPhase;
	readonly #dispatchLog = DispatchLog.create();
	readonly #items = new Map<string, StoredItem>();
	readonly #counts = {
		created: 0, read: 0, coldOverloads: 0, warmOverloads: 0, highestConcurrency: 0,
	};

	#server!: StandInServer;
	#running = 0;
	#slowdown = 1;
	#resetsConnections = false;

	private constructor(readonly settings: PlainServiceSettings) {
		this.#phase = EndpointPhase.create(settings.coldMilliseconds);
	}

	/** Host and port. */
	get address(): string {
		return this.#server.address;
	}

	get counters(): PlainServiceCounters {
		return {
			name: this.settings.name, running: this.#running, phase: this.#phase.current, ...this.#counts,
		};
	}

	/** Calls that create an item, with their request ids. */
	get dispatches() {
		return this.#dispatchLog.entriesFrom(0);
	}

	async dispose(): Promise<void> {
		await this.#server.dispose();
	}

	turnCold(options: {readonly milliseconds: number}): void {
		this.#phase.turnCold(options.milliseconds);
	}

	turnWarm(): void {
		this.#phase.turnWarm();
	}

	setSlowdown(factor: number): void {
		this.#slowdown = factor;
	}

	resetConnections(isOn: boolean): void {
		this.#resetsConnections = isOn;
	}

	#routes(): Route[] {
		const {collection} = this.settings;
		const control = (action: string, run: (body: Record<string, unknown>) => void): Route => ({
			method: 'POST',
			pattern: new RegExp(`^/control/${action}$`, 'v'),
			handle(exchange) {
				run(parseBody(exchange));
				sendJson(exchange.response, 200, {});
			},
		});
		return [
			{method: 'POST', pattern: new RegExp(`^/${collection}$`, 'v'), handle: async exchange => this.#handleCreate(exchange)},
			{method: 'GET', pattern: new RegExp(String.raw`^/${collection}/(?<id>[^\/]+)$`, 'v'), handle: async exchange => this.#handleRead(exchange)},
			control('cold', body => {
				this.turnCold({milliseconds: Number(body.milliseconds)});
			}),
			control('warm', () => {
				this.turnWarm();
			}),
			control('slow', body => {
				this.setSlowdown(Number(body.factor));
			}),
			control('reset', body => {
				this.resetConnections(Boolean(body.isOn));
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
			requestId, outcome, phase: this.#phase.current, concurrency: this.#running + 1,
		});
	}

	async #handleCreate(exchange: Exchange): Promise<void> {
		const {request, response} = exchange;
		const requestId = String(request.headers['x-request-id'] ?? '');
		const content: unknown = parseBody(exchange);
		if (this.#countColdOverload()) {
			this.#logDispatch(requestId, 'overload');
			sendJson(response, 500, {error: {message: `${this.settings.name} is cold and has no room`}});
			return;
		}

		this.#logDispatch(requestId, 'admitted');
		this.#counts.created++;
		const item = {id: `${this.settings.name}-${this.#counts.created}`, requestId, content};
		this.#items.set(item.id, item);
		await this.#simulateWork();
		sendJson(response, 201, item, {'x-request-id': requestId});
	}

	async #handleRead({response, parameters}: Exchange): Promise<void> {
		if (this.#countColdOverload()) {
			sendJson(response, 500, {error: {message: `${this.settings.name} is cold and has no room`}});
			return;
		}

		this.#counts.read++;
		await this.#simulateWork();
		const item = this.#items.get(decodeURIComponent(parameters.id ?? ''));
		sendJson(response, item ? 200 : 404, item ?? {error: {message: 'unknown id'}});
	}

	/** Counts the call as a cold overload if the service is cold and at its limit. @returns whether it is */
	#countColdOverload(): boolean {
		const isOverload = this.#phase.current === 'cold' && this.#running >= this.settings.coldUnits;
		if (isOverload) {
			this.#counts.coldOverloads++;
		}

		return isOverload;
	}

	/** Waits for the service time, which grows in proportion to the load above the units. */
	async #simulateWork(): Promise<void> {
		this.#running++;
		this.#counts.highestConcurrency = Math.max(this.#counts.highestConcurrency, this.#running);
		if (this.#running > this.settings.units) {
			this.#counts.warmOverloads++;
		}

		const overload = Math.max(1, this.#running / this.settings.units);
		await delay(this.settings.serviceMilliseconds * this.#slowdown * overload);
		this.#running--;
	}
}
