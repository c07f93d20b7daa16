import type {Milliseconds} from '../../shared/clock.js';
import type {EndpointRecord} from '../site/types.js';

/** Time between two events that is assumed until one has been seen, in milliseconds. */
const initialEventIntervalMs = 30;

/** Weight of the newest stream in the learnt time between events. */
const eventIntervalWeight = 0.15;

/** First pause after a failure; it doubles with each further one. */
const initialPauseMs: Milliseconds = 250;

const maximumPauseMs: Milliseconds = 4000;

/** Weight of the newest request in the learnt share of failures. */
const failureWeight = 0.15;

/** Share of failed requests from which an endpoint is used only when no other has room. Sound ones fail up to 14 in 100. */
const failingRatio = 0.4;

/** How one request at an endpoint ended, for what is learnt of the endpoint. */
export const attemptOutcomes = {
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

export type AttemptOutcome = (typeof attemptOutcomes)[keyof typeof attemptOutcomes];

/** What this instance knows of one endpoint's load and health. */
export class EndpointLoad {
	static create(record: EndpointRecord, now: Milliseconds): EndpointLoad {
		return new EndpointLoad(record, now);
	}

	record: EndpointRecord;
	#coldUntil: Milliseconds;
	#inFlight = 0;
	#eventIntervalMs = initialEventIntervalMs;
	#hasEventInterval = false;
	#consecutiveFailures = 0;
	#failureRatio = 0;
	#pausedUntil: Milliseconds = -Infinity;

	private constructor(record: EndpointRecord, now: Milliseconds) {
		this.record = record;
		this.#coldUntil = now + record.coldRemainingMs;
	}

	/** Requests of this instance under way there. */
	get inFlight(): number {
		return this.#inFlight;
	}

	/** Learnt time between two events of a stream. */
	get eventIntervalMs(): number {
		return this.#eventIntervalMs;
	}

	/** Share of recent requests that it failed, 0 to 1. */
	get failureRatio(): number {
		return this.#failureRatio;
	}

	isCold(now: Milliseconds): boolean {
		return now < this.#coldUntil;
	}

	isPaused(now: Milliseconds): boolean {
		return now < this.#pausedUntil;
	}

	get isFailing(): boolean {
		return this.#failureRatio > failingRatio;
	}

	update(record: EndpointRecord, now: Milliseconds): void {
		if (record.startedAt !== this.record.startedAt) {
			this.#consecutiveFailures = 0;
			this.#failureRatio = 0;
			this.#pausedUntil = -Infinity;
			this.#hasEventInterval = false;
		}

		// The remaining time is as of its writing, so only a new figure says something.
		if (record.coldRemainingMs !== this.record.coldRemainingMs || record.startedAt !== this.record.startedAt) {
			this.#coldUntil = now + record.coldRemainingMs;
		}

		this.record = record;
	}

	/** Takes it to be cold for a while, because it may have been restarted. */
	assumeColdUntil(until: Milliseconds): void {
		this.#coldUntil = Math.max(this.#coldUntil, until);
	}

	recordDispatch(): void {
		this.#inFlight++;
	}

	/**
	@param newestIntervalMs mean time between the events of the stream, if it had enough of them
	@returns whether the endpoint may have been restarted
	*/
	recordOutcome(outcome: AttemptOutcome, now: Milliseconds, newestIntervalMs?: number): boolean {
		this.#inFlight--;
		if (newestIntervalMs !== undefined) {
			this.#eventIntervalMs = this.#hasEventInterval ? this.#eventIntervalMs + (eventIntervalWeight * (newestIntervalMs - this.#eventIntervalMs)) : newestIntervalMs;
			this.#hasEventInterval = true;
		}

		if (outcome === attemptOutcomes.cancelled || outcome === attemptOutcomes.rejected) {
			return false;
		}

		const hasFailed = outcome !== attemptOutcomes.completed;
		this.#failureRatio += failureWeight * ((hasFailed ? 1 : 0) - this.#failureRatio);
		if (outcome === attemptOutcomes.completed || outcome === attemptOutcomes.failed) {
			this.#consecutiveFailures = 0;
		} else {
			this.#consecutiveFailures++;
			this.#pausedUntil = now + Math.min(initialPauseMs * (2 ** (this.#consecutiveFailures - 1)), maximumPauseMs);
		}

		// A crash closes the port and breaks every connection. Where other requests go on, only an answer was lost.
		return outcome === attemptOutcomes.unreachable || (outcome === attemptOutcomes.broken && this.#inFlight === 0);
	}
}
