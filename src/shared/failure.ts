/** What is known about the execution of a request that got no normal response. */
export const outcomes = {
	notRun: 'not-run',
	unknown: 'unknown',
	completed: 'completed',
} as const;

export type Outcome = (typeof outcomes)[keyof typeof outcomes];

type FailureDefinition = {
	readonly status: number;
	readonly title: string;
	/** The outcome when the failure does not carry its own. */
	readonly outcome: Outcome;
	readonly retryAfterSeconds?: number;
};

/** Every failure that a caller or operator can see, with its HTTP status and default outcome. */
export const failureDefinitions = {
	'malformed-request': {status: 400, title: 'The request is malformed', outcome: outcomes.notRun},
	'unsupported-media-type': {status: 415, title: 'The content type is not supported', outcome: outcomes.notRun},
	'body-too-large': {status: 413, title: 'The request body is too large', outcome: outcomes.notRun},
	'request-too-large': {status: 413, title: 'The request needs more tokens than any endpoint can bear', outcome: outcomes.notRun},
	'body-timeout': {status: 408, title: 'The request body did not arrive in time', outcome: outcomes.notRun},
	'unknown-path': {status: 404, title: 'There is nothing at this path', outcome: outcomes.notRun},
	'method-not-allowed': {status: 405, title: 'The method is not allowed at this path', outcome: outcomes.notRun},
	'missing-workspace': {status: 400, title: 'The x-workspace header is missing', outcome: outcomes.notRun},
	'unknown-workspace': {status: 403, title: 'The workspace is not configured', outcome: outcomes.notRun},
	'unknown-tier': {status: 400, title: 'The tier is not configured', outcome: outcomes.notRun},
	'tier-not-allowed': {status: 403, title: 'The workspace may not use this tier', outcome: outcomes.notRun},
	'unknown-service': {status: 404, title: 'The model or service is not configured', outcome: outcomes.notRun},
	'unknown-operation': {status: 404, title: 'The service has no such operation', outcome: outcomes.notRun},
	'idempotency-key-not-issued': {status: 400, title: 'The idempotency key was not issued by this system', outcome: outcomes.notRun},
	'idempotency-key-reused': {status: 422, title: 'The idempotency key was used with another request', outcome: outcomes.notRun},
	'unknown-request': {status: 404, title: 'The request id is not known', outcome: outcomes.unknown},
	'answer-no-longer-held': {status: 410, title: 'The request completed but its answer is no longer held', outcome: outcomes.completed},
	'outcome-unknown': {status: 502, title: 'It is not known whether the request ran', outcome: outcomes.unknown},
	overloaded: {
		status: 503, title: 'The request was shed because of overload', outcome: outcomes.notRun, retryAfterSeconds: 2,
	},
	'workspace-limit': {
		status: 429, title: 'The workspace has too many waiting requests', outcome: outcomes.notRun, retryAfterSeconds: 2,
	},
	'queue-timeout': {
		status: 503, title: 'The request waited for its whole queue timeout', outcome: outcomes.notRun, retryAfterSeconds: 2,
	},
	'no-endpoint': {
		status: 503, title: 'No endpoint of the service is in service', outcome: outcomes.notRun, retryAfterSeconds: 5,
	},
	'endpoint-unreachable': {
		status: 503, title: 'No endpoint could be reached', outcome: outcomes.notRun, retryAfterSeconds: 2,
	},
	'endpoint-failed': {status: 502, title: 'The endpoint failed while it ran the request', outcome: outcomes.unknown},
	'answer-interrupted': {status: 502, title: 'The answer was interrupted and could not be resumed', outcome: outcomes.unknown},
	'not-ready': {
		status: 503, title: 'This entry instance is not ready', outcome: outcomes.notRun, retryAfterSeconds: 1,
	},
	'shutting-down': {
		status: 503, title: 'This entry instance is shutting down', outcome: outcomes.notRun, retryAfterSeconds: 1,
	},
	cancelled: {status: 499, title: 'The caller cancelled the request', outcome: outcomes.notRun},
	'internal-error': {status: 500, title: 'An internal error occurred', outcome: outcomes.unknown},
} as const satisfies Record<string, FailureDefinition>;

export type FailureType = keyof typeof failureDefinitions;

/** A typed failure. The union is tagged by `type`. */
export type Failure = {
	readonly type: FailureType;
	readonly detail: string;
	readonly outcome: Outcome;
	readonly requestId?: string;
	readonly retryAfterSeconds?: number;
};

export type FailureOptions = {
	/** Default: the outcome that belongs to the type. */
	readonly outcome?: Outcome;
	readonly requestId?: string;
	/** Default: the value that belongs to the type, if any. */
	readonly retryAfterSeconds?: number;
	readonly cause?: unknown;
};

/** Creates a failure with the defaults of its type. */
export function createFailure(type: FailureType, detail: string, options: FailureOptions = {}): Failure {
	const definition: FailureDefinition = failureDefinitions[type];
	return {
		type,
		detail,
		outcome: options.outcome ?? definition.outcome,
		requestId: options.requestId,
		retryAfterSeconds: options.retryAfterSeconds ?? definition.retryAfterSeconds,
	};
}

/** An error that carries a {@link Failure}. */
export class FailureError extends Error {
	static create(type: FailureType, detail: string, options: FailureOptions = {}): FailureError {
		return new FailureError(createFailure(type, detail, options), options.cause);
	}

	static from(failure: Failure): FailureError {
		return new FailureError(failure, undefined);
	}

	override readonly name = 'FailureError';

	private constructor(readonly failure: Failure, cause: unknown) {
		super(`${failure.type}: ${failure.detail}`, {cause});
	}
}

/** A problem document (RFC 9457) with the additional members `outcome` and `requestId`. */
export type ProblemDocument = {
	readonly type: string;
	readonly title: string;
	readonly status: number;
	readonly detail: string;
	readonly outcome: Outcome;
	readonly requestId?: string;
};

export function toProblemDocument(failure: Failure): ProblemDocument {
	const {status, title} = failureDefinitions[failure.type];
	return {
		type: `urn:jackdawfork:${failure.type}`,
		title,
		status,
		detail: failure.detail,
		outcome: failure.outcome,
		requestId: failure.requestId,
	};
}

/** Thrown when the program detects a violation of one of its invariants, G1 to G10. */
export class InvariantError extends Error {
	static create(property: string, detail: string): InvariantError {
		return new InvariantError(property, detail);
	}

	override readonly name = 'InvariantError';

	private constructor(readonly property: string, detail: string) {
		super(`invariant ${property} broken: ${detail}`);
	}
}
