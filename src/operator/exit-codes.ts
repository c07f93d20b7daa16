/** Exit codes of `jackdawfork-config` and `jackdawfork-fleet`. They are documented in docs/operators.md; their meaning does not change. */
export const exitCodes = {
	/** The command did what it was asked to, and nothing is wrong. */
	ok: 0,
	/** A document is invalid, something is wrong with the fleet, or the awaited version was not reached. */
	checkFailed: 1,
	/** The command line is wrong. */
	usage: 2,
	/** No entry instance answered. */
	unreachable: 3,
	/** A file can't be read or is not JSON. */
	unreadable: 4,
	/** An error in the program itself. */
	internal: 5,
} as const;

export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
