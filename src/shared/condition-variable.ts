/** Lets several callers wait for the next change of a shared state. */
export class ConditionVariable {
	static create(): ConditionVariable {
		return new ConditionVariable();
	}

	#waiters: Array<() => void> = [];

	private constructor() {}

	/** Resolves at the next call of `notifyAll`. */
	async wait(): Promise<void> {
		return new Promise(resolve => {
			this.#waiters.push(resolve);
		});
	}

	notifyAll(): void {
		const waiters = this.#waiters;
		this.#waiters = [];
		for (const resolve of waiters) {
			resolve();
		}
	}
}
