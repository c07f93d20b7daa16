import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import type {SocketAddress} from '../../shared/address.js';
import {describeError} from '../../shared/describe-error.js';
import {listen} from '../../shared/listen.js';
import {MemoryBudget, type MemoryAccount} from '../../shared/memory-budget.js';
import {RequestInput, type ConnectionInput, type RequestInputLimits} from '../../shared/request-input.js';
import {resetConnection} from '../../shared/reset-connection.js';
import type {EventLog} from './event-log.js';

export type MonitoringResponse = {
	readonly status: number;
	readonly contentType?: string;
	readonly body?: string;
};

export type MonitoringHandler = (parameters: URLSearchParams) => MonitoringResponse | Promise<MonitoringResponse>;

/** Longest path with its query. Longer ones get 414. */
const maximumUrlLength = 2048;

/** Most parameters of a query. */
const maximumParameters = 16;

/** Load balancers and collectors of metrics wait for a response before their next request. */
const inputLimits: RequestInputLimits = {
	openRequests: 8, writtenResponses: 2, pipelinedRequests: 64, pipelinedBytes: 1_048_576, heldBytes: 1_048_576,
};

/** Connections to a port. When there are more, the one that has been idle for longest is closed. */
const maximumConnections = 64;

/** What the responses that callers have not taken may hold, in bytes. Metrics have some 10,000. */
const maximumResponseBytes = 1_048_576;

type Connection = {
	readonly input: ConnectionInput;
	/** Those of the open requests. */
	readonly accounts: Set<MemoryAccount>;
};

type MonitoringHandlers = ReadonlyMap<string, MonitoringHandler>;

/** Serves GET requests for a fixed set of paths: readiness for the load balancer, metrics and questions of operators. */
export class MonitoringServer {
	/** @param queryPaths the paths that take a query */
	static create(address: SocketAddress, log: EventLog, handlers: MonitoringHandlers, queryPaths: ReadonlySet<string> = new Set()): MonitoringServer {
		return new MonitoringServer(address, log, handlers, queryPaths);
	}

	readonly #server: Server;
	readonly #input = RequestInput.create(inputLimits);
	/** Those without a request for longest first. */
	readonly #connections = new Map<Socket, Connection>();
	readonly #responseMemory = MemoryBudget.create(maximumResponseBytes);

	private constructor(private readonly address: SocketAddress, private readonly log: EventLog, private readonly handlers: MonitoringHandlers, private readonly queryPaths: ReadonlySet<string>) {
		this.#server = createServer((request, response) => {
			void this.#respond(request, response);
		});
		this.#server.on('connection', (socket: Socket) => {
			const accounts = new Set<MemoryAccount>();
			const input = this.#input.add(socket, {
				onHeadTooLong: () => {
					this.#reset(socket, 'head too long');
				},
				onExceeded: () => {
					this.#reportReset('too much sent ahead');
				},
			});
			this.#connections.set(socket, {input, accounts});
			this.#closeIdlest();
			// The response to a request that waits for the one before it has no connection yet, so it does not close.
			socket.once('close', () => {
				this.#connections.delete(socket);
				for (const account of accounts) {
					account.close();
				}
			});
		});
	}

	/** @throws {Error} when the address can't be bound */
	async start(): Promise<void> {
		await listen(this.#server, this.address);
	}

	async dispose(): Promise<void> {
		const closed = new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
		this.#server.closeAllConnections();
		await closed;
	}

	async #respond(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const {socket} = request;
		const connection = this.#connections.get(socket);
		if (connection === undefined) {
			return;
		}

		const {input, accounts} = connection;
		this.#connections.delete(socket);
		this.#connections.set(socket, connection);
		const memory = this.#responseMemory.openAccount(() => {
			this.#reset(socket);
		});
		accounts.add(memory);
		input.begin(response);
		const hasBody = request.headers['transfer-encoding'] !== undefined || Number(request.headers['content-length'] ?? 0) > 0;
		request.rawHeaders = [];
		request.headers = {};
		if (hasBody) {
			response.setHeader('connection', 'close');
			input.discard();
		}

		response.on('close', () => {
			accounts.delete(memory);
			memory.close();
			input.end(response);
		});
		const {status, contentType = 'text/plain', body = ''} = await this.#handle(request);
		const bytes = new TextEncoder().encode(body);
		try {
			memory.reserve(bytes.byteLength);
		} catch {
			this.#reset(socket);
			return;
		}

		response.writeHead(status, {'content-type': contentType, 'content-length': String(bytes.byteLength)});
		response.end(bytes);
		input.recordWritten(response);
	}

	/** Connections whose requests have been answered go first. */
	#closeIdlest(): void {
		const open = [...this.#connections].filter(([socket]) => !socket.destroyed);
		if (open.length > maximumConnections) {
			const [idlest] = open.find(([, {accounts}]) => accounts.size === 0) ?? open[0]!;
			this.#reportReset('too many connections');
			resetConnection(idlest);
		}
	}

	#reset(socket: Socket, reason = 'responses not taken'): void {
		if (!socket.destroyed) {
			this.#reportReset(reason);
			resetConnection(socket);
		}
	}

	#reportReset(reason: string): void {
		this.log.event('monitoring-connection-reset', {reason});
	}

	async #handle({method, url = ''}: IncomingMessage): Promise<MonitoringResponse> {
		if (url.length > maximumUrlLength) {
			return {status: 414};
		}

		const queryStart = url.indexOf('?');
		const path = queryStart === -1 ? url : url.slice(0, queryStart);
		const handler = method === 'GET' && (queryStart === -1 || this.queryPaths.has(path)) ? this.handlers.get(path) : undefined;
		if (handler === undefined) {
			return {status: 404};
		}

		const parameters = new URLSearchParams(queryStart === -1 ? '' : url.slice(queryStart + 1));
		return parameters.size > maximumParameters ? {status: 400} : this.#call(handler, parameters);
	}

	async #call(handler: MonitoringHandler, parameters: URLSearchParams): Promise<MonitoringResponse> {
		try {
			return await handler(parameters);
		} catch (error) {
			this.log.event('monitoring-failed', {reason: describeError(error)});
			return {status: 500};
		}
	}
}
