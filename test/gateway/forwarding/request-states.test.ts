import test, {type ExecutionContext} from 'ava';
import {ServiceScheduler} from '../../../src/gateway/scheduling/service-scheduler.js';
import {WaitingQueue} from '../../../src/gateway/scheduling/waiting-queue.js';
import {call} from '../../fixtures/gateway/caller.js';
import {GatewaySite, type Gateway} from '../../fixtures/gateway/gateway-site.js';

const booking = {path: '/bookings/1', method: 'POST', body: 'x'};

async function startSite(t: ExecutionContext) {
	const site = await GatewaySite.start();
	t.teardown(async () => site.dispose());
	const endpoint = await site.addEndpoint({id: 'e0', isEngine: false, serviceTimeMs: 500});
	return {site, endpoint, gateway: await site.addGateway()};
}

async function readMetrics({settings}: Gateway): Promise<string> {
	const response = await fetch(`http://${settings.host}:${settings.internalPorts.first + 1}/metrics`);
	return response.text();
}

/** Makes the scheduler lose the request of one call of `submit`, counted from 1. */
function loseSubmission(t: ExecutionContext, lostNumber: number): void {
	const {submit} = ServiceScheduler.prototype;
	let number = 0;
	ServiceScheduler.prototype.submit = function (request) {
		number++;
		if (number !== lostNumber) {
			submit.call(this, request);
		}
	};

	t.teardown(() => {
		ServiceScheduler.prototype.submit = submit;
	});
}

test.serial('a request that the scheduler has lost is answered as not run, logged and counted', async t => {
	const {gateway, endpoint} = await startSite(t);
	loseSubmission(t, 1);
	const response = await call(gateway, {...booking, signal: AbortSignal.timeout(2500)});
	t.is(response.status, 503);
	t.regex(response.body, /urn:jackdawfork:notRun/v);
	t.regex(gateway.memoryLog.linesOf('request-state-invalid')[0]!, /isWaiting=false isInFlight=false/v);
	t.regex(await readMetrics(gateway), /jackdawfork_invalid_request_states_total 1\n/v);
	t.deepEqual(endpoint.receivedRequests, []);
	t.like(await call(gateway, booking), {status: 200});
});

test.serial('a request that the scheduler has lost after a first attempt gets an answer that promises nothing', async t => {
	const {gateway, endpoint} = await startSite(t);
	endpoint.faults.push('reset');
	loseSubmission(t, 2);
	const response = await call(gateway, {path: '/lookups/1', signal: AbortSignal.timeout(2500)});
	t.is(response.status, 502);
	t.is(gateway.memoryLog.linesOf('request-state-invalid').length, 1);
});

test.serial('a request that is still queued after its dispatch is not dispatched again', async t => {
	const {site, gateway, endpoint} = await startSite(t);
	const other = await site.addEndpoint({id: 'e1', isEngine: false, serviceTimeMs: 500});
	const {remove} = WaitingQueue.prototype;
	let isKept = false;
	WaitingQueue.prototype.remove = function (request) {
		if (!isKept) {
			isKept = true;
			return true;
		}

		return remove.call(this, request);
	};

	t.teardown(() => {
		WaitingQueue.prototype.remove = remove;
	});
	t.like(await call(gateway, booking), {status: 200});
	t.is(endpoint.receivedRequests.length + other.receivedRequests.length, 1);
	t.is(gateway.memoryLog.linesOf('request-state-invalid').length, 1);
	t.regex(await readMetrics(gateway), /jackdawfork_running_requests 0\n/v);
});
