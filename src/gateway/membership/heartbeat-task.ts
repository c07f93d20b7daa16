import {createSocket, type Socket} from 'node:dgram';
import type {Clock} from '../../shared/clock.js';
import {bindDatagramSocket} from '../../shared/bind-datagram-socket.js';
import {describeError} from '../../shared/describe-error.js';
import {DisposableStore} from '../../shared/disposable-store.js';
import type {EventLog} from '../observability/event-log.js';
import type {HeartbeatExchange, OutgoingDatagram} from './heartbeat-exchange.js';

export type HeartbeatTaskOptions = {
	readonly host: string;
	readonly port: number;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly exchange: HeartbeatExchange;
	/** Called before each heartbeat. */
	readonly onTick: () => void;
	/** Called with the size of each datagram that is sent. */
	readonly onSent: (bytes: number) => void;
};

/** Sends and receives the datagrams of a heartbeat exchange over UDP. */
export class HeartbeatTask {
	static create(options: HeartbeatTaskOptions): HeartbeatTask {
		return new HeartbeatTask(options);
	}

	readonly #disposables = DisposableStore.create();
	readonly #socket: Socket = createSocket('udp4');
	#timer: NodeJS.Timeout | undefined;
	#isOpen = false;

	private constructor(private readonly options: HeartbeatTaskOptions) {}

	/** @throws {Error} when the port can't be bound */
	async start(): Promise<void> {
		const {host, port, clock, log, exchange} = this.options;
		this.#socket.on('message', (datagram, {address}) => {
			try {
				this.send(exchange.receive(datagram, address, clock.now()));
			} catch (error) {
				log.event('beat-rejected', {host: address, reason: describeError(error)});
			}
		});
		await bindDatagramSocket(this.#socket, {host, port}, error => {
			log.event('beat-socket-failed', {reason: error.message});
		});
		this.#isOpen = true;
		this.#disposables.defer(() => {
			this.#isOpen = false;
			this.#socket.close();
		});
		this.#disposables.defer(() => {
			clearTimeout(this.#timer);
		});
		this.#tick();
	}

	/** Sends a last heartbeat, which says that this process is about to end. */
	sendLeaving(): void {
		this.send([this.options.exchange.leave()]);
	}

	/** Sends datagrams now. After the end of this task it sends nothing: a check of a crashed endpoint may end later. */
	send(outgoing: readonly OutgoingDatagram[]): void {
		const {port, log, onSent} = this.options;
		if (!this.#isOpen) {
			return;
		}

		for (const {datagram, targets} of outgoing) {
			for (const target of targets) {
				onSent(datagram.byteLength);
				this.#socket.send(datagram, port, target, error => {
					if (error !== null) {
						log.event('beat-not-sent', {host: target, reason: error.message});
					}
				});
			}
		}
	}

	async dispose(): Promise<void> {
		await this.#disposables.dispose();
	}

	#tick(): void {
		const {clock, exchange, log, onTick} = this.options;
		try {
			onTick();
			this.send(exchange.tick(clock.now()));
		} catch (error) {
			log.event('beat-failed', {reason: describeError(error)});
		}

		this.#timer = setTimeout(() => {
			this.#tick();
		}, exchange.intervalMs);
	}
}
