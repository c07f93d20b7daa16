import {attemptOutcomes} from '../scheduling/endpoint-load.js';
import type {ServiceScheduler} from '../scheduling/service-scheduler.js';
import type {WaitingRequest} from '../scheduling/types.js';

export type StreamMoveOptions = {
	readonly scheduler: Pick<ServiceScheduler, 'submit' | 'withdraw' | 'recordOutcome'>;
	/** Continues the stream at an endpoint that has reserved a slot for it. Returns false if the stream stays where it is. */
	readonly continueAt: (endpointId: string, inFlight: number) => boolean;
};

/** Waits for a slot at another endpoint while a stalled stream goes on where it is, because its endpoint may be sound. */
export class StreamMove {
	static create(options: StreamMoveOptions): StreamMove {
		return new StreamMove(options);
	}

	#waiting: WaitingRequest | undefined;

	private constructor(private readonly options: StreamMoveOptions) {}

	get isWaiting(): boolean {
		return this.#waiting !== undefined;
	}

	/** Queues the stream for an endpoint that is suitable for `request`. */
	wait(request: Omit<WaitingRequest, 'dispatch' | 'refuse'>): void {
		const {scheduler, continueAt} = this.options;
		this.#waiting = {
			...request,
			dispatch: (endpointId, inFlight) => {
				this.#waiting = undefined;
				if (!continueAt(endpointId, inFlight)) {
					scheduler.recordOutcome(endpointId, attemptOutcomes.cancelled);
				}
			},
			refuse: () => {
				this.#waiting = undefined;
			},
		};
		scheduler.submit(this.#waiting);
	}

	withdraw(): void {
		if (this.#waiting !== undefined) {
			this.options.scheduler.withdraw(this.#waiting);
			this.#waiting = undefined;
		}
	}
}
