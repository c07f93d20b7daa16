import type {Milliseconds} from '../../shared/clock.js';
import type {CrashContainment} from '../quarantine/crash-containment.js';
import type {AttemptOutcome} from '../scheduling/endpoint-load.js';
import type {EndpointRecord} from '../site/types.js';
import type {Attempt} from './attempt.js';

export type CrashObservationsOptions = {
	readonly promptParts: readonly string[];
	readonly containment: Pick<CrashContainment, 'recordBroken' | 'recordAbandoned' | 'recordShortResponse' | 'recordSurvival'>;
	readonly findEndpoint: (id: string) => EndpointRecord | undefined;
};

/** Tells what the attempts of one request show about prompts that crash endpoints. */
export class CrashObservations {
	static create(options: CrashObservationsOptions): CrashObservations {
		return new CrashObservations(options);
	}

	/** Attempts that the endpoint survived. */
	readonly #survived = new WeakSet<Attempt>();

	private constructor(private readonly options: CrashObservationsOptions) {}

	recordSurvival(attempt: Attempt, now: Milliseconds): void {
		if (!this.#survived.has(attempt) && attempt.hasSurvived(now)) {
			this.#survived.add(attempt);
			this.options.containment.recordSurvival(this.options.promptParts);
		}
	}

	/** Records that a request was cancelled that its endpoint may have begun to run. */
	recordAbandoned(attempt: Attempt): void {
		const endpoint = this.#findUnprovenEndpoint(attempt);
		if (endpoint !== undefined) {
			this.options.containment.recordAbandoned(endpoint, this.options.promptParts);
		}
	}

	recordBroken(attempt: Attempt): void {
		const endpoint = this.#findUnprovenEndpoint(attempt);
		if (endpoint !== undefined) {
			this.options.containment.recordBroken(endpoint, this.options.promptParts);
		}
	}

	/** Records a whole response that ended too early to be a survival: its endpoint may still crash. */
	recordShortResponse(attempt: Attempt, now: Milliseconds, outcome: AttemptOutcome): void {
		const endpoint = this.#findUnprovenEndpoint(attempt);
		if (endpoint !== undefined && attempt.isAnswered(outcome)) {
			this.options.containment.recordShortResponse(endpoint, this.options.promptParts, attempt.crashesUntil(now));
		}
	}

	/** Returns the endpoint of an attempt that it is not known to have survived. */
	#findUnprovenEndpoint(attempt: Attempt): EndpointRecord | undefined {
		return this.#survived.has(attempt) ? undefined : this.options.findEndpoint(attempt.endpointId);
	}
}
