/** A small HTTP/1.1 server for the stand-ins, built on node:http because the controls need raw sockets. */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Disposable} from '../src/shared/disposable-store.js';

/** One request with its response. */
export type Exchange = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly url: URL;
	/** The named groups of the route's pattern. */
	readonly parameters: Readonly<Record<string, string>>;
	readonly body: Uint8Array;
};

export type Route = {
	readonly method: string;
	/** Matched against the whole path. */
	readonly pattern: RegExp;
	readonly handle: (exchange: Exchange) => void | Promise<void>;
};

export type StandInServerOptions = {
	readonly routes: readonly Route[];
	/** Default: 127.0.0.1. */
	readonly host?: string;
	/** Default: 0, any free port. */
	readonly port?: number;
	/** Called before a request outside `/control/` is routed; `true` means that it has been handled. */
	readonly intercept?: (request: IncomingMessage, response: ServerResponse) => boolean;
};

// A server that closes idle connections early races with clients that write to them; the client then sees a reset.
const keepAliveTimeoutMs = 120_000;

export async function readBody(request: IncomingMessage): Promise<Uint8Array> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of request) {
		chunks.push(chunk as Uint8Array);
	}

	return Buffer.concat(chunks);
}

/** Parses a JSON body; an empty body is an empty object. */
export function parseBody(exchange: Exchange): Record<string, unknown> {
	const text = Buffer.from(exchange.body).toString('utf8');
	return text === '' ? {} : JSON.parse(text) as Record<string, unknown>;
}

export function sendJson(response: ServerResponse, status: number, value: unknown, headers: Readonly<Record<string, string>> = {}): void {
	response.writeHead(status, {'content-type': 'application/json', ...headers});
	response.end(JSON.stringify(value));
}

/** Closes the connection of a request with a TCP reset. */
export function resetConnection(request: IncomingMessage): void {
	request.socket.resetAndDestroy();
}

/** An HTTP server with a route table. */
export class StandInServer implements Disposable {
	static async listen(options: StandInServerOptions): Promise<StandInServer> {
		const server = new StandInServer(options);
		await new Promise<void>((resolve, reject) => {
			server.#server.once('error', reject);
			server.#server.listen(options.port ?? 0, options.host ?? '127.0.0.1', resolve);
		});
		return server;
	}

	readonly #server: Server;

	private constructor(private readonly options: StandInServerOptions) {
		this.#server = createServer((request, response) => {
			void this.#handleRequest(request, response);
		});
		this.#server.keepAliveTimeout = keepAliveTimeoutMs;
		this.#server.headersTimeout = keepAliveTimeoutMs + 1000;
	}

	/** Host and port. */
	get address(): string {
		const {address, port} = this.#server.address() as AddressInfo;
		return `${address}:${port}`;
	}

	async dispose(): Promise<void> {
		if (!this.#server.listening) {
			return;
		}

		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
			this.#server.closeAllConnections();
		});
	}

	async #handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
		try {
			await this.#routeRequest(request, response);
		} catch (error) {
			this.#respondWithError(response, error);
		}
	}

	async #routeRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const url = new URL(request.url ?? '/', 'http://stand-in');
		if (!url.pathname.startsWith('/control/') && this.options.intercept?.(request, response)) {
			return;
		}

		for (const route of this.options.routes) {
			const match = route.method === request.method ? route.pattern.exec(url.pathname) : null;
			if (match) {
				// eslint-disable-next-line no-await-in-loop
				const body = await readBody(request);
				// eslint-disable-next-line no-await-in-loop
				await route.handle({
					request, response, url, body, parameters: match.groups ?? {},
				});
				return;
			}
		}

		request.resume();
		sendJson(response, 404, {error: {message: `nothing at ${request.method} ${url.pathname}`}});
	}

	#respondWithError(response: ServerResponse, error: unknown): void {
		if (response.headersSent || response.destroyed) {
			response.destroy();
			return;
		}

		const status = error instanceof SyntaxError ? 400 : 500;
		sendJson(response, status, {error: {message: String(error)}});
	}
}
