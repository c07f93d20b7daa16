import test from 'ava';
import {maximumWaitMs} from '../../../src/gateway/scheduling/maximum-wait.js';
import {createRoute} from '../../fixtures/gateway/documents.js';

test('a stream must be dispatched before its caller disconnects for lack of an event', t => {
	t.is(maximumWaitMs(createRoute({targetLatencyMs: 500, eventGapTargetMs: 200}), 12_000), 1600);
	t.is(maximumWaitMs(createRoute({targetLatencyMs: 1000, eventGapTargetMs: 200}), 12_000), 3600);
	t.is(maximumWaitMs(createRoute(), 900), 500);
});

test('a request without a stream may wait as long as its caller', t => {
	t.is(maximumWaitMs(createRoute({kind: 'idempotent'}), 4000), 4000);
});
