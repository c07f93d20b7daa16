import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {splitAddress} from '../../src/shared/address.js';
import {FaultProxy} from '../../standins/fault-proxy.js';
import {waitFor} from '../../standins/fleet/index.js';

/** Long enough for relayed bytes to arrive; used only to show that blocked bytes do not. */
const settleMs = 150;

/** One end of a connection, which records what it receives. */
class Party {
	received = '';
	isClosed = false;

	constructor(readonly socket: Socket) {
		socket.setEncoding('utf8');
		socket.on('data', text => {
			this.received += String(text);
		});
		socket.on('error', () => undefined);
		socket.once('close', () => {
			this.isClosed = true;
		});
	}
}

async function startPair(t: ExecutionContext, identifySource?: (port: number) => string | undefined) {
	const accepted: Party[] = [];
	const server = createServer(socket => {
		accepted.push(new Party(socket));
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const proxy = await FaultProxy.start({target: `127.0.0.1:${(server.address() as AddressInfo).port}`, identifySource});
	const clients: Party[] = [];
	t.teardown(async () => {
		for (const {socket} of [...clients, ...accepted]) {
			socket.destroy();
		}

		await proxy.dispose();
		server.close();
	});
	const open = async () => {
		const client = new Party(connect(splitAddress(proxy.address)));
		clients.push(client);
		const count = accepted.length;
		await waitFor(() => accepted.length > count || client.isClosed, {what: 'the connection to reach the target'});
		return {client, target: accepted[count]};
	};

	return {proxy, open};
}

test('bytes and the end of a connection pass in both directions', async t => {
	const {open, proxy} = await startPair(t);
	const {client, target} = await open();
	client.socket.write('question');
	await waitFor(() => target!.received === 'question', {what: 'the question'});
	target!.socket.end('answer');
	await waitFor(() => client.isClosed, {what: 'the end'});
	t.is(client.received, 'answer');
	await t.notThrowsAsync(waitFor(() => proxy.connectionCount === 0, {what: 'the connection to be forgotten'}));
});

// Guards against a fault that leaves connections open or accepts new ones.
test('a fault that resets connections applies to existing and new ones until it is removed', async t => {
	const {open, proxy} = await startPair(t);
	const {client, target} = await open();
	proxy.setFault({resetsConnections: true});
	await waitFor(() => client.isClosed && target!.isClosed, {what: 'both parties to see the reset'});
	const refused = await open();
	t.true(refused.client.isClosed);
	proxy.clearFaults();
	const passed = await open();
	t.false(passed.client.isClosed);
});

// Guards against a black hole that loses bytes: the stream would be corrupt after the fault, which TCP never shows.
test('a black hole holds bytes back and delivers them in order afterwards', async t => {
	const {open, proxy} = await startPair(t);
	const {client, target} = await open();
	proxy.setFault({blackHole: 'both'});
	client.socket.write('one ');
	target!.socket.write('uno ');
	await delay(settleMs);
	t.is(client.received + target!.received, '');
	client.socket.write('two');
	proxy.clearFaults();
	await waitFor(() => target!.received === 'one two' && client.received === 'uno ', {what: 'the held bytes'});
});

test('a one-way black hole holds back one direction only', async t => {
	const {open, proxy} = await startPair(t);
	const {client, target} = await open();
	proxy.setFault({blackHole: 'forward'});
	client.socket.write('held');
	target!.socket.write('passed');
	await waitFor(() => client.received === 'passed', {what: 'the open direction'});
	t.is(target!.received, '');
	proxy.setFault({blackHole: 'backward'});
	target!.socket.write(' late');
	await waitFor(() => target!.received === 'held', {what: 'the other direction'});
	t.is(client.received, 'passed');
});

// Guards against a partition that is visible as closed connections.
test('a black hole hides that the other party has closed', async t => {
	const {open, proxy} = await startPair(t);
	const {client, target} = await open();
	proxy.setFault({blackHole: 'both'});
	target!.socket.resetAndDestroy();
	await delay(settleMs);
	t.false(client.isClosed);
	proxy.clearFaults();
	await waitFor(() => client.isClosed, {what: 'the client to see the end'});
});

test('a delay keeps the order of bytes when it gets shorter', async t => {
	const {open, proxy} = await startPair(t);
	const {client, target} = await open();
	proxy.setFault({delayMs: 200});
	client.socket.write('first ');
	await delay(50);
	t.is(target!.received, '');
	proxy.clearFaults();
	client.socket.write('second');
	await waitFor(() => target!.received === 'first second', {what: 'both chunks'});
});

// Guards against a partition between two entries that also separates others.
test('a fault of one source does not affect the others', async t => {
	const sources: string[] = ['one', 'two'];
	const {open, proxy} = await startPair(t, () => sources.shift());
	const one = await open();
	const two = await open();
	proxy.setFault({resetsConnections: true}, 'one');
	await waitFor(() => one.client.isClosed, {what: 'the reset'});
	two.client.socket.write('still here');
	await t.notThrowsAsync(waitFor(() => two.target!.received === 'still here', {what: 'the other source'}));
});
