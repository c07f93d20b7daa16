/** Events for each announced token that are assumed until streams have ended; engines of the known deployments put 6 to 10 tokens into one. */
const initialEventsPerToken = 0.12;

/** Weight of the newest stream. Announcements are often off by a factor of two, so many must be averaged. */
const newestStreamWeight = 0.02;

/** Events of a request that announces nothing. */
const eventsWithoutEstimate = 1;

/** Learns how many events follow for each output token that callers announce. */
export class EventCountEstimator {
	static create(): EventCountEstimator {
		return new EventCountEstimator();
	}

	#eventsPerToken = initialEventsPerToken;

	private constructor() {}

	/** Expected events of a request's stream, at least one. */
	estimate(expectedOutputTokens: number | undefined): number {
		return expectedOutputTokens === undefined ? eventsWithoutEstimate : Math.max(1, expectedOutputTokens * this.#eventsPerToken);
	}

	/** Takes over what a completed stream had. */
	recordStream(expectedOutputTokens: number, events: number): void {
		if (expectedOutputTokens > 0) {
			this.#eventsPerToken += newestStreamWeight * ((events / expectedOutputTokens) - this.#eventsPerToken);
		}
	}
}
