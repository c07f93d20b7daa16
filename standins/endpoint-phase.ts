/** Phase of a stand-in endpoint: cold for a time after its start or on command, then warm. */
import {randomUUID} from 'node:crypto';
import {performance} from 'node:perf_hooks';

export type Phase = 'cold' | 'warm';

export class EndpointPhase {
	/** @param coldMs how long the endpoint stays cold after its start; 0: warm at once */
	static create(coldMs: number): EndpointPhase {
		return new EndpointPhase(coldMs);
	}

	#warmAt: number;
	#startId = randomUUID();

	private constructor(coldMilliseconds: number) {
		this.#warmAt = performance.now() + coldMilliseconds;
	}

	get current(): Phase {
		return performance.now() < this.#warmAt ? 'cold' : 'warm';
	}

	/** Changes whenever the endpoint starts again. */
	get startId(): string {
		return this.#startId;
	}

	turnCold(coldMs: number): void {
		this.#warmAt = performance.now() + coldMs;
		this.#startId = randomUUID();
	}

	turnWarm(): void {
		this.#warmAt = 0;
	}
}
