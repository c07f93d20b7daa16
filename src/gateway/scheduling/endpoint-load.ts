import type {Milliseconds} from '../../shared/clock.js';
import type {EndpointRecord} from '../site/types.js';
import {EndpointSpeed, ServiceSpeed} from './endpoint-speed.js';

/** Event interval that is assumed until a stream has been measured. */
const initialEventIntervalMs = 30;

/** Weight of the newest stream in the moving average of the event interval. */
const eventIntervalSmoothingFactor = 0.15;

/** Pause after the first failure; it doubles with each consecutive one. */
const initialBackoffMs: Milliseconds = 250;

const maximumBackoffMs: Milliseconds = 4000;

/** Fraction of the time since an endpoint fell silent for which it is paused again. A sound one goes on after a second or so and is then used soon. */
const silencePauseRatio = 0.25;

/** Pause after a request to an endpoint that had fallen silent, unless it is heard from: one request at a time finds out whether it goes on. */
const trialPauseMs: Milliseconds = 500;

/** Sound endpoints are silent for less than this. One that has answered no connection for longer may have been restarted. */
const soundSilenceMs: Milliseconds = 2000;

/** An endpoint that has sent nothing for `heardPauseMs` counts as answering only `heardAgainMs` after it has begun again, because endpoints that were silent together go on together. */
const heardPauseMs: Milliseconds = 1000;
const heardAgainMs: Milliseconds = 200;

/** Weight of the newest request in the moving average of failures. */
const failureSmoothingFactor = 0.15;

/** Failure ratio above which an endpoint is used only when no other has a free slot. Healthy endpoints fail up to 14 of 100 requests. */
const failingRatio = 0.4;

/** How one attempt at an endpoint ended, as far as it matters to the endpoint's load and health. */
export const attemptOutcomes = {
	completed: 'completed',
	/** The endpoint responded with an error of its own. */
	failed: 'failed',
	/** The endpoint stated that it did not run the request. */
	rejected: 'rejected',
	/** Another endpoint answered, which did not run the request: the one that its record describes is not at that address. */
	misdirected: 'misdirected',
	/** The connection closed early. */
	broken: 'broken',
	/** The response belonged to another request, or was not the endpoint's own. */
	foreign: 'foreign',
	/** No connection could be opened, such as when no process listens. */
	unreachable: 'unreachable',
	/** No connection was opened in time. Nothing was sent. */
	unanswered: 'unanswered',
	/** Nothing was received from the endpoint in time. */
	silent: 'silent',
	/** The caller disconnected, or the request was withdrawn. */
	cancelled: 'cancelled',
} as const;

export type AttemptOutcome = (typeof attemptOutcomes)[keyof typeof attemptOutcomes];

/** Whether the endpoint stated that it did not run the request. */
export function isNotRun(outcome: AttemptOutcome): boolean {
	return outcome === attemptOutcomes.rejected || outcome === attemptOutcomes.misdirected;
}

/** Load and health of one start of an endpoint as seen by this instance. */
export class EndpointLoad {
	/** @param serviceSpeed average of all endpoints of the service, for what has not been measured at this one */
	static create(record: EndpointRecord, now: Milliseconds, serviceSpeed = ServiceSpeed.create()): EndpointLoad {
		return new EndpointLoad(record, now, serviceSpeed);
	}

	record: EndpointRecord;
	readonly speed: EndpointSpeed;
	#coldUntil: Milliseconds;
	#inFlight = 0;
	#eventIntervalMs = initialEventIntervalMs;
	#hasEventInterval = false;
	#consecutiveFailures = 0;
	#failureRatio = 0;
	#pausedUntil: Milliseconds = -Infinity;
	/** When a request first went unanswered since the endpoint was last heard from. */
	#silentSince: Milliseconds | undefined;
	#silencePausedUntil: Milliseconds = -Infinity;
	/** When it began to send after a pause. */
	#heardAgainAt: Milliseconds = -Infinity;
	/** When it last sent a response head or an event. */
	#lastHeardAt: Milliseconds = -Infinity;

	private constructor(record: EndpointRecord, now: Milliseconds, serviceSpeed: ServiceSpeed) {
		this.record = record;
		this.speed = EndpointSpeed.create(serviceSpeed);
		this.#coldUntil = now + record.coldRemainingMs;
	}

	/** Requests of this instance in flight at the endpoint. */
	get inFlight(): number {
		return this.#inFlight;
	}

	/** Moving average of the time between two events of a stream. */
	get eventIntervalMs(): number {
		return this.#eventIntervalMs;
	}

	/** Moving average of failed requests, from 0 to 1. */
	get failureRatio(): number {
		return this.#failureRatio;
	}

	isCold(now: Milliseconds): boolean {
		return now < this.#coldUntil;
	}

	isPaused(now: Milliseconds): boolean {
		return now < Math.max(this.#pausedUntil, this.#silencePausedUntil);
	}

	/** Whether the endpoint has fallen silent, for no longer than a sound one does. */
	isBrieflySilent(now: Milliseconds): boolean {
		return this.#silentSince !== undefined && now - this.#silentSince < soundSilenceMs;
	}

	/** Whether the endpoint has sent something since, and not only begun to again; undefined if it has nothing to answer to this instance. */
	hasAnsweredSince(at: Milliseconds, now: Milliseconds): boolean | undefined {
		return this.#inFlight === 0 && this.#silentSince === undefined ? undefined : this.#lastHeardAt >= at && now - this.#heardAgainAt >= heardAgainMs;
	}

	get isFailing(): boolean {
		return this.#failureRatio > failingRatio;
	}

	/** Sets a newer record of the same start. */
	update(record: EndpointRecord, now: Milliseconds): void {
		if (record.address !== this.record.address) {
			this.#consecutiveFailures = 0;
			this.#pausedUntil = -Infinity;
		}

		// The remaining time counts from when the record was written, so an unchanged value must not extend it.
		if (record.coldRemainingMs !== this.record.coldRemainingMs) {
			this.#coldUntil = now + record.coldRemainingMs;
		}

		this.record = record;
	}

	/** Treats the endpoint as cold until the given time, because it may have been restarted. */
	assumeColdUntil(until: Milliseconds): void {
		this.#coldUntil = Math.max(this.#coldUntil, until);
	}

	recordDispatch(now: Milliseconds): void {
		if (this.#silentSince !== undefined) {
			this.#silencePausedUntil = now + trialPauseMs;
		}

		this.#inFlight++;
	}

	/** Records that the endpoint has sent a response head or an event. */
	recordHeard(now: Milliseconds): void {
		if (now - this.#lastHeardAt > heardPauseMs) {
			this.#heardAgainAt = now;
		}

		this.#lastHeardAt = now;
		this.#endSilence();
	}

	/**
	@param newestIntervalMs average time between the events of the stream, if it had enough of them
	@returns whether the endpoint may have been restarted
	*/
	recordOutcome(outcome: AttemptOutcome, now: Milliseconds, newestIntervalMs?: number): boolean {
		this.#inFlight--;
		if (newestIntervalMs !== undefined) {
			this.#eventIntervalMs = this.#hasEventInterval ? this.#eventIntervalMs + (eventIntervalSmoothingFactor * (newestIntervalMs - this.#eventIntervalMs)) : newestIntervalMs;
			this.#hasEventInterval = true;
			this.speed.recordEventInterval(newestIntervalMs);
		}

		if (outcome === attemptOutcomes.cancelled || outcome === attemptOutcomes.rejected) {
			return false;
		}

		if (outcome === attemptOutcomes.silent || outcome === attemptOutcomes.unanswered) {
			return this.#recordSilence(now) && outcome === attemptOutcomes.unanswered;
		}

		if (outcome === attemptOutcomes.misdirected) {
			// Answers to requests that were in flight together say the same.
			if (now >= this.#pausedUntil) {
				this.#pauseAfterFailure(now);
			}

			return false;
		}

		const hasFailed = outcome !== attemptOutcomes.completed;
		this.#failureRatio += failureSmoothingFactor * ((hasFailed ? 1 : 0) - this.#failureRatio);
		if (outcome === attemptOutcomes.completed || outcome === attemptOutcomes.failed) {
			this.#consecutiveFailures = 0;
		} else if (outcome !== attemptOutcomes.foreign) {
			this.#pauseAfterFailure(now);
		}

		// A crash closes the port and breaks every connection. While other requests are still in flight, only this response was lost.
		return outcome === attemptOutcomes.unreachable || (outcome === attemptOutcomes.broken && this.#inFlight === 0);
	}

	#pauseAfterFailure(now: Milliseconds): void {
		this.#consecutiveFailures++;
		this.#pausedUntil = now + Math.min(initialBackoffMs * (2 ** (this.#consecutiveFailures - 1)), maximumBackoffMs);
	}

	/**
	Pauses the endpoint after a request that it did not answer. Many requests of one silence count as one failure.

	@returns whether it has been silent for longer than a sound endpoint
	*/
	#recordSilence(now: Milliseconds): boolean {
		if (this.#silentSince === undefined) {
			this.#silentSince = now;
			this.#failureRatio += failureSmoothingFactor * (1 - this.#failureRatio);
		}

		const silentMs = now - this.#silentSince;
		this.#silencePausedUntil = Math.max(this.#silencePausedUntil, now + Math.min(Math.max(initialBackoffMs, silencePauseRatio * silentMs), maximumBackoffMs));
		return silentMs > soundSilenceMs;
	}

	#endSilence(): void {
		this.#silentSince = undefined;
		this.#silencePausedUntil = -Infinity;
	}
}
