import test from 'ava';
import type {PeerMessage} from '../../../src/entry/membership/messages.js';
import {AuditTrail, Metrics} from '../../../src/entry/observability/index.js';
import {RequestRegistry} from '../../../src/entry/requests/index.js';
import {PrefixAffinity} from '../../../src/entry/routing/index.js';
import type {Submission} from '../../../src/entry/requests/types.js';
import {toWaitingItem} from '../../../src/entry/scheduler/admission.js';
import {Assignments} from '../../../src/entry/scheduler/assignment.js';
import {
	prefixBorrowStates, type Dispatcher, type PendingRequest, type SchedulerContext,
} from '../../../src/entry/scheduler/context.js';
import {createSchedulerContext} from '../../../src/entry/scheduler/create-context.js';
import type {Dispatching} from '../../../src/entry/scheduler/dispatching.js';
import {Lending} from '../../../src/entry/scheduler/lending.js';
import type {Logger} from '../../../src/shared/log.js';
import {Invariants} from '../../../src/shared/invariants.js';
import {ManualClock} from '../../fixtures/manual-clock.js';
import {
	createVersion, endpointNames, initialState, serviceOf,
} from '../../fixtures/scheduler-group/group-configuration.js';
import {createSubmission} from '../../fixtures/submission.js';

const slots = ['entry-1', 'entry-2'];
const engines = endpointNames.filter(name => serviceOf(name) === 'assistant');

/** A first block for which the first engine is not preferred. */
const firstBlock = Array.from({length: 100}, (_, index) => `block ${index}`)
	.find(block => !PrefixAffinity.create().preferredEndpoints(block, engines.map(endpoint => ({endpoint, units: initialState.units[endpoint]!}))).has(engines[0]!))!;
const prefixBlocks = [firstBlock, 'b', 'c', 'd'];

const neverEnds: Dispatcher = async () => new Promise(() => {}); // eslint-disable-line @typescript-eslint/no-empty-function -- the dispatch does not end

/** The assignments of entry-1 in a group of two, with all units that it owns free. */
function createAssignments() {
	const clock = ManualClock.create();
	const invariants = Invariants.create('throw');
	const current = createVersion(1, slots.length, initialState);
	const {policy} = current.configuration;
	const sent: PeerMessage[] = [];
	const started: string[] = [];
	const peers = {
		lease: {heldUntil: () => 1e9, isHeld: () => true, firstHeldAt: 0},
		send(_slot: string, message: PeerMessage) {
			sent.push(message);
			return true;
		},
		broadcast: () => [],
		contacts: () => [],
	} as unknown as SchedulerContext['peers'];
	const context = createSchedulerContext({
		slot: 'entry-1',
		region: 'scotland',
		incarnation: 'a',
		clock,
		logger: {info: () => undefined} as unknown as Logger,
		invariants,
		mailbox: {post: () => undefined},
		peers,
		registry: RequestRegistry.create({
			slot: 'entry-1', incarnation: 'a', clock, invariants, policy,
		}),
		metrics: Metrics.create(),
		audit: AuditTrail.create({clock}),
		dispatchers: {engine: neverEnds, plain: neverEnds},
		configuration: () => current,
	});
	const endpoints = Object.entries(current.configuration.endpoints)
		.map(([endpoint, {limit, requestTimeoutMilliseconds}]) => ({endpoint, ...limit, requestTimeoutMilliseconds}));
	context.directory.setConfiguration(current.configuration);
	context.ledger.applyLayout({
		version: 1, slots, endpoints, loanMilliseconds: 1000, leaseMilliseconds: 1000,
	});
	context.ledger.observeMajorityVersion(1);
	context.ledger.setLease(1e9, 0);
	context.ledger.endQuarantine({predecessorVersion: 1});
	context.phases.setEndpoints(endpoints);
	for (const {endpoint, units} of endpoints) {
		context.ledger.setPhaseLimit(endpoint, units);
	}

	const dispatching = {
		start({submission}: PendingRequest) {
			started.push(submission.requestId);
		},
	} as unknown as Dispatching;
	const lending = Lending.create(context);
	const enqueue = (tierRank: number, change: Partial<Submission>) => {
		const pending: PendingRequest = {
			submission: createSubmission(change), tierRank, weight: 1, unreachableAttempts: 0, isRetry: false, prefixBorrowState: prefixBorrowStates.untried,
		};
		context.pending.set(pending.submission.requestId, pending);
		context.queue.enqueue(toWaitingItem(pending));
	};

	return {
		context, lending, sent, started, enqueue, assignments: Assignments.create(context, dispatching, lending),
	};
}

/** Leaves entry-1 a single free unit, at the first engine, while entry-2 has free units of the last one, which has cached the prefix. */
function reserveAllButOneUnit({ledger, peerReports, prefixIndex}: SchedulerContext): void {
	for (const endpoint of engines) {
		const units = ledger.availableUnits(endpoint) - (endpoint === engines[0] ? 1 : 0);
		ledger.reserve({endpoint, units, requestId: `other at ${endpoint}`});
	}

	prefixIndex.recordDispatch(engines.at(-1)!, prefixBlocks);
	peerReports.record('entry-2', {
		kind: 'heartbeat',
		sequence: 1,
		incarnation: 'b',
		configurationVersion: 1,
		configurationDigest: '',
		leaving: false,
		waitingByTier: {},
		freeUnits: {[engines.at(-1)!]: 2},
		phases: [],
	});
}

// Guards against a lower tier that takes the unit a request of a higher tier could use, while that request asks a peer for a better endpoint.
test('a free unit stays free for a request that waits to borrow one where its prefix is cached', t => {
	const {assignments, context, lending, sent, started, enqueue} = createAssignments();
	reserveAllButOneUnit(context);
	enqueue(0, {requestId: 'high', prefixBlocks, promptTokens: 512});
	enqueue(2, {requestId: 'low'});
	assignments.assignUnits('assistant');
	const [request] = sent;
	t.like(request, {kind: 'borrow-request', endpoint: engines.at(-1), isImmediate: true});
	t.deepEqual(started, []);
	lending.receiveBorrowReply('entry-2', {kind: 'borrow-reply', borrowId: request!.kind === 'borrow-request' ? request.borrowId : '', units: []});
	assignments.assignUnits('assistant');
	t.deepEqual(started, ['high']);
});

test('free units go to the higher tier first', t => {
	const {assignments, context, started, enqueue} = createAssignments();
	reserveAllButOneUnit(context);
	enqueue(2, {requestId: 'low'});
	enqueue(0, {requestId: 'high'});
	assignments.assignUnits('assistant');
	t.deepEqual(started, ['high']);
});

// Guards against small requests that keep taking the units that a large one of a higher tier waits for.
test('a request that needs more units than are free blocks its best endpoint for later ones', t => {
	const {assignments, context, started, enqueue} = createAssignments();
	reserveAllButOneUnit(context);
	enqueue(0, {requestId: 'large', promptTokens: 3000});
	enqueue(2, {requestId: 'small'});
	assignments.assignUnits('assistant');
	t.deepEqual(started, []);
});
