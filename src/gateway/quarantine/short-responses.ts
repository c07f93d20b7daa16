import type {Milliseconds} from '../../shared/clock.js';
import type {EndpointRecord} from '../site/types.js';
import type {Suspect} from './types.js';

/** Time after which a crash of an endpoint is known here, also one that another instance detects. */
const detectionMs: Milliseconds = 150;

/** Responses that wait; of further ones nothing is concluded. */
const maximumWaiting = 1024;

/** A complete response that was too short to show that its prompt does not crash the endpoint. */
export type ShortResponse = {
	readonly endpoint: Pick<EndpointRecord, 'id' | 'startedAt'>;
	readonly parts: Suspect;
	/** Until when the endpoint may crash under the request. */
	readonly crashesUntil: Milliseconds;
};

/** Keeps short responses until it is certain whether their endpoints crashed right after them. */
export class ShortResponses<Response extends ShortResponse> {
	static create<Response extends ShortResponse>(): ShortResponses<Response> {
		return new ShortResponses();
	}

	#waiting: Response[] = [];

	private constructor() {}

	add(response: Response): void {
		if (this.#waiting.length < maximumWaiting) {
			this.#waiting.push(response);
		}
	}

	/** Takes the responses whose endpoints would be known by now to have crashed. */
	takeConfirmed(now: Milliseconds): Response[] {
		const isConfirmed = ({crashesUntil}: Response) => now - crashesUntil >= detectionMs;
		const confirmed = this.#waiting.filter(response => isConfirmed(response));
		if (confirmed.length > 0) {
			this.#waiting = this.#waiting.filter(response => !isConfirmed(response));
		}

		return confirmed;
	}
}
