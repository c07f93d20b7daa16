import {createServer, type Server} from 'node:http';
import {
	H3, toNodeHandler, type H3Event, type HTTPError,
} from 'h3/node';
import {splitAddress} from '../../shared/address.js';
import {listen} from '../../shared/listen.js';
import type {AuditReport} from '../../shared/audit.js';
import type {Clock} from '../../shared/clock.js';
import {
	FailureError, createFailure, failureDefinitions, toProblemDocument, type Failure,
} from '../../shared/failure.js';
import type {StatusReport} from '../../shared/status.js';
import type {EntrySettings} from '../settings.js';
import type {AuditTrail} from './audit-trail.js';
import type {Metrics} from './metrics.js';

/** Whether the load balancer should send requests here. */
export type Readiness = {
	readonly ready: boolean;
	/** Reason for not being ready; shown to operators. */
	readonly reason?: string;
};

export type OperatorServerOptions = {
	readonly settings: Pick<EntrySettings, 'slot' | 'listen'>;
	readonly clock: Clock;
	readonly metrics: Metrics;
	readonly audit: AuditTrail;
	readonly status: () => StatusReport;
	readonly readiness: () => Readiness;
	/** Called before each scrape of the metrics. */
	readonly updateGauges?: () => void;
	/** Called with internal errors, for example to log them. */
	readonly onError?: (error: unknown) => void;
};

const paths = {
	liveness: '/livez',
	readiness: '/readyz',
	metrics: '/metrics',
	status: '/v1/status',
	audit: '/v1/audit',
} as const;

const knownPaths: ReadonlySet<string> = new Set(Object.values(paths));

/** HTTP interface for operators and the platform: `/livez`, `/readyz`, `/metrics`, `/v1/status` and `/v1/audit`. */
export class OperatorServer {
	static create(options: OperatorServerOptions): OperatorServer {
		return new OperatorServer(options);
	}

	readonly #server: Server;
	readonly #createdAt: number;

	private constructor(private readonly options: OperatorServerOptions) {
		this.#createdAt = options.clock.now();
		const handle = toNodeHandler(this.#routes());
		this.#server = createServer((request, response) => {
			void handle(request, response);
		});
	}

	/** The address that the server is bound to; it differs from the settings if these have port 0. */
	get address(): string {
		const address = this.#server.address();
		return typeof address === 'object' && address !== null ? `${address.address}:${address.port}` : this.options.settings.listen.operators;
	}

	/** @throws {Error} when the address can't be bound */
	async listen(): Promise<void> {
		await listen(this.#server, splitAddress(this.options.settings.listen.operators));
	}

	async dispose(): Promise<void> {
		if (!this.#server.listening) {
			return;
		}

		return new Promise(resolve => {
			this.#server.close(() => {
				resolve();
			});
			this.#server.closeAllConnections();
		});
	}

	#routes(): H3 {
		const {metrics, status} = this.options;
		return new H3({silent: true, onError: (error, event) => this.#problemResponse(error, event)})
			.get(paths.liveness, () => ({alive: true, upMilliseconds: Math.round(this.options.clock.now() - this.#createdAt)}))
			.get(paths.readiness, event => {
				const readiness = this.options.readiness();
				event.res.status = readiness.ready ? 200 : 503;
				return {ready: readiness.ready, reason: readiness.reason};
			})
			.get(paths.metrics, async event => {
				this.options.updateGauges?.();
				event.res.headers.set('content-type', metrics.contentType);
				return metrics.text();
			})
			.get(paths.status, () => status())
			.get(paths.audit, event => this.#auditReport(event.url.searchParams.get('after') ?? undefined));
	}

	#problemResponse(error: HTTPError, event: H3Event): Response {
		const failure = toFailure(error, event);
		if (failure.type === 'internal-error') {
			this.options.onError?.(error.cause ?? error);
		}

		return Response.json(toProblemDocument(failure), {
			status: failureDefinitions[failure.type].status,
			headers: {'content-type': 'application/problem+json'},
		});
	}

	#auditReport(after?: string): AuditReport {
		const {audit, settings, status} = this.options;
		return {
			slot: settings.slot,
			incarnation: status().incarnation,
			entries: audit.entries({after: parseSequence(after)}),
			oldestSequence: audit.oldestSequence,
			next: audit.lastSequence,
		};
	}
}

function toFailure(error: HTTPError, event: H3Event): Failure {
	if (error.cause instanceof FailureError) {
		return error.cause.failure;
	}

	const path = event.url.pathname;
	if (error.status === 404) {
		return knownPaths.has(path)
			? createFailure('method-not-allowed', `${path} is read with GET`)
			: createFailure('unknown-path', `the operator interface has no path ${path}`);
	}

	return error.status < 500 ? createFailure('malformed-request', error.message) : createFailure('internal-error', `${path} could not be answered`);
}

function parseSequence(text?: string): number {
	if (text === undefined) {
		return 0;
	}

	if (!/^\d{1,15}$/v.test(text)) {
		throw FailureError.create('malformed-request', 'the parameter after must be a whole number, 0 or more');
	}

	return Number(text);
}
