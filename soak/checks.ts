import type {Milliseconds} from '../src/shared/clock.js';
import {plainResponseBody, formatStreamEvent} from '../standins/platform-endpoint.js';
import {
	requestKinds, type RequestKind, type RequestRecord, type History, type ReceivedRequestRecord, type SiteEvent,
} from './history.js';

/** The bounds that the deployment guarantees. The settings of the soak's instances contain the same values. */
export const bounds = {
	contactLossMs: 3000,
	drainingMs: 2000,
	evacuationMs: 5000,
	configurationMs: 2000,
	revocationMs: 5000,
	/** Time after a statement of an endpoint from which the instance that passed it on is bound by it. */
	tellMs: 500,
	/** Time before a restore of the store within which no instance may have read a change, so that it is lost until it is written again: an outage of 700 ms, and the time until an instance reads a change. */
	unreadMs: 2500,
	stopGraceMs: 8000,
	/** A request around a planned stop may fail within this time after it was sent, if no endpoint received it. */
	stopDropMs: 200,
	/** Time after a caller's disconnect within which the endpoint has to stop working on its request. */
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

/** Workspace whose quota is smaller than the load of its callers. */
export const limitedWorkspace = 'busy';

/** Events of each stream. */
export const streamEventCount = 15;

/** Cancellation counts as broken above this ratio of disconnected requests that endpoints still work on. Fewer cases than the minimum prove nothing. */
const uncancelledLimit = {ratio: 0.25, minimumCases: 8} as const;

/** Requests of callers that have left that may still reach endpoints in a run. */
const lateArrivalLimit = 3;

/** Statuses that tell the caller that no endpoint has run the request. */
const notRunStatuses = new Set([408, 421, 429, 503]);

/** Crashes with a part after which it has to be withheld, and requests with it that may still reach engines. */
const crashesUntilWithheld = 5;
const requestsAfterWithheld = 3;

const secondMs: Milliseconds = 1000;

/** Window of limits that endpoints name, and requests that they may get beyond one and a half times the limit. */
const limitWindowMs: Milliseconds = 4000;
const limitSlack = 5;

/** Requests that may reach an endpoint from an instance that it has asked to wait. */
const requestsInRetryTime = 2;

/** Time after SIGHUP or a new configuration in which no request may be cut. */
const changeMs: Milliseconds = bounds.configurationMs + secondMs;

/** Requests that are sent within this time after SIGTERM may be cut near the end of the grace, while their endpoints work. */
const acceptedAfterStopMs: Milliseconds = 3000;
const lateGraceFraction = 5 / 6;

type Check = (history: History) => string[];

const completeStream = Array.from({length: streamEventCount}, (_, index) => formatStreamEvent(index + 1)).join('');

function isStream(kind: RequestKind): boolean {
	return kind === requestKinds.stream || kind === requestKinds.draft;
}

function eventsOf<Kind extends SiteEvent['kind']>({events}: History, kind: Kind): Array<Extract<SiteEvent, {kind: Kind}>> {
	return events.filter((event): event is Extract<SiteEvent, {kind: Kind}> => event.kind === kind);
}

/** Whether a change may have been lost by a restore of the store before any instance had read it. */
function mayBeLost({events}: History, {at}: SiteEvent): boolean {
	return events.some(event => event.kind === 'store-restored' && at <= event.at && at > event.at - bounds.unreadMs);
}

/** Requests that endpoints ran, with the records of their callers. */
function findExecutedRequests({requests, receivedRequests}: History): Array<{request: RequestRecord; received: ReceivedRequestRecord}> {
	const requestsById = new Map(requests.map(request => [request.requestId, request]));
	return receivedRequests.flatMap(received => {
		const request = requestsById.get(received.requestId);
		return request !== undefined && received.isExecuted ? [{request, received}] : [];
	});
}

/** Whether the instance of a request had no fault of its own while it handled the request and within `contactLossMs` before. An earlier fault excuses nothing: the bounds hold again from then on. */
function isInstanceUnaffected({faultPeriods}: History, {instance, sentAt}: RequestRecord, {receivedAt}: ReceivedRequestRecord): boolean {
	return !faultPeriods.some(period => period.instance === instance && period.at <= receivedAt && period.until >= sentAt - bounds.contactLossMs);
}

/** Times at which no instance ran, so that none remembers what engines crashed on. */
function findFleetLosses({faultPeriods, events, processes}: History): Milliseconds[] {
	const instances = [...new Set(processes.map(({instance}) => instance))];
	const absences = [
		...faultPeriods.filter(({kind}) => kind === 'killed'),
		...events.filter(event => event.kind === 'stop-requested'),
	];
	return absences.map(({at}) => at)
		.filter(at => instances.every(instance => absences.some(absence => absence.instance === instance && absence.at <= at && absence.until >= at)))
		.toSorted((a, b) => a - b);
}

type Arrival = {readonly request: RequestRecord; readonly received: ReceivedRequestRecord};

/** Whether the process of an instance was killed, stopped or frozen at some time within a period. */
function wasAway({faultPeriods, events}: History, instance: string, from: Milliseconds, until: Milliseconds): boolean {
	const absences = [...faultPeriods.filter(({kind}) => kind === 'killed' || kind === 'frozen'), ...events.filter(event => event.kind === 'stop-requested')];
	return absences.some(absence => absence.instance === instance && absence.at <= until && absence.until >= from);
}

/** Whether an instance had passed on a response with a statement before a time, and was not away from then until a request reached the endpoint. */
function wasTold(history: History, {request: {instance}, received}: Arrival, before: Milliseconds, hasStatement: (request: RequestRecord) => boolean): boolean {
	return history.requests.some(request => request.instance === instance && request.endedAt <= before && hasStatement(request)
		&& !wasAway(history, instance, request.endedAt, received.receivedAt));
}

/** Requests that reached an endpoint, without those that a fault of its connections may have held up. */
function findArrivals(history: History, endpoint: string): Arrival[] {
	const requestsById = new Map(history.requests.map(request => [request.requestId, request]));
	const heldUp = history.faultPeriods.filter(period => period.kind === 'endpoint-connections' && period.endpoint === endpoint);
	return history.receivedRequests.flatMap(received => {
		const request = requestsById.get(received.requestId);
		const isHeldUp = heldUp.some(({at, until}) => at <= received.receivedAt && until >= received.receivedAt - bounds.contactLossMs);
		return received.endpoint === endpoint && received.isExpected && !isHeldUp && request !== undefined ? [{request, received}] : [];
	});
}

function isWithoutFaults({faultPeriods}: History, from: Milliseconds, until: Milliseconds): boolean {
	return !faultPeriods.some(period => period.at <= until && period.until >= from - bounds.contactLossMs);
}

function findRequestsOfService({receivedRequests}: History, service: string): ReceivedRequestRecord[] {
	return receivedRequests.filter(received => received.service === service).toSorted((a, b) => a.receivedAt - b.receivedAt);
}

type PlannedWork = {
	readonly what: string;
	/** Without one it concerns all instances. */
	readonly instance?: string;
	readonly at: Milliseconds;
	/** Later requests are not those of the process concerned. */
	readonly sentBefore: Milliseconds;
	readonly endedBefore: Milliseconds;
};

function findPlannedWork(history: History): PlannedWork[] {
	const untilChanged = (at: Milliseconds) => ({at, sentBefore: Infinity, endedBefore: at + changeMs});
	return [
		...eventsOf(history, 'stop-requested').map(({instance, at, until}) => ({
			what: 'SIGTERM', instance, at, sentBefore: until, endedBefore: Infinity,
		})),
		...eventsOf(history, 'hang-up').map(({instance, at}) => ({what: 'SIGHUP', instance, ...untilChanged(at)})),
		...eventsOf(history, 'configuration-published').map(({at}) => ({what: 'a configuration', ...untilChanged(at)})),
	];
}

/** Whether a request may end without an answer: its deadline was reached, its endpoint ended, or still worked on it near the end of the grace. */
function mayBeCut(history: History, request: RequestRecord): boolean {
	const received = history.receivedRequests.filter(({requestId}) => requestId === request.requestId);
	const isEnded = eventsOf(history, 'endpoint-ended').some(({endpoint, at}) => request.endedAt >= at && request.endedAt <= at + secondMs
		&& received.some(other => other.endpoint === endpoint && other.receivedAt <= at));
	const isWorkedOn = eventsOf(history, 'stop-requested').some(({instance, at}) => request.instance === instance && request.sentAt <= at + acceptedAfterStopMs
		&& request.endedAt >= at + (bounds.stopGraceMs * lateGraceFraction)
		&& received.some(({isExecuted, closedAt}) => isExecuted && (closedAt ?? Infinity) >= at + (bounds.stopGraceMs * lateGraceFraction)));
	return isEnded || isWorkedOn || request.endedAt - request.sentAt >= request.deadlineMs;
}

/** One check for each guarantee; it returns descriptions of the violations in a history. */
export const checks = {
	'runs-at-most-once'(history) {
		const runCounts = new Map<string, number>();
		for (const {request} of findExecutedRequests(history)) {
			if (request.kind === requestKinds.booking || request.kind === requestKinds.draft) {
				runCounts.set(request.requestId, (runCounts.get(request.requestId) ?? 0) + 1);
			}
		}

		return [...runCounts].filter(([, count]) => count > 1).map(([id, count]) => `${id} ran ${count} times`);
	},
	'own-answer'({requests}) {
		return requests
			.filter(({kind, status, isComplete, requestId, body}) => status === 200 && isComplete && !isStream(kind) && body !== plainResponseBody(requestId))
			.map(({requestId, body}) => `${requestId} got ${JSON.stringify(body.slice(0, 80))}`);
	},
	'stream-in-order'({requests}) {
		return requests
			.filter(({kind, status, isComplete, body}) => status === 200 && isStream(kind) && (isComplete ? body !== completeStream : !completeStream.startsWith(body)))
			.map(({requestId, body, isComplete}) => `${requestId} got ${body.length} of ${completeStream.length} characters, ${isComplete ? 'complete' : 'cut'}`);
	},
	'refusal-is-true'(history) {
		return findExecutedRequests(history)
			.filter(({request}) => request.status !== undefined && notRunStatuses.has(request.status))
			.map(({request, received}) => `${request.requestId} was answered ${request.status} and ran at ${received.endpoint}`);
	},
	'draining-endpoint-unused'(history) {
		return eventsOf(history, 'endpoint-draining').filter(event => !mayBeLost(history, event)).flatMap(event => findExecutedRequests(history)
			.filter(({request, received}) => received.endpoint === event.endpoint && received.receivedAt > event.at + bounds.drainingMs
				&& isInstanceUnaffected(history, request, received))
			.map(({request, received}) => `${request.requestId} reached ${event.endpoint} ${Math.round(received.receivedAt - event.at)} ms after it was set to draining`));
	},
	'evacuated-zone-unused'(history) {
		return eventsOf(history, 'zone-evacuated').filter(event => !mayBeLost(history, event)).flatMap(event => findExecutedRequests(history)
			.filter(({request, received}) => received.availabilityZone === event.availabilityZone
				&& received.receivedAt > event.at + bounds.evacuationMs && received.receivedAt < event.until
				&& isInstanceUnaffected(history, request, received))
			.map(({request, received}) => `${request.requestId} reached ${received.endpoint} in evacuated zone ${event.availabilityZone}`));
	},
	'revoked-key-unused'(history) {
		return eventsOf(history, 'key-revoked').filter(event => !mayBeLost(history, event)).flatMap(event => findExecutedRequests(history)
			.filter(({request}) => request.key === event.key && request.sentAt > event.at + bounds.revocationMs)
			.map(({request}) => `${request.requestId} ran with ${event.key}, sent ${Math.round(request.sentAt - event.at)} ms after its revocation`));
	},
	'configuration-in-force'(history) {
		return eventsOf(history, 'lookups-moved').filter(event => !mayBeLost(history, event)).flatMap(event => findExecutedRequests(history)
			.filter(({request, received}) => request.kind === requestKinds.lookup && received.service !== event.service
				&& request.sentAt > event.at + bounds.configurationMs && request.sentAt < event.until
				&& isInstanceUnaffected(history, request, received))
			.map(({request, received}) => `${request.requestId} ran at ${received.service}, sent ${Math.round(request.sentAt - event.at)} ms after lookups moved to ${event.service}`));
	},
	'versions-grow'({processes}) {
		return processes
			.filter(({versions}) => versions.some((version, index) => index > 0 && version <= versions[index - 1]!))
			.map(({instance, versions}) => `${instance} took over versions ${versions.join(', ')}`);
	},
	'requests-in-one-state'({processes}) {
		return processes.flatMap(({instance, invalidRequestIds}) => invalidRequestIds.map(requestId => `${instance} had ${requestId} neither waiting nor in an attempt, or both`));
	},
	'quota-kept'(history) {
		const used = findExecutedRequests(history).filter(({request}) => request.workspace === limitedWorkspace).toSorted((a, b) => a.request.sentAt - b.request.sentAt);
		const allowed = (((bounds.quotaPerSecond * bounds.quotaWindowMs / secondMs) + bounds.quotaBurst) * (1 + bounds.quotaOverageRatio)) + bounds.quotaSlackTokens;
		for (const [index, {request: {sentAt}}] of used.entries()) {
			let units = 0;
			for (let other = index; other < used.length && used[other]!.request.sentAt <= sentAt + bounds.quotaWindowMs; other++) {
				const {request, received} = used[other]!;
				units += received.receivedAt <= sentAt + bounds.quotaWindowMs ? request.units : 0;
			}

			if (units > allowed) {
				return [`${units} units ran in the window from ${Math.round(sentAt)}, of ${allowed} allowed`];
			}
		}

		return [];
	},
	'repeats-bounded'(history) {
		const violations: string[] = [];
		for (const service of new Set(history.receivedRequests.map(received => received.service))) {
			const receivedRequests = findRequestsOfService(history, service);
			const firstReceived = new Map<string, ReceivedRequestRecord>();
			const retries = receivedRequests.filter(received => {
				const isRetry = firstReceived.has(received.requestId);
				firstReceived.set(received.requestId, firstReceived.get(received.requestId) ?? received);
				return isRetry;
			});
			const firstTimes = [...firstReceived.values()].map(({receivedAt}) => receivedAt);
			const countIn = (times: readonly Milliseconds[], from: Milliseconds) => times.filter(time => time >= from && time < from + bounds.retryWindowMs).length;
			for (const {receivedAt} of retries) {
				const requestCount = Math.max(...[0, 0.5, 1].map(windows => countIn(firstTimes, receivedAt - (windows * bounds.retryWindowMs))));
				const retryCount = countIn(retries.map(received => received.receivedAt), receivedAt);
				if (retryCount > (bounds.retryRatio * requestCount) + bounds.retryExtra) {
					violations.push(`${retryCount} retries of ${requestCount} requests at ${service} in the window from ${Math.round(receivedAt)}`);
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
				.filter(received => received.endpoint === event.endpoint && received.isExpected && received.receivedAt >= event.at && received.receivedAt < event.until)
				.map(({receivedAt}) => receivedAt);
			const most = Math.max(0, ...times.map(from => times.filter(time => time >= from && time < from + secondMs).length));
			return most > allowed ? [`${event.endpoint} got ${most} requests in a second while cold, of ${allowed} allowed`] : [];
		});
	},
	'crashing-part-withheld'(history) {
		const crashes = eventsOf(history, 'engine-crashed').toSorted((a, b) => a.at - b.at);
		const boundaries = [-Infinity, ...findFleetLosses(history), Infinity];
		return [...new Set(crashes.map(({part}) => part))].flatMap(part => boundaries.slice(1).flatMap((until, index) => {
			const fifth = crashes.filter(crash => crash.part === part && crash.at >= boundaries[index]! && crash.at < until)[crashesUntilWithheld - 1];
			const later = fifth === undefined
				? []
				: findExecutedRequests(history).filter(({request, received}) => request.promptParts.includes(part)
					&& received.receivedAt > fifth.at + bounds.contactLossMs && received.receivedAt < until
					&& isInstanceUnaffected(history, request, received));
			return later.length > requestsAfterWithheld ? [`${later.length} requests with ${part} reached engines later than ${bounds.contactLossMs} ms after the fifth crash`] : [];
		}));
	},
	'sound-prompt-not-withheld'(history) {
		const crashingParts = new Set(eventsOf(history, 'engine-crashed').map(({part}) => part));
		return history.requests
			.filter(({status, body, promptParts}) => status === 503 && body.includes(':withheld') && !promptParts.some(part => crashingParts.has(part)))
			.map(({requestId, instance, promptParts}) => `${requestId} with ${promptParts.join(',')} was withheld at ${instance}`);
	},
	'stated-limit-kept'(history) {
		return eventsOf(history, 'endpoint-limited').flatMap(({endpoint, perSecond, at, until}) => {
			const allowed = (1.5 * perSecond * limitWindowMs / secondMs) + limitSlack;
			const times = findArrivals(history, endpoint)
				.filter(arrival => arrival.received.receivedAt >= at + bounds.contactLossMs && arrival.received.receivedAt <= until
					&& wasTold(history, arrival, arrival.received.receivedAt - bounds.tellMs, ({statement}) => statement?.endpoint === endpoint && statement.hasLimit))
				.map(({received}) => received.receivedAt);
			const most = Math.max(0, ...times.map(from => times.filter(time => time >= from && time < from + limitWindowMs).length));
			return most > allowed ? [`${endpoint} named ${perSecond} requests a second and got ${most} in ${limitWindowMs} ms, of ${allowed} allowed`] : [];
		});
	},
	'stated-leaving-unused'(history) {
		return eventsOf(history, 'endpoint-states-leaving').flatMap(({endpoint, until}) => findArrivals(history, endpoint)
			.filter(arrival => arrival.received.receivedAt <= until
				&& wasTold(history, arrival, arrival.request.sentAt - bounds.drainingMs, ({statement}) => statement?.endpoint === endpoint && statement.isLeaving))
			.map(({request}) => `${request.requestId} reached ${endpoint}, which had stated to ${request.instance} that it leaves`));
	},
	'retry-time-kept'(history) {
		return history.receivedRequests.filter(({retryAfterMs}) => retryAfterMs !== undefined).flatMap(({requestId, endpoint, start, receivedAt, retryAfterMs}) => {
			const instance = history.requests.find(request => request.requestId === requestId)?.instance;
			const later = findArrivals(history, endpoint).filter(({request, received}) => request.instance === instance && received.start === start
				&& received.receivedAt > receivedAt + bounds.tellMs && received.receivedAt < receivedAt + retryAfterMs!
				&& !wasAway(history, request.instance, receivedAt, received.receivedAt));
			return later.length > requestsInRetryTime ? [`${endpoint} got ${later.length} requests of ${instance} within ${retryAfterMs} ms after it had turned ${requestId} away`] : [];
		});
	},
	'planned-stop-without-cut'(history) {
		const receivedIds = new Set(history.receivedRequests.map(({requestId}) => requestId));
		const cut = history.requests.filter(request => request.disconnectedAt === undefined && !request.isComplete
			&& (receivedIds.has(request.requestId) || (request.endedAt - request.sentAt > bounds.stopDropMs && !wasConnectionRefused(request)))
			&& isWithoutFaults(history, request.sentAt, request.endedAt)
			&& !mayBeCut(history, request));
		const plannedWork = findPlannedWork(history);
		return cut.flatMap(request => {
			const work = plannedWork.find(({instance, at, sentBefore, endedBefore}) => (instance === undefined || request.instance === instance)
				&& request.endedAt > at && request.endedAt <= endedBefore && request.sentAt < sentBefore);
			return work === undefined ? [] : [`${request.requestId} was cut at ${request.instance} ${Math.round(request.endedAt - work.at)} ms after ${work.what} (${request.failureCode ?? 'incomplete'})`];
		});
	},
	'left-caller-cancelled'(history) {
		const disconnected = findExecutedRequests(history).filter(({request, received}) => isStream(request.kind) && request.disconnectedAt !== undefined
			&& received.receivedAt <= request.disconnectedAt
			&& isWithoutFaults(history, request.sentAt, request.disconnectedAt + secondMs));
		const late = disconnected.filter(({request, received}) => (received.closedAt ?? Infinity) > request.disconnectedAt! + bounds.cancellationMs);
		return disconnected.length >= uncancelledLimit.minimumCases && late.length > uncancelledLimit.ratio * disconnected.length
			? [`${late.length} of ${disconnected.length} requests were worked on after their callers had left`]
			: [];
	},
	'left-caller-not-sent'(history) {
		const late = [...new Set(history.receivedRequests.map(({endpoint}) => endpoint))].flatMap(endpoint => findArrivals(history, endpoint)
			.filter(({request, received}) => received.receivedAt > (request.disconnectedAt ?? Infinity) + bounds.cancellationMs));
		return late.length > lateArrivalLimit
			? late.map(({request, received}) => `${request.requestId} reached ${received.endpoint} from ${request.instance} ${Math.round(received.receivedAt - request.disconnectedAt!)} ms after its caller had left`)
			: [];
	},
	'no-exit-unasked'({exits}) {
		return exits.map(({instance, at}) => `${instance} ended by itself at ${Math.round(at)}`);
	},
	'served-after-faults'({finalRequests}) {
		return finalRequests
			.filter(({status, isComplete}) => status !== 200 || !isComplete)
			.map(({requestId, instance, status}) => `${requestId} at ${instance} was answered ${status ?? 'not at all'}`);
	},
} as const satisfies Record<string, Check>;

export type CheckName = keyof typeof checks;

export type Violation = {readonly check: CheckName; readonly detail: string};

/** Whether no process listened at the instance: nothing was sent, however late the callers' thread reads that. */
function wasConnectionRefused({failureCode}: RequestRecord): boolean {
	return failureCode === 'ECONNREFUSED';
}

/** Runs all checks. */
export function findViolations(history: History): Violation[] {
	return (Object.keys(checks) as CheckName[]).flatMap(check => checks[check](history).map(detail => ({check, detail})));
}
