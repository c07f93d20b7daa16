import test from 'ava';
import type {DispatchOrder, DispatchResult} from '../../../src/entry/dispatch/types.js';
import type {Reservation} from '../../../src/entry/limits/types.js';
import {Metrics} from '../../../src/entry/observability/index.js';
import {TierQueue} from '../../../src/entry/queue/tier-queue.js';
import {RequestRegistry} from '../../../src/entry/requests/index.js';
import {Admission} from '../../../src/entry/scheduler/admission.js';
import type {PendingRequest, SchedulerContext} from '../../../src/entry/scheduler/context.js';
import {Dispatching} from '../../../src/entry/scheduler/dispatching.js';
import type {SchedulerMessage} from '../../../src/entry/scheduler/messages.js';
import type {PhaseReports} from '../../../src/entry/scheduler/phase-reports.js';
import {RetryBudget} from '../../../src/entry/scheduler/retry-budget.js';
import type {DirectoryEndpoint} from '../../../src/entry/scheduler/service-directory.js';
import {createFailure} from '../../../src/shared/failure.js';
import {Invariants} from '../../../src/shared/invariants.js';
import {ManualClock} from '../../fixtures/manual-clock.js';
import {createVersion, initialState} from '../../fixtures/scheduler-group/group-configuration.js';
import {createSubmission} from '../../fixtures/submission.js';

/** Starts a dispatch of an idempotent request, ends it with a result after the deadline of a shutdown, and returns what became of the request. */
async function endAfterDeadline(result: DispatchResult, isWritten: boolean) {
	const clock = ManualClock.create();
	const invariants = Invariants.create('throw');
	const current = createVersion(1, 1, initialState);
	const queue = TierQueue.create({clock, invariants, capacity: 10});
	const registry = RequestRegistry.create({
		slot: 'entry-1', incarnation: 'a', clock, invariants, policy: current.configuration.policy,
	});
	const retryBudget = RetryBudget.create();
	retryBudget.recordRequest(1);
	const pending = new Map<string, PendingRequest>();
	let end: (result: DispatchResult) => void = () => undefined;
	const opened = registry.open({fingerprint: ''});
	const requestId = opened.kind === 'new' ? opened.requestId : '';
	const handled = new Promise<void>(resolve => {
		const context = {
			clock, invariants, queue, registry, retryBudget, pending,
			metrics: Metrics.create(),
			logger: {info: () => undefined, warn: () => undefined},
			ledger: {release: () => [], isStarted: () => true},
			phases: {observeSymptom: () => []},
			peers: {send: () => true},
			prefixIndex: {recordDispatch: () => undefined},
			backoff: {recordReached: () => undefined, recordUnreachable: () => undefined},
			directory: {mayReceiveWork: () => true},
			configuration: () => current,
			mailbox: {
				post(message: SchedulerMessage) {
					if (message.kind === 'dispatch-ended') {
						dispatching.handleResult(message.requestId, message.result);
						resolve();
					}
				},
			},
			dispatchers: {
				async plain({onWrite}: DispatchOrder) {
					if (isWritten) {
						onWrite();
					}

					return new Promise<DispatchResult>(settle => {
						end = settle;
					});
				},
			},
		} as unknown as SchedulerContext;
		const phaseReports = {announceChanges: () => undefined, announceUnitsAboveLimit: () => undefined} as unknown as PhaseReports;
		const dispatching = Dispatching.create(context, Admission.create(context), phaseReports);
		const request: PendingRequest = {
			submission: createSubmission({
				requestId, kind: 'plain', service: 'diary', isIdempotent: true,
			}),
			tierRank: 0,
			weight: 1,
			unreachableAttempts: 0,
			isRetry: false,
			prefixBorrowState: 'untried',
		};
		pending.set(requestId, request);
		dispatching.start(request, {name: 'diary-1', address: '127.0.0.1:1', availabilityZone: 'a'} as DirectoryEndpoint, {reservationId: 'r', units: []} as unknown as Reservation, 0);
		dispatching.abortAll();
	});
	end(result);
	await handled;
	return {failure: registry.findRecord(requestId)?.failure, waiting: queue.size, open: registry.openCount};
}

const reset: DispatchResult = {kind: 'failed', symptom: 'reset', failure: createFailure('outcome-unknown', 'reset')};
const cancelled: DispatchResult = {kind: 'failed', symptom: 'none', failure: createFailure('cancelled', 'the dispatch was aborted', {outcome: 'unknown'})};

for (const reason of ['unreachable', 'refused-by-check', 'aborted'] as const) {
	test(`a request that was not sent (${reason}) when the entry stops is refused as not run, and not as cancelled by its caller`, async t => {
		const {failure, waiting, open} = await endAfterDeadline({kind: 'not-sent', reason, symptom: 'none'}, false);
		t.like(failure, {type: 'shutting-down', outcome: 'not-run'});
		t.deepEqual([waiting, open], [0, 0]);
	});
}

for (const [name, result] of Object.entries({reset, cancelled})) {
	test(`a request that was under way (${name}) when the entry stops is not queued again, and its outcome is unknown`, async t => {
		const {failure, waiting, open} = await endAfterDeadline(result, true);
		t.like(failure, {type: 'outcome-unknown', outcome: 'unknown'});
		t.deepEqual([waiting, open], [0, 0]);
	});
}
