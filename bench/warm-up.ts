/** Waits until a new fleet serves requests, before a load is measured. */
import {DeadlineError} from '../standins/fleet/index.js';
import {
	planLoad, runPlan, type LoadPlanOptions, type RequestRecord,
} from './load.js';

export type WarmUpOptions = {
	/** The load that is measured later. The warm-up sends requests of it at a low rate. */
	readonly load: LoadPlanOptions;
	readonly targets: () => readonly string[];
	readonly timeoutMs: number;
	readonly signal?: AbortSignal;
};

const roundMs = 500;
const requestsPerSecond = 20;
/** Allows a request to wait until the units of a new entry leave their initial quarantine. */
const requestTimeoutMs = 10_000;

/**
Sends rounds of requests until all requests of a round complete. Units of new entries are in quarantine at first; until it ends, requests wait or are refused.

@returns all records, for the audit
@throws {DeadlineError}
*/
export async function warmUp({load, targets, timeoutMs, signal}: WarmUpOptions): Promise<RequestRecord[]> {
	const deadlineAt = performance.now() + timeoutMs;
	const records: RequestRecord[] = [];
	for (let round = 0; performance.now() < deadlineAt && !signal?.aborted; round++) {
		const plan = planLoad({
			...load, seed: load.seed + round + 1, durationMs: roundMs, requestsPerSecond, bursts: undefined,
		});
		// A round starts when the previous one has ended.
		// eslint-disable-next-line no-await-in-loop
		const latest = await runPlan(plan, {targets, timeoutMs: requestTimeoutMs, signal});
		records.push(...latest);
		if (latest.length > 0 && latest.every(({isCorrect}) => isCorrect)) {
			return records;
		}
	}

	if (signal?.aborted) {
		return records;
	}

	throw DeadlineError.create('a round of requests to complete', timeoutMs);
}
