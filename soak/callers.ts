import {Agent} from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import type {Milliseconds} from '../src/shared/clock.js';
import {sendRequest} from '../standins/platform-caller.js';
import {instancePorts} from '../standins/platform-documents.js';
import type {RandomSource} from '../standins/random-source.js';
import {callKinds, type CallKind, type CallRecord} from './history.js';

/** How long callers wait for an answer. */
const patienceMs: Milliseconds = 4000;

/** Longest pause between two requests of a caller. */
const longestPauseMs: Milliseconds = 120;

/** Requests after which a caller turns to another instance, on average. Until then it keeps its connection open. */
const requestsAtOneInstance = 20;

/** Share of callers that leave before the answer, in percent. */
const leavingPercent = 4;

const longestStayMs: Milliseconds = 300;

const calls: Record<CallKind, {readonly path: string; readonly method: string; readonly tokens?: string; readonly units: number}> = {
	[callKinds.lookup]: {path: '/lookups/1', method: 'GET', units: 10},
	[callKinds.booking]: {path: '/bookings/1', method: 'POST', units: 10},
	[callKinds.stream]: {
		path: '/streams/1', method: 'POST', tokens: '100,20', units: 120,
	},
	[callKinds.draft]: {
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
	readonly onCall: (call: CallRecord) => void;
};

let nextId = 0;

/** Sends one request and resolves when its answer has ended, whole or not. */
async function send(agent: Agent, target: Pick<CallRecord, 'kind' | 'instance' | 'key' | 'workspace'>, leaveAfterMs?: Milliseconds): Promise<CallRecord> {
	nextId++;
	const {path, method, tokens, units} = calls[target.kind];
	const call: CallRecord = {
		...target, requestId: `call-${nextId}`, units, sentAt: performance.now(), endedAt: Infinity, body: '', isComplete: false,
	};
	const headers: Record<string, string> = {
		host: 'office.example', 'x-request-id': call.requestId, 'x-deadline-ms': String(patienceMs), authorization: `Bearer ${target.key}`,
	};
	if (tokens !== undefined) {
		headers['x-token-count'] = tokens;
	}

	const leaving = new AbortController();
	const timer = setTimeout(() => {
		call.leftAt = performance.now();
		leaving.abort();
	}, leaveAfterMs ?? patienceMs + 1000);
	try {
		const {status, body, isComplete} = await sendRequest({
			host: target.instance, port: instancePorts.callers, path, method, agent, headers, signal: leaving.signal,
		}, method === 'POST' ? 'body' : undefined);
		Object.assign(call, {status, body, isComplete});
	} catch {
		// No head of a response came: the record keeps no status.
	}

	clearTimeout(timer);
	call.endedAt = performance.now();
	return call;
}

/** Calls again and again until the signal, and keeps its connection to an instance until that instance closes it. */
export async function runCaller({random, instances, keys, onCall}: CallerOptions, signal: AbortSignal): Promise<void> {
	const agent = new Agent({keepAlive: true, maxSockets: 1});
	let instance = random.pick(instances)!;
	while (!signal.aborted) {
		if (random.integer(1, requestsAtOneInstance) === 1) {
			instance = random.pick(instances)!;
		}

		const kind = random.pick(Object.values(callKinds))!;
		const leaveAfterMs = random.chance(leavingPercent) ? random.integer(1, longestStayMs) : undefined;
		// eslint-disable-next-line no-await-in-loop -- a caller sends one request after another
		onCall(await send(agent, {kind, instance, ...random.pick(keys())!}, leaveAfterMs));
		// eslint-disable-next-line no-await-in-loop
		await delay(random.integer(1, longestPauseMs));
	}

	agent.destroy();
}

/** One request of each kind on a connection of its own. */
export async function callOnce(instance: string, key: CallerKey): Promise<CallRecord[]> {
	return Promise.all(Object.values(callKinds).map(async kind => {
		const agent = new Agent();
		const call = await send(agent, {kind, instance, ...key});
		agent.destroy();
		return call;
	}));
}
