/** Waits for conditions with a time limit. */
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';

export class DeadlineError extends Error {
	static create(what: string, timeoutMs: number): DeadlineError {
		return new DeadlineError(what, timeoutMs);
	}

	override readonly name = 'DeadlineError';

	private constructor(readonly what: string, readonly timeoutMs: number) {
		super(`waited ${timeoutMs} ms for: ${what}`);
	}
}

export type WaitOptions = {
	/** The condition in words, for the error message. */
	readonly what: string;
	/** Default: 10,000. */
	readonly timeoutMs?: number;
	/** Default: 25. */
	readonly intervalMs?: number;
};

/**
Polls a condition until it holds. A condition that throws does not hold.

@throws {DeadlineError} when the condition does not hold in time
*/
export async function waitFor(condition: () => boolean | Promise<boolean>, options: WaitOptions): Promise<void> {
	const {what, timeoutMs = 10_000, intervalMs = 25} = options;
	const deadlineAt = performance.now() + timeoutMs;
	for (;;) {
		// eslint-disable-next-line no-await-in-loop
		if (await holds(condition)) {
			return;
		}

		if (performance.now() >= deadlineAt) {
			throw DeadlineError.create(what, timeoutMs);
		}

		// eslint-disable-next-line no-await-in-loop
		await delay(intervalMs);
	}
}

async function holds(condition: () => boolean | Promise<boolean>): Promise<boolean> {
	try {
		return await condition();
	} catch {
		return false;
	}
}
