import type {Milliseconds} from '../../shared/clock.js';

/** Number of instances that are assumed while their number is unknown: the largest fleet that is supported. */
const largestFleet = 400;

/**
How many instances share the limits of all.

Every instance sends heartbeats to the seeds, so an instance that hears one of them learns of all others. One that hears no seed may be one of many that don't hear each other, however few it hears itself: the limits are then divided by the last size that was known, its own or that of a peer, and without one by the size of the largest fleet. Time alone never makes the share larger.
*/
export class FleetSize {
	static create(): FleetSize {
		return new FleetSize();
	}

	#isKnown = false;
	#lastKnown: number | undefined;
	/** Since when another seed has been among the members, or the settings have named none; undefined while none is heard. */
	#connectedSince: Milliseconds | undefined;
	#hasSeeds = false;

	private constructor() {}

	/** Whether the members are all instances that run. */
	get isKnown(): boolean {
		return this.#isKnown;
	}

	/** Whether the number that limits are divided among is or was that of the fleet, and not the largest one. */
	get hasBeenKnown(): boolean {
		return this.#lastKnown !== undefined || !this.#hasSeeds;
	}

	/** @param hasSeeds whether the settings name seeds other than this instance */
	setHasSeeds(hasSeeds: boolean): void {
		this.#hasSeeds = hasSeeds;
	}

	/**
	Applies the members as they are now.

	@param hearsSeed whether another seed is among the members
	@param hasSettled returns whether the members that were found since a time are complete
	*/
	update(memberCount: number, hearsSeed: boolean, hasSettled: (since: Milliseconds) => boolean, now: Milliseconds): void {
		this.#connectedSince = hearsSeed || !this.#hasSeeds ? this.#connectedSince ?? now : undefined;
		this.#isKnown = this.#connectedSince !== undefined && hasSettled(this.#connectedSince);
		if (this.#isKnown) {
			this.#lastKnown = memberCount;
		}
	}

	/**
	Takes over a size that a peer tells.

	@param isPartial whether the peer may know only a part of the fleet
	*/
	learn(size: number, isPartial: boolean): void {
		if (!this.#isKnown) {
			this.#lastKnown = Math.max(this.#lastKnown ?? (isPartial ? largestFleet : 0), size);
		}
	}

	/** As `sharingCount`, but while a seed is heard and the fleet is not known yet, the hosts that it has named are enough. */
	estimatedCount(memberCount: number, namedCount: number): number {
		const isConnected = !this.#isKnown && this.#connectedSince !== undefined;
		return isConnected ? Math.max(memberCount + namedCount, this.#lastKnown ?? 0) : this.sharingCount(memberCount);
	}

	/** Number of instances that a limit is divided among. */
	sharingCount(memberCount: number): number {
		return this.#isKnown ? memberCount : Math.max(memberCount, this.#lastKnown ?? (this.#hasSeeds ? largestFleet : 0));
	}
}
