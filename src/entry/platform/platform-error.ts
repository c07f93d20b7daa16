/** Types of failures of the platform's services. */
export const platformErrorTypes = {
	/** No connection, or it was closed before the response was complete. */
	unreachable: 'unreachable',
	timeout: 'timeout',
	/** An HTTP status other than success. */
	status: 'status',
	/** The body is not JSON, fails validation or is too large. */
	malformed: 'malformed',
	/** This process aborted the request. */
	aborted: 'aborted',
} as const;

export type PlatformErrorType = (typeof platformErrorTypes)[keyof typeof platformErrorTypes];

export class PlatformError extends Error {
	static create(type: PlatformErrorType, detail: string, cause?: unknown): PlatformError {
		return new PlatformError(type, detail, cause);
	}

	override readonly name = 'PlatformError';

	private constructor(readonly type: PlatformErrorType, detail: string, cause: unknown) {
		super(`${type}: ${detail}`, {cause});
	}
}
