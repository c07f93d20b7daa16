/** Polls the platform's instance list and keeps the last known listing while the service is unavailable. */
import type {Clock, Milliseconds} from '../../shared/clock.js';
import type {Logger} from '../../shared/log.js';
import type {Mailbox} from '../../shared/message-loop.js';
import {Backoff} from './backoff.js';
import {ReadLoop} from './read-loop.js';
import {SourceHealth, type SourceStatus} from './source-health.js';
import type {PlatformErrorType} from './platform-error.js';
import type {InstanceListService, InstanceListing} from './types.js';

export type InstanceListMessage
	= | {readonly kind: 'instance-list-changed'; readonly listing: InstanceListing}
		/** A revision lower than the last known one was ignored, so that a leaving instance does not become live again. */
		| {readonly kind: 'instance-list-backward'; readonly revision: number; readonly lastRevision: number}
		| {readonly kind: 'instance-list-unavailable'; readonly failureType: PlatformErrorType; readonly detail: string}
		| {readonly kind: 'instance-list-restored'; readonly failures: number};

export type InstanceListTaskOptions = {
	readonly instanceList: InstanceListService;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly mailbox: Mailbox<InstanceListMessage>;
	/** Time between two reads. Default: 1,000 ms, so that a leaving instance is known within seconds. */
	readonly pollIntervalMs?: Milliseconds;
	/** Uniform numbers from 0 to 1 for the jitter of the backoff. Default: `Math.random`. */
	readonly random?: () => number;
};

export class InstanceListTask {
	static create(options: InstanceListTaskOptions): InstanceListTask {
		return new InstanceListTask(options);
	}

	readonly #health: SourceHealth;
	readonly #backoff: Backoff;
	readonly #readLoop = ReadLoop.create(async signal => this.#poll(signal));
	#listing: InstanceListing | undefined;
	#reportedOlderRevision: number | undefined;

	private constructor(private readonly options: InstanceListTaskOptions) {
		this.#health = SourceHealth.create(options.clock);
		this.#backoff = Backoff.create({random: options.random});
	}

	/** The last known listing. */
	get listing(): InstanceListing | undefined {
		return this.#listing;
	}

	get status(): SourceStatus {
		return this.#health.status;
	}

	start(): void {
		this.#readLoop.start();
	}

	async dispose(): Promise<void> {
		await this.#readLoop.dispose();
	}

	/** @returns the wait before the next read */
	async #poll(signal: AbortSignal): Promise<Milliseconds> {
		try {
			const listing = await this.options.instanceList.readListing(signal);
			this.#reportHealth(this.#health.recordSuccess());
			this.#backoff.reset();
			this.#applyListing(listing);
			return this.options.pollIntervalMs ?? 1000;
		} catch (error) {
			if (!signal.aborted) {
				this.#reportHealth(this.#health.recordFailure(error));
			}

			return this.#backoff.next();
		}
	}

	#applyListing(listing: InstanceListing): void {
		const lastRevision = this.#listing?.revision;
		if (lastRevision !== undefined && listing.revision < lastRevision) {
			if (this.#reportedOlderRevision !== listing.revision) {
				this.#reportedOlderRevision = listing.revision;
				this.#post({kind: 'instance-list-backward', revision: listing.revision, lastRevision});
			}

			return;
		}

		this.#reportedOlderRevision = undefined;
		if (listing.revision !== lastRevision) {
			this.#listing = listing;
			this.options.mailbox.post({kind: 'instance-list-changed', listing});
		}
	}

	#reportHealth(change: ReturnType<SourceHealth['recordFailure']>): void {
		if (change?.kind === 'unavailable') {
			this.#post({...change, kind: 'instance-list-unavailable'});
		} else if (change) {
			this.#post({...change, kind: 'instance-list-restored'});
		}
	}

	#post(message: Exclude<InstanceListMessage, {kind: 'instance-list-changed'}>): void {
		const {kind, ...fields} = message;
		this.options.logger.warn(fields, kind);
		this.options.mailbox.post(message);
	}
}
