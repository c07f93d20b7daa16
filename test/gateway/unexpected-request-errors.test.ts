import test from 'ava';
import {EndpointConnectionPools} from '../../src/gateway/forwarding/endpoint-connection-pools.js';
import {ForwardTask} from '../../src/gateway/forwarding/forward-task.js';
import {ServiceScheduler} from '../../src/gateway/scheduling/service-scheduler.js';
import {call} from '../fixtures/gateway/caller.js';
import {GatewaySite} from '../fixtures/gateway/gateway-site.js';
import {until} from '../fixtures/until.js';

// Guards against a request that waits until its deadline, and a slot that stays taken, after an unexpected error while it is being sent.
test.serial('an unexpected error while a request is being sent ends the attempt, and the request goes to another endpoint', async t => {
	const site = await GatewaySite.start();
	t.teardown(async () => site.dispose());
	const broken = await site.addEndpoint({id: 'broken', isEngine: false}, {slots: 2});
	const sound = await site.addEndpoint({id: 'sound', isEngine: false}, {slots: 2});
	const gateway = await site.addGateway();
	const {poolFor} = EndpointConnectionPools.prototype;
	EndpointConnectionPools.prototype.poolFor = function (endpoint) {
		if (endpoint.address === broken.address) {
			throw new TypeError('no such address');
		}

		return poolFor.call(this, endpoint);
	};

	const responses = await Promise.all(Array.from({length: 12}, async () => call(gateway, {path: '/bookings/1', method: 'POST', body: 'x'}))).finally(() => {
		EndpointConnectionPools.prototype.poolFor = poolFor;
	});
	t.deepEqual(responses.filter(({status}) => status !== 200), []);
	t.is(sound.executedRequestIds.length, 12);
	t.true(gateway.memoryLog.linesOf('attempt-failed').some(line => line.includes('no such address')));
	await until(() => gateway.memoryLog.linesOf('request-ended').length === 12);
	t.deepEqual(gateway.memoryLog.linesOf('request-error'), []);
	site.store.remove('servers/sound');
	await until(() => gateway.memoryLog.linesOf('endpoint-removed').length === 1);
	const later = await Promise.all([1, 2].map(async () => call(gateway, {path: '/bookings/1', method: 'POST', body: 'x'})));
	t.deepEqual(later.map(({status}) => status), [200, 200], 'the slots of the endpoint are free again');
});

// Guards against requests that are never ended because checking another one throws.
test.serial('an unexpected error while one request is checked does not keep the others from ending at their deadline', async t => {
	const site = await GatewaySite.start();
	t.teardown(async () => site.dispose());
	const endpoint = await site.addEndpoint({id: 'silent', isEngine: false});
	endpoint.faults.push('silent', 'silent');
	const gateway = await site.addGateway();
	const {enforceTimeouts} = ForwardTask.prototype;
	ForwardTask.prototype.enforceTimeouts = function (now) {
		if (this.requestId === 'odd') {
			throw new TypeError('no such deadline');
		}

		enforceTimeouts.call(this, now);
	};

	const abortController = new AbortController();
	const odd = call(gateway, {
		path: '/bookings/1', method: 'POST', body: 'x', headers: {'x-request-id': 'odd'}, signal: abortController.signal,
	});
	await until(() => endpoint.receivedRequests.length === 1);
	const other = await call(gateway, {
		path: '/bookings/1', method: 'POST', body: 'x', headers: {'x-deadline-ms': '400'},
	}).finally(() => {
		ForwardTask.prototype.enforceTimeouts = enforceTimeouts;
	});
	t.is(other.status, 504);
	t.true(gateway.memoryLog.linesOf('request-error').some(line => line.includes('no such deadline')));
	abortController.abort();
	await t.throwsAsync(odd);
});

// Guards against a request that is dispatched after its caller has got an answer, and against one that is never taken off the open ones.
test.serial('an unexpected error while a request is queued ends it, and it is not dispatched later', async t => {
	const site = await GatewaySite.start();
	t.teardown(async () => site.dispose());
	const endpoint = await site.addEndpoint({id: 'e0', isEngine: false, serviceTimeMs: 500}, {slots: 1});
	const gateway = await site.addGateway();
	const booking = {path: '/bookings/1', method: 'POST', body: 'x'};
	const running = call(gateway, booking);
	await until(() => endpoint.receivedRequests.length === 1);
	const {submit} = ServiceScheduler.prototype;
	ServiceScheduler.prototype.submit = function (request) {
		submit.call(this, request);
		throw new TypeError('no such queue');
	};

	const failed = await call(gateway, booking).finally(() => {
		ServiceScheduler.prototype.submit = submit;
	});
	t.is(failed.status, 500);
	t.like(await running, {status: 200});
	t.like(await call(gateway, booking), {status: 200});
	t.is(endpoint.receivedRequests.length, 2);
	t.is(gateway.memoryLog.linesOf('request-ended').length, 3);
});
