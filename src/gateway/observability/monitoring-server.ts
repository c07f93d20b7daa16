import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {SocketAddress} from '../../shared/address.js';
import {describeError} from '../../shared/describe-error.js';
import {listen} from '../../shared/listen.js';
import type {EventLog} from './event-log.js';

export type MonitoringResponse = {
	readonly status: number;
	readonly contentType?: string;
	readonly body?: string;
};

export type MonitoringHandler = () => MonitoringResponse | Promise<MonitoringResponse>;

type MonitoringHandlers = ReadonlyMap<string, MonitoringHandler>;

/** Serves GET requests for a fixed set of paths: readiness for the load balancer and metrics for operators. */
export class MonitoringServer {
	static create(address: SocketAddress, log: EventLog, handlers: MonitoringHandlers): MonitoringServer {
		return new MonitoringServer(address, log, handlers);
	}

	readonly #server: Server;

	private constructor(private readonly address: SocketAddress, private readonly log: EventLog, private readonly handlers: MonitoringHandlers) {
		this.#server = createServer((request, response) => {
			void this.#respond(request, response);
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
		const handler = request.method === 'GET' ? this.handlers.get(request.url ?? '') : undefined;
		const {status, contentType = 'text/plain', body = ''} = await this.#call(handler);
		response.writeHead(status, {'content-type': contentType, 'content-length': String(new TextEncoder().encode(body).length)});
		response.end(body);
	}

	async #call(handler: MonitoringHandler | undefined): Promise<MonitoringResponse> {
		if (handler === undefined) {
			return {status: 404};
		}

		try {
			return await handler();
		} catch (error) {
			this.log.event('monitoring-failed', {reason: describeError(error)});
			return {status: 500};
		}
	}
}
