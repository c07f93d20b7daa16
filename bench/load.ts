/** Runs a planned open-loop load: each request is sent at its time, whether or not earlier ones have completed. */
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {LoadClient, type LoadClientOptions} from './load-client.js';
import {planLoad, type LoadPlanOptions, type PlannedRequest} from './load-plan.js';
import type {RequestRecord} from './records.js';

/** Sends one planned request and resolves with a record for each time that it was sent. Never rejects. */
export type Sender = {
	send(planned: PlannedRequest, startedAt: number): Promise<RequestRecord[]>;
};

export type SendOptions = {
	/** Called for each record when it is created. */
	readonly onRecord?: (record: RequestRecord) => void;
	/** Stops sending; requests in flight are still awaited. */
	readonly signal?: AbortSignal;
};

export type LoadRunOptions = LoadClientOptions & SendOptions;

/** Requests that are due within this time are sent immediately, because timers of Node.js are precise to about a millisecond. */
const sendAheadMs = 0.5;

async function waitUntil(sendAt: number, signal: AbortSignal | undefined): Promise<boolean> {
	const remainingMs = sendAt - performance.now();
	if (remainingMs > sendAheadMs) {
		try {
			await delay(remainingMs, undefined, {signal});
		} catch {
			return false;
		}
	}

	return !signal?.aborted;
}

/** Sends a plan through any sender and resolves with all records when the last request has ended. */
export async function sendPlan(plan: readonly PlannedRequest[], sender: Sender, options: SendOptions = {}): Promise<RequestRecord[]> {
	const records: RequestRecord[] = [];
	const pending: Array<Promise<void>> = [];
	const startedAt = performance.now();
	const send = async (planned: PlannedRequest) => {
		for (const record of await sender.send(planned, startedAt)) {
			records.push(record);
			options.onRecord?.(record);
		}
	};

	for (const planned of plan) {
		// Requests are sent one after another at their planned times. Their responses are not awaited here.
		// eslint-disable-next-line no-await-in-loop
		if (!await waitUntil(startedAt + planned.at, options.signal)) {
			break;
		}

		pending.push(send(planned));
	}

	await Promise.all(pending);
	return records;
}

/** Sends a plan to entries and resolves with all records when the last request has ended. */
export async function runPlan(plan: readonly PlannedRequest[], options: LoadRunOptions): Promise<RequestRecord[]> {
	const client = LoadClient.create(options);
	try {
		return await sendPlan(plan, client, options);
	} finally {
		await client.dispose();
	}
}

/** Plans a load and runs it. */
export async function runLoad(plan: LoadPlanOptions, options: LoadRunOptions): Promise<RequestRecord[]> {
	return runPlan(planLoad(plan), options);
}

export {LoadClient, type LoadClientOptions} from './load-client.js';
export {planLoad, type LoadPlanOptions, type PlannedRequest} from './load-plan.js';
export {results, type RequestRecord, type Result} from './records.js';
