/** Seeds of runs that once violated a check, with the length of the run and the cause. `--regressions` runs them again. */
export const failedSeeds = [
	{seed: 102, minutes: 0.6, cause: 'one broken request was not recognised as a restart; the engine stand-in responded like a plain service'},
	{seed: 104, minutes: 0.6, cause: 'the engine stand-in responded like a plain service'},
	{seed: 200, minutes: 0.3, cause: 'SIGHUP ended a process that was still loading'},
	{seed: 202, minutes: 0.6, cause: 'one broken request was not recognised as a restart'},
	{seed: 203, minutes: 0.6, cause: 'one broken request was not recognised as a restart'},
	{seed: 2202, minutes: 0.4, cause: 'a busy process closed connections whose requests it had not read; beside load'},
	{seed: 2312, minutes: 0.35, cause: 'a busy process ended while requests on open connections were unread'},
	{seed: 9103, minutes: 0.45, cause: 'a sound first part was convicted while all engines were down'},
	{seed: 9135, minutes: 0.45, cause: 'a sound first part was convicted while all engines were down, in place of the part at fault, whose requests had been cancelled'},
	{seed: 9306, minutes: 0.45, cause: 'an instance that had just started was told of crashes before the survivals that exonerate a sound first part'},
	{seed: 9336, minutes: 0.45, cause: 'as 9306'},
	{seed: 9311, minutes: 0.45, cause: 'a sound first part was convicted after a start of all instances, when nothing had survived yet'},
	{seed: 9342, minutes: 0.45, cause: 'as 9306'},
	{seed: 9418, minutes: 0.45, cause: 'a fault of the responses of an endpoint lasted longer than its recorded period, so the check did not know why a stream was cut'},
] as const;
