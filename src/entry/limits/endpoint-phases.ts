import type {Clock, Milliseconds} from '../../shared/clock.js';
import type {EndpointSymptom} from '../dispatch/types.js';
import {
	endpointPhases, type EndpointLimit, type EndpointLoad, type EndpointPhase, type EndpointPhaseMessage,
} from './types.js';

/** Number of consecutive good responses after which the limit doubles. It increases after raises that failed. */
const initialGoodResponsesNeeded = 4;

/** A response is good if its time to first token is at most this many times the baseline of the phase. */
const goodResponseFactor = 2;

/** A time to first token above this many times the baseline of the phase shows that the endpoint has turned cold. */
const coldDetectionFactor = 5;

/**
Lower bound of the baseline when responses are compared with it.

Shorter times vary by more than the factors, because prompts wait for each other in the engine's batch. A cold engine needs seconds.
*/
const minimumBaselineMs: Milliseconds = 200;

/** Weight of the newest time to first token in the baseline, an exponential moving average. */
const smoothingFactor = 0.1;

/** Age up to which a load report with phase `cold` keeps the phase from being raised; an older report may come from an engine that has stopped reporting. */
const maximumColdReportAgeMs: Milliseconds = 10_000;

/**
Time after a detected cold start during which the phase is not raised, unless a load report shows that the endpoint is no longer cold.

Load reports lag by a second or two. Good responses alone would therefore raise the limit of an endpoint before its report says that it is cold.
*/
const raiseDelayMs: Milliseconds = 5000;

/** Upper bound of the good responses that are needed for a raise after raises that failed. */
const maximumGoodResponsesNeeded = 64;

/** Time after a change during which further signs of a cold endpoint count as the same event, so that not every failing dispatch causes a message. */
const coldDetectionIntervalMs: Milliseconds = 1000;

/**
Increment of the epoch when an endpoint turns cold.

The limit doubles at most 32 times before it is full, so a cold detection takes precedence over all raises that were made concurrently without knowledge of it.
*/
const coldEpochIncrement = 64;

const coldSymptoms: Readonly<Record<EndpointSymptom, boolean>> = {
	none: false,
	unreachable: true,
	reset: true,
	timeout: false,
	'server-error': false,
};

const phaseOrder: Readonly<Record<EndpointPhase, number>> = {cold: 0, warming: 1, warm: 2};

type EndpointState = {
	configuredLimit: EndpointLimit;
	epoch: number;
	phase: EndpointPhase;
	/** Limit in units during the phase `warming`. */
	warmingUnits: number;
	changedAt: Milliseconds;
	goodResponses: number;
	/** Doubles with every raise that is followed by a server error, until the endpoint is warm. */
	goodResponsesNeeded: number;
	/** The phase before the endpoint was marked cold only because of a server error. */
	phaseBeforeSuspicion: EndpointPhase | undefined;
	/** The phase is not raised before this time. */
	raiseAllowedAt: Milliseconds;
	readonly baselineMsByPhase: Map<EndpointPhase, Milliseconds>;
	startId: string | undefined;
	reportTakenAt: Milliseconds;
	reportsCold: boolean;
};

export type ResponseTimeOptions = {
	/** When the request was written; if a later load report does not say `cold`, the endpoint was only slow. Default: unknown. */
	readonly writtenAt?: Milliseconds;
	/** How much of the time to first token may be time between tokens, because the response arrived as a whole. Default: 0. */
	readonly uncertaintyMs?: Milliseconds;
};

export type EndpointPhasesOptions = {
	readonly slot: string;
	readonly clock: Clock;
	/** Whether this entry raises the endpoint's phase, which is the task of the first owner of its units that is present. */
	readonly isPhaseCoordinator: (endpoint: string) => boolean;
};

/**
Tracks the phases of the endpoints from the perspective of this entry.

An endpoint is cold until something is known about it. Every entry lowers a phase immediately; only the phase coordinator raises it. Methods return the messages to send to all peers.
*/
export class EndpointPhases {
	static create(options: EndpointPhasesOptions): EndpointPhases {
		return new EndpointPhases(options);
	}

	readonly #clock: Clock;
	readonly #isPhaseCoordinator: (endpoint: string) => boolean;
	readonly #states = new Map<string, EndpointState>();

	private constructor({clock, isPhaseCoordinator}: EndpointPhasesOptions) {
		this.#clock = clock;
		this.#isPhaseCoordinator = isPhaseCoordinator;
	}

	/** Sets the endpoints of the configuration in force. Endpoints that remain keep their phase. */
	setEndpoints(limits: readonly EndpointLimit[]): EndpointPhaseMessage[] {
		const names = new Set(limits.map(({endpoint}) => endpoint));
		for (const endpoint of this.#states.keys()) {
			if (!names.has(endpoint)) {
				this.#states.delete(endpoint);
			}
		}

		for (const configuredLimit of limits) {
			const state = this.#states.get(configuredLimit.endpoint);
			if (state === undefined) {
				this.#states.set(configuredLimit.endpoint, this.#initialState(configuredLimit));
			} else {
				state.configuredLimit = configuredLimit;
			}
		}

		return [];
	}

	/**
	Updates the phase from a response's time to first token.

	@param firstTokenMs time to first token, adjusted for the prompt length, so that requests at the same endpoint are comparable
	*/
	observeResponse(endpoint: string, firstTokenMs: Milliseconds, {writtenAt = Number.POSITIVE_INFINITY, uncertaintyMs = 0}: ResponseTimeOptions = {}): EndpointPhaseMessage[] {
		const state = this.#states.get(endpoint);
		if (state === undefined) {
			return [];
		}

		const baselineMs = state.baselineMsByPhase.get(state.phase) ?? firstTokenMs;
		// Slow samples are capped but not ignored: otherwise every response after a first one from the cache would look cold forever.
		const cappedMs = Math.min(firstTokenMs, coldDetectionFactor * baselineMs);
		state.baselineMsByPhase.set(state.phase, baselineMs + (smoothingFactor * (cappedMs - baselineMs)));
		if (firstTokenMs - uncertaintyMs > coldDetectionFactor * Math.max(baselineMs, minimumBaselineMs)) {
			const isReportedNotCold = !state.reportsCold && state.reportTakenAt >= writtenAt;
			state.goodResponses = 0;
			return isReportedNotCold ? [] : this.#markCold(state, 'slow-first-token');
		}

		if (firstTokenMs > goodResponseFactor * Math.max(baselineMs, minimumBaselineMs)) {
			state.goodResponses = 0;
			return [];
		}

		state.goodResponses++;
		return this.#raisePhase(state);
	}

	/** Updates the phase from the result of a dispatch. */
	observeSymptom(endpoint: string, symptom: EndpointSymptom): EndpointPhaseMessage[] {
		const state = this.#states.get(endpoint);
		if (state === undefined) {
			return [];
		}

		if (symptom === 'server-error') {
			return this.#handleServerError(state);
		}

		return coldSymptoms[symptom] ? this.#markCold(state, symptom) : [];
	}

	/** Updates the phase from a load report. Reports that arrive out of order are ignored. A report from before the latest phase change changes the phase only if its start id is new. */
	observeLoadReport(endpoint: string, report: EndpointLoad): EndpointPhaseMessage[] {
		const state = this.#states.get(endpoint);
		const takenAt = this.#clock.now() - report.ageMilliseconds;
		if (state === undefined || takenAt < state.reportTakenAt) {
			return [];
		}

		const isRestarted = state.startId !== undefined && state.startId !== report.startId;
		state.startId = report.startId;
		state.reportTakenAt = takenAt;
		state.reportsCold = report.phase === endpointPhases.cold;
		if (!state.reportsCold && takenAt > state.changedAt) {
			state.raiseAllowedAt = Number.NEGATIVE_INFINITY;
		}

		if (isRestarted) {
			return this.#markCold(state, 'restarted');
		}

		if (!state.reportsCold) {
			return takenAt > state.changedAt ? this.#restoreSuspectedPhase(state) : [];
		}

		state.phaseBeforeSuspicion = undefined;
		const isNewlyCold = state.phase !== endpointPhases.cold && takenAt >= state.changedAt;
		return isNewlyCold ? this.#markCold(state, 'reported-cold') : [];
	}

	/** Adopts the phase that a peer reports if it has a higher epoch, or the same epoch and a colder phase. */
	receive(message: EndpointPhaseMessage): EndpointPhaseMessage[] {
		const state = this.#states.get(message.endpoint);
		if (state === undefined || !this.#takesPrecedence(message, state)) {
			return [];
		}

		state.epoch = message.epoch;
		state.phase = message.phase;
		state.warmingUnits = message.limit;
		this.#recordChange(state);
		this.#delayRaiseWhenCold(state);
		return [];
	}

	/** The unit limit of the current phase; 0 for an endpoint that is not configured. */
	limit(endpoint: string): number {
		const state = this.#states.get(endpoint);
		return state === undefined ? 0 : this.#limitOf(state);
	}

	/** The phase of an endpoint; `cold` if nothing is known about it. */
	phase(endpoint: string): EndpointPhase {
		return this.#states.get(endpoint)?.phase ?? endpointPhases.cold;
	}

	/** The epoch of the latest phase change of an endpoint; 0 if nothing is known about it. */
	epoch(endpoint: string): number {
		return this.#states.get(endpoint)?.epoch ?? 0;
	}

	/** The phases of all endpoints, as messages for a new peer. */
	toMessages(): EndpointPhaseMessage[] {
		return [...this.#states.values()].map(state => this.#messageFor(state, 'current'));
	}

	#initialState(configuredLimit: EndpointLimit): EndpointState {
		return {
			configuredLimit,
			epoch: 0,
			phase: endpointPhases.cold,
			warmingUnits: configuredLimit.coldUnits,
			changedAt: this.#clock.now(),
			goodResponses: 0,
			goodResponsesNeeded: initialGoodResponsesNeeded,
			phaseBeforeSuspicion: undefined,
			raiseAllowedAt: Number.NEGATIVE_INFINITY,
			baselineMsByPhase: new Map(),
			startId: undefined,
			reportTakenAt: Number.NEGATIVE_INFINITY,
			reportsCold: false,
		};
	}

	#limitOf({phase, configuredLimit, warmingUnits}: EndpointState): number {
		const limits: Readonly<Record<EndpointPhase, number>> = {
			cold: configuredLimit.coldUnits,
			warming: warmingUnits,
			warm: configuredLimit.units,
		};
		return Math.min(limits[phase], configuredLimit.units);
	}

	#markCold(state: EndpointState, reason: string): EndpointPhaseMessage[] {
		state.goodResponses = 0;
		// A cold endpoint can restart again while the phase coordinator still counts responses from before the restart, so it is reported again after this interval.
		if (state.phase === endpointPhases.cold && this.#clock.now() - state.changedAt < coldDetectionIntervalMs) {
			return [];
		}

		state.phase = endpointPhases.cold;
		state.epoch += coldEpochIncrement;
		this.#recordChange(state);
		this.#delayRaiseWhenCold(state);
		return [this.#messageFor(state, reason)];
	}

	/**
	Marks the endpoint cold after a server error, depending on the phase.

	While warming, the endpoint may be rejecting load because the limit was raised too early. When warm, the endpoint may have turned cold or the request itself may be faulty. The next load report shows which, so this applies only to endpoints with load reports.
	*/
	#handleServerError(state: EndpointState): EndpointPhaseMessage[] {
		const {phase} = state;
		if (phase === endpointPhases.warming) {
			state.goodResponsesNeeded = Math.min(2 * state.goodResponsesNeeded, maximumGoodResponsesNeeded);
			return this.#markCold(state, 'server-error');
		}

		if (phase === endpointPhases.cold || state.startId === undefined) {
			return [];
		}

		const messages = this.#markCold(state, 'server-error');
		state.phaseBeforeSuspicion = phase;
		return messages;
	}

	/** Restores the previous phase when a later load report shows that the server error was not a cold start. */
	#restoreSuspectedPhase(state: EndpointState): EndpointPhaseMessage[] {
		if (state.phaseBeforeSuspicion === undefined) {
			return [];
		}

		state.phase = state.phaseBeforeSuspicion;
		state.phaseBeforeSuspicion = undefined;
		state.epoch++;
		this.#recordChange(state);
		return [this.#messageFor(state, 'reported-not-cold')];
	}

	#raisePhase(state: EndpointState): EndpointPhaseMessage[] {
		const isReportedCold = state.reportsCold && this.#clock.now() - state.reportTakenAt <= maximumColdReportAgeMs;
		const isRaiseBlocked = state.phase === endpointPhases.warm
			|| isReportedCold
			|| this.#clock.now() < state.raiseAllowedAt
			|| state.goodResponses < state.goodResponsesNeeded;
		if (isRaiseBlocked || !this.#isPhaseCoordinator(state.configuredLimit.endpoint)) {
			return [];
		}

		state.warmingUnits = 2 * this.#limitOf(state);
		state.phase = state.warmingUnits >= state.configuredLimit.units ? endpointPhases.warm : endpointPhases.warming;
		state.epoch++;
		this.#recordChange(state);
		if (state.phase === endpointPhases.warm) {
			state.goodResponsesNeeded = initialGoodResponsesNeeded;
		}

		return [this.#messageFor(state, 'raised')];
	}

	#delayRaiseWhenCold(state: EndpointState): void {
		if (state.phase === endpointPhases.cold) {
			state.raiseAllowedAt = this.#clock.now() + raiseDelayMs;
		}
	}

	#recordChange(state: EndpointState): void {
		state.changedAt = this.#clock.now();
		state.goodResponses = 0;
		state.phaseBeforeSuspicion = undefined;
	}

	#takesPrecedence(message: EndpointPhaseMessage, state: EndpointState): boolean {
		if (message.epoch !== state.epoch) {
			return message.epoch > state.epoch;
		}

		const difference = phaseOrder[message.phase] - phaseOrder[state.phase];
		return difference < 0 || (difference === 0 && state.phase === endpointPhases.warming && message.limit < state.warmingUnits);
	}

	#messageFor(state: EndpointState, reason: string): EndpointPhaseMessage {
		return {
			kind: 'endpoint-phase',
			endpoint: state.configuredLimit.endpoint,
			epoch: state.epoch,
			phase: state.phase,
			limit: this.#limitOf(state),
			reason,
		};
	}
}
