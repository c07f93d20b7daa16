import type {Clock, Milliseconds} from '../../shared/clock.js';

/** Weight of the newest observation; the last 10 observations make up about 80 % of the average. */
const smoothingFactor = 0.15;

/**
After this time without an observation, what was learnt counts half and the mean of the peers half.

An endpoint that was slow gets no requests while faster ones have free units, so without this it would never be tried again.
*/
const halfLifeMs: Milliseconds = 30_000;

/** Used until the first observation of an endpoint and of its peers. */
const initialSpeed: EndpointSpeed = {
	baseFirstTokenMs: 50,
	millisecondsPerPromptToken: 0.2,
	millisecondsPerOutputToken: 20,
};

/** The learnt speed of one endpoint. */
export type EndpointSpeed = {
	/** Time to the first token that does not depend on the prompt. */
	readonly baseFirstTokenMs: Milliseconds;
	readonly millisecondsPerPromptToken: number;
	readonly millisecondsPerOutputToken: number;
};

/** What one answered request showed of its endpoint. */
export type ResponseObservation = {
	readonly uncachedPromptTokens: number;
	readonly outputTokens: number;
	/** From the write of the request to the first byte of the response. */
	readonly firstTokenMs: Milliseconds;
	/** From the first byte to the end of the response. */
	readonly decodeMs: Milliseconds;
};

type SpeedEstimate = {
	readonly speed: EndpointSpeed;
	readonly observedAt: Milliseconds;
};

/** Computes each part of a speed in the same way. */
function mapSpeed(compute: (pick: (speed: EndpointSpeed) => number) => number): EndpointSpeed {
	return {
		baseFirstTokenMs: compute(speed => speed.baseFirstTokenMs),
		millisecondsPerPromptToken: compute(speed => speed.millisecondsPerPromptToken),
		millisecondsPerOutputToken: compute(speed => speed.millisecondsPerOutputToken),
	};
}

function movingAverage(previous: number, observed: number): number {
	return previous + (smoothingFactor * (observed - previous));
}

/**
Learns the speed of each endpoint from answered requests.

The first token time is split into a base and a part per prompt token by one step of least mean squares, so that short and long prompts teach both.
*/
export class EndpointSpeedEstimator {
	static create(clock: Clock): EndpointSpeedEstimator {
		return new EndpointSpeedEstimator(clock);
	}

	readonly #estimates = new Map<string, SpeedEstimate>();

	private constructor(private readonly clock: Clock) {}

	/**
	Learnt speed, which approaches the mean of the peers while nothing is observed.

	@param comparedEndpoints endpoints to compare with, which may include the endpoint itself
	*/
	speed(endpoint: string, comparedEndpoints: readonly string[] = []): EndpointSpeed {
		const own = this.#estimates.get(endpoint);
		const mean = this.#meanSpeed(comparedEndpoints.filter(peer => peer !== endpoint));
		if (!own || !mean) {
			return own?.speed ?? mean ?? initialSpeed;
		}

		const ownFraction = 2 ** (-(this.clock.now() - own.observedAt) / halfLifeMs);
		const interpolate = (pick: (speed: EndpointSpeed) => number) => (pick(own.speed) * ownFraction) + (pick(mean) * (1 - ownFraction));
		return mapSpeed(interpolate);
	}

	observe(endpoint: string, observation: ResponseObservation): void {
		const previous = this.#estimates.get(endpoint)?.speed ?? initialSpeed;
		const tokens = Math.max(observation.uncachedPromptTokens, 0);
		const predictedMs = previous.baseFirstTokenMs + (tokens * previous.millisecondsPerPromptToken);
		const errorMs = observation.firstTokenMs - predictedMs;
		// Shares the error between base and slope in proportion to their part in the prediction.
		const slopeFraction = predictedMs > 0 ? (tokens * previous.millisecondsPerPromptToken) / predictedMs : 0;
		const slopeStep = tokens > 0 ? (smoothingFactor * errorMs * slopeFraction) / tokens : 0;
		const speed = {
			baseFirstTokenMs: Math.max(previous.baseFirstTokenMs + (smoothingFactor * errorMs * (1 - slopeFraction)), 0.1),
			millisecondsPerPromptToken: Math.max(previous.millisecondsPerPromptToken + slopeStep, 0.0001),
			millisecondsPerOutputToken: observation.outputTokens > 1
				? movingAverage(previous.millisecondsPerOutputToken, observation.decodeMs / (observation.outputTokens - 1))
				: previous.millisecondsPerOutputToken,
		};
		this.#estimates.set(endpoint, {speed, observedAt: this.clock.now()});
	}

	#meanSpeed(endpoints: readonly string[]): EndpointSpeed | undefined {
		const speeds = endpoints.flatMap(endpoint => this.#estimates.get(endpoint)?.speed ?? []);
		return speeds.length === 0
			? undefined
			: mapSpeed(pick => speeds.reduce((sum, speed) => sum + pick(speed), 0) / speeds.length);
	}
}
