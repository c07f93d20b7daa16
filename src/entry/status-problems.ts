import type {InvariantViolation} from '../shared/invariants.js';
import {problemTypes, type StatusProblem} from '../shared/status.js';

/** Returns one problem for each broken invariant, with its latest detail. */
export function violationProblems(violations: readonly InvariantViolation[]): StatusProblem[] {
	const latest = new Map(violations.map(({property, detail}) => [property, detail]));
	return [...latest].map(([property, detail]) => {
		const count = violations.filter(violation => violation.property === property).length;
		return {type: problemTypes.invariantBroken, subject: property, detail: `${count} of the latest checks failed, last: ${detail}`};
	});
}
