import type {Clock, Milliseconds} from '../../shared/clock.js';
import type {EndpointSlowFinding, SlowFinding, TierSlowFinding} from '../../shared/status.js';
import {DecayingMean} from './decaying-mean.js';
import {SuddenSlowdownDetector} from './sudden-slowdown-detector.js';
import {EndpointLatencies, type ObservedEndpoint, type CurrentLatency} from './endpoint-latencies.js';

export type EndpointMeasure = EndpointSlowFinding['measure'];
export type TierMeasure = TierSlowFinding['measure'];

export type SlowDetectorOptions = {
	readonly clock: Clock;
	/** Time constant of the current average. Default: 30,000 ms. */
	readonly currentTimeConstantMs?: Milliseconds;
	/** Time constant of the baseline, which is an endpoint's own past. Default: 600,000 ms. */
	readonly baselineTimeConstantMs?: Milliseconds;
	/** Smallest factor over the baseline or the other endpoints that is reported. Default: 2. */
	readonly minimumEndpointFactor?: number;
	/** Largest factor over a tier's bound that is not reported. Default: 1. */
	readonly maximumTierFactor?: number;
	/** Observations needed for a comparison. Default: 5. */
	readonly minimumObservations?: number;
};

/** Time bounds of one tier, from the configuration. */
export type TierBounds = {
	readonly tier: string;
	readonly firstTokenMilliseconds: Milliseconds;
	readonly answerMilliseconds: Milliseconds;
};

type EndpointAverages = {
	/** Current mean of the logarithms of milliseconds. */
	readonly current: DecayingMean;
	/** Long-term mean of the logarithms of milliseconds. */
	readonly baseline: DecayingMean;
	readonly slowdownDetector: SuddenSlowdownDetector;
};

const defaults = {
	currentTimeConstantMs: 30_000,
	baselineTimeConstantMs: 600_000,
	minimumEndpointFactor: 2,
	maximumTierFactor: 1,
	minimumObservations: 5,
} as const;

/** The baseline must have this many times the weight of the current average, otherwise both consist of the same observations. */
const minimumBaselineWeightRatio = 2;

/** Logarithms need positive values. Shorter times are below the resolution of the measurement. */
const minimumDurationMs = 0.01;

const endpointMeasures: readonly EndpointMeasure[] = ['first-token', 'between-tokens'];
const tierMeasures: readonly TierMeasure[] = ['first-token', 'answer'];
const tierBoundKeys = {
	'first-token': 'firstTokenMilliseconds',
	answer: 'answerMilliseconds',
} as const satisfies Record<TierMeasure, keyof TierBounds>;

/**
Finds endpoints that have become slow although they respond to every request, and tiers that exceed their bounds.

Endpoint latencies are compared by geometric means, because one request may take 100 times as long as another, and a few such requests would dominate an arithmetic mean.
The baseline adapts to a lasting change within a few time constants; the comparison with other endpoints does not.
*/
export class SlowDetector {
	static create(options: SlowDetectorOptions): SlowDetector {
		return new SlowDetector(options.clock, {...defaults, ...options});
	}

	#endpoints = new Map<string, ObservedEndpoint>();
	#tiers = new Map<string, TierBounds>();
	readonly #endpointAverages = new Map<string, EndpointAverages>();
	readonly #tierAverages = new Map<string, DecayingMean>();

	private constructor(private readonly clock: Clock, private readonly options: Required<SlowDetectorOptions>) {}

	/** Sets the endpoints of the configuration in force and deletes the averages of all others. Observations of unknown endpoints are ignored. */
	setEndpoints(endpoints: Iterable<ObservedEndpoint>): void {
		this.#endpoints = new Map([...endpoints].map(endpoint => [endpoint.endpoint, endpoint]));
		for (const measure of endpointMeasures) {
			deleteUnknown(this.#endpointAverages, measure, this.#endpoints);
		}
	}

	/** Sets the tiers of the configuration in force and deletes the averages of all others. Observations of unknown tiers are ignored. */
	setTiers(tiers: Iterable<TierBounds>): void {
		this.#tiers = new Map([...tiers].map(bounds => [bounds.tier, bounds]));
		for (const measure of tierMeasures) {
			deleteUnknown(this.#tierAverages, measure, this.#tiers);
		}
	}

	/** Records the time from dispatch to the first token, or the time between two tokens, at an endpoint. */
	observeEndpoint(endpoint: string, measure: EndpointMeasure, durationMs: Milliseconds): void {
		if (!this.#endpoints.has(endpoint)) {
			return;
		}

		const key = averageKey(measure, endpoint);
		let averages = this.#endpointAverages.get(key);
		if (!averages) {
			averages = {
				current: DecayingMean.create(this.options.currentTimeConstantMs),
				baseline: DecayingMean.create(this.options.baselineTimeConstantMs),
				slowdownDetector: SuddenSlowdownDetector.create(this.options.baselineTimeConstantMs),
			};
			this.#endpointAverages.set(key, averages);
		}

		const now = this.clock.now();
		const logMs = Math.log(Math.max(minimumDurationMs, durationMs));
		averages.current.add(logMs, now);
		averages.baseline.add(logMs, now);
		averages.slowdownDetector.observe(logMs, now);
	}

	/** Records the time from receipt of a tier's request to the first token or to the end of the response. */
	observeTier(tier: string, measure: TierMeasure, durationMs: Milliseconds): void {
		if (!this.#tiers.has(tier)) {
			return;
		}

		const key = averageKey(measure, tier);
		let average = this.#tierAverages.get(key);
		if (!average) {
			average = DecayingMean.create(this.options.currentTimeConstantMs);
			this.#tierAverages.set(key, average);
		}

		average.add(durationMs, this.clock.now());
	}

	/** Endpoints and tiers that are slow now, the largest factor first. */
	findings(): SlowFinding[] {
		const now = this.clock.now();
		const findings: SlowFinding[] = endpointMeasures.flatMap(measure => this.#endpointFindings(measure, now));
		findings.push(...this.#suddenSlowdownFindings(findings));
		for (const bounds of this.#tiers.values()) {
			findings.push(...tierMeasures.flatMap(measure => this.#tierFinding(bounds, measure, now) ?? []));
		}

		return findings.toSorted((left, right) => right.factor - left.factor);
	}

	#endpointFindings(measure: EndpointMeasure, now: Milliseconds): EndpointSlowFinding[] {
		const latencies = [...this.#endpoints.values()].flatMap(observed => this.#currentLatency(observed, measure, now) ?? []);
		const endpointLatencies = EndpointLatencies.create(latencies);
		return latencies.flatMap(latency => [
			...this.#findingsAgainst(latency, measure, 'own-past', this.#baselineOf(latency.observed.endpoint, measure, now)),
			...this.#findingsAgainst(latency, measure, 'peers', endpointLatencies.medianOfOthers(latency)),
		]);
	}

	/** Sudden slowdowns that the comparison of the current average with the baseline does not show. Only times between tokens vary little enough for this. */
	#suddenSlowdownFindings(knownFindings: readonly SlowFinding[]): EndpointSlowFinding[] {
		const measure: EndpointMeasure = 'between-tokens';
		const isKnown = (endpoint: string) => knownFindings.some(finding =>
			finding.type === 'endpoint-slow' && finding.endpoint === endpoint && finding.measure === measure && finding.comparedWith === 'own-past');
		return [...this.#endpoints.values()].flatMap(observed => {
			const slowdown = this.#endpointAverages.get(averageKey(measure, observed.endpoint))?.slowdownDetector.detect();
			return slowdown === undefined || isKnown(observed.endpoint)
				? []
				: this.#findingsAgainst({observed, meanLogMs: slowdown.slowMeanLogMs, observations: slowdown.observations}, measure, 'own-past', slowdown.baselineMeanLogMs);
		});
	}

	#findingsAgainst(latency: CurrentLatency, measure: EndpointMeasure, comparedWith: EndpointSlowFinding['comparedWith'], referenceLogMs: number | undefined): EndpointSlowFinding[] {
		const factor = referenceLogMs === undefined ? 0 : Math.exp(latency.meanLogMs - referenceLogMs);
		return referenceLogMs === undefined || factor < this.options.minimumEndpointFactor
			? []
			: [{
				type: 'endpoint-slow',
				endpoint: latency.observed.endpoint,
				service: latency.observed.service,
				measure,
				comparedWith,
				factor,
				presentMilliseconds: Math.exp(latency.meanLogMs),
				referenceMilliseconds: Math.exp(referenceLogMs),
				observations: latency.observations,
			}];
	}

	#currentLatency(observed: ObservedEndpoint, measure: EndpointMeasure, now: Milliseconds): CurrentLatency | undefined {
		const current = this.#endpointAverages.get(averageKey(measure, observed.endpoint))?.current;
		const weight = current?.weightAt(now) ?? 0;
		return current && weight >= this.options.minimumObservations ? {observed, meanLogMs: current.mean, observations: Math.round(weight)} : undefined;
	}

	#baselineOf(endpoint: string, measure: EndpointMeasure, now: Milliseconds): number | undefined {
		const averages = this.#endpointAverages.get(averageKey(measure, endpoint));
		return averages && averages.baseline.weightAt(now) >= minimumBaselineWeightRatio * averages.current.weightAt(now) ? averages.baseline.mean : undefined;
	}

	#tierFinding(bounds: TierBounds, measure: TierMeasure, now: Milliseconds): TierSlowFinding | undefined {
		const average = this.#tierAverages.get(averageKey(measure, bounds.tier));
		const weight = average?.weightAt(now) ?? 0;
		if (!average || weight < this.options.minimumObservations) {
			return undefined;
		}

		const bound = bounds[tierBoundKeys[measure]];
		const factor = average.mean / bound;
		return factor <= this.options.maximumTierFactor
			? undefined
			: {
				type: 'tier-slow',
				tier: bounds.tier,
				measure,
				factor,
				presentMilliseconds: average.mean,
				boundMilliseconds: bound,
				observations: Math.round(weight),
			};
	}
}

function averageKey(measure: string, name: string): string {
	return `${measure} ${name}`;
}

function deleteUnknown(averages: Map<string, unknown>, measure: string, known: ReadonlyMap<string, unknown>): void {
	const prefix = averageKey(measure, '');
	for (const key of averages.keys()) {
		if (key.startsWith(prefix) && !known.has(key.slice(prefix.length))) {
			averages.delete(key);
		}
	}
}
