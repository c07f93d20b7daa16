import type {Clock, Milliseconds} from '../../shared/clock.js';
import type {EndpointSymptom} from '../dispatch/types.js';
import {
	endpointPhases, type EndpointLimit, type EndpointLoad, type EndpointPhase, type EndpointPhaseMessage,
} from './types.js';

/** Consecutive good responses after which the limit doubles. */
const initialGoodResponsesNeeded = 4;

/** A response is good when its time to first token is at most this many times the phase's normal. */
const goodResponseFactor = 2;

/** A time to first token above this many times the phase's normal shows that the endpoint has turned cold. */
const coldDetectionFactor = 5;

/**
Shortest time to first token that the cold factor is applied to.

Below it, prompts that wait for each other in the engine's batch vary by more than the factor, while a cold engine needs seconds.
*/
const minimumBaselineMs: Milliseconds = 200;

/** Weight of the newest time to first token in the learnt normal. */
const smoothingFactor = 0.1;

/** Age in milliseconds up to which a load report with phase cold keeps the phase from being raised; older reports may come from an engine that stopped reporting. */
const maximumColdReportAgeMs: Milliseconds = 10_000;

/**
Time after a detected cold start during which the phase is not raised unless a load report shows that the endpoint is no longer cold.

Load reports lag by a second or two, so good responses alone would raise the limit of an endpoint whose report still has to say that it is cold.
*/
const raiseDelayMs: Milliseconds = 5000;

/** Upper bound of the good responses that a raise needs after raises that failed. */
const maximumGoodResponsesNeeded = 64;

/** Time in milliseconds after a change during which further signs of a cold endpoint count as the same event, so that failing dispatches do not cause a message each. */
const coldDetectionIntervalMs: Milliseconds = 1000;

/**
Epochs by which turning cold advances.

The limit doubles at most 32 times before it is full, so a detection outweighs every raise that was made at the same time without knowledge of it.
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
	/** Limit while warming, in units. */
	warmingUnits: number;
	changedAt: Milliseconds;
	goodResponses: number;
	/** Doubles with every raise that the endpoint answered with a failure, until it is warm. */
	goodResponsesNeeded: number;
	/** The phase before an endpoint was taken for cold because of a server error alone. */
	phaseBeforeSuspicion: EndpointPhase | undefined;
	/** The phase is not raised earlier. */
	raiseAllowedAt: Milliseconds;
	readonly baselineMsByPhase: Map<EndpointPhase, Milliseconds>;
	startId: string | undefined;
	reportTakenAt: Milliseconds;
	reportsCold: boolean;
};

export type EndpointPhasesOptions = {
	readonly slot: string;
	readonly clock: Clock;
	/** Whether this entry raises the endpoint's phase, because its slot owns unit 0. */
	readonly isPhaseCoordinator: (endpoint: string) => boolean;
};

/**
The phases of the endpoints as this entry knows them.

An endpoint about which nothing is known is cold. Every entry lowers a phase at once; only the raiser raises it. Methods return the messages that are to be sent to all peers.
*/
export class EndpointPhases {
	static create(options: EndpointPhasesOptions): EndpointPhases {
		return new EndpointPhases(options);
	}

	readonly #clock: Clock;
	readonly #isPhaseCoordinator: (endpoint: string) => boolean;
	readonly #states = new Map<string, EndpointState>();

	private constructor({clock, isPhaseCoordinator: isRaiser}: EndpointPhasesOptions) {
		this.#clock = clock;
		this.#isPhaseCoordinator = isRaiser;
	}

	/** Takes over the endpoints of the configuration in force. Endpoints that remain keep their phase. */
	applyEndpoints(limits: readonly EndpointLimit[]): EndpointPhaseMessage[] {
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
	Takes a response's time to first token into account.

	@param firstTokenMilliseconds already adjusted for the length of the prompt, so that it compares with other requests at the same endpoint
	@param writtenAt when the request was written; a load report taken later that says not cold shows that the endpoint was only slow. Default: unknown.
	*/
	observeResponse(endpoint: string, firstTokenMilliseconds: Milliseconds, writtenAt: Milliseconds = Number.POSITIVE_INFINITY): EndpointPhaseMessage[] {
		const state = this.#states.get(endpoint);
		if (state === undefined) {
			return [];
		}

		const baselineMs = state.baselineMsByPhase.get(state.phase) ?? firstTokenMilliseconds;
		// Learning is capped but not left out: a first response from the cache would otherwise make every later one look cold for good.
		const cappedMs = Math.min(firstTokenMilliseconds, coldDetectionFactor * baselineMs);
		state.baselineMsByPhase.set(state.phase, baselineMs + (smoothingFactor * (cappedMs - baselineMs)));
		if (firstTokenMilliseconds > coldDetectionFactor * Math.max(baselineMs, minimumBaselineMs)) {
			const isReportedNotCold = !state.reportsCold && state.reportTakenAt >= writtenAt;
			state.goodResponses = 0;
			return isReportedNotCold ? [] : this.#markCold(state, 'slow-first-token');
		}

		if (firstTokenMilliseconds > goodResponseFactor * Math.max(baselineMs, minimumBaselineMs)) {
			state.goodResponses = 0;
			return [];
		}

		state.goodResponses++;
		return this.#raisePhase(state);
	}

	/** Takes the way a dispatch ended into account. */
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

	/** Takes a load report into account. Reports that overtook each other and reports from before the latest change of phase are late and count for nothing. */
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

	/** Takes a peer's phase over if it is newer, or equally new and colder. */
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

	/** Units that the endpoint sustains in its present phase; 0 for an endpoint that is not configured. */
	limit(endpoint: string): number {
		const state = this.#states.get(endpoint);
		return state === undefined ? 0 : this.#limitOf(state);
	}

	/** The phase of an endpoint; an endpoint about which nothing is known is cold. */
	phase(endpoint: string): EndpointPhase {
		return this.#states.get(endpoint)?.phase ?? endpointPhases.cold;
	}

	/** Counts the phase changes of an endpoint; 0 when nothing is known. */
	epoch(endpoint: string): number {
		return this.#states.get(endpoint)?.epoch ?? 0;
	}

	/** All phases, in the form in which a new peer receives them. */
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
		// A cold endpoint can restart once more, while the raiser still counts the responses from before.
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
	Takes a server error into account.

	While warming it may be the refusal of a load that was raised too early. A warm endpoint may have turned cold, or the request itself may be at fault; the next load report tells, so only endpoints with load reports are suspected.
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

	/** Returns an endpoint to its phase when a later load report shows that the server error was not a cold start. */
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
