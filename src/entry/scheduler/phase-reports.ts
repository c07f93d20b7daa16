import type {Milliseconds} from '../../shared/clock.js';
import type {ResponseTimeOptions} from '../limits/endpoint-phases.js';
import type {EndpointPhaseMessage} from '../limits/types.js';
import type {HeartbeatMessage, MessageOf} from '../membership/messages.js';
import type {SchedulerContext} from './context.js';

/** The response that changed a phase, for the log. */
export type PhaseEvidence = Pick<MessageOf<'endpoint-answer'>, 'requestId' | 'isStream'>;

/**
Exchanges observations about endpoint phases with peers, and applies the phases to the unit limits.

A cold endpoint has few units, which may all be lent, so the phase coordinator also needs the responses that other entries receive.
*/
export class PhaseReports {
	static create(context: SchedulerContext): PhaseReports {
		return new PhaseReports(context);
	}

	/** Units above the limit that this entry last told its peers of, by endpoint. */
	readonly #announcedUnits = new Map<string, number>();

	private constructor(private readonly context: SchedulerContext) {}

	/** Observes a response, and reports it to the phase coordinator while the endpoint is not warm. */
	observeResponse(endpoint: string, firstTokenMs: Milliseconds, options: ResponseTimeOptions, evidence: PhaseEvidence): void {
		const {ledger, peerReports, peers, phases, slot} = this.context;
		const coordinator = peerReports.phaseCoordinatorOf(ledger.owners(endpoint), slot);
		if (coordinator !== undefined && coordinator !== slot && phases.phase(endpoint) !== 'warm') {
			peers.send(coordinator, {
				kind: 'endpoint-answer', endpoint, epoch: phases.epoch(endpoint), firstTokenMilliseconds: firstTokenMs, uncertaintyMilliseconds: options.uncertaintyMs, ...evidence,
			});
		}

		this.#applyResponse(endpoint, firstTokenMs, options, evidence);
	}

	/** Observes a response that a peer received, unless the phase has changed since. */
	receivePeerResponse({endpoint, epoch, firstTokenMilliseconds, uncertaintyMilliseconds, requestId, isStream}: MessageOf<'endpoint-answer'>): void {
		if (this.context.phases.epoch(endpoint) === epoch) {
			this.#applyResponse(endpoint, firstTokenMilliseconds, {uncertaintyMs: uncertaintyMilliseconds}, {requestId, isStream});
		}
	}

	receivePhase(peer: string, message: EndpointPhaseMessage): void {
		this.#applyPhase(peer, message);
		this.applyLimits();
	}

	/** Applies the phases of a heartbeat. The limits are set once at the end, because a heartbeat names every endpoint. */
	receivePhases(peer: string, phases: HeartbeatMessage['phases']): void {
		for (const phase of phases) {
			this.#applyPhase(peer, {kind: 'endpoint-phase', reason: 'heartbeat', ...phase});
		}

		this.applyLimits();
	}

	/** Broadcasts phase changes that this entry decided. */
	announceChanges(messages: readonly EndpointPhaseMessage[], evidence?: Readonly<Record<string, unknown>>): void {
		for (const message of messages) {
			this.context.peers.broadcast({...message});
			this.#recordChange(message, 'previous', 'self', evidence);
		}

		if (messages.length > 0) {
			this.applyLimits();
		}
	}

	receiveUnitsAboveLimit(peer: string, {endpoint, units}: MessageOf<'units-above-limit'>): void {
		this.context.peerReports.recordUnitsAboveLimit(peer, endpoint, units);
		this.applyLimits();
	}

	/** Sets the unit limits of the current phases, and what the requests of peers above them take of them. */
	applyLimits(): void {
		const {ledger, peerReports, phases} = this.context;
		const unitsAboveLimit = peerReports.unitsAboveLimit();
		for (const {endpoint, limit} of phases.toMessages()) {
			ledger.setPhaseLimit(endpoint, limit);
			ledger.setUnitsAboveLimitOfPeers(endpoint, unitsAboveLimit.get(endpoint) ?? 0);
			this.announceUnitsAboveLimit(endpoint);
		}
	}

	/** Tells the peers how many requests of this entry are in flight above the limit of an endpoint, when the number has changed. */
	announceUnitsAboveLimit(endpoint: string): void {
		const {ledger, peers} = this.context;
		const units = ledger.unitsAboveLimit(endpoint);
		if (units !== (this.#announcedUnits.get(endpoint) ?? 0)) {
			this.#announcedUnits.set(endpoint, units);
			peers.broadcast({kind: 'units-above-limit', endpoint, units});
		}
	}

	#applyResponse(endpoint: string, firstTokenMs: Milliseconds, options: ResponseTimeOptions, evidence: PhaseEvidence): void {
		this.announceChanges(this.context.phases.observeResponse(endpoint, firstTokenMs, options), {
			...evidence, firstTokenMs: Math.round(firstTokenMs), uncertaintyMs: Math.round(options.uncertaintyMs ?? 0),
		});
	}

	#applyPhase(peer: string, message: EndpointPhaseMessage): void {
		const {phases} = this.context;
		const previousPhase = phases.phase(message.endpoint);
		const {epoch} = message;
		const isNewEpoch = epoch > phases.epoch(message.endpoint);
		this.announceChanges(phases.receive(message));
		if (isNewEpoch) {
			this.#recordChange(message, previousPhase, peer);
		}
	}

	#recordChange({endpoint, phase, limit, epoch, reason}: EndpointPhaseMessage, previousPhase: string, actor: string, evidence?: Readonly<Record<string, unknown>>): void {
		const {audit, logger, directory} = this.context;
		audit.record({
			event: 'phase-changed', actor, endpoint, from: previousPhase, to: phase, epoch, reason,
		});
		logger.info({
			endpoint, availabilityZone: directory.endpoint(endpoint)?.availabilityZone, phase, limit, epoch, reason, actor, ...evidence,
		}, 'phase-changed');
	}
}
