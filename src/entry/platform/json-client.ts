/** Reads JSON over HTTP with limits on time and size, and validates it. */
import {
	Agent, errors, request, type Dispatcher,
} from 'undici';
import type {z} from 'zod';
import type {Milliseconds} from '../../shared/clock.js';
import {describeError} from '../../shared/describe-error.js';
import {PlatformError, platformErrorTypes} from './platform-error.js';

export type JsonClientOptions = {
	readonly baseUrl: string;
	/** Timeout of connecting. Default: 1,000 ms. */
	readonly connectTimeoutMs?: Milliseconds;
	/** Maximum size of a response body. Default: 4 MiB. */
	readonly maximumBodyBytes?: number;
};

export type JsonRequest<Value> = {
	readonly path: string;
	readonly query?: Readonly<Record<string, string | number>>;
	readonly schema: z.ZodType<Value>;
	/** Timeout from the request to the last byte of the body. */
	readonly timeoutMs: Milliseconds;
	readonly signal: AbortSignal;
};

const noContent = 204;
const notModified = 304;

export class JsonClient {
	static create(options: JsonClientOptions): JsonClient {
		return new JsonClient(options);
	}

	readonly #agent: Agent;

	private constructor(private readonly options: JsonClientOptions) {
		this.#agent = new Agent({
			connect: {timeout: options.connectTimeoutMs ?? 1000},
			// `timeoutMs` of each request covers headers and body.
			headersTimeout: 0,
			bodyTimeout: 0,
			maxResponseSize: options.maximumBodyBytes ?? 4 * 1024 * 1024,
		});
	}

	/**
	@returns undefined when the status is 204 or 304
	@throws {PlatformError}
	*/
	async get<Value>(options: JsonRequest<Value>): Promise<Value | undefined> {
		const timeoutSignal = AbortSignal.timeout(options.timeoutMs);
		const signal = AbortSignal.any([options.signal, timeoutSignal]);
		try {
			const response = await request(new URL(options.path, this.options.baseUrl), {
				dispatcher: this.#agent, query: options.query, signal, headers: {accept: 'application/json'},
			});
			const text = await response.body.text();
			return this.#parseResponse(response, text, options);
		} catch (error) {
			throw this.#toPlatformError(error, options, timeoutSignal);
		}
	}

	async dispose(): Promise<void> {
		await this.#agent.destroy();
	}

	#parseResponse<Value>({statusCode}: Dispatcher.ResponseData, text: string, {schema, path}: JsonRequest<Value>): Value | undefined {
		if (statusCode === noContent || statusCode === notModified) {
			return undefined;
		}

		if (statusCode !== 200) {
			throw PlatformError.create(platformErrorTypes.status, `${path} answered ${statusCode}`);
		}

		const result = schema.safeParse(parseJson(text, path));
		if (!result.success) {
			const [issue] = result.error.issues;
			throw PlatformError.create(platformErrorTypes.malformed, `${path}: ${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`, result.error);
		}

		return result.data;
	}

	#toPlatformError<Value>(error: unknown, {path, signal}: JsonRequest<Value>, timeoutSignal: AbortSignal): PlatformError {
		if (error instanceof PlatformError) {
			return error;
		}

		if (signal.aborted) {
			return PlatformError.create(platformErrorTypes.aborted, path, error);
		}

		if (timeoutSignal.aborted || error instanceof errors.ConnectTimeoutError) {
			return PlatformError.create(platformErrorTypes.timeout, `${path} did not respond in time`, error);
		}

		if (error instanceof errors.ResponseExceededMaxSizeError) {
			return PlatformError.create(platformErrorTypes.malformed, `${path}: the body is too large`, error);
		}

		return PlatformError.create(platformErrorTypes.unreachable, `${path}: ${describeError(error)}`, error);
	}
}

function parseJson(text: string, path: string): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch (error) {
		throw PlatformError.create(platformErrorTypes.malformed, `${path}: the body is not JSON`, error);
	}
}
