import type {Milliseconds} from '../../shared/clock.js';

type Adoption = {
	readonly version: number;
	readonly adoptedAt: Milliseconds;
};

/** Configuration versions that this process has adopted and that no majority of the lease group has reported yet. */
export class UnconfirmedVersions {
	static create(): UnconfirmedVersions {
		return new UnconfirmedVersions();
	}

	/** Oldest first. */
	#adoptions: Adoption[] = [];

	private constructor() {}

	/** When the oldest of the versions was adopted, or `undefined` when all are confirmed. */
	get oldestAdoptedAt(): Milliseconds | undefined {
		return this.#adoptions[0]?.adoptedAt;
	}

	adopt(version: number, adoptedAt: Milliseconds): void {
		this.#adoptions.push({version, adoptedAt});
	}

	/** Removes the versions that a majority has adopted or has already replaced. */
	confirm(majorityVersion: number): void {
		this.#adoptions = this.#adoptions.filter(({version}) => version > majorityVersion);
	}
}
