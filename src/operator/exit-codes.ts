/** Exit codes of `jackdawfork-config` and `jackdawfork-fleet`. They are documented in docs/operators.md; their meaning must not change, because scripts depend on it. */
export const exitCodes = {
	/** The command succeeded and found no problem. */
	ok: 0,
	/** A document is invalid, the fleet has problems, or the awaited version was not reached. */
	checkFailed: 1,
	/** The command line is invalid. */
	usage: 2,
	/** No entry instance, or not the gateway that was asked, responded. */
	unreachable: 3,
	/** A file can't be read or is not JSON. */
	unreadable: 4,
	/** An unexpected error in the program. */
	internal: 5,
} as const;

export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
