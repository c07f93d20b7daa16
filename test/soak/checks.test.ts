import test from 'ava';
import {
	bounds, checks, findViolations, limitedWorkspace, streamEvents, type CheckName,
} from '../../soak/checks.js';
import type {
	CallRecord, History, RunRecord, SiteEvent,
} from '../../soak/history.js';
import {formatStreamEvent} from '../../standins/platform-endpoint.js';

function createCall(values: Partial<CallRecord> = {}): CallRecord {
	const requestId = values.requestId ?? 'c1';
	return {
		requestId, kind: 'lookup', instance: 'i1', key: 'k', workspace: 'wick', units: 10, sentAt: 10_000, endedAt: 10_100, status: 200, body: `answer to ${requestId}`, isComplete: true, ...values,
	};
}

function createRun(values: Partial<RunRecord> = {}): RunRecord {
	return {
		requestId: 'c1', endpoint: 'e1', service: 'diaries', availabilityZone: 'a', at: 10_050, isRun: true, isExpected: true, closedAt: 10_090, ...values,
	};
}

function createHistory(values: Partial<History> = {}): History {
	return {
		calls: [createCall()], runs: [createRun()], events: [], disturbances: [], processes: [], exits: [], finalCalls: [], ...values,
	};
}

/** Calls that each ran once, with this many milliseconds between them. */
function createCalls(count: number, stepMs: number, values: Partial<CallRecord> = {}): Pick<History, 'calls' | 'runs'> {
	const calls = Array.from({length: count}, (_, index) => createCall({
		requestId: `c${index}`, sentAt: 10_000 + (index * stepMs), endedAt: 10_100 + (index * stepMs), ...values,
	}));
	return {calls, runs: calls.map(({requestId, sentAt}) => createRun({requestId, at: sentAt + 5, closedAt: sentAt + 90}))};
}

const draining: SiteEvent = {kind: 'endpoint-draining', endpoint: 'e1', at: 8000};
const stopping: SiteEvent = {
	kind: 'stop-requested', instance: 'i1', at: 9990, until: 12_000,
};
const cutCall = {status: undefined, body: '', isComplete: false};
const part = formatStreamEvent(1);
const whole = Array.from({length: streamEvents}, (_, index) => formatStreamEvent(index + 1)).join('');
const leftCalls = createCalls(12, 100, {...cutCall, kind: 'stream', leftAt: 10_050});
const storeFault = {
	kind: 'store', instance: 'i1', at: 6000, until: 9000,
};

/** For each promise a history that breaks it, and one like it that does not. */
const cases: Record<CheckName, {readonly broken: Partial<History>; readonly kept: Partial<History>}> = {
	'runs-at-most-once': {
		broken: {calls: [createCall({kind: 'booking'})], runs: [createRun(), createRun({endpoint: 'e2'})]},
		kept: {calls: [createCall({kind: 'booking'})], runs: [createRun(), createRun({endpoint: 'e2', isRun: false})]},
	},
	'own-answer': {
		broken: {calls: [createCall({body: 'answer to c2'})]},
		kept: {calls: [createCall({body: 'answer to c2', isComplete: false})]},
	},
	'stream-in-order': {
		broken: {calls: [createCall({kind: 'stream', body: part + formatStreamEvent(3), isComplete: false})]},
		kept: {calls: [createCall({kind: 'stream', body: whole})]},
	},
	'refusal-is-true': {
		broken: {calls: [createCall({kind: 'booking', status: 503})]},
		kept: {calls: [createCall({kind: 'booking', status: 502})]},
	},
	'draining-endpoint-unused': {
		broken: {events: [draining]},
		kept: {events: [draining], disturbances: [storeFault]},
	},
	'evacuated-zone-unused': {
		broken: {
			events: [{
				kind: 'zone-evacuated', availabilityZone: 'a', at: 5000, until: 20_000,
			}],
		},
		kept: {
			events: [{
				kind: 'zone-evacuated', availabilityZone: 'a', at: 5000, until: 10_000,
			}],
		},
	},
	'revoked-key-unused': {
		broken: {events: [{kind: 'key-revoked', key: 'k', at: 4900}], disturbances: [storeFault]},
		kept: {events: [{kind: 'key-revoked', key: 'k', at: 5100}]},
	},
	'configuration-in-force': {
		broken: {
			events: [{
				kind: 'lookups-moved', service: 'calendars', at: 7000, until: Infinity,
			}],
		},
		kept: {
			events: [{
				kind: 'lookups-moved', service: 'calendars', at: 8500, until: Infinity,
			}],
		},
	},
	'versions-grow': {
		broken: {processes: [{instance: 'i1', versions: [1, 4, 3]}]},
		kept: {processes: [{instance: 'i1', versions: [1, 4]}, {instance: 'i1', versions: [3]}]},
	},
	'quota-kept': {
		broken: createCalls(80, 50, {workspace: limitedWorkspace, units: 200}),
		kept: createCalls(60, 50, {workspace: limitedWorkspace, units: 200}),
	},
	'repeats-bounded': {
		broken: {runs: Array.from({length: 12}, (_, index) => createRun({at: 10_050 + index}))},
		kept: {runs: Array.from({length: 11}, (_, index) => createRun({at: 10_050 + index}))},
	},
	'cold-endpoint-spared': {
		broken: {
			...createCalls(12, 50), events: [{
				kind: 'endpoint-cold', endpoint: 'e1', at: 10_000, until: 13_000,
			}],
		},
		kept: {
			...createCalls(12, 150), events: [{
				kind: 'endpoint-cold', endpoint: 'e1', at: 10_000, until: 13_000,
			}],
		},
	},
	'planned-stop-without-cut': {
		broken: {calls: [createCall({...cutCall, endedAt: 11_000})], events: [stopping]},
		kept: {calls: [createCall({...cutCall, endedAt: 10_100})], runs: [], events: [stopping]},
	},
	'left-caller-cancelled': {
		broken: {...leftCalls, runs: leftCalls.runs.map(run => ({...run, at: 10_010, closedAt: 11_000}))},
		kept: {...leftCalls, runs: leftCalls.runs.map(run => ({...run, at: 10_010, closedAt: 10_500}))},
	},
	'no-exit-unasked': {
		broken: {exits: [{instance: 'i1', at: 10_000}]},
		kept: {},
	},
	'served-after-faults': {
		broken: {finalCalls: [createCall({status: 503})]},
		kept: {finalCalls: [createCall()]},
	},
};

for (const [name, {broken, kept}] of Object.entries(cases) as Array<[CheckName, (typeof cases)[CheckName]]>) {
	test(`${name} reports a history that breaks the promise and no other`, t => {
		t.true(checks[name](createHistory(broken)).length > 0);
		t.deepEqual(checks[name](createHistory(kept)), []);
	});
}

test('a sound history has no violation', t => {
	t.deepEqual(findViolations(createHistory()), []);
});
