import type {Milliseconds} from '../src/shared/clock.js';
import {plainResponseBody, formatStreamEvent} from '../standins/platform-endpoint.js';
import {
	requestKinds, type RequestKind, type RequestRecord, type History, type ReceivedRequestRecord, type SiteEvent,
} from './history.js';

/** What the deployment promises; the settings of the played instances hold the same figures. */
export const bounds = {
	contactLossMs: 3000,
	drainingMs: 2000,
	evacuationMs: 5000,
	configurationMs: 2000,
	revocationMs: 5000,
	/** Time within which a request may be dropped around a planned stop, if no endpoint got it. */
	stopDropMs: 200,
	/** Time after which an endpoint may no longer work for a caller that left. */
	cancellationMs: 500,
	retryRatio: 0.2,
	retryExtra: 10,
	retryWindowMs: 10_000,
	quotaPerSecond: 1000,
	quotaBurst: 1000,
	quotaOverageRatio: 0.25,
	quotaSlackTokens: 2000,
	quotaWindowMs: 8000,
	coldRequestsPerSecond: 4,
	coldRateFactor: 1.5,
	coldSlackPerSecond: 5,
} as const;

/** Workspace whose quota is smaller than what its callers ask for. */
export const limitedWorkspace = 'busy';

/** Events of each stream. */
export const streamEventCount = 15;

/** Share of a closed caller's requests that may still be worked on, from which the cancellation counts as missing; few cases say nothing. */
const uncancelledLimit = {ratio: 0.25, minimumCases: 8} as const;

/** Statuses that promise that a request has not run. */
const notRunStatuses = new Set([408, 421, 429, 503]);

const secondMs: Milliseconds = 1000;

type Check = (history: History) => string[];

const completeStream = Array.from({length: streamEventCount}, (_, index) => formatStreamEvent(index + 1)).join('');

function isStream(kind: RequestKind): boolean {
	return kind === requestKinds.stream || kind === requestKinds.draft;
}

function eventsOf<Kind extends SiteEvent['kind']>({events}: History, kind: Kind): Array<Extract<SiteEvent, {kind: Kind}>> {
	return events.filter((event): event is Extract<SiteEvent, {kind: Kind}> => event.kind === kind);
}

/** Requests that endpoints ran, with what their callers noted. */
function findExecutedRequests({requests: calls, receivedRequests: runs}: History): Array<{call: RequestRecord; run: ReceivedRequestRecord}> {
	const byId = new Map(calls.map(call => [call.requestId, call]));
	return runs.flatMap(run => {
		const call = byId.get(run.requestId);
		return call !== undefined && run.isExecuted ? [{call, run}] : [];
	});
}

/** Whether an instance had no trouble of its own between two times and a while before. */
function isInstanceUnaffected({faultPeriods: disturbances}: History, instance: string, from: Milliseconds, until: Milliseconds): boolean {
	return !disturbances.some(fault => fault.instance === instance && fault.at <= until && fault.until >= from - bounds.contactLossMs);
}

function isWithoutFaults({faultPeriods: disturbances}: History, from: Milliseconds, until: Milliseconds): boolean {
	return !disturbances.some(fault => fault.at <= until && fault.until >= from - bounds.contactLossMs);
}

function findRequestsOfService({receivedRequests: runs}: History, service: string): ReceivedRequestRecord[] {
	return runs.filter(run => run.service === service).toSorted((a, b) => a.receivedAt - b.receivedAt);
}

/** The promises, each with the violations that a history holds. */
export const checks = {
	'runs-at-most-once'(history) {
		const runs = new Map<string, number>();
		for (const {call} of findExecutedRequests(history)) {
			if (call.kind === requestKinds.booking || call.kind === requestKinds.draft) {
				runs.set(call.requestId, (runs.get(call.requestId) ?? 0) + 1);
			}
		}

		return [...runs].filter(([, count]) => count > 1).map(([id, count]) => `${id} ran ${count} times`);
	},
	'own-answer'({requests: calls}) {
		return calls
			.filter(({kind, status, isComplete, requestId, body}) => status === 200 && isComplete && !isStream(kind) && body !== plainResponseBody(requestId))
			.map(({requestId, body}) => `${requestId} got ${JSON.stringify(body.slice(0, 80))}`);
	},
	'stream-in-order'({requests: calls}) {
		return calls
			.filter(({kind, status, isComplete, body}) => status === 200 && isStream(kind) && (isComplete ? body !== completeStream : !completeStream.startsWith(body)))
			.map(({requestId, body, isComplete}) => `${requestId} got ${body.length} of ${completeStream.length} characters, ${isComplete ? 'complete' : 'cut'}`);
	},
	'refusal-is-true'(history) {
		return findExecutedRequests(history)
			.filter(({call}) => call.status !== undefined && notRunStatuses.has(call.status))
			.map(({call, run}) => `${call.requestId} was answered ${call.status} and ran at ${run.endpoint}`);
	},
	'draining-endpoint-unused'(history) {
		return eventsOf(history, 'endpoint-draining').flatMap(event => findExecutedRequests(history)
			.filter(({call, run}) => run.endpoint === event.endpoint && run.receivedAt > event.at + bounds.drainingMs && isInstanceUnaffected(history, call.instance, event.at, run.receivedAt))
			.map(({call, run}) => `${call.requestId} reached ${event.endpoint} ${Math.round(run.receivedAt - event.at)} ms after its leaving`));
	},
	'evacuated-zone-unused'(history) {
		return eventsOf(history, 'zone-evacuated').flatMap(event => findExecutedRequests(history)
			.filter(({call, run}) => run.availabilityZone === event.availabilityZone
				&& run.receivedAt > event.at + bounds.evacuationMs && run.receivedAt < event.until
				&& isInstanceUnaffected(history, call.instance, event.at, run.receivedAt))
			.map(({call, run}) => `${call.requestId} reached ${run.endpoint} in evacuated zone ${event.availabilityZone}`));
	},
	'revoked-key-unused'(history) {
		return eventsOf(history, 'key-revoked').flatMap(event => findExecutedRequests(history)
			.filter(({call}) => call.key === event.key && call.sentAt > event.at + bounds.revocationMs)
			.map(({call}) => `${call.requestId} ran with ${event.key}, sent ${Math.round(call.sentAt - event.at)} ms after its revocation`));
	},
	'configuration-in-force'(history) {
		return eventsOf(history, 'lookups-moved').flatMap(event => findExecutedRequests(history)
			.filter(({call, run}) => call.kind === requestKinds.lookup && run.service !== event.service
				&& call.sentAt > event.at + bounds.configurationMs && call.sentAt < event.until
				&& isInstanceUnaffected(history, call.instance, event.at, run.receivedAt))
			.map(({call, run}) => `${call.requestId} ran at ${run.service}, sent ${Math.round(call.sentAt - event.at)} ms after lookups moved to ${event.service}`));
	},
	'versions-grow'({processes}) {
		return processes
			.filter(({versions}) => versions.some((version, index) => index > 0 && version <= versions[index - 1]!))
			.map(({instance, versions}) => `${instance} took over versions ${versions.join(', ')}`);
	},
	'quota-kept'(history) {
		const used = findExecutedRequests(history).filter(({call}) => call.workspace === limitedWorkspace).toSorted((a, b) => a.call.sentAt - b.call.sentAt);
		const allowed = (((bounds.quotaPerSecond * bounds.quotaWindowMs / secondMs) + bounds.quotaBurst) * (1 + bounds.quotaOverageRatio)) + bounds.quotaSlackTokens;
		for (const [index, {call: {sentAt}}] of used.entries()) {
			let units = 0;
			for (let other = index; other < used.length && used[other]!.call.sentAt <= sentAt + bounds.quotaWindowMs; other++) {
				const {call, run} = used[other]!;
				units += run.receivedAt <= sentAt + bounds.quotaWindowMs ? call.units : 0;
			}

			if (units > allowed) {
				return [`${units} units ran in the window from ${Math.round(sentAt)}, of ${allowed} allowed`];
			}
		}

		return [];
	},
	'repeats-bounded'(history) {
		const violations: string[] = [];
		for (const service of new Set(history.receivedRequests.map(run => run.service))) {
			const runs = findRequestsOfService(history, service);
			const firstRuns = new Map<string, ReceivedRequestRecord>();
			const repeats = runs.filter(run => {
				const isRepeat = firstRuns.has(run.requestId);
				firstRuns.set(run.requestId, firstRuns.get(run.requestId) ?? run);
				return isRepeat;
			});
			const requests = [...firstRuns.values()].map(({receivedAt: at}) => at);
			const countIn = (times: readonly Milliseconds[], from: Milliseconds) => times.filter(time => time >= from && time < from + bounds.retryWindowMs).length;
			for (const {receivedAt: at} of repeats) {
				const asked = Math.max(...[0, 0.5, 1].map(windows => countIn(requests, at - (windows * bounds.retryWindowMs))));
				const repeated = countIn(repeats.map(run => run.receivedAt), at);
				if (repeated > (bounds.retryRatio * asked) + bounds.retryExtra) {
					violations.push(`${repeated} repeats of ${asked} requests at ${service} in the window from ${Math.round(at)}`);
					break;
				}
			}
		}

		return violations;
	},
	'cold-endpoint-spared'(history) {
		const allowed = (bounds.coldRequestsPerSecond * bounds.coldRateFactor) + bounds.coldSlackPerSecond;
		return eventsOf(history, 'endpoint-cold').flatMap(event => {
			const times = history.receivedRequests
				.filter(run => run.endpoint === event.endpoint && run.isExpected && run.receivedAt >= event.at && run.receivedAt < event.until)
				.map(({receivedAt: at}) => at);
			const most = Math.max(0, ...times.map(from => times.filter(time => time >= from && time < from + secondMs).length));
			return most > allowed ? [`${event.endpoint} got ${most} requests in a second while cold, of ${allowed} allowed`] : [];
		});
	},
	'planned-stop-without-cut'(history) {
		const seen = new Set(history.receivedRequests.map(({requestId}) => requestId));
		return eventsOf(history, 'stop-requested').flatMap(event => history.requests
			.filter(call => call.instance === event.instance && call.endedAt > event.at && call.sentAt < event.until
				&& call.disconnectedAt === undefined && !call.isComplete
				&& (seen.has(call.requestId) || call.endedAt - call.sentAt > bounds.stopDropMs)
				&& isWithoutFaults(history, call.sentAt, call.endedAt))
			.map(call => `${call.requestId} was cut ${Math.round(call.endedAt - event.at)} ms after ${call.instance} was asked to stop`));
	},
	'left-caller-cancelled'(history) {
		const left = findExecutedRequests(history).filter(({call, run}) => isStream(call.kind) && call.disconnectedAt !== undefined && run.receivedAt <= call.disconnectedAt
			&& isWithoutFaults(history, call.sentAt, call.disconnectedAt + secondMs));
		const late = left.filter(({call, run}) => (run.closedAt ?? Infinity) > call.disconnectedAt! + bounds.cancellationMs);
		return left.length >= uncancelledLimit.minimumCases && late.length > uncancelledLimit.ratio * left.length
			? [`${late.length} of ${left.length} requests were worked on after their callers had left`]
			: [];
	},
	'no-exit-unasked'({exits}) {
		return exits.map(({instance, at}) => `${instance} ended by itself at ${Math.round(at)}`);
	},
	'served-after-faults'({finalRequests: finalCalls}) {
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
