import type {Clock, Milliseconds} from '../../shared/clock.js';

/** Weight of the newest observation in a moving average; the last 10 observations make up about 80 % of it. */
const smoothingFactor = 0.15;

/**
After this time without an observation, the endpoint's own estimate and the mean of the other endpoints count half each.

An endpoint that was slow gets no requests while faster ones have free units, so without this it would never be tried again.
*/
const halfLifeMs: Milliseconds = 30_000;

/** Used until the endpoint or one that it is compared with has been observed. */
const initialSpeed: EndpointSpeed = {
	baseFirstTokenMs: 50,
	millisecondsPerPromptToken: 0.2,
	millisecondsPerOutputToken: 20,
};

/** The estimated speed of one endpoint. */
export type EndpointSpeed = {
	/** The part of the time to the first token that does not depend on the prompt. */
	readonly baseFirstTokenMs: Milliseconds;
	readonly millisecondsPerPromptToken: number;
	readonly millisecondsPerOutputToken: number;
};

/** Measurements of one complete response. */
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

/** Computes each component of a speed in the same way. */
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
Estimates the speed of each endpoint from its responses by moving averages.

One step of least mean squares splits the time to the first token into a base and a time per prompt token, so that short and long prompts both improve the two estimates.
*/
export class EndpointSpeedEstimator {
	static create(clock: Clock): EndpointSpeedEstimator {
		return new EndpointSpeedEstimator(clock);
	}

	readonly #estimates = new Map<string, SpeedEstimate>();

	private constructor(private readonly clock: Clock) {}

	/**
	The estimated speed, which approaches the mean of the other endpoints while the endpoint is not observed.

	@param comparedEndpoints endpoints to compare with, which may include the endpoint itself
	*/
	speed(endpoint: string, comparedEndpoints: readonly string[] = []): EndpointSpeed {
		const own = this.#estimates.get(endpoint);
		const mean = this.#meanSpeed(comparedEndpoints.filter(other => other !== endpoint));
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
		// Divides the error between base and slope in proportion to their contribution to the prediction.
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
