import {request} from 'undici';
import {z} from 'zod';
import type {Clock, Milliseconds} from '../../shared/clock.js';
import {DisposableStore, type Disposable} from '../../shared/disposable-store.js';
import type {Logger} from '../../shared/log.js';
import type {Mailbox} from '../../shared/message-loop.js';
import type {SchedulerMessage} from '../scheduler/messages.js';

const pollIntervalMs: Milliseconds = 1000;
const pollTimeoutMs: Milliseconds = 900;
const maximumEventsPerPoll = 10_000;

/** The engine's clock may run up to 2 % slower than the clock of this process. */
const clockRateSafetyFactor = 1.02;

const loadReportSchema = z.object({
	startId: z.string().min(1),
	phase: z.enum(['cold', 'warming', 'warm']),
	running: z.number().nonnegative(),
	tokensInUse: z.number().nonnegative(),
	ageMilliseconds: z.number().nonnegative(),
});

const cacheEventsSchema = z.object({
	events: z.array(z.object({
		sequence: z.number().int().nonnegative(),
		kind: z.enum(['stored', 'evicted']),
		block: z.string().min(1),
	})).max(maximumEventsPerPoll),
});

/** An engine to poll. */
export type PolledEngine = {
	readonly name: string;
	/** Host and port. */
	readonly address: string;
};

export type EnginePollTaskOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly mailbox: Mailbox<SchedulerMessage>;
	/** Returns the engines to poll: those of which this entry owns units. */
	readonly engines: () => readonly PolledEngine[];
};

/** Polls engines for load reports and cache events and posts these to the scheduler. A failed poll is logged and otherwise ignored. */
export class EnginePollTask implements Disposable {
	static create(options: EnginePollTaskOptions): EnginePollTask {
		return new EnginePollTask(options);
	}

	readonly #disposables = DisposableStore.create();
	readonly #abortController = new AbortController();
	readonly #lastEventSequences = new Map<string, number>();
	readonly #enginesBeingPolled = new Set<string>();

	private constructor(private readonly options: EnginePollTaskOptions) {}

	start(): void {
		this.#disposables.addInterval(() => {
			this.#pollAll();
		}, pollIntervalMs);
	}

	async dispose(): Promise<void> {
		this.#abortController.abort();
		await this.#disposables.dispose();
	}

	#pollAll(): void {
		for (const engine of this.options.engines()) {
			if (!this.#enginesBeingPolled.has(engine.name)) {
				void this.#poll(engine);
			}
		}
	}

	async #poll(engine: PolledEngine): Promise<void> {
		this.#enginesBeingPolled.add(engine.name);
		try {
			await this.#pollLoad(engine);
			await this.#pollCacheEvents(engine);
		} catch (error) {
			this.options.logger.debug({endpoint: engine.name, reason: error instanceof Error ? error.message : 'unknown'}, 'engine-poll-failed');
		} finally {
			this.#enginesBeingPolled.delete(engine.name);
		}
	}

	async #pollLoad(engine: PolledEngine): Promise<void> {
		const requestedAt = this.options.clock.now();
		const report = loadReportSchema.parse(await this.#readJson(engine, '/v1/load'));
		this.options.mailbox.post({
			kind: 'load-report', endpoint: engine.name, report, takenAt: requestedAt - (report.ageMilliseconds * clockRateSafetyFactor),
		});
	}

	async #pollCacheEvents(engine: PolledEngine): Promise<void> {
		const after = this.#lastEventSequences.get(engine.name) ?? 0;
		const {events} = cacheEventsSchema.parse(await this.#readJson(engine, `/v1/cache-events?after=${after}`));
		if (events.length > 0) {
			this.#lastEventSequences.set(engine.name, Math.max(...events.map(event => event.sequence)));
			this.options.mailbox.post({kind: 'cache-events', endpoint: engine.name, events});
		}
	}

	async #readJson(engine: PolledEngine, path: string): Promise<unknown> {
		const response = await request(`http://${engine.address}${path}`, {
			signal: AbortSignal.any([this.#abortController.signal, AbortSignal.timeout(pollTimeoutMs)]),
		});
		return response.body.json();
	}
}
