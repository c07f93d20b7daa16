import type {Clock, Milliseconds} from '../../shared/clock.js';
import {describeError} from '../../shared/describe-error.js';
import {DisposableStore} from '../../shared/disposable-store.js';
import type {EventLog} from '../observability/event-log.js';
import type {SiteChange, SiteState} from './site-state.js';
import type {SiteSnapshot} from './types.js';

/** Interval between reads. A new configuration and the removal of an endpoint must take effect within 2,000 ms of their acknowledgement; two reads fit into that bound. */
const readIntervalMs = 850;

/** Interval between reads until the first one has succeeded, and after one that failed. */
const retryIntervalMs = 250;

/** Timeout of one read. A slow store may take 90 times its usual 4 ms per page. */
const readTimeoutMs = 1500;

/** Maximum number of concurrent reads: one that gets no response must not delay the next. */
const maximumPendingReads = 3;

export type SiteSource = {
	/** @throws {Error} when the read fails */
	read(timeoutMs: Milliseconds): Promise<SiteSnapshot>;
};

export type SiteReaderOptions = {
	readonly source: SiteSource;
	readonly state: SiteState;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly onChanges: (changes: readonly SiteChange[]) => void;
	readonly onRead: (outcome: 'read' | 'failed', durationMs: Milliseconds) => void;
};

/** Reads the platform's store periodically and updates the site state. */
export class SiteReaderTask {
	static create(options: SiteReaderOptions): SiteReaderTask {
		return new SiteReaderTask(options);
	}

	readonly #disposables = DisposableStore.create();
	#pendingReads = 0;
	#timer: NodeJS.Timeout | undefined;
	#isStoreReachable: boolean | undefined;
	#lastSuccessAt: Milliseconds | undefined;
	#isDisposed = false;

	private constructor(private readonly options: SiteReaderOptions) {}

	start(): void {
		this.#disposables.defer(() => {
			this.#isDisposed = true;
			clearTimeout(this.#timer);
		});
		this.#tick();
	}

	async dispose(): Promise<void> {
		await this.#disposables.dispose();
	}

	#tick(): void {
		if (this.#pendingReads < maximumPendingReads) {
			void this.#read();
		}

		this.#schedule(this.#isStoreReachable === true ? readIntervalMs : retryIntervalMs);
	}

	#schedule(delayMs: Milliseconds): void {
		clearTimeout(this.#timer);
		if (this.#isDisposed) {
			return;
		}

		this.#timer = setTimeout(() => {
			this.#tick();
		}, delayMs);
	}

	async #read(): Promise<void> {
		const {source, state, clock, onChanges, onRead} = this.options;
		const sentAt = clock.now();
		this.#pendingReads++;
		try {
			const snapshot = await source.read(readTimeoutMs);
			const now = clock.now();
			const changes = state.apply(snapshot, sentAt, now);
			this.#lastSuccessAt = now;
			onRead('read', now - sentAt);
			this.#recordSuccess(now - sentAt);
			if (changes.length > 0) {
				onChanges(changes);
			}
		} catch (error) {
			onRead('failed', clock.now() - sentAt);
			this.#recordFailure(error);
		} finally {
			this.#pendingReads--;
		}
	}

	#recordSuccess(durationMs: Milliseconds): void {
		if (this.#isStoreReachable !== true) {
			this.options.log.event('dependency-regained', {dependency: 'store', durationMs: Math.round(durationMs)});
			this.#isStoreReachable = true;
		}
	}

	#recordFailure(error: unknown): void {
		if (this.#isStoreReachable !== false) {
			const lastSuccessMs = this.#lastSuccessAt === undefined ? undefined : Math.round(this.options.clock.now() - this.#lastSuccessAt);
			this.options.log.event('dependency-lost', {dependency: 'store', reason: describeError(error), lastSuccessMs});
			this.#isStoreReachable = false;
			this.#schedule(retryIntervalMs);
		}
	}
}
