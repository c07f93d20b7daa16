import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {connectResults, probeConnection} from '../../src/shared/probe-connection.js';
import {blockThread} from '../fixtures/block-thread.js';

/** Listens on a free port. */
async function listen(t: ExecutionContext) {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	t.teardown(() => server.close());
	await once(server, 'listening');
	return {server, address: `127.0.0.1:${(server.address() as AddressInfo).port}`};
}

test('a probe tells an address where a process listens from one where none does', async t => {
	const {server, address} = await listen(t);
	t.is(await probeConnection(address, 5000), connectResults.opened);
	server.close();
	await once(server, 'close');
	t.is(await probeConnection(address, 5000), connectResults.refused);
});

// Guards against crashes that a busy instance does not detect, because it reads the results of its probes after their timeout.
test('results that have arrived while the thread was busy count', async t => {
	const {server, address} = await listen(t);
	const opened = probeConnection(address, 50);
	blockThread(200);
	t.is(await opened, connectResults.opened);
	server.close();
	await once(server, 'close');
	const refused = probeConnection(address, 50);
	blockThread(200);
	t.is(await refused, connectResults.refused);
});
