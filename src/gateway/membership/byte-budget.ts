import type {Milliseconds} from '../../shared/clock.js';

export type ByteBudgetLimits = {
	readonly bytesPerSecond: number;
	/** Bytes that may be sent at once after a pause. */
	readonly burstBytes: number;
};

/** Token bucket that limits the bytes sent over time. */
export class ByteBudget {
	/** @param limits may change over time */
	static create(limits: () => ByteBudgetLimits): ByteBudget {
		return new ByteBudget(limits);
	}

	#availableBytes = Infinity;
	#updatedAt: Milliseconds | undefined;

	private constructor(private readonly limits: () => ByteBudgetLimits) {}

	/** Returns whether the bytes may be sent now. More than the burst may be sent at once only after the budget has filled, and then delays what follows. */
	take(bytes: number, now: Milliseconds): boolean {
		const {bytesPerSecond, burstBytes} = this.limits();
		const elapsedMs = Math.max(0, now - (this.#updatedAt ?? now));
		this.#updatedAt = now;
		this.#availableBytes = Math.min(burstBytes, this.#availableBytes + (bytesPerSecond * elapsedMs / 1000));
		if (this.#availableBytes < Math.min(bytes, burstBytes)) {
			return false;
		}

		this.#availableBytes -= bytes;
		return true;
	}
}
