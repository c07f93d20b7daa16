import {createHistogram as createRecordableHistogram, type RecordableHistogram} from 'node:perf_hooks';
import type {Milliseconds} from '../../shared/clock.js';
import type {RetryBudgets} from '../limits/retry-budgets.js';
import {requestKinds, type Route} from '../site/types.js';

/** Percentile of the response times after which a second attempt is made. */
const delayPercentile = 95;

/** Samples that the percentile needs. */
const minimumSamples = 40;

/** Samples of a histogram until it begins again. Each sample is in two histograms that are half of this apart, so the percentile always covers between half and all of it. An instance of a large fleet has 10 to 60 requests of a route in a minute. */
const samplesPerHistogram = 240;

/** Longest response time that is distinguished. */
const maximumSampleMs: Milliseconds = 30_000;

/** Time over which the requests of a service allow extra attempts. */
const windowMs: Milliseconds = 10_000;

const sliceMs: Milliseconds = 1000;

/** Time for which a refusal shows that the service is overloaded. */
const refusalMs: Milliseconds = 1000;

/** Time for which an endpoint counts as slow after a response of it was last seen to be overdue. */
const slowMs: Milliseconds = 300;

/** Time for which unused statistics of a route are kept. */
const retentionMs: Milliseconds = 600_000;

/** Routes with statistics, and endpoints that are known to be slow. Configurations have some ten of both. */
const maximumEntries = 1024;

/** Weight of the newest request in the moving average of the time that slow responses take beyond the delay. */
const excessSmoothingFactor = 0.1;

/** Why a request gets no second attempt, or none yet. */
export const withheldReasons = {
	off: 'off',
	/** It may run only once. */
	notRepeatable: 'not-repeatable',
	/** A part of the response has arrived. */
	begun: 'begun',
	/** The percentile is not known yet. */
	fewSamples: 'few-samples',
	notDue: 'not-due',
	/** It has been sent to as many endpoints as its route allows. */
	maximumEndpoints: 'maximum-endpoints',
	callerTimeOver: 'caller-time-over',
	/** Other requests of the service wait for a slot. */
	waiting: 'waiting',
	/** A request of the service was refused a moment ago. */
	refused: 'refused',
	/** The ratio of extra attempts is used up. */
	limit: 'limit',
	retryBudget: 'retry-budget',
	/** Its prompt has parts that crash endpoints. */
	quarantined: 'quarantined',
	/** This process has not read for a while what has arrived. */
	unread: 'unread',
	/** This process ends too soon. */
	stopping: 'stopping',
	/** No endpoint that is warm, sound, unlimited and not slow has a free slot. */
	noEndpoint: 'no-endpoint',
} as const;

export type WithheldReason = (typeof withheldReasons)[keyof typeof withheldReasons];

/** Reasons that apply to ordinary requests all the time. They are not counted. */
const commonReasons: ReadonlySet<WithheldReason> = new Set([
	withheldReasons.off, withheldReasons.notRepeatable, withheldReasons.begun, withheldReasons.fewSamples, withheldReasons.notDue,
]);

/** Whether a reason kept a request from a second attempt that was due. */
export function isDueReason(reason: WithheldReason): boolean {
	return !commonReasons.has(reason);
}

/** A slot that was taken for an extra attempt. */
export type ExtraAttemptSlot = {
	readonly endpointId: string;
	/** Known requests of all instances in flight at the endpoint, without this one. */
	readonly inFlight: number;
};

/** A request with one attempt under way. */
export type SlowRequest = {
	readonly service: string;
	readonly route: Route;
	readonly endpointId: string;
	/** When the attempt was dispatched. */
	readonly sentAt: Milliseconds;
	/** Whether a response head of a plain service, an error, or an event has arrived. */
	readonly hasBegun: boolean;
	/** Endpoints that may have run the request, including that of the attempt. */
	readonly endpointCount: number;
	/** When the caller gives up. */
	readonly callerLeavesAt: Milliseconds;
	/** Requests of the service that wait for a slot. */
	readonly waiting: number;
	/** Extra attempts allowed as a ratio of the requests of the service. */
	readonly ratio: number;
	/** Number of instances that share the retry budget. */
	readonly sharingCount: number;
};

export type ExtraAttemptDecision
	= {readonly isDue: true; readonly delayMs: Milliseconds}
		| {readonly isDue: false; readonly reason: WithheldReason};

/** Whether a request may run at two endpoints at once. A route that is marked as resumable but isn't a stream may be retried, but runs nothing twice on purpose. */
function isRepeatable(route: Route): boolean {
	return route.kind === requestKinds.idempotent || (route.kind === requestKinds.streaming && route.isResumable);
}

/** Moving distribution of the times from the dispatch of a request to its response or first event. */
class ResponseTimes {
	static create(now: Milliseconds): ResponseTimes {
		return new ResponseTimes(now);
	}

	lastUsedAt: Milliseconds;
	/** Time beyond the delay that requests without an extra attempt took. */
	excessMs: Milliseconds | undefined;
	#older = createHistogram();
	#newer = createHistogram();
	#sampleCount = 0;
	#delayMs: Milliseconds | undefined;

	private constructor(now: Milliseconds) {
		this.lastUsedAt = now;
	}

	record(durationMs: Milliseconds): void {
		const value = Math.max(1, Math.min(maximumSampleMs, Math.round(durationMs)));
		this.#older.record(value);
		this.#sampleCount++;
		if (this.#sampleCount > samplesPerHistogram / 2) {
			this.#newer.record(value);
		}

		if (this.#sampleCount === samplesPerHistogram) {
			[this.#older, this.#newer] = [this.#newer, this.#older];
			this.#newer.reset();
			this.#sampleCount = samplesPerHistogram / 2;
		}

		this.#delayMs = undefined;
	}

	/** Undefined while there are too few samples. */
	get delayMs(): Milliseconds | undefined {
		if (this.#sampleCount < minimumSamples) {
			return undefined;
		}

		this.#delayMs ??= this.#older.percentile(delayPercentile);
		return this.#delayMs;
	}
}

function createHistogram(): RecordableHistogram {
	return createRecordableHistogram({lowest: 1, highest: maximumSampleMs, figures: 2});
}

type Slice = {readonly startedAt: Milliseconds; requests: number; extraAttempts: number};

/** What this instance knows of one service. */
class ServiceUse {
	static create(): ServiceUse {
		return new ServiceUse();
	}

	refusedAt: Milliseconds = -Infinity;
	readonly #slices: Slice[] = [];

	private constructor() {}

	isUnused(now: Milliseconds): boolean {
		const newest = this.#slices.at(-1);
		return now - this.refusedAt >= windowMs && (newest === undefined || now - newest.startedAt >= windowMs + sliceMs);
	}

	recordRequest(now: Milliseconds): void {
		this.#currentSlice(now).requests++;
	}

	recordExtraAttempt(now: Milliseconds): void {
		this.#currentSlice(now).extraAttempts++;
	}

	/** Returns how many extra attempts the requests of the window still allow. Slices that are only partly in the window count with their extra attempts and without their requests, so that the limit holds in each window. */
	remaining(ratio: number, now: Milliseconds): number {
		let allowed = 0;
		for (const slice of this.#slices) {
			const ageMs = now - slice.startedAt;
			allowed += ageMs < windowMs ? ratio * slice.requests : 0;
			allowed -= ageMs < windowMs + sliceMs ? slice.extraAttempts : 0;
		}

		return Math.max(0, Math.floor(allowed));
	}

	#currentSlice(now: Milliseconds): Slice {
		while (this.#slices[0] !== undefined && now - this.#slices[0].startedAt >= windowMs + sliceMs) {
			this.#slices.shift();
		}

		let current = this.#slices.at(-1);
		if (current === undefined || now - current.startedAt >= sliceMs) {
			current = {startedAt: now, requests: 0, extraAttempts: 0};
			this.#slices.push(current);
		}

		return current;
	}
}

/** Decides which slow requests are also sent to a second endpoint. It knows only the requests of this instance. */
export class ExtraAttempts {
	static create(retryBudgets: RetryBudgets): ExtraAttempts {
		return new ExtraAttempts(retryBudgets);
	}

	readonly #services = new Map<string, ServiceUse>();
	/** By service and route. */
	readonly #responseTimes = new Map<string, ResponseTimes>();
	/** By endpoint: until when it counts as slow. */
	readonly #slowUntil = new Map<string, Milliseconds>();

	private constructor(private readonly retryBudgets: RetryBudgets) {}

	recordRequest(service: string, now: Milliseconds): void {
		this.#useOf(service).recordRequest(now);
	}

	/** Records that a request was refused, by this instance or by an endpoint. */
	recordRefusal(service: string, now: Milliseconds): void {
		this.#useOf(service).refusedAt = now;
	}

	/** Records the time from the dispatch of a first attempt until it began its response. */
	recordResponse(service: string, route: string, durationMs: Milliseconds, now: Milliseconds): void {
		const times = this.#responseTimesOf(service, route, now);
		times.record(durationMs);
	}

	/** Records an attempt that was ended before its response. It would have taken longer, so a time below the delay says nothing. Without the others, the percentile would fall with each extra attempt that wins. */
	recordUnfinished(service: string, route: string, durationMs: Milliseconds, now: Milliseconds): void {
		const times = this.#responseTimesOf(service, route, now);
		if (times.delayMs !== undefined && durationMs >= times.delayMs) {
			times.record(durationMs);
		}
	}

	/** Records by how much a slow request that got no extra attempt exceeded the delay. */
	recordExcess(service: string, route: string, excessMs: Milliseconds, now: Milliseconds): void {
		const times = this.#responseTimesOf(service, route, now);
		times.excessMs = times.excessMs === undefined ? excessMs : times.excessMs + (excessSmoothingFactor * (excessMs - times.excessMs));
	}

	/** Returns the estimated time that an extra attempt saved, by what slow requests without one took. */
	savedMs(service: string, route: string, excessMs: Milliseconds): Milliseconds {
		return Math.max(0, (this.#responseTimes.get(keyOf(service, route))?.excessMs ?? 0) - excessMs);
	}

	/** Time without a response after which a request is slow; undefined while there are too few samples. */
	delayMs(service: string, route: string): Milliseconds | undefined {
		return this.#responseTimes.get(keyOf(service, route))?.delayMs;
	}

	/** Returns how many extra attempts the limit allows now. */
	remaining(service: string, ratio: number, now: Milliseconds): number {
		return this.#services.get(service)?.remaining(ratio, now) ?? 0;
	}

	/** Endpoints at which a response of this instance was overdue a moment ago. */
	slowEndpoints(now: Milliseconds): string[] {
		return [...this.#slowUntil].filter(([, until]) => now < until).map(([id]) => id);
	}

	/** Records that an endpoint has begun no response to a request yet. It counts as slow if the request waits for longer than the delay. */
	recordPending({service, route, endpointId, sentAt}: Pick<SlowRequest, 'service' | 'route' | 'endpointId' | 'sentAt'>, now: Milliseconds): void {
		const delayMs = this.delayMs(service, route.name);
		if (delayMs !== undefined && now - sentAt >= delayMs) {
			this.#recordSlow(endpointId, now);
		}
	}

	/** Decides whether a second attempt is due now. Takes nothing. */
	decide(request: SlowRequest, now: Milliseconds): ExtraAttemptDecision {
		const {service, route, sentAt} = request;
		const withhold = (reason: WithheldReason) => ({isDue: false, reason} as const);
		if (request.ratio === 0) {
			return withhold(withheldReasons.off);
		}

		if (request.hasBegun) {
			return withhold(withheldReasons.begun);
		}

		const delayMs = this.delayMs(service, route.name);
		if (delayMs === undefined) {
			return withhold(withheldReasons.fewSamples);
		}

		if (now - sentAt < delayMs) {
			return withhold(withheldReasons.notDue);
		}

		if (!isRepeatable(route)) {
			return withhold(withheldReasons.notRepeatable);
		}

		const reason = this.#findObstacle(request, now);
		return reason === undefined ? {isDue: true, delayMs} : withhold(reason);
	}

	/** Counts an extra attempt that begins. `decide` has allowed it in the same step. */
	take({service, sharingCount}: SlowRequest, now: Milliseconds): void {
		this.#useOf(service).recordExtraAttempt(now);
		this.retryBudgets.tryTakeExtraAttempt(service, sharingCount, now);
	}

	/** Removes what is no longer used. Called periodically. */
	expire(now: Milliseconds): void {
		for (const [service, use] of this.#services) {
			if (use.isUnused(now)) {
				this.#services.delete(service);
			}
		}

		for (const [key, {lastUsedAt}] of this.#responseTimes) {
			if (now - lastUsedAt > retentionMs) {
				this.#responseTimes.delete(key);
			}
		}

		for (const [id, until] of this.#slowUntil) {
			if (now >= until) {
				this.#slowUntil.delete(id);
			}
		}
	}

	#findObstacle({service, route, endpointCount, callerLeavesAt, waiting, ratio, sharingCount}: SlowRequest, now: Milliseconds): WithheldReason | undefined {
		if (endpointCount >= route.maximumEndpoints) {
			return withheldReasons.maximumEndpoints;
		}

		if (now >= callerLeavesAt) {
			return withheldReasons.callerTimeOver;
		}

		if (waiting > 0) {
			return withheldReasons.waiting;
		}

		if (now - this.#useOf(service).refusedAt < refusalMs) {
			return withheldReasons.refused;
		}

		if (this.remaining(service, ratio, now) < 1) {
			return withheldReasons.limit;
		}

		return this.retryBudgets.canTakeExtraAttempt(service, sharingCount, now) ? undefined : withheldReasons.retryBudget;
	}

	#recordSlow(endpointId: string, now: Milliseconds): void {
		if (this.#slowUntil.size < maximumEntries || this.#slowUntil.has(endpointId)) {
			this.#slowUntil.set(endpointId, now + slowMs);
		}
	}

	#useOf(service: string): ServiceUse {
		let use = this.#services.get(service);
		if (use === undefined) {
			use = ServiceUse.create();
			this.#services.set(service, use);
		}

		return use;
	}

	#responseTimesOf(service: string, route: string, now: Milliseconds): ResponseTimes {
		const key = keyOf(service, route);
		let times = this.#responseTimes.get(key);
		if (times === undefined) {
			if (this.#responseTimes.size >= maximumEntries) {
				this.#responseTimes.delete(this.#responseTimes.keys().next().value!);
			}

			times = ResponseTimes.create(now);
			this.#responseTimes.set(key, times);
		}

		times.lastUsedAt = now;
		return times;
	}
}

function keyOf(service: string, route: string): string {
	return `${service}\n${route}`;
}
