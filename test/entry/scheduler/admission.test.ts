import test from 'ava';
import {UnitLedger} from '../../../src/entry/limits/unit-ledger.js';
import type {PeerMessage} from '../../../src/entry/membership/messages.js';
import {Metrics} from '../../../src/entry/observability/index.js';
import {TierQueue} from '../../../src/entry/queue/tier-queue.js';
import {RequestRegistry} from '../../../src/entry/requests/index.js';
import {Admission} from '../../../src/entry/scheduler/admission.js';
import type {SchedulerContext} from '../../../src/entry/scheduler/context.js';
import {PeerReports} from '../../../src/entry/scheduler/peer-reports.js';
import {RetryBudget} from '../../../src/entry/scheduler/retry-budget.js';
import {ServiceDirectory} from '../../../src/entry/scheduler/service-directory.js';
import {Invariants} from '../../../src/shared/invariants.js';
import {ManualClock} from '../../fixtures/manual-clock.js';
import {createVersion, initialState} from '../../fixtures/scheduler-group/group-configuration.js';
import {createSubmission} from '../../fixtures/submission.js';

/** The admission of an entry with a queue capacity of one, whose peer `entry-2` reports a waiting request of the lowest tier. */
function createAdmission() {
	const clock = ManualClock.create();
	const invariants = Invariants.create('throw');
	const current = createVersion(1, 2, initialState);
	const {policy} = current.configuration;
	const sent: PeerMessage[] = [];
	const directory = ServiceDirectory.create('scotland');
	directory.setConfiguration(current.configuration);
	const ledger = UnitLedger.create({slot: 'entry-1', clock, invariants});
	ledger.applyLayout({
		version: 1,
		slots: ['entry-1', 'entry-2'],
		endpoints: [{
			endpoint: 'engine-1', units: 8, coldUnits: 2, unitTokens: 100, requestTimeoutMilliseconds: 1500,
		}],
		loanMilliseconds: 1000,
		leaseMilliseconds: 1000,
	});
	const peerReports = PeerReports.create(clock);
	peerReports.record('entry-2', {
		kind: 'heartbeat',
		sequence: 1,
		incarnation: 'b',
		configurationVersion: 1,
		configurationDigest: '',
		leaving: false,
		waitingByTier: {assistant: Object.fromEntries([[2, 1]])},
		freeUnits: {},
		phases: [],
	});
	const queue = TierQueue.create({clock, invariants, capacity: 1});
	const registry = RequestRegistry.create({
		slot: 'entry-1', incarnation: 'a', clock, invariants, policy,
	});
	const context = {
		clock,
		invariants,
		queue,
		registry,
		directory,
		ledger,
		peerReports,
		peers: {
			send(_slot: string, message: PeerMessage) {
				sent.push(message);
				return true;
			},
		},
		pending: new Map(),
		metrics: Metrics.create(),
		retryBudget: RetryBudget.create(),
		logger: {info: () => undefined},
		configuration: () => current,
	} as unknown as SchedulerContext;
	const admission = Admission.create(context);
	const submit = (tier: string) => {
		const opened = registry.open({fingerprint: ''});
		const requestId = opened.kind === 'new' ? opened.requestId : '';
		admission.submit(createSubmission({requestId, tier}));
		return requestId;
	};

	return {
		admission, queue, registry, sent, submit,
	};
}

// Guards against a request that is shed although a lower tier was queued here while the peers were asked.
test('a request for which no peer sheds a lower tier displaces a lower tier that was queued meanwhile', t => {
	const {admission, queue, registry, sent, submit} = createAdmission();
	const first = submit('high');
	const second = submit('high');
	t.like(sent[0], {kind: 'displace-request', displaceId: second});
	queue.remove(first);
	const low = submit('low');
	t.truthy(queue.get(low));
	admission.receiveDisplaceReply('entry-2', {kind: 'displace-reply', displaceId: second, displaced: false});
	t.truthy(queue.get(second));
	t.is(registry.findRecord(low)?.failure?.type, 'overloaded');
});

// Guards against a request that is shed although the queue got free capacity while the peers were asked.
test('a request for which no peer sheds a lower tier is queued when capacity became free meanwhile', t => {
	const {admission, queue, registry, submit} = createAdmission();
	const first = submit('high');
	const second = submit('high');
	queue.remove(first);
	admission.receiveDisplaceReply('entry-2', {kind: 'displace-reply', displaceId: second, displaced: false});
	t.truthy(queue.get(second));
	t.is(registry.findRecord(second)?.state, 'waiting');
});

test('a request is shed when the queue is full and no peer sheds a lower tier', t => {
	const {admission, registry, submit} = createAdmission();
	submit('high');
	const second = submit('high');
	admission.receiveDisplaceReply('entry-2', {kind: 'displace-reply', displaceId: second, displaced: false});
	t.is(registry.findRecord(second)?.failure?.type, 'overloaded');
});
