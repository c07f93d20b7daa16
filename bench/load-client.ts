/** Sends a planned request as a caller does, checks the response and records the outcome. */
import {Agent, request, type Dispatcher} from 'undici';
import type {Disposable} from '../src/shared/disposable-store.js';
import {
	createEntryRequest, createRecord, attemptFromError, attemptFromProblem, noOutput, readResponse, type Attempt, type Problem,
} from './attempts.js';
import type {PlannedRequest} from './load-plan.js';
import {results, type RequestRecord} from './records.js';

export type LoadClientOptions = {
	/** Base URLs of the entries that a load balancer would currently use. */
	readonly targets: () => readonly string[];
	/** Time limit of one attempt. Default: 60,000. */
	readonly timeoutMs?: number;
	/** Maximum number of attempts at other entries when one is unreachable or not ready. Default: 2. */
	readonly maximumOtherEntries?: number;
};

type EntryCall = {
	readonly url: string;
	readonly body: unknown;
	readonly headers: Readonly<Record<string, string>>;
};

/** Refusals after which a load balancer tries another entry. */
const retriedFailures = new Set(['not-ready', 'shutting-down']);

export class LoadClient implements Disposable {
	static create(options: LoadClientOptions): LoadClient {
		return new LoadClient(options);
	}

	// Callers have one connection for each request in flight, and close idle ones before the server does.
	readonly #agent = new Agent({connections: null, pipelining: 1, keepAliveTimeout: 2000});

	private constructor(private readonly options: LoadClientOptions) {}

	/**
	Sends a request, and its retry if one is planned. Never rejects.

	@param startedAt monotonic time at which the load started
	@returns a record for each time that the request was sent, which is two for a retried request
	*/
	async send(planned: PlannedRequest, startedAt: number): Promise<RequestRecord[]> {
		const targets = this.#targetsFor(planned);
		const key = planned.isKeyed ? await this.#issueKey(planned, targets) : undefined;
		if (key && 'result' in key) {
			return [createRecord(planned, startedAt, key, [])];
		}

		const orders = planned.isRetried ? [targets, targets.toReversed()] : [targets];
		return Promise.all(orders.map(async order => this.#sendFromOneCaller(planned, startedAt, order, key?.requestId)));
	}

	async dispose(): Promise<void> {
		await this.#agent.destroy();
	}

	/** Ready entries, starting with the planned one. */
	#targetsFor({entryPosition}: PlannedRequest): string[] {
		const targets = this.options.targets();
		const first = Math.floor(entryPosition * targets.length);
		return [...targets.slice(first), ...targets.slice(0, first)];
	}

	async #sendFromOneCaller(planned: PlannedRequest, startedAt: number, targets: readonly string[], key: string | undefined): Promise<RequestRecord> {
		const {maximumOtherEntries = 2} = this.options;
		const refusedIds: string[] = [];
		let attempt: Attempt = {...noOutput, result: results.refused, failureType: 'no-entry'};
		for (const target of targets.slice(0, 1 + maximumOtherEntries)) {
			// Another entry is tried only after the one before it has refused.
			// eslint-disable-next-line no-await-in-loop
			attempt = {...await this.#attempt(planned, target, key), target};
			if (attempt.result === results.refused && attempt.requestId !== undefined) {
				refusedIds.push(attempt.requestId);
			}

			if (!attempt.isUnreachable && !retriedFailures.has(attempt.failureType ?? '')) {
				break;
			}
		}

		return createRecord(planned, startedAt, attempt, refusedIds);
	}

	async #attempt(planned: PlannedRequest, target: string, key: string | undefined): Promise<Attempt> {
		const {url, body} = createEntryRequest(planned);
		const headers = this.#createHeaders(planned);
		try {
			const response = await this.#post({url: target + url, body, headers: key === undefined ? headers : {...headers, 'idempotency-key': key}});
			return await readResponse(response, planned);
		} catch (error) {
			return attemptFromError(error);
		}
	}

	async #issueKey(planned: PlannedRequest, targets: readonly string[]): Promise<{requestId: string} | Attempt> {
		let attempt: Attempt = {...noOutput, result: results.refused, failureType: 'no-entry'};
		for (const target of targets) {
			try {
				// Another entry is tried only after the one before it has failed.
				// eslint-disable-next-line no-await-in-loop
				const response = await this.#post({url: `${target}/v1/request-ids`, body: {}, headers: this.#createHeaders(planned)});
				// eslint-disable-next-line no-await-in-loop
				const document = await response.body.json() as Problem;
				if (response.statusCode < 300 && document.requestId !== undefined) {
					return {requestId: document.requestId};
				}

				attempt = attemptFromProblem(document, response.statusCode, undefined);
			} catch (error) {
				// An id that the caller did not receive can't have been used.
				attempt = {...attemptFromError(error), result: results.refused};
			}
		}

		return attempt;
	}

	#createHeaders({workspace, tier}: PlannedRequest): Record<string, string> {
		return {'content-type': 'application/json', 'x-workspace': workspace, 'x-tier': tier};
	}

	async #post({url, body, headers}: EntryCall): Promise<Dispatcher.ResponseData> {
		const {timeoutMs = 60_000} = this.options;
		return request(url, {
			method: 'POST',
			dispatcher: this.#agent,
			headers,
			body: JSON.stringify(body),
			signal: AbortSignal.timeout(timeoutMs),
		});
	}
}
