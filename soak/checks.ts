import type {Milliseconds} from '../src/shared/clock.js';
import {plainResponseBody, formatStreamEvent} from '../standins/platform-endpoint.js';
import {
	callKinds, type CallKind, type CallRecord, type History, type RunRecord, type SiteEvent,
} from './history.js';

/** What the deployment promises; the settings of the played instances hold the same figures. */
export const bounds = {
	contactMs: 3000,
	leavingMs: 2000,
	evacuationMs: 5000,
	configurationMs: 2000,
	revocationMs: 5000,
	/** Time within which a request may be dropped around a planned stop, if no endpoint got it. */
	unreadMs: 200,
	/** Time after which an endpoint may no longer work for a caller that left. */
	cancellationMs: 500,
	retryShare: 0.2,
	retryExtra: 10,
	retryWindowMs: 10_000,
	quotaPerSecond: 1000,
	quotaBurst: 1000,
	quotaOverage: 0.25,
	quotaSlack: 2000,
	quotaWindowMs: 8000,
	coldRequestsPerSecond: 4,
	coldOverage: 1.5,
	coldSlack: 5,
} as const;

/** Workspace whose quota is smaller than what its callers ask for. */
export const limitedWorkspace = 'busy';

/** Events of each stream. */
export const streamEvents = 15;

/** Share of a closed caller's requests that may still be worked on, from which the cancellation counts as missing; few cases say nothing. */
const uncancelled = {share: 0.25, leastCases: 8} as const;

/** Statuses that promise that a request has not run. */
const notRunStatuses = new Set([408, 421, 429, 503]);

const second: Milliseconds = 1000;

type Check = (history: History) => string[];

const wholeStream = Array.from({length: streamEvents}, (_, index) => formatStreamEvent(index + 1)).join('');

function isStream(kind: CallKind): boolean {
	return kind === callKinds.stream || kind === callKinds.draft;
}

function eventsOf<Kind extends SiteEvent['kind']>({events}: History, kind: Kind): Array<Extract<SiteEvent, {kind: Kind}>> {
	return events.filter((event): event is Extract<SiteEvent, {kind: Kind}> => event.kind === kind);
}

/** Requests that endpoints ran, with what their callers noted. */
function ranCalls({calls, runs}: History): Array<{call: CallRecord; run: RunRecord}> {
	const byId = new Map(calls.map(call => [call.requestId, call]));
	return runs.flatMap(run => {
		const call = byId.get(run.requestId);
		return call !== undefined && run.isRun ? [{call, run}] : [];
	});
}

/** Whether an instance had no trouble of its own between two times and a while before. */
function isInTouch({disturbances}: History, instance: string, from: Milliseconds, until: Milliseconds): boolean {
	return !disturbances.some(fault => fault.instance === instance && fault.at <= until && fault.until >= from - bounds.contactMs);
}

function isUndisturbed({disturbances}: History, from: Milliseconds, until: Milliseconds): boolean {
	return !disturbances.some(fault => fault.at <= until && fault.until >= from - bounds.contactMs);
}

function runsOfService({runs}: History, service: string): RunRecord[] {
	return runs.filter(run => run.service === service).toSorted((a, b) => a.at - b.at);
}

/** The promises, each with the violations that a history holds. */
export const checks = {
	'runs-at-most-once'(history) {
		const runs = new Map<string, number>();
		for (const {call} of ranCalls(history)) {
			if (call.kind === callKinds.booking || call.kind === callKinds.draft) {
				runs.set(call.requestId, (runs.get(call.requestId) ?? 0) + 1);
			}
		}

		return [...runs].filter(([, count]) => count > 1).map(([id, count]) => `${id} ran ${count} times`);
	},
	'own-answer'({calls}) {
		return calls
			.filter(({kind, status, isComplete, requestId, body}) => status === 200 && isComplete && !isStream(kind) && body !== plainResponseBody(requestId))
			.map(({requestId, body}) => `${requestId} got ${JSON.stringify(body.slice(0, 80))}`);
	},
	'stream-in-order'({calls}) {
		return calls
			.filter(({kind, status, isComplete, body}) => status === 200 && isStream(kind) && (isComplete ? body !== wholeStream : !wholeStream.startsWith(body)))
			.map(({requestId, body, isComplete}) => `${requestId} got ${body.length} of ${wholeStream.length} characters, ${isComplete ? 'complete' : 'cut'}`);
	},
	'refusal-is-true'(history) {
		return ranCalls(history)
			.filter(({call}) => call.status !== undefined && notRunStatuses.has(call.status))
			.map(({call, run}) => `${call.requestId} was answered ${call.status} and ran at ${run.endpoint}`);
	},
	'draining-endpoint-unused'(history) {
		return eventsOf(history, 'endpoint-draining').flatMap(event => ranCalls(history)
			.filter(({call, run}) => run.endpoint === event.endpoint && run.at > event.at + bounds.leavingMs && isInTouch(history, call.instance, event.at, run.at))
			.map(({call, run}) => `${call.requestId} reached ${event.endpoint} ${Math.round(run.at - event.at)} ms after its leaving`));
	},
	'evacuated-zone-unused'(history) {
		return eventsOf(history, 'zone-evacuated').flatMap(event => ranCalls(history)
			.filter(({call, run}) => run.availabilityZone === event.availabilityZone
				&& run.at > event.at + bounds.evacuationMs && run.at < event.until
				&& isInTouch(history, call.instance, event.at, run.at))
			.map(({call, run}) => `${call.requestId} reached ${run.endpoint} in evacuated zone ${event.availabilityZone}`));
	},
	'revoked-key-unused'(history) {
		return eventsOf(history, 'key-revoked').flatMap(event => ranCalls(history)
			.filter(({call}) => call.key === event.key && call.sentAt > event.at + bounds.revocationMs)
			.map(({call}) => `${call.requestId} ran with ${event.key}, sent ${Math.round(call.sentAt - event.at)} ms after its revocation`));
	},
	'configuration-in-force'(history) {
		return eventsOf(history, 'lookups-moved').flatMap(event => ranCalls(history)
			.filter(({call, run}) => call.kind === callKinds.lookup && run.service !== event.service
				&& call.sentAt > event.at + bounds.configurationMs && call.sentAt < event.until
				&& isInTouch(history, call.instance, event.at, run.at))
			.map(({call, run}) => `${call.requestId} ran at ${run.service}, sent ${Math.round(call.sentAt - event.at)} ms after lookups moved to ${event.service}`));
	},
	'versions-grow'({processes}) {
		return processes
			.filter(({versions}) => versions.some((version, index) => index > 0 && version <= versions[index - 1]!))
			.map(({instance, versions}) => `${instance} took over versions ${versions.join(', ')}`);
	},
	'quota-kept'(history) {
		const used = ranCalls(history).filter(({call}) => call.workspace === limitedWorkspace).toSorted((a, b) => a.call.sentAt - b.call.sentAt);
		const allowed = (((bounds.quotaPerSecond * bounds.quotaWindowMs / second) + bounds.quotaBurst) * (1 + bounds.quotaOverage)) + bounds.quotaSlack;
		for (const [index, {call: {sentAt}}] of used.entries()) {
			let units = 0;
			for (let other = index; other < used.length && used[other]!.call.sentAt <= sentAt + bounds.quotaWindowMs; other++) {
				const {call, run} = used[other]!;
				units += run.at <= sentAt + bounds.quotaWindowMs ? call.units : 0;
			}

			if (units > allowed) {
				return [`${units} units ran in the window from ${Math.round(sentAt)}, of ${allowed} allowed`];
			}
		}

		return [];
	},
	'repeats-bounded'(history) {
		const violations: string[] = [];
		for (const service of new Set(history.runs.map(run => run.service))) {
			const runs = runsOfService(history, service);
			const firstRuns = new Map<string, RunRecord>();
			const repeats = runs.filter(run => {
				const isRepeat = firstRuns.has(run.requestId);
				firstRuns.set(run.requestId, firstRuns.get(run.requestId) ?? run);
				return isRepeat;
			});
			const requests = [...firstRuns.values()].map(({at}) => at);
			const countIn = (times: readonly Milliseconds[], from: Milliseconds) => times.filter(time => time >= from && time < from + bounds.retryWindowMs).length;
			for (const {at} of repeats) {
				const asked = Math.max(...[0, 0.5, 1].map(windows => countIn(requests, at - (windows * bounds.retryWindowMs))));
				const repeated = countIn(repeats.map(run => run.at), at);
				if (repeated > (bounds.retryShare * asked) + bounds.retryExtra) {
					violations.push(`${repeated} repeats of ${asked} requests at ${service} in the window from ${Math.round(at)}`);
					break;
				}
			}
		}

		return violations;
	},
	'cold-endpoint-spared'(history) {
		const allowed = (bounds.coldRequestsPerSecond * bounds.coldOverage) + bounds.coldSlack;
		return eventsOf(history, 'endpoint-cold').flatMap(event => {
			const times = history.runs
				.filter(run => run.endpoint === event.endpoint && run.isExpected && run.at >= event.at && run.at < event.until)
				.map(({at}) => at);
			const most = Math.max(0, ...times.map(from => times.filter(time => time >= from && time < from + second).length));
			return most > allowed ? [`${event.endpoint} got ${most} requests in a second while cold, of ${allowed} allowed`] : [];
		});
	},
	'planned-stop-without-cut'(history) {
		const seen = new Set(history.runs.map(({requestId}) => requestId));
		return eventsOf(history, 'stop-requested').flatMap(event => history.calls
			.filter(call => call.instance === event.instance && call.endedAt > event.at && call.sentAt < event.until
				&& call.leftAt === undefined && !call.isComplete
				&& (seen.has(call.requestId) || call.endedAt - call.sentAt > bounds.unreadMs)
				&& isUndisturbed(history, call.sentAt, call.endedAt))
			.map(call => `${call.requestId} was cut ${Math.round(call.endedAt - event.at)} ms after ${call.instance} was asked to stop`));
	},
	'left-caller-cancelled'(history) {
		const left = ranCalls(history).filter(({call, run}) => isStream(call.kind) && call.leftAt !== undefined && run.at <= call.leftAt
			&& isUndisturbed(history, call.sentAt, call.leftAt + second));
		const late = left.filter(({call, run}) => (run.closedAt ?? Infinity) > call.leftAt! + bounds.cancellationMs);
		return left.length >= uncancelled.leastCases && late.length > uncancelled.share * left.length
			? [`${late.length} of ${left.length} requests were worked on after their callers had left`]
			: [];
	},
	'no-exit-unasked'({exits}) {
		return exits.map(({instance, at}) => `${instance} ended by itself at ${Math.round(at)}`);
	},
	'served-after-faults'({finalCalls}) {
		return finalCalls
			.filter(({status, isComplete}) => status !== 200 || !isComplete)
			.map(({requestId, instance, status}) => `${requestId} at ${instance} was answered ${status ?? 'not at all'}`);
	},
} as const satisfies Record<string, Check>;

export type CheckName = keyof typeof checks;

export type Violation = {readonly check: CheckName; readonly detail: string};

/** Runs all checks. */
export function findViolations(history: History): Violation[] {
	return (Object.keys(checks) as CheckName[]).flatMap(check => checks[check](history).map(detail => ({check, detail})));
}
