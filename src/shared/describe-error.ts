/** Message of a thrown value, which need not be an `Error`. */
export function describeError(error: unknown): string {
	return error instanceof Error ? error.message : String(error);
}

/** A thrown value as an `Error`. */
export function toError(error: unknown): Error {
	return error instanceof Error ? error : new Error(String(error));
}
