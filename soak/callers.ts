import {Agent} from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import type {Milliseconds} from '../src/shared/clock.js';
import {sendRequest} from '../standins/platform-caller.js';
import {instancePorts} from '../standins/platform-documents.js';
import type {RandomSource} from '../standins/random-source.js';
import {requestKinds, type RequestKind, type RequestRecord} from './history.js';

/** How long callers wait for an answer. */
const callerTimeoutMs: Milliseconds = 4000;

/** Longest pause between two requests of a caller. */
const maximumPauseMs: Milliseconds = 120;

/** Requests after which a caller turns to another instance, on average. Until then it keeps its connection open. */
const meanRequestsPerInstance = 20;

/** Share of callers that leave before the answer, in percent. */
const disconnectPercent = 4;

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

/** A key that callers use at present. */
export type CallerKey = {readonly key: string; readonly workspace: string};

export type CallerOptions = {
	readonly random: RandomSource;
	/** Hosts of the instances. */
	readonly instances: readonly string[];
	readonly keys: () => readonly CallerKey[];
	readonly onRecord: (call: RequestRecord) => void;
};

let nextId = 0;

/** Sends one request and resolves when its answer has ended, whole or not. */
async function sendRequestOfKind(agent: Agent, target: Pick<RequestRecord, 'kind' | 'instance' | 'key' | 'workspace'>, disconnectAfterMs?: Milliseconds): Promise<RequestRecord> {
	nextId++;
	const {path, method, tokens, units} = requestTemplates[target.kind];
	const record: RequestRecord = {
		...target, requestId: `call-${nextId}`, units, sentAt: performance.now(), endedAt: Infinity, body: '', isComplete: false,
	};
	const headers: Record<string, string> = {
		host: 'office.example', 'x-request-id': record.requestId, 'x-deadline-ms': String(callerTimeoutMs), authorization: `Bearer ${target.key}`,
	};
	if (tokens !== undefined) {
		headers['x-token-count'] = tokens;
	}

	const abortController = new AbortController();
	const timer = setTimeout(() => {
		record.disconnectedAt = performance.now();
		abortController.abort();
	}, disconnectAfterMs ?? callerTimeoutMs + 1000);
	try {
		const {status, body, isComplete} = await sendRequest({
			host: target.instance, port: instancePorts.callers, path, method, agent, headers, signal: abortController.signal,
		}, method === 'POST' ? 'body' : undefined);
		Object.assign(record, {status, body, isComplete});
	} catch {
		// No head of a response came: the record keeps no status.
	}

	clearTimeout(timer);
	record.endedAt = performance.now();
	return record;
}

/** Calls again and again until the signal, and keeps its connection to an instance until that instance closes it. */
export async function runCaller({random, instances, keys, onRecord: onCall}: CallerOptions, signal: AbortSignal): Promise<void> {
	const agent = new Agent({keepAlive: true, maxSockets: 1});
	let instance = random.pick(instances)!;
	while (!signal.aborted) {
		if (random.integer(1, meanRequestsPerInstance) === 1) {
			instance = random.pick(instances)!;
		}

		const kind = random.pick(Object.values(requestKinds))!;
		const disconnectAfterMs = random.chance(disconnectPercent) ? random.integer(1, maximumDisconnectDelayMs) : undefined;
		// eslint-disable-next-line no-await-in-loop -- a caller sends one request after another
		onCall(await sendRequestOfKind(agent, {kind, instance, ...random.pick(keys())!}, disconnectAfterMs));
		// eslint-disable-next-line no-await-in-loop
		await delay(random.integer(1, maximumPauseMs));
	}

	agent.destroy();
}

/** One request of each kind on a connection of its own. */
export async function sendOneOfEachKind(instance: string, key: CallerKey): Promise<RequestRecord[]> {
	return Promise.all(Object.values(requestKinds).map(async kind => {
		const agent = new Agent();
		const record = await sendRequestOfKind(agent, {kind, instance, ...key});
		agent.destroy();
		return record;
	}));
}
