/** Lets several waiters wait for the next time that something changes. */
export class ConditionVariable {
	static create(): ConditionVariable {
		return new ConditionVariable();
	}

	#waiters: Array<() => void> = [];

	private constructor() {}

	/** Resolves at the next call of `notify`. */
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
