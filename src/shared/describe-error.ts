/** Text of whatever was thrown, for log lines and messages. */
export function describeError(error: unknown): string {
	return error instanceof Error ? error.message : String(error);
}
