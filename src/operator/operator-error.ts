import {exitCodes, type ExitCode} from './exit-codes.js';

/** Exit codes of the errors that end a command. */
const errorExitCodes = {
	'document-unreadable': exitCodes.unreadable,
	'document-not-json': exitCodes.unreadable,
	'invalid-argument': exitCodes.usage,
	'no-entry-reachable': exitCodes.unreachable,
	'gateway-unreachable': exitCodes.unreachable,
	'internal-error': exitCodes.internal,
} as const satisfies Record<string, ExitCode>;

export type OperatorErrorType = keyof typeof errorExitCodes;

/** An error that ends a command with a message and an exit code. */
export class OperatorError extends Error {
	static create(type: OperatorErrorType, detail: string, cause?: unknown): OperatorError {
		return new OperatorError(type, detail, cause);
	}

	override readonly name = 'OperatorError';

	private constructor(readonly type: OperatorErrorType, readonly detail: string, cause: unknown) {
		super(`${type}: ${detail}`, {cause});
	}

	get exitCode(): ExitCode {
		return errorExitCodes[this.type];
	}
}
