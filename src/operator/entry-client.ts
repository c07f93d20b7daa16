import {Agent, request} from 'undici';
import type {z} from 'zod';
import {auditReportSchema, type AuditReport} from '../shared/audit.js';
import {statusReportSchema, type StatusReport} from '../shared/status.js';

/** Why a request to an entry failed. */
export const entryFailureTypes = {
	unreachable: 'unreachable',
	timeout: 'timeout',
	errorStatus: 'error-status',
	malformedResponse: 'malformed-response',
} as const;

export type EntryFailure = {
	readonly kind: 'failure';
	/** Host and port. */
	readonly address: string;
	readonly type: (typeof entryFailureTypes)[keyof typeof entryFailureTypes];
	readonly detail: string;
};

export type EntryResult<Content> = {
	readonly kind: 'answer';
	/** Host and port. */
	readonly address: string;
	readonly content: Content;
} | EntryFailure;

export type EntryClientOptions = {
	/** Timeout of one request. Default: 2,000 ms. */
	readonly timeoutMs?: number;
};

const defaultTimeoutMs = 2000;

/** A report at the target size, with 850 endpoints and 400 peers, has a few hundred kilobytes. */
const maximumResponseBytes = 16 * 1024 * 1024;

/** Reads the operator interface of entry instances. A failed request is returned as a result instead of thrown. */
export class EntryClient {
	static create(options: EntryClientOptions = {}): EntryClient {
		return new EntryClient(options.timeoutMs ?? defaultTimeoutMs);
	}

	readonly #agent: Agent;

	private constructor(private readonly timeoutMs: number) {
		this.#agent = new Agent({maxResponseSize: maximumResponseBytes});
	}

	/** @param address host and port */
	async readStatus(address: string): Promise<EntryResult<StatusReport>> {
		return this.#readReport(address, '/v1/status', statusReportSchema);
	}

	/** @param address host and port */
	async readAudit(address: string): Promise<EntryResult<AuditReport>> {
		return this.#readReport(address, '/v1/audit', auditReportSchema);
	}

	async dispose(): Promise<void> {
		await this.#agent.destroy();
	}

	async #readReport<Content>(address: string, path: string, schema: z.ZodType<Content>): Promise<EntryResult<Content>> {
		try {
			const response = await request(`http://${address}${path}`, {dispatcher: this.#agent, signal: AbortSignal.timeout(this.timeoutMs)});
			const text = await response.body.text();
			return response.statusCode === 200
				? parseResponse(address, path, text, schema)
				: {
					kind: 'failure', address, type: entryFailureTypes.errorStatus, detail: `${path} answered with status ${response.statusCode}`,
				};
		} catch (error) {
			return toFailure(address, error, this.timeoutMs);
		}
	}
}

function parseResponse<Content>(address: string, path: string, text: string, schema: z.ZodType<Content>): EntryResult<Content> {
	const createMalformedFailure = (detail: string): EntryFailure => ({
		kind: 'failure', address, type: entryFailureTypes.malformedResponse, detail: `${path}: ${detail}`,
	});
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch {
		return createMalformedFailure('the answer is not JSON');
	}

	const result = schema.safeParse(value);
	return result.success
		? {kind: 'answer', address, content: result.data}
		: createMalformedFailure(result.error.issues.slice(0, 3).map(issue => `${issue.path.join('.')}: ${issue.message}`).join('; '));
}

function toFailure(address: string, error: unknown, timeoutMs: number): EntryFailure {
	const {name, message, code} = error as NodeJS.ErrnoException;
	return name === 'TimeoutError'
		? {
			kind: 'failure', address, type: entryFailureTypes.timeout, detail: `no answer within ${timeoutMs} ms`,
		}
		: {
			kind: 'failure', address, type: entryFailureTypes.unreachable, detail: code ?? message,
		};
}
