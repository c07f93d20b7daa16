import {createServer, type Server} from 'node:http';
import type {SocketAddress} from '../settings.js';

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

	private constructor(private readonly address: SocketAddress, pages: ReadonlyMap<string, () => PageResponse | Promise<PageResponse>>) {
		this.#server = createServer(async (request, response) => {
			const page = request.method === 'GET' ? pages.get(request.url ?? '') : undefined;
			const {status, contentType, body = ''}: PageResponse = page === undefined ? {status: 404} : await page();
			response.writeHead(status, {'content-type': contentType ?? 'text/plain', 'content-length': String(new TextEncoder().encode(body).length)});
			response.end(body);
		});
	}

	/** @throws {Error} when the address can't be bound */
	async start(): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(this.address.port, this.address.host, resolve);
		});
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
}
