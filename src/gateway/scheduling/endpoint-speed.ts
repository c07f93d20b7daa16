import type {Milliseconds} from '../../shared/clock.js';

/** Event interval that is assumed until a stream of the service has been measured. */
const initialEventIntervalMs: Milliseconds = 30;

/** Time to the first event of a short prompt that is assumed until one has been measured: three event intervals, as under low load. */
const initialBaseMs: Milliseconds = 90;

/** Reading time of a prompt token that is assumed until long prompts have been measured. The engines of the known deployments read 57, 85 and 157 tokens per millisecond. */
const initialMsPerPromptToken = 1 / 85;

/** Weight that the past keeps with each new measurement, of an endpoint and of its service. An instance of a large fleet measures an endpoint only every few seconds. */
const endpointDecay = 0.9;
const serviceDecay = 0.98;

/** Measurements that the estimate of the service counts for in that of an endpoint. */
const priorMeasurements = 0.5;

/** Prompt tokens of the measurements that the reading speed of the service counts for in that of an endpoint. */
const priorPromptTokens = 2000;

/** Prompts up to this length measure the time to the first event without reading; longer ones measure the reading speed. */
const shortPromptTokens = 700;

/** Weights of first events that came later and earlier than expected. The prompts of others delay a first event and nothing hastens it, so that the early ones show the speed of the endpoint. */
const lateWeight = 0.2;
const earlyWeight = 0.8;

/** Largest first event time in relation to the expected one that counts as measured; a longer one says that the endpoint was slow or silent for a moment. */
const maximumMeasuredRatio = 5;

/** Relative slowdown of a full endpoint compared with an idle one: its requests share each step and wait for each other's prompts. */
export const fullEndpointSlowdown = 1;

/** Delay of a request at a full endpoint, regardless of its length: it waits for the prompts of the others. Of a service whose first events are measured, the measured one counts. */
export const fullEndpointDelayMs: Milliseconds = 150;

/** An event is overdue after this multiple of the expected time and this margin. */
const overdueRatio = 2.5;
const overdueMarginMs: Milliseconds = 50;

/** Time after the last sign of slowness for which an endpoint counts as slow, if it sends nothing in time before. Slow phases take about 600 ms. */
const slownessMs: Milliseconds = 300;

/** Largest observed slowdown that counts in the cost, so that endpoints that are silent together keep their order. */
const maximumSlowdown = 10;

/** How fast an endpoint is expected to be for a request that is dispatched now. */
export type SpeedEstimate = {
	/** Time between two events under the load that the endpoint usually has, so that it costs more if it gets more than others. */
	readonly eventIntervalMs: Milliseconds;
	/** Time to the first event of a short prompt at an idle endpoint. */
	readonly baseMs: Milliseconds;
	readonly msPerPromptToken: number;
	/** Delay of the first event at a full endpoint by the prompts of others. */
	readonly fullDelayMs: Milliseconds;
	/** Factor by which the endpoint is slower at the moment, at least 1. */
	readonly slowdown: number;
};

/** Time to the first event of a request that has ended. */
export type FirstEventMeasurement = {
	readonly firstEventMs: Milliseconds;
	readonly promptTokens: number;
	/** Requests in flight at the endpoint when the request was dispatched, in relation to its slots. */
	readonly loadRatio: number;
};

/** A measured first event, without what lies beyond the bound of measurements. */
type FirstEventSample = FirstEventMeasurement & {
	readonly expectedMs: Milliseconds;
	readonly weight: number;
};

type Speed = Omit<SpeedEstimate, 'slowdown'>;

/** Returns the expected time to the first event. */
export function expectedFirstEventMs({baseMs, msPerPromptToken, fullDelayMs}: Omit<Speed, 'eventIntervalMs'>, promptTokens: number, loadRatio: number): Milliseconds {
	return ((baseMs + (promptTokens * msPerPromptToken)) * loadFactor(loadRatio)) + (fullDelayMs * loadRatio);
}

function loadFactor(loadRatio: number): number {
	return 1 + (fullEndpointSlowdown * loadRatio);
}

/** Returns the expected time from the first event to the end. */
export function expectedRestMs({eventIntervalMs}: Pick<Speed, 'eventIntervalMs'>, expectedEvents: number, loadRatio: number): Milliseconds {
	return Math.max(0, expectedEvents - 1) * eventIntervalMs * loadFactor(loadRatio);
}

/** Moving average as the quotient of two decaying sums, with a prior in place of missing measurements. */
class MovingRatio {
	#numerator = 0;
	#denominator = 0;

	constructor(private readonly decay: number) {}

	add(numerator: number, denominator: number): void {
		this.#numerator = (this.#numerator * this.decay) + numerator;
		this.#denominator = (this.#denominator * this.decay) + denominator;
	}

	value(prior: number, priorWeight: number): number {
		return (this.#numerator + (prior * priorWeight)) / (this.#denominator + priorWeight);
	}
}

/** Estimates of one endpoint or of a service. */
class SpeedAverages {
	readonly #eventInterval: MovingRatio;
	readonly #base: MovingRatio;
	readonly #reading: MovingRatio;

	constructor(decay: number) {
		this.#eventInterval = new MovingRatio(decay);
		this.#base = new MovingRatio(decay);
		this.#reading = new MovingRatio(decay);
	}

	speed(prior: Speed): Speed {
		return {
			...prior,
			eventIntervalMs: this.#eventInterval.value(prior.eventIntervalMs, priorMeasurements),
			baseMs: this.#base.value(prior.baseMs, priorMeasurements * earlyWeight),
			msPerPromptToken: this.#reading.value(prior.msPerPromptToken, earlyWeight * (priorPromptTokens ** 2)),
		};
	}

	recordEventInterval(intervalMs: Milliseconds): void {
		this.#eventInterval.add(intervalMs, 1);
	}

	/** Updates the base by short prompts, and the reading speed by the least squares of long ones. */
	recordFirstEvent({firstEventMs, promptTokens, loadRatio, weight}: FirstEventSample, {baseMs, msPerPromptToken, fullDelayMs}: Speed): void {
		const idleMs = (firstEventMs - (fullDelayMs * loadRatio)) / loadFactor(loadRatio);
		if (promptTokens <= shortPromptTokens) {
			this.#base.add(weight * Math.max(0, idleMs - (promptTokens * msPerPromptToken)), weight);
		} else {
			this.#reading.add(weight * Math.max(0, idleMs - baseMs) * promptTokens, weight * (promptTokens ** 2));
		}
	}
}

/** Average speed of the endpoints of a service. */
export class ServiceSpeed {
	static create(): ServiceSpeed {
		return new ServiceSpeed();
	}

	readonly #averages = new SpeedAverages(serviceDecay);
	/** Least squares of the part of first event times that neither the endpoint nor the prompt explains, by load. */
	readonly #fullDelay = new MovingRatio(serviceDecay);
	/** Measured first event times in relation to the expected ones, which go by the early ones. */
	readonly #delay = new MovingRatio(serviceDecay);

	private constructor() {}

	get speed(): Speed {
		return this.#averages.speed({
			eventIntervalMs: initialEventIntervalMs,
			baseMs: initialBaseMs,
			msPerPromptToken: initialMsPerPromptToken,
			fullDelayMs: this.#fullDelay.value(fullEndpointDelayMs, priorMeasurements),
		});
	}

	recordEventInterval(intervalMs: Milliseconds): void {
		this.#averages.recordEventInterval(intervalMs);
	}

	/** Returns the average time to the first event of a request at a full endpoint. */
	averageFirstEventMs(promptTokens: number): Milliseconds {
		return expectedFirstEventMs(this.speed, promptTokens, 1) * this.#delay.value(1, initialBaseMs);
	}

	recordFirstEvent(sample: FirstEventSample, speed: Speed): void {
		const {firstEventMs, promptTokens, loadRatio, expectedMs, weight} = sample;
		const unloadedMs = (speed.baseMs + (promptTokens * speed.msPerPromptToken)) * loadFactor(loadRatio);
		this.#averages.recordFirstEvent(sample, speed);
		this.#fullDelay.add(weight * Math.max(0, firstEventMs - unloadedMs) * loadRatio, weight * (loadRatio ** 2));
		this.#delay.add(firstEventMs, expectedMs);
	}
}

/** Any object that stands for one attempt; only its identity matters. */
export type RunKey = Readonly<Record<never, unknown>>;

/** A request in flight whose next event is expected. */
type Run = {
	since: Milliseconds;
	expectedMs: Milliseconds;
};

/** Speed of one start of an endpoint by the measurements of this instance, and whether it is slow at the moment. */
export class EndpointSpeed {
	static create(service: ServiceSpeed): EndpointSpeed {
		return new EndpointSpeed(service);
	}

	readonly #averages = new SpeedAverages(endpointDecay);
	/** Requests of this instance in flight. */
	readonly #runs = new Map<RunKey, Run>();
	#slowness: {readonly at: Milliseconds; readonly slowdown: number} | undefined;

	private constructor(private readonly service: ServiceSpeed) {}

	/** Returns the estimate for a request that is dispatched now. */
	estimate(now: Milliseconds): SpeedEstimate {
		return {...this.#speed, slowdown: this.slowdown(now)};
	}

	/** Factor by which the endpoint is slower at the moment: 1 unless an event is overdue, or came late a moment ago and none in time since. */
	slowdown(now: Milliseconds): number {
		for (const run of this.#runs.values()) {
			this.#recordIfOverdue(run, now);
		}

		return this.#slowness === undefined || now - this.#slowness.at > slownessMs ? 1 : this.#slowness.slowdown;
	}

	/** Records a request whose first event is awaited from now on. */
	recordStart(run: RunKey, promptTokens: number, loadRatio: number, now: Milliseconds): void {
		this.#runs.set(run, {since: now, expectedMs: expectedFirstEventMs(this.#speed, promptTokens, loadRatio)});
	}

	/** Records an event of a stream. */
	recordEvent(key: RunKey, now: Milliseconds): void {
		const run = this.#runs.get(key);
		if (run === undefined) {
			return;
		}

		if (!this.#recordIfOverdue(run, now)) {
			this.#slowness = undefined;
		}

		run.since = now;
		run.expectedMs = this.#speed.eventIntervalMs;
	}

	recordEnd(run: RunKey): void {
		this.#runs.delete(run);
	}

	recordEventInterval(intervalMs: Milliseconds): void {
		this.#averages.recordEventInterval(intervalMs);
		this.service.recordEventInterval(intervalMs);
	}

	recordFirstEvent(measurement: FirstEventMeasurement): void {
		const speed = this.#speed;
		const expectedMs = expectedFirstEventMs(speed, measurement.promptTokens, measurement.loadRatio);
		const firstEventMs = Math.min(measurement.firstEventMs, maximumMeasuredRatio * expectedMs);
		const sample = {
			...measurement, firstEventMs, expectedMs, weight: firstEventMs > expectedMs ? lateWeight : earlyWeight,
		};
		this.#averages.recordFirstEvent(sample, speed);
		this.service.recordFirstEvent(sample, speed);
	}

	get #speed(): Speed {
		return this.#averages.speed(this.service.speed);
	}

	#recordIfOverdue({since, expectedMs}: Run, now: Milliseconds): boolean {
		const isOverdue = now - since > (overdueRatio * expectedMs) + overdueMarginMs;
		if (isOverdue) {
			const slowdown = Math.min((now - since) / expectedMs, maximumSlowdown);
			// Several overdue requests show the same slowness; the longest wait shows most of it.
			this.#slowness = {at: now, slowdown: this.#slowness?.at === now ? Math.max(slowdown, this.#slowness.slowdown) : slowdown};
		}

		return isOverdue;
	}
}
