/** Tracks whether a platform service responds, and returns an event for each change. */
import type {Clock, Milliseconds} from '../../shared/clock.js';
import {PlatformError, platformErrorTypes, type PlatformErrorType} from './platform-error.js';

export type SourceStatus = {
	readonly isReachable: boolean;
	/** Time of the last valid response on the monotonic clock; undefined before the first. */
	readonly lastResponseAt: Milliseconds | undefined;
	/** Failures since the last valid response. */
	readonly consecutiveFailures: number;
	readonly lastFailure: {readonly type: PlatformErrorType; readonly detail: string} | undefined;
};

export type SourceChange
	= | {readonly kind: 'unavailable'; readonly failureType: PlatformErrorType; readonly detail: string}
		| {readonly kind: 'restored'; readonly failures: number};

export class SourceHealth {
	static create(clock: Clock): SourceHealth {
		return new SourceHealth(clock);
	}

	#status: SourceStatus = {
		isReachable: false, lastResponseAt: undefined, consecutiveFailures: 0, lastFailure: undefined,
	};

	private constructor(private readonly clock: Clock) {}

	get status(): SourceStatus {
		return this.#status;
	}

	/** @returns the change, if the previous read failed */
	recordSuccess(): SourceChange | undefined {
		const {consecutiveFailures: failures} = this.#status;
		this.#status = {
			...this.#status, isReachable: true, lastResponseAt: this.clock.now(), consecutiveFailures: 0,
		};
		return failures > 0 ? {kind: 'restored', failures} : undefined;
	}

	/** @returns the change, if this is the first failure in a row or its type differs from the previous one's */
	recordFailure(error: unknown): SourceChange | undefined {
		const failure = error instanceof PlatformError
			? {type: error.type, detail: error.message}
			: {type: platformErrorTypes.malformed, detail: String(error)};
		const isNew = this.#status.consecutiveFailures === 0 || this.#status.lastFailure?.type !== failure.type;
		this.#status = {
			...this.#status, isReachable: false, consecutiveFailures: this.#status.consecutiveFailures + 1, lastFailure: failure,
		};
		return isNew ? {kind: 'unavailable', failureType: failure.type, detail: failure.detail} : undefined;
	}
}
