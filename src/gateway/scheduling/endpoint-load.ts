import type {Milliseconds} from '../../shared/clock.js';
import type {EndpointRecord} from '../site/types.js';

/** Time between two events that is assumed until one has been seen, in milliseconds. */
const initialEventMs = 30;

/** Weight of the newest stream in the learnt time between events. */
const eventWeight = 0.15;

/** First pause after a failure; it doubles with each further one. */
const firstPauseMs: Milliseconds = 250;

const longestPauseMs: Milliseconds = 4000;

/** Weight of the newest request in the learnt share of failures. */
const failureWeight = 0.15;

/** Share of failed requests from which an endpoint is used only when no other has room. Sound ones fail up to 14 in 100. */
const failingShare = 0.4;

/** How one request at an endpoint ended, for what is learnt of the endpoint. */
export const runOutcomes = {
	completed: 'completed',
	/** The endpoint answered with an error of its own. */
	failed: 'failed',
	/** The endpoint said that it did not run the request. */
	rejected: 'rejected',
	/** The connection ended early, or the answer was not the endpoint's own. */
	broken: 'broken',
	/** No connection could be opened. */
	unreachable: 'unreachable',
	/** It gave no sign of life in time. */
	silent: 'silent',
	/** The caller left, or the request was taken back. */
	cancelled: 'cancelled',
} as const;

export type RunOutcome = (typeof runOutcomes)[keyof typeof runOutcomes];

/** What this instance knows of one endpoint's load and health. */
export class EndpointLoad {
	static create(record: EndpointRecord, now: Milliseconds): EndpointLoad {
		return new EndpointLoad(record, now);
	}

	record: EndpointRecord;
	#coldUntil: Milliseconds;
	#running = 0;
	#eventMs = initialEventMs;
	#hasEventTime = false;
	#failures = 0;
	#failedShare = 0;
	#pausedUntil: Milliseconds = -Infinity;

	private constructor(record: EndpointRecord, now: Milliseconds) {
		this.record = record;
		this.#coldUntil = now + record.coldRemainingMs;
	}

	/** Requests of this instance under way there. */
	get running(): number {
		return this.#running;
	}

	/** Learnt time between two events of a stream. */
	get eventMs(): number {
		return this.#eventMs;
	}

	/** Share of recent requests that it failed, 0 to 1. */
	get failedShare(): number {
		return this.#failedShare;
	}

	isCold(now: Milliseconds): boolean {
		return now < this.#coldUntil;
	}

	isPaused(now: Milliseconds): boolean {
		return now < this.#pausedUntil;
	}

	get isFailing(): boolean {
		return this.#failedShare > failingShare;
	}

	update(record: EndpointRecord, now: Milliseconds): void {
		if (record.startedAt !== this.record.startedAt) {
			this.#failures = 0;
			this.#failedShare = 0;
			this.#pausedUntil = -Infinity;
			this.#hasEventTime = false;
		}

		// The remaining time is as of its writing, so only a new figure says something.
		if (record.coldRemainingMs !== this.record.coldRemainingMs || record.startedAt !== this.record.startedAt) {
			this.#coldUntil = now + record.coldRemainingMs;
		}

		this.record = record;
	}

	/** Takes it to be cold for a while, because it may have been restarted. */
	suspectCold(until: Milliseconds): void {
		this.#coldUntil = Math.max(this.#coldUntil, until);
	}

	began(): void {
		this.#running++;
	}

	/**
	@param eventMs mean time between the events of the stream, if it had enough of them
	@returns whether the endpoint may have been restarted
	*/
	ended(outcome: RunOutcome, now: Milliseconds, eventMs?: number): boolean {
		this.#running--;
		if (eventMs !== undefined) {
			this.#eventMs = this.#hasEventTime ? this.#eventMs + (eventWeight * (eventMs - this.#eventMs)) : eventMs;
			this.#hasEventTime = true;
		}

		if (outcome === runOutcomes.cancelled || outcome === runOutcomes.rejected) {
			return false;
		}

		const hasFailed = outcome !== runOutcomes.completed;
		this.#failedShare += failureWeight * ((hasFailed ? 1 : 0) - this.#failedShare);
		if (outcome === runOutcomes.completed || outcome === runOutcomes.failed) {
			this.#failures = 0;
		} else {
			this.#failures++;
			this.#pausedUntil = now + Math.min(firstPauseMs * (2 ** (this.#failures - 1)), longestPauseMs);
		}

		// A crash closes the port and breaks every connection. Where other requests go on, only an answer was lost.
		return outcome === runOutcomes.unreachable || (outcome === runOutcomes.broken && this.#running === 0);
	}
}
