import {randomInt} from 'node:crypto';
import {createSocket, type Socket} from 'node:dgram';
import {pack, unpack} from 'msgpackr';
import * as z from 'zod';
import type {Milliseconds} from '../../shared/clock.js';
import {bindDatagramSocket} from '../../shared/bind-datagram-socket.js';
import {describeError} from '../../shared/describe-error.js';
import {DisposableStore} from '../../shared/disposable-store.js';
import type {EventLog} from '../observability/event-log.js';
import type {SiteConfirmation} from './types.js';

/** Version of the datagram format. Instances ignore datagrams of any other version. */
const formatVersion = 3;

const messageKinds = {question: 0, answer: 1} as const;

/** Number of the question, digests of the state and of its configuration, age, time for which records may be missing, era of the store (null if it states none), and time for which something that it has lost is kept. */
const answerFieldSchemas = [
	z.number(),
	z.string(),
	z.string(),
	z.number().nonnegative(),
	z.number().nonnegative(),
	z.number().int().nonnegative().nullable(),
	z.number().nonnegative(),
] as const;

const answerSchema = z.tuple([...answerFieldSchemas]);

const messageSchema = z.union([
	z.tuple([z.literal(formatVersion), z.literal(messageKinds.question), z.number()]),
	z.tuple([z.literal(formatVersion), z.literal(messageKinds.answer), ...answerFieldSchemas]),
]);

/** Bytes that may wait to be sent. A datagram beyond them is dropped like one that the network loses; a fleet's questions and answers take a few kilobytes a second. */
const maximumQueuedBytes = 262_144;

const firstNumberCount = 2 ** 47;

export type ConfirmationTaskOptions = {
	readonly host: string;
	readonly port: number;
	readonly log: EventLog;
	/** What this instance knows of the site; undefined before its first read. */
	readonly ownConfirmation: () => SiteConfirmation | undefined;
};

type Question = {
	readonly host: string;
	readonly resolve: (confirmation: SiteConfirmation | undefined) => void;
	readonly timer: NodeJS.Timeout;
};

/**
Asks other instances over UDP when they last confirmed the state of the site, and answers them.

An answer is created after its question was sent, so the confirmed read was sent no earlier than `ageMs` before the question, however long the datagrams were under way.
*/
export class ConfirmationTask {
	static create(options: ConfirmationTaskOptions): ConfirmationTask {
		return new ConfirmationTask(options);
	}

	readonly #disposables = DisposableStore.create();
	readonly #socket: Socket = createSocket('udp4');
	readonly #questions = new Map<number, Question>();
	/** Starts at random, so that no answer to a process that ran here before matches a question of this one. */
	#lastNumber = randomInt(firstNumberCount);

	private constructor(private readonly options: ConfirmationTaskOptions) {}

	/** @throws {Error} when the port can't be bound */
	async start(): Promise<void> {
		const {host, port, log} = this.options;
		this.#socket.on('message', (datagram, sender) => {
			try {
				this.#receive(datagram, sender.address);
			} catch (error) {
				log.event('confirmation-rejected', {host: sender.address, reason: describeError(error)});
			}
		});
		await bindDatagramSocket(this.#socket, {host, port}, error => {
			log.event('confirmation-socket-failed', {reason: error.message});
		});
		this.#disposables.defer(() => {
			this.#socket.close();
		});
		this.#disposables.defer(() => {
			for (const [number] of this.#questions) {
				this.#settle(number, undefined);
			}
		});
	}

	/** Asks an instance. Resolves with undefined when no answer has arrived within the timeout. */
	async ask(host: string, timeoutMs: Milliseconds): Promise<SiteConfirmation | undefined> {
		this.#lastNumber++;
		const number = this.#lastNumber;
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				// After a delay of this process, timers run before the datagrams that have arrived meanwhile are read.
				setImmediate(() => {
					this.#settle(number, undefined);
				});
			}, timeoutMs);
			this.#questions.set(number, {host, resolve, timer});
			this.#send([formatVersion, messageKinds.question, number], host);
		});
	}

	async dispose(): Promise<void> {
		await this.#disposables.dispose();
	}

	#receive(datagram: Uint8Array, sender: string): void {
		const message = messageSchema.parse(unpack(datagram));
		if (message[1] === messageKinds.question) {
			const own = this.options.ownConfirmation();
			if (own !== undefined) {
				this.#send([formatVersion, messageKinds.answer, message[2], own.digest, own.configurationDigest, own.ageMs, own.recordGraceMs, own.era ?? null, own.heldMs], sender);
			}

			return;
		}

		const [number, digest, configurationDigest, ageMs, recordGraceMs, era, heldMs] = answerSchema.parse(message.slice(2));
		if (this.#questions.get(number)?.host === sender) {
			this.#settle(number, {
				digest, configurationDigest, ageMs, recordGraceMs, era: era ?? undefined, heldMs,
			});
		}
	}

	#settle(number: number, confirmation: SiteConfirmation | undefined): void {
		const question = this.#questions.get(number);
		if (question !== undefined) {
			this.#questions.delete(number);
			clearTimeout(question.timer);
			question.resolve(confirmation);
		}
	}

	#send(message: z.infer<typeof messageSchema>, host: string): void {
		if (this.#socket.getSendQueueSize() > maximumQueuedBytes) {
			this.options.log.event('confirmation-not-sent', {host, reason: 'too many datagrams wait to be sent'});
			return;
		}

		this.#socket.send(pack(message), this.options.port, host, error => {
			if (error !== null) {
				this.options.log.event('confirmation-not-sent', {host, reason: error.message});
			}
		});
	}
}
