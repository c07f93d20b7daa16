import type {ServerResponse} from 'node:http';
import type {MemoryAccount} from '../../shared/memory-budget.js';
import type {CallerResponse} from '../forwarding/types.js';
import {gatewayFailures, type GatewayFailure} from './failures.js';

/** Maximum bytes that are buffered for a caller that does not read; beyond it the connection is closed. The longest streams have about 40,000 bytes. */
const maximumPendingBytes = 1_048_576;

/** Memory that each write takes beside its bytes until the caller reads, in bytes. */
const writeOverheadBytes = 256;

export type HttpResponseOptions = {
	/** Counts what the caller has not read. */
	readonly memory: MemoryAccount;
	/** Whether the response must be the last one on its connection. */
	readonly mustClose: () => boolean;
	/** Called before the head of a response that is the last one on its connection is written. */
	readonly announceClose: () => void;
	/** Called when the last byte has been written. */
	readonly onWritten: () => void;
};

/** The HTTP response to a caller. */
export class HttpResponse implements CallerResponse {
	static create(response: ServerResponse, options: HttpResponseOptions): HttpResponse {
		return new HttpResponse(response, options);
	}

	/** Whether the end of the connection ends the response. */
	#endsWithConnection = false;
	/** Writes since the caller had read everything. */
	#pendingWrites = 0;

	private constructor(private readonly response: ServerResponse, private readonly options: HttpResponseOptions) {}

	writeHead(status: number, headers: Record<string, string | string[]>): void {
		this.#closeIfRequired();
		// HTTP/1.0 has no chunks.
		this.#endsWithConnection = !this.response.useChunkedEncodingByDefault && headers['content-length'] === undefined;
		if (this.#endsWithConnection) {
			this.options.announceClose();
		}

		this.response.writeHead(status, headers);
	}

	write(chunk: Uint8Array): void {
		this.#pendingWrites = this.response.writableLength === 0 ? 1 : this.#pendingWrites + 1;
		this.response.write(chunk);
		const pendingBytes = this.response.writableLength + (this.#pendingWrites * writeOverheadBytes);
		if (pendingBytes > maximumPendingBytes || !this.#tryReserve(pendingBytes)) {
			this.destroy();
		}
	}

	end(chunk?: Uint8Array): void {
		if (chunk !== undefined && !this.#tryReserve(this.response.writableLength + chunk.byteLength)) {
			this.destroy();
			return;
		}

		this.response.end(chunk);
		this.options.onWritten();
	}

	destroy(): void {
		if (this.#endsWithConnection) {
			// Only a reset shows that it is incomplete.
			this.response.socket?.resetAndDestroy();
		}

		this.response.destroy();
	}

	fail({type, retryAfterMs}: GatewayFailure): void {
		if (this.response.headersSent) {
			this.destroy();
			return;
		}

		this.#closeIfRequired();
		const {status, title} = gatewayFailures[type];
		const headers: Record<string, string> = {'content-type': 'application/problem+json'};
		if (retryAfterMs !== undefined) {
			headers['retry-after'] = (retryAfterMs / 1000).toFixed(3);
		}

		const body = JSON.stringify({type: `urn:jackdawfork:${type}`, title, status});
		headers['content-length'] = String(body.length);
		this.response.writeHead(status, headers);
		this.response.end(body);
		this.options.onWritten();
	}

	#tryReserve(bytes: number): boolean {
		try {
			this.options.memory.setReserved(bytes);
			return true;
		} catch {
			return false;
		}
	}

	#closeIfRequired(): void {
		if (this.options.mustClose()) {
			this.options.announceClose();
		}
	}
}
