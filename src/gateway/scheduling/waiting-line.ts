import type {Milliseconds} from '../../shared/clock.js';
import type {WaitingRequest} from './types.js';

/** Requests in the order in which they get places: those that can still be in time by tier, then the late ones by tier. */
export class WaitingLine {
	static create(): WaitingLine {
		return new WaitingLine();
	}

	/** By tier, in order of arrival. */
	readonly #timely = new Map<number, Set<WaitingRequest>>();
	readonly #late = new Map<number, Set<WaitingRequest>>();
	#size = 0;

	private constructor() {}

	get size(): number {
		return this.#size;
	}

	add(request: WaitingRequest): void {
		this.#line(this.#timely, request.tier).add(request);
		this.#size++;
	}

	remove(request: WaitingRequest): boolean {
		const isRemoved = this.#timely.get(request.tier)?.delete(request) === true || this.#late.get(request.tier)?.delete(request) === true;
		if (isRemoved) {
			this.#size--;
		}

		return isRemoved;
	}

	has(request: WaitingRequest): boolean {
		return this.#timely.get(request.tier)?.has(request) === true || this.isLate(request);
	}

	isLate(request: WaitingRequest): boolean {
		return this.#late.get(request.tier)?.has(request) === true;
	}

	/** Requests that can be in time and come before a new one of this tier. */
	timelyAhead(tier: number): number {
		let ahead = 0;
		for (const [other, line] of this.#timely) {
			ahead += other <= tier ? line.size : 0;
		}

		return ahead;
	}

	/** Late requests that come before a late one of this tier, itself among them. */
	lateAhead(tier: number): number {
		let ahead = 0;
		for (const [other, line] of this.#late) {
			ahead += other <= tier ? line.size : 0;
		}

		return ahead;
	}

	/**
	Moves requests that can no longer be in time behind those that can.

	@param startMs time from a start to the first event; a request whose target comes sooner is late
	@returns the requests that have become late
	*/
	moveLate(now: Milliseconds, startMs: Milliseconds): WaitingRequest[] {
		const moved: WaitingRequest[] = [];
		for (const [tier, line] of this.#timely) {
			for (const request of line) {
				// A request that returns after a failure may stand behind younger ones, so all are looked at.
				if (now + startMs > request.targetAt) {
					line.delete(request);
					this.#line(this.#late, tier).add(request);
					moved.push(request);
				}
			}
		}

		return moved;
	}

	/** Requests by rank, without removing them. */
	* inOrder(): Generator<WaitingRequest> {
		yield * this.#byTier(this.#timely);
		yield * this.#byTier(this.#late);
	}

	* #byTier(lines: ReadonlyMap<number, Set<WaitingRequest>>): Generator<WaitingRequest> {
		for (const tier of [...lines.keys()].toSorted((a, b) => a - b)) {
			yield * lines.get(tier)!;
		}
	}

	#line(lines: Map<number, Set<WaitingRequest>>, tier: number): Set<WaitingRequest> {
		let line = lines.get(tier);
		if (line === undefined) {
			line = new Set();
			lines.set(tier, line);
		}

		return line;
	}
}
