import test from 'ava';
import {SiteState} from '../../../src/gateway/site/site-state.js';
import {createEndpoint, createSiteConfiguration, createSnapshot} from '../../fixtures/gateway/documents.js';

test('the configuration version never decreases', t => {
	const state = SiteState.create();
	state.apply(createSnapshot({configuration: createSiteConfiguration({version: 9})}), 0, 1);
	const changes = state.apply(createSnapshot({configuration: createSiteConfiguration({version: 7})}), 10, 11);
	t.deepEqual(changes, [{kind: 'configuration-ignored', version: 7, heldVersion: 9}]);
	t.is(state.routes?.version, 9);
});

test('a read that was sent before the last one changes nothing', t => {
	const state = SiteState.create();
	state.apply(createSnapshot({endpoints: []}), 100, 101);
	t.deepEqual(state.apply(createSnapshot({endpoints: [createEndpoint()]}), 50, 200), []);
	t.is(state.endpoints.size, 0);
	t.is(state.confirmedAt, 100);
});

test('nothing is confirmed before there is a configuration', t => {
	const state = SiteState.create();
	state.apply(createSnapshot({configuration: undefined}), 100, 101);
	t.is(state.confirmedAt, undefined);
});

test('when the configuration can no longer be decoded, the last one stays in force', t => {
	const state = SiteState.create();
	state.apply(createSnapshot(), 100, 101);
	state.apply(createSnapshot({configuration: undefined, rejected: [{key: 'op/config', reason: 'broken'}]}), 200, 201);
	t.is(state.routes?.version, 1);
});

test('an endpoint that left is removed at once while the store responds', t => {
	const state = SiteState.create();
	state.apply(createSnapshot({endpoints: [createEndpoint()]}), 0, 1);
	const changes = state.apply(createSnapshot(), 1000, 1001);
	t.deepEqual(changes.map(({kind}) => kind), ['endpoint-removed']);
});

test('an endpoint whose record expired during an outage of the store is kept for two seconds and then removed', t => {
	const state = SiteState.create();
	state.apply(createSnapshot({endpoints: [createEndpoint()]}), 0, 1);
	t.deepEqual(state.apply(createSnapshot(), 6000, 6001), [{kind: 'endpoint-missing', endpoint: createEndpoint(), keptForMs: 2000}]);
	t.is(state.endpoints.size, 1);
	t.deepEqual(state.apply(createSnapshot(), 7000, 7001), [], 'it is reported once');
	t.is(state.endpoints.size, 1);
	state.apply(createSnapshot(), 8100, 8101);
	t.is(state.endpoints.size, 0);
});

test('a restart of an endpoint with the same id is reported', t => {
	const state = SiteState.create();
	state.apply(createSnapshot({endpoints: [createEndpoint({startedAt: 1})]}), 0, 1);
	t.deepEqual(state.apply(createSnapshot({endpoints: [createEndpoint({startedAt: 2})]}), 10, 11).map(({kind}) => kind), ['endpoint-restarted']);
});

test('the start and the end of an evacuation are applied', t => {
	const state = SiteState.create();
	t.true(state.apply(createSnapshot({evacuatedZones: new Set(['a'])}), 0, 1).some(({kind}) => kind === 'zone-evacuated'));
	t.deepEqual(state.apply(createSnapshot(), 10, 11), [{kind: 'zone-returned', availabilityZone: 'a'}]);
});

test('a record that is rejected again is reported only once', t => {
	const state = SiteState.create();
	const rejected = [{key: 'servers/x', reason: 'broken'}];
	t.is(state.apply(createSnapshot({configuration: undefined, rejected}), 0, 1).length, 1);
	t.deepEqual(state.apply(createSnapshot({configuration: undefined, rejected}), 10, 11), []);
});

// Guards against a state that is dated later than the last read of its content, which would let a removed key run.
test('a confirmation of the same content dates the state, never backward', t => {
	const state = SiteState.create();
	t.false(state.confirm('d', 50));
	state.apply(createSnapshot({endpoints: [createEndpoint()]}), 100, 101);
	t.false(state.confirm('other', 200));
	t.is(state.confirmedAt, 100);
	t.true(state.confirm('d', 200));
	t.is(state.confirmedAt, 200);
	t.true(state.confirm('d', 150));
	t.is(state.confirmedAt, 200);
});

// Guards against endpoints that are kept for ever: when the grace period ends, they go without a change in the store.
test('a state that keeps endpoints without a record is not confirmed by others', t => {
	const state = SiteState.create();
	state.apply(createSnapshot({endpoints: [createEndpoint()], digest: 'all'}), 0, 1);
	state.apply(createSnapshot({digest: 'none'}), 6000, 6001);
	t.false(state.confirm('none', 6500));
	state.apply(createSnapshot({digest: 'none'}), 8100, 8101);
	t.true(state.confirm('none', 8500));
});
