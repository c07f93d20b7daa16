/** A TCP proxy between two parties that resets their connections or blocks or delays the bytes. */
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {performance} from 'node:perf_hooks';
import {splitAddress} from '../src/shared/address.js';
import type {Disposable} from '../src/shared/disposable-store.js';

/**
Directions in which nothing is delivered. `forward` is from the connecting party to the target.

A black hole holds bytes back instead of discarding them, because TCP retransmits lost bytes after the fault: they arrive late, and none is missing from the stream.
*/
export type BlackHole = 'none' | 'forward' | 'backward' | 'both';

export type ProxyFault = {
	/** Resets existing and new connections. Default: false. */
	readonly resetsConnections?: boolean;
	/** Default: `none`. */
	readonly blackHole?: BlackHole;
	/** Additional one-way delay in both directions. Default: 0. */
	readonly delayMs?: number;
};

export type FaultProxyOptions = {
	/** Host and port. */
	readonly target: string;
	/** Default: 0, any free port. */
	readonly port?: number;
	/** Identifies the party that opened a connection by the ports at its end and at the proxy. Default: all connections have the source `*`. */
	readonly identifySource?: (sourcePort: number, proxyPort: number) => string | undefined;
};

type Direction = 'forward' | 'backward';

const anySource = '*';
const noFault: ProxyFault = {};

/** Relays bytes in one direction, in order. */
class OneWayRelay {
	static create(from: Socket, to: Socket): OneWayRelay {
		const relay = new OneWayRelay(from, to);
		from.on('data', (chunk: Uint8Array) => {
			relay.#enqueue(chunk);
		});
		from.once('end', () => {
			relay.#enqueue(undefined);
		});
		to.on('drain', () => {
			relay.#resumeReading();
		});
		return relay;
	}

	#delayMs = 0;
	#isBlocked = false;
	/** Chunks that have not been written yet; undefined stands for the end of the stream. */
	readonly #delayedChunks: Array<{readonly chunk: Uint8Array | undefined; readonly dueAt: number}> = [];
	#timer: NodeJS.Timeout | undefined;

	private constructor(private readonly from: Socket, private readonly to: Socket) {}

	configure(isBlocked: boolean, delayMs: number): void {
		this.#isBlocked = isBlocked;
		this.#delayMs = delayMs;
		if (isBlocked) {
			this.from.pause();
		} else {
			this.#resumeReading();
			this.#writeDueChunks();
		}
	}

	stop(): void {
		clearTimeout(this.#timer);
	}

	#resumeReading(): void {
		if (!this.#isBlocked && !this.to.writableNeedDrain) {
			this.from.resume();
		}
	}

	#enqueue(chunk: Uint8Array | undefined): void {
		this.#delayedChunks.push({chunk, dueAt: performance.now() + this.#delayMs});
		this.#writeDueChunks();
	}

	#writeDueChunks(): void {
		clearTimeout(this.#timer);
		for (let next = this.#delayedChunks[0]; next !== undefined && !this.#isBlocked; next = this.#delayedChunks[0]) {
			const remainingMs = next.dueAt - performance.now();
			if (remainingMs > 0) {
				this.#timer = setTimeout(() => {
					this.#writeDueChunks();
				}, remainingMs);
				return;
			}

			this.#delayedChunks.shift();
			this.#write(next.chunk);
		}
	}

	#write(chunk: Uint8Array | undefined): void {
		if (chunk === undefined) {
			this.to.end();
		} else if (!this.to.destroyed && !this.to.write(chunk)) {
			this.from.pause();
		}
	}
}

/** One connection through the proxy. */
class ProxiedConnection {
	static create(source: string, client: Socket, target: Socket): ProxiedConnection {
		const connection = new ProxiedConnection(source, client, target);
		connection.#connectSockets(client, target, 'forward');
		connection.#connectSockets(target, client, 'backward');
		return connection;
	}

	readonly #relays: Readonly<Record<Direction, OneWayRelay>>;
	#blocked: Readonly<Record<Direction, boolean>> = {forward: false, backward: false};
	readonly #closed = new Set<Direction>();

	private constructor(readonly source: string, private readonly client: Socket, private readonly target: Socket) {
		this.#relays = {forward: OneWayRelay.create(client, target), backward: OneWayRelay.create(target, client)};
	}

	applyFault({resetsConnections = false, blackHole = 'none', delayMs = 0}: ProxyFault): void {
		if (resetsConnections) {
			this.reset();
			return;
		}

		this.#blocked = {
			forward: blackHole === 'forward' || blackHole === 'both',
			backward: blackHole === 'backward' || blackHole === 'both',
		};
		this.#relays.forward.configure(this.#blocked.forward, delayMs);
		this.#relays.backward.configure(this.#blocked.backward, delayMs);
		this.#propagateCloses();
	}

	reset(): void {
		this.client.resetAndDestroy();
		this.target.resetAndDestroy();
	}

	#connectSockets(from: Socket, to: Socket, direction: Direction): void {
		from.on('error', () => {
			// The close event that follows is propagated.
		});
		from.once('close', () => {
			this.#relays[direction].stop();
			this.#closed.add(direction);
			// An orderly end has already been relayed after the bytes before it.
			if (from.errored !== null || !from.readableEnded) {
				this.#propagateCloses();
			}
		});
		to.once('close', () => {
			this.#relays[direction].stop();
		});
	}

	/** A black hole also hides that the other party has closed the connection. */
	#propagateCloses(): void {
		if (this.#closed.has('forward') && !this.#blocked.forward) {
			this.target.destroy();
		}

		if (this.#closed.has('backward') && !this.#blocked.backward) {
			this.client.destroy();
		}
	}
}

export class FaultProxy implements Disposable {
	static async start(options: FaultProxyOptions): Promise<FaultProxy> {
		const proxy = new FaultProxy(options);
		await new Promise<void>((resolve, reject) => {
			proxy.#server.once('error', reject);
			proxy.#server.listen(options.port ?? 0, '127.0.0.1', resolve);
		});
		return proxy;
	}

	readonly #server: Server;
	readonly #connections = new Set<ProxiedConnection>();
	readonly #faults = new Map<string, ProxyFault>();

	private constructor(private readonly options: FaultProxyOptions) {
		this.#server = createServer({allowHalfOpen: true}, client => {
			this.#acceptConnection(client);
		});
	}

	/** Host and port. */
	get address(): string {
		const {address, port} = this.#server.address() as AddressInfo;
		return `${address}:${port}`;
	}

	get connectionCount(): number {
		return this.#connections.size;
	}

	/** Sets the fault of one source, or of all sources that have none of their own. An empty fault relays everything unchanged. */
	setFault(fault: ProxyFault, source: string = anySource): void {
		this.#faults.set(source, fault);
		for (const connection of this.#connections) {
			connection.applyFault(this.#faultOf(connection.source));
		}
	}

	/** Removes all faults. */
	clearFaults(): void {
		this.#faults.clear();
		this.setFault(noFault);
	}

	/** Resets the existing connections; new ones are not affected. */
	resetConnections(): void {
		for (const connection of this.#connections) {
			connection.reset();
		}
	}

	async dispose(): Promise<void> {
		if (!this.#server.listening) {
			return;
		}

		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
			this.resetConnections();
		});
	}

	#faultOf(source: string): ProxyFault {
		return this.#faults.get(source) ?? this.#faults.get(anySource) ?? noFault;
	}

	#acceptConnection(client: Socket): void {
		const source = this.options.identifySource?.(client.remotePort ?? 0, client.localPort ?? 0) ?? anySource;
		const fault = this.#faultOf(source);
		client.setNoDelay(true);
		if (fault.resetsConnections) {
			client.resetAndDestroy();
			return;
		}

		const target = connect({...splitAddress(this.options.target), allowHalfOpen: true, noDelay: true});
		const connection = ProxiedConnection.create(source, client, target);
		this.#connections.add(connection);
		connection.applyFault(fault);
		client.once('close', () => {
			this.#connections.delete(connection);
		});
	}
}
