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

/** Answers GET requests for a few fixed paths, for the balancer and for operators. */
export class MonitoringServer {
	static create(address: SocketAddress, pages: ReadonlyMap<string, () => MonitoringResponse | Promise<MonitoringResponse>>): MonitoringServer {
		return new MonitoringServer(address, pages);
	}

	readonly #server: Server;

	private constructor(private readonly address: SocketAddress, private readonly pages: ReadonlyMap<string, () => MonitoringResponse | Promise<MonitoringResponse>>) {
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
		const page = request.method === 'GET' ? this.pages.get(request.url ?? '') : undefined;
		const {status, contentType = 'text/plain', body = ''}: MonitoringResponse = page === undefined ? {status: 404} : await page();
		response.writeHead(status, {'content-type': contentType, 'content-length': String(new TextEncoder().encode(body).length)});
		response.end(body);
	}
}
