import type {Milliseconds} from '../../shared/clock.js';

/** Number of instances that are assumed while their number is unknown: the largest fleet that is supported. */
const largestFleet = 400;

/** As above, for limits that may last: with a share of the largest fleet an instance that is alone for good could serve next to nothing. */
const assumedForLastingLimits = 6;

/** Time after the beginning of a search until all others may have been found, in a small or a large fleet, and time for which the members must then have been unchanged. */
const smallFleetKnownAfterMs: Milliseconds = 1500;
const largeFleetKnownAfterMs: Milliseconds = 6000;
const membersSettledAfterMs: Milliseconds = 1000;

/** The members as an instance knows them now. */
export type KnownMembers = {
	/** Including the instance itself. */
	readonly count: number;
	/** When one was last added. */
	readonly addedAt: Milliseconds;
	/** Whether a seed other than the instance itself is among them. */
	readonly includeSeed: boolean;
	/** Whether the fleet is so large that an instance hears only its zone directly. */
	readonly isZoned: boolean;
};

/** Whether all members that can be reached have been found in a search since a time. */
export function haveSettled({addedAt, isZoned}: Pick<KnownMembers, 'addedAt' | 'isZoned'>, since: Milliseconds, now: Milliseconds): boolean {
	return now - since > (isZoned ? largeFleetKnownAfterMs : smallFleetKnownAfterMs)
		&& (now - addedAt > membersSettledAfterMs || now - since > 2 * largeFleetKnownAfterMs);
}

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

	/** @param hasSeeds whether the settings name seeds other than this instance */
	setHasSeeds(hasSeeds: boolean): void {
		this.#hasSeeds = hasSeeds;
	}

	/** Called periodically with the members as they are then. */
	update(members: KnownMembers, now: Milliseconds): void {
		this.#connectedSince = members.includeSeed || !this.#hasSeeds ? this.#connectedSince ?? now : undefined;
		this.#isKnown = this.#connectedSince !== undefined && haveSettled(members, this.#connectedSince, now);
		if (this.#isKnown) {
			this.#lastKnown = members.count;
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

	/** Number of instances that a limit is divided among. */
	sharingCount(memberCount: number): number {
		return this.#isKnown ? memberCount : Math.max(memberCount, this.#lastKnown ?? (this.#hasSeeds ? largestFleet : 0));
	}

	/** As `sharingCount`, but while a seed is heard and the fleet is not known yet, the hosts that it has named are enough. */
	estimatedCount(memberCount: number, namedCount: number): number {
		const isConnected = !this.#isKnown && this.#connectedSince !== undefined;
		return isConnected ? Math.max(memberCount + namedCount, this.#lastKnown ?? 0) : this.sharingCount(memberCount);
	}

	/** As `sharingCount`, for limits that may last, such as those that endpoints name. */
	lastingCount(memberCount: number): number {
		const hasBeenKnown = this.#lastKnown !== undefined || !this.#hasSeeds;
		return hasBeenKnown ? this.sharingCount(memberCount) : assumedForLastingLimits;
	}
}
