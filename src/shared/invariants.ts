import {InvariantError} from './failure.js';

/** What happens when an invariant is violated. */
export const invariantMode = {
	throw: 'throw',
	count: 'count',
} as const;

export type InvariantMode = (typeof invariantMode)[keyof typeof invariantMode];

export type InvariantViolation = {
	readonly property: string;
	readonly detail: string;
};

/**
Checks at run time the invariants G1 to G10, which the design page defines.

Tests and the bench throw on a violation. In production it is counted and the process continues, because stopping an entry would harm more callers than the violation did.
*/
export class Invariants {
	static create(mode: InvariantMode, onViolation: (violation: InvariantViolation) => void = () => undefined): Invariants {
		return new Invariants(mode, onViolation);
	}

	private constructor(private readonly mode: InvariantMode, private readonly onViolation: (violation: InvariantViolation) => void) {}

	/**
	@param property identifier of the invariant, `G1` to `G10`
	@throws {InvariantError} in mode `throw`
	*/
	check(property: string, condition: boolean, detail: () => string): void {
		if (condition) {
			return;
		}

		const text = detail();
		this.onViolation({property, detail: text});
		if (this.mode === invariantMode.throw) {
			throw InvariantError.create(property, text);
		}
	}
}
