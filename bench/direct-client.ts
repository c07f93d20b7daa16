/** Sends planned requests directly to stand-in endpoints, with its own request ids. */
import {randomUUID} from 'node:crypto';
import {Agent, request} from 'undici';
import type {Disposable} from '../src/shared/disposable-store.js';
import {
	createEntryRequest, attemptFromError, readResponse, type Attempt,
} from './attempts.js';
import type {PlannedRequest} from './load-plan.js';
import {results} from './records.js';

export type DirectClientOptions = {
	/** Time limit of a request. After it the request is cancelled at the engine. */
	readonly timeoutMs: number;
};

export class DirectClient implements Disposable {
	static create(options: DirectClientOptions): DirectClient {
		return new DirectClient(options);
	}

	readonly #agent = new Agent({connections: null, pipelining: 1, keepAliveTimeout: 2000});

	private constructor(private readonly options: DirectClientOptions) {}

	/**
	Never rejects.

	@param address host and port of the stand-in
	*/
	async send(planned: PlannedRequest, address: string): Promise<Attempt> {
		const requestId = randomUUID();
		const attempt = await this.#attempt(planned, address, requestId);
		if (attempt.result === results.unknown && planned.kind === 'engine') {
			await this.#cancel(address, requestId);
		}

		return {...attempt, requestId, target: address};
	}

	async dispose(): Promise<void> {
		await this.#agent.destroy();
	}

	async #attempt(planned: PlannedRequest, address: string, requestId: string): Promise<Attempt> {
		const {url, body} = createEntryRequest(planned);
		const path = planned.kind === 'plain' ? `/${planned.collection}` : url;
		try {
			const response = await request(`http://${address}${path}`, {
				method: 'POST',
				dispatcher: this.#agent,
				headers: {'content-type': 'application/json', 'x-request-id': requestId},
				body: JSON.stringify(body),
				signal: AbortSignal.timeout(this.options.timeoutMs),
			});
			return await readResponse(response, planned);
		} catch (error) {
			return attemptFromError(error);
		}
	}

	async #cancel(address: string, requestId: string): Promise<void> {
		try {
			const response = await request(`http://${address}/v1/streams/${requestId}`, {method: 'DELETE', dispatcher: this.#agent});
			await response.body.dump();
		} catch {
			// The stand-in has ended, so there is no request to cancel.
		}
	}
}
