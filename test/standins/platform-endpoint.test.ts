import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {splitAddress} from '../../src/shared/address.js';
import {endpointFaults, plainResponseBody, PlatformEndpoint} from '../../standins/platform-endpoint.js';
import {until} from '../fixtures/until.js';

/** A kept connection that shows all that the endpoint sends on it. */
class KeptConnection {
	static async open(t: ExecutionContext, endpoint: PlatformEndpoint): Promise<KeptConnection> {
		const socket = connect(splitAddress(endpoint.address));
		t.teardown(() => socket.destroy());
		await once(socket, 'connect');
		const connection = new KeptConnection(socket);
		socket.setEncoding('utf8').on('data', (text: string) => {
			connection.#received += text;
		});
		return connection;
	}

	#received = '';

	private constructor(private readonly socket: Socket) {}

	/**
	Sends a request to an id.

	@returns statuses and ids of the responses read since, once the last one is `status`
	*/
	async request(requestId: string, endpointId: string, status: number): Promise<string[]> {
		this.#received = '';
		this.socket.write(`GET /lookups/1 HTTP/1.1\r\nhost: a\r\nx-request-id: ${requestId}\r\nx-expect-instance: ${endpointId}\r\n\r\n`);
		const isComplete = () => status === 200 ? this.#received.includes(plainResponseBody(requestId)) : this.#received.endsWith('\r\n\r\n');
		await until(() => isComplete() && this.#responses().at(-1) === `${status} ${requestId}`);
		return this.#responses();
	}

	#responses(): string[] {
		return this.#received.split('HTTP/1.1 ').slice(1).map(text => `${text.slice(0, 3)} ${/x-request-id: (?<requestId>\S+)/v.exec(text)?.groups!.requestId}`);
	}
}

async function startEndpoint(t: ExecutionContext): Promise<PlatformEndpoint> {
	const endpoint = await PlatformEndpoint.listen({id: 'old', isEngine: false});
	t.teardown(async () => endpoint.dispose());
	return endpoint;
}

test('the copy of a refusal comes once, ahead of the next response on its connection', async t => {
	const endpoint = await startEndpoint(t);
	endpoint.lateCopies.isEnabled = true;
	endpoint.faults.push(endpointFaults.reject);
	const [connection, other] = [await KeptConnection.open(t, endpoint), await KeptConnection.open(t, endpoint)];
	t.deepEqual(await connection.request('first', 'old', 503), ['503 first']);
	t.deepEqual(await other.request('second', 'old', 200), ['200 second']);
	t.deepEqual(await connection.request('third', 'old', 200), ['503 first', '200 third']);
	t.deepEqual(await connection.request('fourth', 'old', 200), ['200 fourth']);
	t.deepEqual(endpoint.lateCopies.sentRequestIds, ['first']);
	t.deepEqual(endpoint.executedRequestIds, ['second', 'third', 'fourth']);
});

test('each refusal in a row is copied ahead of the next one', async t => {
	const endpoint = await startEndpoint(t);
	endpoint.lateCopies.isEnabled = true;
	endpoint.faults.push(endpointFaults.reject);
	const connection = await KeptConnection.open(t, endpoint);
	t.deepEqual(await connection.request('first', 'old', 503), ['503 first']);
	t.deepEqual(await connection.request('second', 'unknown', 421), ['503 first', '421 second']);
	t.deepEqual(await connection.request('third', 'old', 200), ['421 second', '200 third']);
});

test('a request that is refused for the old id of an endpoint and run under the new one gets the copy first', async t => {
	const endpoint = await startEndpoint(t);
	endpoint.lateCopies.isEnabled = true;
	const connection = await KeptConnection.open(t, endpoint);
	t.deepEqual(await connection.request('before', 'old', 200), ['200 before']);
	endpoint.id = 'new';
	t.deepEqual(await connection.request('moved', 'old', 421), ['421 moved']);
	t.deepEqual(await connection.request('moved', 'new', 200), ['421 moved', '200 moved']);
	const received = endpoint.receivedRequests.map(({requestId, endpointId, isExecuted}) => [requestId, endpointId, isExecuted]);
	t.deepEqual(received, [['before', 'old', true], ['moved', 'new', false], ['moved', 'new', true]]);
});

test('an endpoint sends no copies unless asked to, and drops those that are due when it no longer is', async t => {
	const endpoint = await startEndpoint(t);
	const connection = await KeptConnection.open(t, endpoint);
	t.deepEqual(await connection.request('first', 'other', 421), ['421 first']);
	t.deepEqual(await connection.request('second', 'old', 200), ['200 second']);
	endpoint.lateCopies.isEnabled = true;
	t.deepEqual(await connection.request('third', 'other', 421), ['421 third']);
	endpoint.lateCopies.isEnabled = false;
	t.deepEqual(await connection.request('fourth', 'old', 200), ['200 fourth']);
	t.deepEqual(endpoint.lateCopies.sentRequestIds, []);
});
