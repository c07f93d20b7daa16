/** A local HTTP server that stands for a platform service and responds as a test specifies. */
import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';

export type Responder = (request: IncomingMessage, response: ServerResponse) => void;

export class ScriptedServer {
	static async start(responder: Responder): Promise<ScriptedServer> {
		const scripted = new ScriptedServer(responder);
		scripted.#server.listen(0, '127.0.0.1');
		await once(scripted.#server, 'listening');
		return scripted;
	}

	readonly requests: string[] = [];
	readonly #server: Server;

	private constructor(responder: Responder) {
		this.#server = createServer((request, response) => {
			this.requests.push(request.url ?? '');
			responder(request, response);
		});
	}

	get url(): string {
		return `http://127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	stop(): void {
		this.#server.closeAllConnections();
		this.#server.close();
	}
}

/** Creates a responder that sends a JSON body. */
export function jsonResponder(value: unknown, status = 200): Responder {
	return (_request, response) => {
		response.writeHead(status, {'content-type': 'application/json'});
		response.end(typeof value === 'string' ? value : JSON.stringify(value));
	};
}
