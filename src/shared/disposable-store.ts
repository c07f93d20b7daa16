/** Something that holds a resource until it is disposed of. */
export type Disposable = {
	dispose(): void | Promise<void>;
};

/** Collects disposables and releases them in reverse order of registration. */
export class DisposableStore implements Disposable {
	static create(): DisposableStore {
		return new DisposableStore();
	}

	readonly #disposables: Disposable[] = [];
	#isDisposed = false;

	private constructor() {}

	/** Registers a disposable. If the store is already disposed of, the disposable is released immediately. */
	add<Item extends Disposable>(disposable: Item): Item {
		if (this.#isDisposed) {
			void disposable.dispose();
		} else {
			this.#disposables.push(disposable);
		}

		return disposable;
	}

	/** Registers a clean-up function. */
	defer(cleanUp: () => void | Promise<void>): void {
		this.add({dispose: cleanUp});
	}

	/** Registers a repeating timer that does not keep the process alive. */
	addInterval(callback: () => void, intervalMs: number): void {
		const timer = setInterval(callback, intervalMs);
		timer.unref();
		this.defer(() => {
			clearInterval(timer);
		});
	}

	/**
	Releases everything, last registered first. A clean-up that fails does not prevent the others from running.

	@throws {AggregateError} when at least one clean-up failed.
	*/
	async dispose(): Promise<void> {
		if (this.#isDisposed) {
			return;
		}

		this.#isDisposed = true;
		const errors: unknown[] = [];
		for (const disposable of this.#disposables.toReversed()) {
			try {
				// Later registrations may depend on earlier ones, so they are released one after another.
				// eslint-disable-next-line no-await-in-loop
				await disposable.dispose();
			} catch (error) {
				errors.push(error);
			}
		}

		this.#disposables.length = 0;
		if (errors.length > 0) {
			throw new AggregateError(errors, 'clean-up failed');
		}
	}
}
