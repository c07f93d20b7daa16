import test from 'ava';
import {readinessOf, type ReadinessConditions} from '../../src/entry/readiness.js';
import {createVersion, initialState} from '../fixtures/scheduler-group/group-configuration.js';

const {configuration} = createVersion(1, 2, initialState);
const conditions: ReadinessConditions = {
	slot: 'entry-1', isShuttingDown: false, configuration, isLeaseHeld: true,
};

// Guards against a load balancer that sends requests to an entry that must not dispatch them.
test('an entry is ready only with a configuration that has its slot in service, a lease, and no shutdown', t => {
	const {configuration: configurationWithZoneOut} = createVersion(2, 2, {...initialState, zonesOut: new Set(['zone-a'])});
	t.is(readinessOf(conditions).state, 'ready');
	t.is(readinessOf({...conditions, configuration: undefined}).state, 'not-ready');
	t.is(readinessOf({...conditions, slot: 'entry-9'}).state, 'not-ready');
	t.is(readinessOf({...conditions, configuration: configurationWithZoneOut}).state, 'not-ready');
	t.is(readinessOf({...conditions, isLeaseHeld: false}).state, 'not-ready');
	t.is(readinessOf({...conditions, isShuttingDown: true}).state, 'shutting-down');
});

test('an entry that is not ready gives the reason', t => {
	t.is(readinessOf({...conditions, isLeaseHeld: false}).reason, 'the entry lease is not held');
	t.is(readinessOf({...conditions, slot: 'entry-9'}).reason, 'the configuration has no entry slot entry-9');
	t.is(readinessOf(conditions).reason, undefined);
});
