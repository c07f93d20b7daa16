import type {Milliseconds} from '../../shared/clock.js';

/** Why this entry aborted a dispatch; `none` while it has not. */
export type AbortCause = 'none' | 'aborted' | 'timeout';

/** Aborts a dispatch when its request timeout expires or the signal of its order is aborted. */
export class DispatchAbortController {
	static create(requestTimeoutMilliseconds: Milliseconds, signal: AbortSignal): DispatchAbortController {
		return new DispatchAbortController(requestTimeoutMilliseconds, signal);
	}

	#cause: AbortCause = 'none';
	readonly #controller = new AbortController();
	readonly #timer: NodeJS.Timeout;
	readonly #onAbort: () => void;

	private constructor(readonly requestTimeoutMilliseconds: Milliseconds, private readonly parentSignal: AbortSignal) {
		this.#timer = setTimeout(() => {
			this.#abort('timeout', new Error(`no complete response within ${requestTimeoutMilliseconds} ms`));
		}, requestTimeoutMilliseconds);
		this.#onAbort = () => {
			this.#abort('aborted', new Error('the dispatch was aborted'));
		};

		parentSignal.addEventListener('abort', this.#onAbort);
		if (parentSignal.aborted) {
			this.#onAbort();
		}
	}

	get cause(): AbortCause {
		return this.#cause;
	}

	get signal(): AbortSignal {
		return this.#controller.signal;
	}

	dispose(): void {
		clearTimeout(this.#timer);
		this.parentSignal.removeEventListener('abort', this.#onAbort);
	}

	#abort(cause: AbortCause, reason: Error): void {
		if (this.#cause === 'none') {
			this.#cause = cause;
			this.#controller.abort(reason);
		}
	}
}
