import test from 'ava';
import {Metrics} from '../../../src/entry/observability/index.js';

async function linesStartingWith(metrics: Metrics, prefix: string): Promise<string[]> {
	const text = await metrics.text();
	return text.split('\n').filter(line => line.startsWith(prefix));
}

// Guards against a time series for each of 1,100 workspaces, which would use up the memory of an entry.
test('at most the configured number of workspaces have a label of their own, further ones share one', async t => {
	const metrics = Metrics.create();
	for (let index = 0; index < 1100; index++) {
		metrics.observeQueueTime({tier: 'plan', workspace: `workspace-${index}`}, 1);
	}

	const counts = await linesStartingWith(metrics, 'jackdawfork_queue_seconds_count');
	t.is(counts.length, 51);
	t.true(counts.includes('jackdawfork_queue_seconds_count{tier="plan",workspace="other"} 1050'));
});

// Guards against exporting milliseconds as seconds.
test('durations are given in milliseconds and exported in seconds', async t => {
	const metrics = Metrics.create();
	const labels = {tier: 'plan', workspace: 'fife'};
	metrics.observeQueueTime(labels, 1500);
	metrics.observeTimeToFirstToken(labels, 250);
	metrics.observeTimeBetweenTokens(labels, 30);
	metrics.observeResponseTime(labels, 12_000);
	const sums = await Promise.all(['queue', 'first_token', 'between_tokens', 'answer'].map(async name => linesStartingWith(metrics, `jackdawfork_${name}_seconds_sum`)));
	t.deepEqual(sums.flat(), [
		'jackdawfork_queue_seconds_sum{tier="plan",workspace="fife"} 1.5',
		'jackdawfork_first_token_seconds_sum{tier="plan",workspace="fife"} 0.25',
		'jackdawfork_between_tokens_seconds_sum{tier="plan",workspace="fife"} 0.03',
		'jackdawfork_answer_seconds_sum{tier="plan",workspace="fife"} 12',
	]);
});

// Guards against a metric name or label that differs from the operators' documentation.
test('each event is counted by its metric', async t => {
	const metrics = Metrics.create();
	metrics.countRequest('plan', 'completed');
	metrics.countRefusal('overloaded');
	metrics.countDispatch('assistant-1', 'completed');
	metrics.countRetry('diary');
	metrics.countResume('assistant-1', 'resumed');
	metrics.countInvariantViolation('G3');
	metrics.countLeaseLost('expired');
	metrics.countMalformedMessage('unknown-kind');
	metrics.countConfigurationVersion('adopted');
	metrics.setConfigurationVersion(7);
	metrics.setLeaseHeld(true);
	const text = await metrics.text();
	for (const line of [
		'jackdawfork_requests_total{tier="plan",result="completed"} 1',
		'jackdawfork_refusals_total{type="overloaded"} 1',
		'jackdawfork_dispatches_total{endpoint="assistant-1",result="completed"} 1',
		'jackdawfork_retries_total{service="diary"} 1',
		'jackdawfork_resumes_total{endpoint="assistant-1",result="resumed"} 1',
		'jackdawfork_invariants_broken_total{property="G3"} 1',
		'jackdawfork_lease_lost_total{reason="expired"} 1',
		'jackdawfork_malformed_messages_total{reason="unknown-kind"} 1',
		'jackdawfork_configuration_versions_total{result="adopted"} 1',
		'jackdawfork_configuration_version 7',
		'jackdawfork_lease_held 1',
	]) {
		t.true(text.split('\n').includes(line), `missing: ${line}`);
	}
});

// Guards against dashboards that show the last value of a removed endpoint or tier.
test('gauges by tier and endpoint have only the values that were set last', async t => {
	const metrics = Metrics.create();
	metrics.setWaitingRequests([['plan', 3], ['letters', 9]]);
	metrics.setWaitingRequests([['plan', 4]]);
	metrics.setEndpointUnits([{endpoint: 'diary-1', unitsInUse: 1, limit: 8}, {endpoint: 'diary-2', unitsInUse: 2, limit: 8}]);
	metrics.setEndpointUnits([{endpoint: 'diary-2', unitsInUse: 0, limit: 2}]);
	t.deepEqual(await linesStartingWith(metrics, 'jackdawfork_waiting_requests{'), ['jackdawfork_waiting_requests{tier="plan"} 4']);
	t.deepEqual(await linesStartingWith(metrics, 'jackdawfork_endpoint_unit'), [
		'jackdawfork_endpoint_units_in_use{endpoint="diary-2"} 0',
		'jackdawfork_endpoint_unit_limit{endpoint="diary-2"} 2',
	]);
});

// Guards against two entries in one test process that share a registry.
test('each instance has a registry of its own, with memory and processor time', async t => {
	const first = Metrics.create();
	const second = Metrics.create();
	first.countRefusal('overloaded');
	t.deepEqual(await linesStartingWith(second, 'jackdawfork_refusals_total{'), []);
	const text = await second.text();
	t.regex(text, /^process_resident_memory_bytes [1-9]\d*$/mv);
	t.regex(text, /^process_cpu_seconds_total \d/mv);
});
