/** Decides when a newer configuration document is requested from a peer again. */
import type {Clock, Milliseconds} from '../../shared/clock.js';

type DocumentRequest = {
	readonly version: number;
	/** Requests for this version so far. */
	readonly requestCount: number;
	readonly lastRequestedAt: Milliseconds;
};

/** Delay before the same version is requested from the same peer again; it doubles with each request. */
const initialBackoffMs: Milliseconds = 500;

/** A document that is still not adopted after several requests is probably invalid here. It may be 2 MB, so it is requested rarely. */
const maximumBackoffMs: Milliseconds = 30_000;

export class DocumentRequests {
	static create(clock: Clock): DocumentRequests {
		return new DocumentRequests(clock);
	}

	/** By the peer's incarnation. */
	readonly #requests = new Map<string, DocumentRequest>();

	private constructor(private readonly clock: Clock) {}

	/** Whether the version should be requested from the peer now. A version that was not requested yet is due immediately. */
	isDue(incarnation: string, version: number): boolean {
		const previous = this.#requests.get(incarnation);
		if (previous?.version !== version) {
			return true;
		}

		const backoffMs = Math.min(maximumBackoffMs, initialBackoffMs * (2 ** (previous.requestCount - 1)));
		return this.clock.now() >= previous.lastRequestedAt + backoffMs;
	}

	recordRequest(incarnation: string, version: number): void {
		const previous = this.#requests.get(incarnation);
		const earlierRequests = previous?.version === version ? previous.requestCount : 0;
		this.#requests.set(incarnation, {version, requestCount: earlierRequests + 1, lastRequestedAt: this.clock.now()});
	}

	/** Called when the peer has no newer document any more or has disconnected. */
	forget(incarnation: string): void {
		this.#requests.delete(incarnation);
	}
}
