import {Agent} from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import type {Milliseconds} from '../src/shared/clock.js';
import {sendRequest} from '../standins/platform-caller.js';
import {instancePorts} from '../standins/platform-documents.js';
import type {RandomSource} from '../standins/random-source.js';
import {requestKinds, type RequestKind, type RequestRecord} from './history.js';

/** Time that callers wait for a response. */
const callerTimeoutMs: Milliseconds = 4000;

/** Time that patient callers wait. */
const patientTimeoutMs: Milliseconds = 12_000;

/** Longest pause between two requests of a caller. */
const maximumPauseMs: Milliseconds = 120;

/** Mean number of requests after which a caller changes to another instance. Until then it keeps its connection open. */
const meanRequestsPerInstance = 20;

/** Percentage of requests whose caller disconnects before the response is complete, of most callers and of impatient ones. */
export const disconnectPercents = {usual: 4, impatient: 30} as const;

const maximumDisconnectDelayMs: Milliseconds = 300;

const requestTemplates: Record<RequestKind, {readonly path: string; readonly method: string; readonly tokens?: string; readonly units: number}> = {
	[requestKinds.lookup]: {path: '/lookups/1', method: 'GET', units: 10},
	[requestKinds.booking]: {path: '/bookings/1', method: 'POST', units: 10},
	[requestKinds.stream]: {
		path: '/streams/1', method: 'POST', tokens: '100,20', units: 120,
	},
	[requestKinds.draft]: {
		path: '/drafts/1', method: 'POST', tokens: '100,20', units: 120,
	},
};

/** An API key that callers use now. */
export type CallerKey = {readonly key: string; readonly workspace: string};

export type CallerOptions = {
	readonly random: RandomSource;
	/** Hosts of the instances. */
	readonly instances: readonly string[];
	readonly keys: () => readonly CallerKey[];
	/** Shared parts of the next prompt. */
	readonly nextPromptParts: () => readonly string[];
	readonly disconnectPercent: number;
	readonly onRecord: (call: RequestRecord) => void;
};

let nextId = 0;

type RequestTarget = Pick<RequestRecord, 'kind' | 'instance' | 'key' | 'workspace' | 'promptParts'> & {readonly deadlineMs?: Milliseconds; readonly path?: string};

/** Sends one request and resolves when its response has ended, complete or not. */
async function sendRequestOfKind(agent: Agent, target: RequestTarget, disconnectAfterMs?: Milliseconds): Promise<RequestRecord> {
	nextId++;
	const {path: otherPath, deadlineMs = callerTimeoutMs, ...values} = target;
	const {path, method, tokens, units} = requestTemplates[target.kind];
	const record: RequestRecord = {
		...values, deadlineMs, requestId: `call-${nextId}`, units, sentAt: performance.now(), endedAt: Infinity, body: '', isComplete: false,
	};
	const headers: Record<string, string> = {
		host: 'office.example', 'x-request-id': record.requestId, 'x-deadline-ms': String(deadlineMs), authorization: `Bearer ${target.key}`,
	};
	if (tokens !== undefined) {
		headers['x-token-count'] = tokens;
		headers['x-prompt-prefix'] = [...record.promptParts, `own-${nextId}`].map(part => `${part}:30`).join(',');
	}

	const abortController = new AbortController();
	const timer = setTimeout(() => {
		record.disconnectedAt = performance.now();
		abortController.abort();
	}, disconnectAfterMs ?? deadlineMs + 1000);
	try {
		const {status, body, isComplete, headers: responseHeaders} = await sendRequest({
			host: target.instance, port: instancePorts.callers, path: otherPath ?? path, method, agent, headers, signal: abortController.signal,
		}, method === 'POST' ? 'body' : undefined);
		Object.assign(record, {status, body, isComplete});
		const seal = responseHeaders['x-response-seal'];
		if (typeof seal === 'string') {
			record.statement = {
				endpoint: seal.split('.', 1)[0]!, hasLimit: responseHeaders['server-limit'] !== undefined, isLeaving: responseHeaders['server-leaving'] !== undefined,
			};
		}
	} catch (error) {
		// No response headers arrived, so the record has no status.
		record.failureCode = (error as NodeJS.ErrnoException).code;
	}

	clearTimeout(timer);
	record.endedAt = performance.now();
	return record;
}

/** Sends requests one after another until the signal is aborted. The connection to an instance stays open until that instance closes it. */
export async function runCaller({random, instances, keys, nextPromptParts, disconnectPercent, onRecord}: CallerOptions, signal: AbortSignal): Promise<void> {
	const agent = new Agent({keepAlive: true, maxSockets: 1});
	let instance = random.pick(instances)!;
	while (!signal.aborted) {
		if (random.integer(1, meanRequestsPerInstance) === 1) {
			instance = random.pick(instances)!;
		}

		const kind = random.pick(Object.values(requestKinds))!;
		const disconnectAfterMs = random.chance(disconnectPercent) ? random.integer(1, maximumDisconnectDelayMs) : undefined;
		// eslint-disable-next-line no-await-in-loop -- a caller sends one request after another
		onRecord(await sendRequestOfKind(agent, {
			kind, instance, ...random.pick(keys())!, promptParts: requestTemplates[kind].tokens === undefined ? [] : nextPromptParts(),
		}, disconnectAfterMs));
		// eslint-disable-next-line no-await-in-loop
		await delay(random.integer(1, maximumPauseMs));
	}

	agent.destroy();
}

export type PatientRequestsOptions = {
	readonly instance: string;
	readonly key: CallerKey;
	readonly count: number;
	readonly intervalMs: Milliseconds;
};

/** Sends requests to the slow service at a constant rate, each on its own connection, and waits for them for a long time. */
export async function sendPatientRequests({instance, key, count, intervalMs}: PatientRequestsOptions): Promise<RequestRecord[]> {
	const requests: Array<Promise<RequestRecord>> = [];
	for (let index = 0; index < count; index++) {
		const agent = new Agent();
		requests.push(sendRequestOfKind(agent, {
			kind: requestKinds.booking, path: '/reports/1', instance, ...key, promptParts: [], deadlineMs: patientTimeoutMs,
		}).finally(() => {
			agent.destroy();
		}));
		// eslint-disable-next-line no-await-in-loop
		await delay(intervalMs);
	}

	return Promise.all(requests);
}

/** Sends one request of each kind, each on its own connection. */
export async function sendOneOfEachKind(instance: string, key: CallerKey): Promise<RequestRecord[]> {
	return Promise.all(Object.values(requestKinds).map(async kind => {
		const agent = new Agent();
		const record = await sendRequestOfKind(agent, {
			kind, instance, ...key, promptParts: [],
		});
		agent.destroy();
		return record;
	}));
}
