import {randomUUID} from 'node:crypto';
import {createSocket, type Socket} from 'node:dgram';
import {setTimeout as delay} from 'node:timers/promises';
import {bindDatagramSocket} from './bind-datagram-socket.js';
import {SystemClock, type Milliseconds} from './clock.js';
import type {Disposable} from './disposable-store.js';

const host = '127.0.0.1';

/** Time after which a datagram that was not received counts as lost. */
const markTimeoutMs: Milliseconds = 1000;

const clock = SystemClock.create();

/**
Tells, while the event loop reads, that it has read what had arrived until a moment ago.

An immediate tells it only after the other immediates of its round, which may take long. A datagram that the process sends to itself is read after what had arrived on other sockets before.
*/
export class ReadingMark implements Disposable {
	/**
	@param onError called when the socket fails later
	@throws {Error} when no socket can be bound
	*/
	static async open(onError: (error: Error) => void): Promise<ReadingMark> {
		const socket = createSocket('udp4');
		try {
			await bindDatagramSocket(socket, {host, port: 0}, onError);
		} catch (error) {
			socket.close();
			throw error;
		}

		return new ReadingMark(socket);
	}

	private constructor(private readonly socket: Socket) {}

	/**
	Sends a mark and waits until it is read. Nothing else is read before the promise has called back.

	@returns the age of what has been read, or Infinity when the mark was not received
	*/
	async pass(): Promise<Milliseconds> {
		// Timers run right before the event loop reads.
		await delay(0);
		const mark = randomUUID();
		const sentAt = clock.now();
		return new Promise(resolve => {
			const finish = (ageMs: Milliseconds) => {
				clearTimeout(timer);
				this.socket.off('message', receive);
				resolve(ageMs);
			};

			const receive = (datagram: Uint8Array) => {
				// A mark that was taken for lost may arrive later.
				if (datagram.toString() === mark) {
					finish(clock.now() - sentAt);
				}
			};

			const timer = setTimeout(() => {
				finish(Infinity);
			}, markTimeoutMs);
			this.socket.on('message', receive);
			this.socket.send(mark, this.socket.address().port, host, error => {
				if (error !== null) {
					finish(Infinity);
				}
			});
		});
	}

	dispose(): void {
		this.socket.close();
	}
}
