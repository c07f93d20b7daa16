import type {Clock, Milliseconds} from '../../shared/clock.js';
import {connectResults, probeConnection} from '../../shared/probe-connection.js';
import type {OutgoingDatagram} from '../membership/heartbeat-exchange.js';
import {greetedChanges, type PeerChange, type PeerGroup} from '../membership/peer-group.js';
import type {EventLog} from '../observability/event-log.js';
import type {EndpointRecord} from '../site/types.js';
import {CrashDetector} from './crash-detector.js';
import {CrashReportExchange} from './crash-report-exchange.js';
import {PromptQuarantine, type QuarantineChange} from './prompt-quarantine.js';
import {ShortResponses, type ShortResponse} from './short-responses.js';
import {SurvivorCount} from './survivor-count.js';
import type {DetectedCrash, Evidence} from './types.js';

/** Time limit for a connection that shows whether an endpoint has crashed. */
const probeTimeoutMs: Milliseconds = 300;

export type CrashContainmentOptions = {
	readonly ownHost: string;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly peers: PeerGroup;
	/** Whether the process of a record is still meant to serve. */
	readonly isServing: (endpoint: EndpointRecord) => boolean;
	readonly send: (outgoing: readonly OutgoingDatagram[]) => void;
	/** Called when requests that were admitted before may have to be withheld. */
	readonly onQuarantined: () => void;
	readonly onCrash: () => void;
	/** Returns a random number from 0 to below 1. */
	readonly random: () => number;
};

type EndpointResponse = ShortResponse & {readonly endpoint: EndpointRecord};

/** State of one quarantine entry, as operators read it. */
export type QuarantineStatus = {
	readonly parts: readonly string[];
	readonly quarantinedForMs: Milliseconds;
	readonly crashes: number;
	readonly firstCrashAgeMs: Milliseconds;
	readonly lastCrashAgeMs: Milliseconds;
	readonly endpoints: readonly string[];
	/** Requests that this instance has withheld. */
	readonly withheld: number;
};

/** Keeps requests that crash endpoints from spreading to further endpoints: detects crashes, exchanges the evidence, and withholds the requests. */
export class CrashContainment {
	static create(options: CrashContainmentOptions): CrashContainment {
		return new CrashContainment(options);
	}

	readonly exchange: CrashReportExchange;
	readonly #quarantine: PromptQuarantine;
	readonly #detector: CrashDetector;
	readonly #survivors = SurvivorCount.create();
	readonly #shortResponses = ShortResponses.create<EndpointResponse>();

	private constructor(private readonly options: CrashContainmentOptions) {
		const {ownHost, clock, peers, isServing, send, random} = options;
		this.#quarantine = PromptQuarantine.create({
			ownHost,
			members: () => peers.members(),
			knowsMembers: () => peers.knowsMembers(clock.now()),
			onChanges: changes => {
				this.#onChanges(changes);
			},
			onEvidence(evidence: Evidence) {
				send(exchange.publish(evidence, clock.now()));
			},
		});
		const exchange = CrashReportExchange.create({
			peers,
			ownHost,
			evidence: () => this.#quarantine.evidence(),
			receive: evidence => this.#quarantine.receive(evidence, clock.now()),
			random,
		});
		this.exchange = exchange;
		this.#detector = CrashDetector.create({
			clock,
			isServing,
			probe: async address => probeConnection(address, probeTimeoutMs),
			onCrash: crash => {
				this.#onCrash(crash);
			},
		});
	}

	/** Decides whether a request may be admitted. Returns the time after which the caller may retry, or undefined when it may. */
	withhold(parts: readonly string[]): Milliseconds | undefined {
		return this.#quarantine.withhold(parts, this.options.clock.now());
	}

	/** Decides whether a request that was admitted before has to be withheld now. */
	withholdAdmitted(parts: readonly string[]): Milliseconds | undefined {
		return this.#quarantine.withholdAdmitted(parts, this.options.clock.now());
	}

	/** Records that the connection of a request to an endpoint broke before the request had survived there. */
	recordBroken(endpoint: EndpointRecord, parts: readonly string[]): void {
		if (parts.length > 0) {
			this.#detector.recordBroken(endpoint, parts);
		}
	}

	/** Records that a request was cancelled at an endpoint before it had survived there. */
	recordAbandoned(endpoint: EndpointRecord, parts: readonly string[]): void {
		if (parts.length > 0) {
			this.#detector.recordAbandoned(endpoint, parts);
		}
	}

	/** Records that an endpoint has run a request long enough to show that its prompt does not crash it. */
	recordSurvival(parts: readonly string[]): void {
		if (parts.length > 0) {
			this.#recordSurvival(parts, this.options.clock.now());
		}
	}

	/**
	Records a complete response that took too little time to be a survival yet.

	@param crashesUntil until when the endpoint may crash under the request
	*/
	recordShortResponse(endpoint: EndpointRecord, parts: readonly string[], crashesUntil: Milliseconds): void {
		if (parts.length > 0) {
			this.#shortResponses.add({endpoint, parts, crashesUntil});
		}
	}

	/** Takes short responses for survivals whose endpoints have not crashed since, and their requests for suspects otherwise. Called periodically. */
	confirmSurvivals(): void {
		const now = this.options.clock.now();
		for (const response of this.#shortResponses.takeConfirmed(now)) {
			const {endpoint, parts, crashesUntil} = response;
			const crash = this.#quarantine.findCrash({endpointId: endpoint.id, startedAt: endpoint.startedAt});
			if (crash !== undefined && crash.at <= crashesUntil) {
				this.#quarantine.recordCrash({...crash, suspects: [parts], comparisons: {}});
			} else if (this.#quarantine.haveSurvived(parts)) {
				this.#recordSurvival(parts, crashesUntil);
			} else {
				void this.#confirmByProbe(response);
			}
		}

		this.#quarantine.reconsider(now);
	}

	handlePeerChanges(changes: readonly PeerChange[]): void {
		for (const {kind, host} of changes) {
			if (greetedChanges.has(kind)) {
				this.options.send(this.exchange.greet(host, this.options.clock.now()));
			}
		}
	}

	/** Forgets what is too old. Called periodically. */
	expire(): void {
		this.#quarantine.expire(this.options.clock.now());
	}

	status(): QuarantineStatus[] {
		const now = this.options.clock.now();
		return this.#quarantine.entries().map(({parts, convictedAt, firstCrashAt, lastCrashAt, crashCount, endpointIds, withheldCount}) => ({
			parts,
			quarantinedForMs: Math.round(now - convictedAt),
			crashes: crashCount,
			firstCrashAgeMs: Math.round(now - firstCrashAt),
			lastCrashAgeMs: Math.round(now - lastCrashAt),
			endpoints: endpointIds,
			withheld: withheldCount,
		}));
	}

	/** An endpoint that no other request was at crashes without a broken connection. */
	async #confirmByProbe({endpoint, parts, crashesUntil}: EndpointResponse): Promise<void> {
		const result = await probeConnection(endpoint.address, probeTimeoutMs);
		if (result === connectResults.opened) {
			this.#recordSurvival(parts, crashesUntil);
		} else if (result === connectResults.refused && this.options.isServing(endpoint)) {
			this.#onCrash({
				endpointId: endpoint.id, startedAt: endpoint.startedAt, at: crashesUntil, suspects: [parts],
			});
		}
	}

	#recordSurvival(parts: readonly string[], at: Milliseconds): void {
		if (this.#quarantine.haveSurvived(parts)) {
			this.#survivors.record(at);
		}

		this.#quarantine.recordSurvival(parts, at);
	}

	#onCrash(crash: DetectedCrash): void {
		const {ownHost, clock, log, onCrash} = this.options;
		const now = clock.now();
		const comparison = {survived: this.#survivors.take(now), crashed: crash.suspects.filter(parts => this.#quarantine.haveSurvived(parts)).length};
		log.event('endpoint-crashed', {
			endpoint: crash.endpointId, suspects: crash.suspects.length, comparableCrashed: comparison.crashed, comparableSurvived: comparison.survived, ageMs: Math.round(now - crash.at),
		});
		onCrash();
		this.#quarantine.recordCrash({...crash, comparisons: {[ownHost]: comparison}});
	}

	#onChanges(changes: readonly QuarantineChange[]): void {
		const now = this.options.clock.now();
		for (const change of changes) {
			const {parts, firstCrashAt, lastCrashAt, crashCount, endpointIds, withheldCount} = change.entry;
			this.options.log.event(change.kind, {
				parts: parts.join(','),
				crashes: crashCount,
				firstCrashAgeMs: Math.round(now - firstCrashAt),
				lastCrashAgeMs: Math.round(now - lastCrashAt),
				endpoints: endpointIds.join(','),
				withheld: withheldCount,
				reason: 'reason' in change ? change.reason : undefined,
			});
		}

		if (changes.some(({kind}) => kind === 'parts-quarantined')) {
			this.options.onQuarantined();
		}
	}
}
