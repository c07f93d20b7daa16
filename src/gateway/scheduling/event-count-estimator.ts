/** Events per expected token that are assumed until streams have completed; the engines of the known deployments put 6 to 10 tokens into one event. */
const initialEventsPerToken = 0.12;

/** Weight of the newest stream in the moving average. Callers' estimates are often off by a factor of two, so many streams must be averaged. */
const smoothingFactor = 0.02;

/** Events of a request whose caller gives no estimate. */
const eventsWithoutEstimate = 1;

/** Estimates the events of a stream from the output tokens that the caller expects, by the ratio of recent streams. */
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

	/** Updates the average with a completed stream. */
	recordStream(expectedOutputTokens: number, events: number): void {
		if (expectedOutputTokens > 0) {
			this.#eventsPerToken += smoothingFactor * ((events / expectedOutputTokens) - this.#eventsPerToken);
		}
	}
}
