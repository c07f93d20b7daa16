/** Events for each announced token that are assumed until streams have ended; engines of the known deployments put 6 to 10 tokens into one. */
const initialEventsForEachToken = 0.12;

/** Weight of the newest stream. Announcements are often off by a factor of two, so many must be averaged. */
const newestWeight = 0.02;

/** Events of a request that announces nothing. */
const eventsWithoutAnnouncement = 1;

/** Learns how many events follow for each output token that callers announce. */
export class LengthEstimate {
	static create(): LengthEstimate {
		return new LengthEstimate();
	}

	#eventsForEachToken = initialEventsForEachToken;

	private constructor() {}

	/** Expected events of a request's stream, at least one. */
	events(announcedTokens: number | undefined): number {
		return announcedTokens === undefined ? eventsWithoutAnnouncement : Math.max(1, announcedTokens * this.#eventsForEachToken);
	}

	/** Takes over what a completed stream had. */
	note(announcedTokens: number, events: number): void {
		if (announcedTokens > 0) {
			this.#eventsForEachToken += newestWeight * ((events / announcedTokens) - this.#eventsForEachToken);
		}
	}
}
