import {createSocket, type Socket} from 'node:dgram';
import type {Clock, Milliseconds} from '../../shared/clock.js';
import {DisposableStore} from '../../shared/disposable-store.js';
import type {EventLog} from '../observability/event-log.js';
import {decodeHeartbeat, encodeHeartbeat} from './heartbeat-codec.js';
import type {Heartbeat} from './types.js';

/** Minimum interval between two heartbeats. Peers learn of a request at an endpoint this much later, so several instances may dispatch to the same free slot meanwhile. */
const minimumIntervalMs = 100;

/** Time that each peer adds to the interval, which limits the datagrams that an instance receives to 125 per second. */
const intervalPerPeerMs = 8;

/** Maximum number of hosts listed in one heartbeat, so that it fits into one packet. */
const maximumKnownHosts = 8;

export type HeartbeatContent = Pick<Heartbeat, 'inFlight' | 'usage'>;

export type HeartbeatTaskOptions = {
	readonly host: string;
	readonly availabilityZone: string;
	readonly port: number;
	readonly incarnation: number;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly content: () => HeartbeatContent;
	/** Hosts that heartbeats are sent to. */
	readonly targets: () => ReadonlySet<string>;
	readonly presentHosts: () => readonly string[];
	readonly onHeartbeat: (heartbeat: Heartbeat) => void;
	readonly onTick: () => void;
};

/** Exchanges heartbeats with the other instances over UDP. */
export class HeartbeatTask {
	static create(options: HeartbeatTaskOptions): HeartbeatTask {
		return new HeartbeatTask(options);
	}

	readonly #disposables = DisposableStore.create();
	readonly #socket: Socket = createSocket('udp4');
	#sequence = 0;
	#timer: NodeJS.Timeout | undefined;
	#nextHostIndex = 0;

	private constructor(private readonly options: HeartbeatTaskOptions) {}

	/** @throws {Error} when the port can't be bound */
	async start(): Promise<void> {
		const {host, port, log, onHeartbeat} = this.options;
		this.#socket.on('message', datagram => {
			try {
				onHeartbeat(decodeHeartbeat(datagram));
			} catch (error) {
				log.event('beat-rejected', {reason: String(error)});
			}
		});
		await new Promise<void>((resolve, reject) => {
			this.#socket.once('error', reject);
			this.#socket.bind(port, host, () => {
				this.#socket.off('error', reject);
				resolve();
			});
		});
		this.#socket.on('error', error => {
			log.event('beat-socket-failed', {reason: error.message});
		});
		this.#disposables.defer(() => {
			this.#socket.close();
		});
		this.#disposables.defer(() => {
			clearTimeout(this.#timer);
		});
		this.#tick();
	}

	/** Sends a last heartbeat, which says that this process is about to end. */
	sendLeaving(): void {
		this.#send(true);
	}

	async dispose(): Promise<void> {
		await this.#disposables.dispose();
	}

	#tick(): void {
		this.options.onTick();
		this.#send(false);
		const interval: Milliseconds = Math.max(minimumIntervalMs, this.options.targets().size * intervalPerPeerMs);
		this.#timer = setTimeout(() => {
			this.#tick();
		}, interval);
	}

	#send(isLeaving: boolean): void {
		const {host, availabilityZone, port, incarnation, content, targets, log} = this.options;
		this.#sequence++;
		const datagram = encodeHeartbeat({
			host, availabilityZone, incarnation, sequence: this.#sequence, isLeaving, ...content(), knownHosts: this.#nextKnownHosts(),
		});
		for (const target of targets()) {
			this.#socket.send(datagram, port, target, error => {
				if (error !== null) {
					log.event('beat-not-sent', {host: target, reason: error.message});
				}
			});
		}
	}

	/** Lists other hosts in rotation, so that each one is listed within a few heartbeats. */
	#nextKnownHosts(): string[] {
		const hosts = this.options.presentHosts();
		if (hosts.length <= maximumKnownHosts) {
			return [...hosts];
		}

		const listed: string[] = [];
		for (let index = 0; index < maximumKnownHosts; index++) {
			listed.push(hosts[(this.#nextHostIndex + index) % hosts.length]!);
		}

		this.#nextHostIndex = (this.#nextHostIndex + maximumKnownHosts) % hosts.length;
		return listed;
	}
}
