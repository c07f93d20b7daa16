import {setImmediate as nextImmediate, setTimeout as delay} from 'node:timers/promises';
import type {Clock, Milliseconds} from '../../shared/clock.js';
import {describeError} from '../../shared/describe-error.js';
import {DisposableStore} from '../../shared/disposable-store.js';
import type {EventLog} from '../observability/event-log.js';
import {restoreHoldMs} from './restore-hold.js';
import type {SiteChange, SiteState} from './site-state.js';
import type {SiteConfirmation, SiteSnapshot} from './types.js';

/** Interval between two confirmations, as a fraction of the time within which a change must take effect. A change reaches an instance within its own interval, the largest age of a confirmation and the duration of two reads. */
const intervalRatio = 0.25;

/** Shortest time for which an answer is awaited. After it, this instance reads the store itself. */
const askTimeoutMs = 150;

/** Largest time for which an answer of a reader is awaited that has answered late, in intervals. */
const maximumWaitIntervals = 0.75;

/** Time for which an answer is awaited, in units of the time that the one before took. */
const answerTimeFactor = 2;

/** Rounds of questions to witnesses before an outage is assumed that some of them report: questions and answers are lost, and busy instances answer late. */
const witnessRounds = 3;

/** Rounds of questions of an instance that starts: it delays a start by this many timeouts when no other instance runs. */
const startRounds = 2;

/** Largest age of the last read of a witness: the store may have been down since then, but not for long enough that records have expired. */
const maximumWitnessAgeMs = 2000;

/** Largest age of a confirmation that is taken over, in intervals. An older one means that the reader has lost the store, or has its state confirmed by others that it takes for the reader. */
const maximumConfirmationIntervals = 1.5;

/** Interval between reads until the first one has succeeded, and after one that failed. */
const retryIntervalMs = 250;

/** Timeout of one read. A slow store may take 90 times its usual 4 ms per page. */
const readTimeoutMs = 1500;

/** Maximum number of concurrent reads: one that gets no response must not delay the next. */
const maximumPendingReads = 3;

export type SiteSource = {
	/** Whether the response to a read is arriving. */
	readonly isReceiving: boolean;
	/** @throws {Error} when the read fails */
	read(timeoutMs: Milliseconds): Promise<SiteSnapshot>;
	/**
	Reads all but the configuration. That of the snapshot is the one that was read last.

	@throws {Error} when the read fails
	*/
	readRecords(timeoutMs: Milliseconds): Promise<SiteSnapshot>;
};

/** What other instances tell about the store during the last gap between reads. */
type OutageFinding
	= | {readonly kind: 'served'; readonly witness: string}
		| {readonly kind: 'outage'}
		| {readonly kind: 'unanswered'};

/** A configuration that another instance has confirmed. */
type ConfirmedConfiguration = {
	readonly digest: string;
	/** An instant no later than the sending of the read that confirmed it. */
	readonly confirmedAt: Milliseconds;
};

export type SiteReaderOptions = {
	readonly source: SiteSource;
	readonly state: SiteState;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly onChanges: (changes: readonly SiteChange[]) => void;
	readonly onRead: (outcome: 'read' | 'confirmed' | 'failed', durationMs: Milliseconds) => void;
	/** Time within which a change in the store must take effect. */
	readonly changeBoundMs: Milliseconds;
	/** The instance that reads the store for this one, or undefined when there is none. */
	readonly findReader: () => string | undefined;
	/** Other instances that may know whether the store served while this one could not read it. */
	readonly findWitnesses: () => readonly string[];
	/** Instances that this one may ask when it starts, before it has heard any. */
	readonly findStartWitnesses: () => readonly string[];
	/** Asks another instance; resolves with undefined when there is no answer in time. */
	readonly ask: (host: string, timeoutMs: Milliseconds) => Promise<SiteConfirmation | undefined>;
};

/** Resolves with the first result, or with undefined when all have failed or the time is over. */
async function firstWithin<Result>(results: ReadonlyArray<Promise<Result>>, timeoutMs: Milliseconds): Promise<Result | undefined> {
	const abortController = new AbortController();
	const timeOut = async () => {
		await delay(timeoutMs, undefined, {signal: abortController.signal});
		// After a delay of this process, timers run before the datagrams that have arrived meanwhile are read.
		await nextImmediate();
	};

	try {
		return await Promise.race([Promise.any(results), timeOut() as Promise<undefined>]);
	} catch {
		// All have failed.
		return undefined;
	} finally {
		abortController.abort();
	}
}

/** Keeps the site state up to date: reads the platform's store, or has another instance confirm that nothing has changed. */
export class SiteReaderTask {
	static create(options: SiteReaderOptions): SiteReaderTask {
		return new SiteReaderTask(options);
	}

	readonly #disposables = DisposableStore.create();
	#pendingReads = 0;
	#timer: NodeJS.Timeout | undefined;
	#isStoreReachable: boolean | undefined;
	/** When the state was last confirmed, by an own read or another instance. */
	#lastSuccessAt: Milliseconds | undefined;
	/** Reads that failed since the last one that succeeded. */
	#failedReads = 0;
	#isDisposed = false;
	/** Until when the first state is not used, because others keep what a restore of the store has lost; undefined before the first read. */
	#startsBy: Milliseconds | undefined;
	#isCheckingForOutage = false;
	/** Time for which the next answer of the reader is awaited. */
	#answerWaitMs: Milliseconds = askTimeoutMs;

	readonly #intervalMs: Milliseconds;

	private constructor(private readonly options: SiteReaderOptions) {
		this.#intervalMs = options.changeBoundMs * intervalRatio;
	}

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
		// Another read would share the link with the one that is arriving, and delay both.
		if (this.#pendingReads < maximumPendingReads && !this.options.source.isReceiving) {
			void this.#refresh();
		}

		this.#schedule(this.#isStoreReachable === true ? this.#intervalMs : retryIntervalMs);
	}

	async #refresh(): Promise<void> {
		const {clock, state, findReader} = this.options;
		const reader = state.confirmedAt === undefined ? undefined : findReader();
		if (reader === undefined) {
			await this.#read();
			return;
		}

		const askedAt = clock.now();
		const answer = this.#askReader(reader, askedAt);
		const confirmation = await firstWithin([answer], this.#answerWaitMs);
		if (confirmation === undefined) {
			void this.#confirmLate(answer, askedAt);
			await this.#read();
			return;
		}

		if (!this.#isRecent(confirmation)) {
			await this.#read();
			return;
		}

		if (this.#confirm(confirmation, askedAt)) {
			return;
		}

		const confirmedAt = askedAt - confirmation.ageMs;
		const isSameEra = confirmation.era === undefined || state.era === undefined || confirmation.era === state.era;
		const isConfigurationConfirmed = isSameEra && confirmation.configurationDigest === state.configurationDigest && confirmedAt > state.confirmedAt!;
		await this.#read(isConfigurationConfirmed ? {digest: confirmation.configurationDigest, confirmedAt} : undefined);
	}

	/** Awaits the next answer longer if this one is late: a full link, or a busy reader, would be delayed further by a whole read at each interval. */
	async #askReader(reader: string, askedAt: Milliseconds): Promise<SiteConfirmation | undefined> {
		const confirmation = await this.options.ask(reader, Math.max(askTimeoutMs, this.#intervalMs));
		const longestWaitMs = confirmation === undefined ? askTimeoutMs : maximumWaitIntervals * this.#intervalMs;
		this.#answerWaitMs = Math.max(askTimeoutMs, Math.min(answerTimeFactor * (this.options.clock.now() - askedAt), longestWaitMs));
		return confirmation;
	}

	/** Takes over an answer that came after the wait. It holds as of its question, and the read in its place may take long. */
	async #confirmLate(answer: Promise<SiteConfirmation | undefined>, askedAt: Milliseconds): Promise<void> {
		const confirmation = await answer;
		if (this.#isRecent(confirmation)) {
			this.#confirm(confirmation, askedAt);
		}
	}

	/** Returns whether the state is the one that another instance has confirmed. */
	#confirm(confirmation: SiteConfirmation, askedAt: Milliseconds): boolean {
		const {clock, state, onRead} = this.options;
		const now = clock.now();
		if (!state.confirm(confirmation, askedAt, now)) {
			return false;
		}

		this.#lastSuccessAt = now;
		onRead('confirmed', now - askedAt);
		return true;
	}

	#schedule(delayMs: Milliseconds): void {
		clearTimeout(this.#timer);
		if (this.#isDisposed) {
			return;
		}

		const {state, clock} = this.options;
		this.#timer = setTimeout(() => {
			this.#tick();
		}, Math.min(delayMs, Math.ceil(state.changeDueInMs(clock.now()))));
	}

	/** @param confirmed the configuration, if only the other records are to be read; the state is then dated by the older of the two */
	async #read(confirmed?: ConfirmedConfiguration): Promise<void> {
		const {source, state, clock, onChanges, onRead} = this.options;
		const sentAt = clock.now();
		this.#pendingReads++;
		try {
			const snapshot = confirmed === undefined ? await source.read(readTimeoutMs) : await source.readRecords(readTimeoutMs);
			const receivedAt = clock.now();
			this.#recordSuccess(receivedAt, receivedAt - sentAt);
			onRead('read', receivedAt - sentAt);
			if (confirmed !== undefined && snapshot.configurationDigest !== confirmed.digest) {
				// The late response to an earlier read has replaced the configuration that the client holds.
				await this.#read();
				return;
			}

			if (state.confirmedAt === undefined && await this.#mustWaitForRestore(snapshot)) {
				return;
			}

			const datedAt = Math.min(sentAt, confirmed?.confirmedAt ?? Infinity);
			const changes = state.apply(snapshot, datedAt, receivedAt);
			if (changes.some(({kind}) => kind === 'endpoint-held' || kind === 'endpoint-missing')) {
				this.#schedule(this.#intervalMs);
			}

			if (changes.length > 0) {
				onChanges(changes);
			}

			void this.#checkForOutage();
		} catch (error) {
			onRead('failed', clock.now() - sentAt);
			this.#recordFailure(error);
		} finally {
			this.#pendingReads--;
		}
	}

	/**
	Whether the first snapshot may lack what others have read: then nothing is sent until they keep nothing any more, or their time is over.

	An instance that starts knows nothing of what the store held before its restore, and can't take it over from others: a configuration is larger than a datagram.
	*/
	async #mustWaitForRestore({era, configuration}: SiteSnapshot): Promise<boolean> {
		const {clock, log} = this.options;
		if (era === undefined || configuration === undefined) {
			return false;
		}

		const isFirst = this.#startsBy === undefined;
		this.#startsBy ??= clock.now() + restoreHoldMs;
		if (clock.now() >= this.#startsBy) {
			return false;
		}

		for (let round = 0; round < startRounds; round++) {
			// eslint-disable-next-line no-await-in-loop -- another round is needed only when the one before had no answer
			const answers = await Promise.all(this.options.findStartWitnesses().map(async host => this.options.ask(host, askTimeoutMs)));
			const known = answers.filter(answer => answer !== undefined);
			const keeping = known.find(answer => answer.heldMs > 0 || (answer.era !== undefined && answer.era !== era));
			if (keeping !== undefined) {
				if (isFirst) {
					log.event('start-held', {
						dependency: 'store', era, otherEra: keeping.era, heldMs: Math.round(keeping.heldMs),
					});
				}

				return true;
			}

			if (known.length > 0 || answers.length === 0) {
				return false;
			}
		}

		return false;
	}

	/**
	Asks other instances whether they have read the store without a gap, because a record can't have expired then.

	Endpoints without a record get no requests until one has answered, or their time ends.
	*/
	async #checkForOutage(): Promise<void> {
		const {state, clock, log} = this.options;
		if (this.#isCheckingForOutage) {
			return;
		}

		this.#isCheckingForOutage = true;
		try {
			while (!this.#isDisposed && state.removalDueInMs(clock.now()) !== Infinity) {
				// eslint-disable-next-line no-await-in-loop -- answers don't hold for a gap that ended after their questions
				if (await this.#decideOnMissing()) {
					return;
				}
			}
		} catch (error) {
			log.event('outage-check-failed', {dependency: 'store', reason: describeError(error)});
		} finally {
			this.#isCheckingForOutage = false;
		}
	}

	/** Returns whether others have told what becomes of the endpoints that now have no record. */
	async #decideOnMissing(): Promise<boolean> {
		const {state, clock, log, onChanges} = this.options;
		const {graceUntil} = state;
		const isOpen = () => !this.#isDisposed && state.graceUntil === graceUntil && state.removalDueInMs(clock.now()) !== Infinity;
		const asked = new Set<string>();
		const answers = new Map<string, string>();
		const finding = await this.#askWitnesses(isOpen, asked, answers);
		const fields = {dependency: 'store', asked: [...asked].join(','), answers: [...answers.values()].join(',')};
		if (finding.kind === 'unanswered' || !isOpen()) {
			log.event('outage-unanswered', fields);
			return false;
		}

		let changes: readonly SiteChange[];
		if (finding.kind === 'served') {
			log.event('outage-disproved', {dependency: 'store', witness: finding.witness});
			changes = state.disproveOutage(clock.now());
		} else {
			log.event('outage-assumed', fields);
			changes = state.assumeOutage(clock.now());
		}

		if (changes.length > 0) {
			onChanges(changes);
		}

		return true;
	}

	/**
	@param isOpen whether the question still matters; not when the endpoints have gone or their records are back, or another gap has ended
	@param asked gets the instances that were asked
	@param answers gets what those have answered that can't tell that the store has served
	*/
	async #askWitnesses(isOpen: () => boolean, asked: Set<string>, answers: Map<string, string>): Promise<OutageFinding> {
		const {clock, state, findWitnesses} = this.options;
		const questions: Array<Promise<string>> = [];
		for (let round = 1; isOpen(); round++) {
			const roundEndsAt = clock.now() + askTimeoutMs;
			for (const host of findWitnesses()) {
				asked.add(host);
				// Late answers count, too.
				questions.push(this.#askWitness(host, state.removalDueInMs(clock.now()), answers));
			}

			// eslint-disable-next-line no-await-in-loop -- another round is needed only when the one before had no answer
			const witness = await firstWithin(questions, askTimeoutMs);
			if (witness !== undefined) {
				return {kind: 'served', witness};
			}

			if (asked.size === 0 || (answers.size > 0 && round >= witnessRounds)) {
				return {kind: 'outage'};
			}

			if (answers.size < asked.size) {
				// eslint-disable-next-line no-await-in-loop
				await delay(Math.max(0, roundEndsAt - clock.now()));
			}
		}

		return {kind: 'unanswered'};
	}

	/**
	Returns the host if its instance has read the store without a gap.

	@param answers gets the answer when it has not
	@throws {Error} when it has not, or doesn't answer in time
	*/
	async #askWitness(host: string, timeoutMs: Milliseconds, answers: Map<string, string>): Promise<string> {
		const answer = await this.options.ask(host, timeoutMs);
		if (answer === undefined) {
			throw new Error(`${host} none`);
		}

		const {era} = this.options.state;
		// One that reads another era has not seen what this store served since its restore.
		const isOtherEra = era !== undefined && answer.era !== undefined && answer.era !== era;
		if (answer.ageMs > maximumWitnessAgeMs || answer.recordGraceMs > 0 || isOtherEra) {
			const reason = `${host} age ${Math.round(answer.ageMs)} grace ${Math.round(answer.recordGraceMs)} era ${answer.era}`;
			answers.set(host, reason);
			throw new Error(reason);
		}

		return host;
	}

	#isRecent(confirmation: SiteConfirmation | undefined): confirmation is SiteConfirmation {
		return confirmation !== undefined && confirmation.ageMs <= maximumConfirmationIntervals * this.#intervalMs;
	}

	#recordSuccess(now: Milliseconds, durationMs: Milliseconds): void {
		if (this.#isStoreReachable !== true) {
			this.options.log.event('dependency-regained', {
				dependency: 'store',
				durationMs: Math.round(durationMs),
				lastSuccessMs: this.#sinceLastSuccess(now),
				failedReads: this.#failedReads,
				pendingReads: this.#pendingReads - 1,
			});
			this.#isStoreReachable = true;
		}

		this.#lastSuccessAt = now;
		this.#failedReads = 0;
	}

	#recordFailure(error: unknown): void {
		this.#failedReads++;
		if (this.#isStoreReachable !== false) {
			this.options.log.event('dependency-lost', {dependency: 'store', reason: describeError(error), lastSuccessMs: this.#sinceLastSuccess(this.options.clock.now())});
			this.#isStoreReachable = false;
			this.#schedule(retryIntervalMs);
		}
	}

	#sinceLastSuccess(now: Milliseconds): Milliseconds | undefined {
		return this.#lastSuccessAt === undefined ? undefined : Math.round(now - this.#lastSuccessAt);
	}
}
