import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {SocketAddress} from '../../shared/address.js';
import {listen} from '../../shared/listen.js';

export type MonitoringResponse = {
	readonly status: number;
	readonly contentType?: string;
	readonly body?: string;
};

/** Serves GET requests for a fixed set of paths: readiness for the load balancer and metrics for operators. */
export class MonitoringServer {
	static create(address: SocketAddress, handlers: ReadonlyMap<string, () => MonitoringResponse | Promise<MonitoringResponse>>): MonitoringServer {
		return new MonitoringServer(address, handlers);
	}

	readonly #server: Server;

	private constructor(private readonly address: SocketAddress, private readonly handlers: ReadonlyMap<string, () => MonitoringResponse | Promise<MonitoringResponse>>) {
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
		const {status, contentType = 'text/plain', body = ''}: MonitoringResponse = handler === undefined ? {status: 404} : await handler();
		response.writeHead(status, {'content-type': contentType, 'content-length': String(new TextEncoder().encode(body).length)});
		response.end(body);
	}
}
