import type {Milliseconds} from '../../shared/clock.js';
import type {EndpointRecord} from '../site/types.js';
import type {Suspect} from './types.js';

/** Time after the end of a response in which a crash of its endpoint is known here, also one that another instance detects. */
const confirmationMs: Milliseconds = 400;

/** Responses that wait; of further ones nothing is concluded. */
const maximumWaiting = 1024;

/** A complete response that was too short to show that its prompt does not crash the endpoint. */
export type ShortResponse = {
	readonly endpoint: EndpointRecord;
	readonly parts: Suspect;
	readonly endedAt: Milliseconds;
};

/** Keeps short responses until it is certain whether their endpoints crashed right after them. */
export class ShortResponses {
	static create(): ShortResponses {
		return new ShortResponses();
	}

	/** In order of time. */
	readonly #waiting: ShortResponse[] = [];

	private constructor() {}

	add(response: ShortResponse): void {
		if (this.#waiting.length < maximumWaiting) {
			this.#waiting.push(response);
		}
	}

	/** Takes the responses whose endpoints would be known by now to have crashed. */
	takeConfirmed(now: Milliseconds): ShortResponse[] {
		const count = this.#waiting.findIndex(({endedAt}) => now - endedAt < confirmationMs);
		return this.#waiting.splice(0, count === -1 ? this.#waiting.length : count);
	}
}
