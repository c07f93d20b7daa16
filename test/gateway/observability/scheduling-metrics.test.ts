import test from 'ava';
import {GatewayMetrics} from '../../../src/gateway/observability/gateway-metrics.js';
import {createWaitingRequest} from '../../fixtures/gateway/waiting-request.js';

// Guards against series without bound where a configuration has many workspaces.
test('decisions are counted by tier, and slot time by a bounded number of workspaces', async t => {
	const metrics = GatewayMetrics.create();
	for (let index = 0; index < 100; index++) {
		const request = createWaitingRequest({tier: 1, workspace: `w${index}`});
		metrics.recordDecision({
			kind: 'dispatched', request, waitedMs: 40, slotMs: 500,
		});
		metrics.recordDecision({kind: 'refused', request, reason: 'overloaded'});
	}

	const text = await metrics.render({
		waiting: {},
		inFlight: 0,
		openRequests: 0,
		presentPeers: 0,
		sharingInstances: 1,
		confirmedAgeMs: 0,
		endpointConnections: 0,
		quarantineEntries: 0,
		limitedEndpoints: 0,
		leavingEndpoints: 0,
		slowEndpoints: 2,
		endpointsWithRetryTime: 0,
		pendingReports: 0,
		grantedSlots: 0,
		heldSlots: 0,
		slotRequestsWaiting: 0,
		storeEra: 0,
		keptRestrictions: 0,
		heldConnections: 0,
	});
	t.is(text.match(/^jackdawfork_workspace_slot_seconds_total\{/gmv)?.length, 33);
	t.regex(text, /^jackdawfork_workspace_slot_seconds_total\{workspace="other"\} 34$/mv);
	t.regex(text, /^jackdawfork_wait_seconds_count\{tier="1"\} 100$/mv);
	t.regex(text, /^jackdawfork_refused_waiting_total\{tier="1",reason="overloaded"\} 100$/mv);
	t.regex(text, /^jackdawfork_slow_endpoints 2$/mv);
});
