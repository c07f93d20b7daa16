/** Refusals of an endpoint, and copies of them that are sent ahead of the next response on the connection. */
import {STATUS_CODES, type ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

type Refusal = {readonly status: number; readonly headers: Readonly<Record<string, string>>};

function formatRefusal({status, headers}: Refusal): string {
	const lines = Object.entries({...headers, 'content-length': '0'}).map(([name, value]) => `${name}: ${value}\r\n`);
	return `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n${lines.join('')}\r\n`;
}

export class LateCopies {
	static create(): LateCopies {
		return new LateCopies();
	}

	/** Whether copies are sent. Copies that are due when this ends are dropped. */
	isEnabled = false;
	/** Ids of the requests that copies of refusals named, in the order in which the copies were sent. */
	readonly sentRequestIds: string[] = [];
	readonly #lastRefusals = new WeakMap<Socket, Refusal>();

	private constructor() {}

	refuse(response: ServerResponse, status: number, headers: Readonly<Record<string, string>>): void {
		if (this.isEnabled) {
			this.#lastRefusals.set(response.req.socket, {status, headers});
		}

		response.writeHead(status, headers);
		response.end();
	}

	/** Sends the copy that is due on the connection of a request. */
	sendDue(socket: Socket): void {
		const refusal = this.#lastRefusals.get(socket);
		this.#lastRefusals.delete(socket);
		if (refusal !== undefined && this.isEnabled && !socket.destroyed) {
			this.sentRequestIds.push(refusal.headers['x-request-id']!);
			socket.write(formatRefusal(refusal));
		}
	}
}
