import {connect, type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import test, {type ExecutionContext} from 'ava';
import type {SocketAddress} from '../../../src/shared/address.js';
import {SystemClock} from '../../../src/shared/clock.js';
import {PlannedStop} from '../../../src/gateway/stopping/planned-stop.js';
import {startCallerServer} from '../../fixtures/gateway/caller-server.js';
import {RawCaller} from '../../fixtures/gateway/raw-caller.js';
import {until} from '../../fixtures/until.js';

const graceMs = 4000;

/** Connections that are being opened at any time, so that each round of the event loop accepts one. */
const connectingCallers = 100;

function keepConnecting(t: ExecutionContext, address: SocketAddress): void {
	let isEnded = false;
	const sockets = new Set<Socket>();
	const connectNext = () => {
		if (isEnded) {
			return;
		}

		const socket = connect(address);
		sockets.add(socket);
		socket.on('error', () => {
			// The listener closes during the test.
		});
		socket.once('connect', () => {
			socket.destroy();
		});
		socket.once('close', () => {
			sockets.delete(socket);
			setImmediate(connectNext);
		});
	};

	for (let count = 0; count < connectingCallers; count++) {
		connectNext();
	}

	t.teardown(() => {
		isEnded = true;
		for (const socket of sockets) {
			socket.destroy();
		}
	});
}

// Guards against a kill with open requests, because each look for requests that have arrived takes up to a second while callers connect.
test('requests under way are answered before the kill although callers connect all the time', async t => {
	const {server, address, memoryLog, requests} = await startCallerServer(t, {}, () => {
		// Answered by the stop.
	});
	const stop = PlannedStop.create({
		clock: SystemClock.create(),
		log: memoryLog.log,
		graceMs,
		callerServer: server,
		countRequests: () => server.openRequests,
		endRequests() {
			for (const {response} of requests) {
				response.fail({type: 'endedByStop'});
			}
		},
		announceLeaving() {
			// No other instance.
		},
	});
	const caller = await RawCaller.connect(address);
	caller.write('GET / HTTP/1.1\r\nHost: test\r\n\r\n');
	await until(() => requests.length === 1);
	keepConnecting(t, address);
	const requestedAt = performance.now();
	await stop.run({earliest: requestedAt, latest: requestedAt});
	t.true(performance.now() - requestedAt < graceMs);
	t.regex(caller.text, /^HTTP\/1\.1 504 /v);
});
