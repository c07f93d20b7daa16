import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {SocketAddress} from '../../shared/address.js';
import {listen} from '../../shared/listen.js';

export type PageResponse = {
	readonly status: number;
	readonly contentType?: string;
	readonly body?: string;
};

/** Answers GET requests for a few fixed paths, for the balancer and for operators. */
export class PageServer {
	static create(address: SocketAddress, pages: ReadonlyMap<string, () => PageResponse | Promise<PageResponse>>): PageServer {
		return new PageServer(address, pages);
	}

	readonly #server: Server;

	private constructor(private readonly address: SocketAddress, private readonly pages: ReadonlyMap<string, () => PageResponse | Promise<PageResponse>>) {
		this.#server = createServer((request, response) => {
			void this.#answer(request, response);
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

	async #answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const page = request.method === 'GET' ? this.pages.get(request.url ?? '') : undefined;
		const {status, contentType = 'text/plain', body = ''}: PageResponse = page === undefined ? {status: 404} : await page();
		response.writeHead(status, {'content-type': contentType, 'content-length': String(new TextEncoder().encode(body).length)});
		response.end(body);
	}
}
