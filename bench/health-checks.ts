/** The health checks of a load balancer, which decide which entries get new requests. */
import {DisposableStore, type Disposable} from '../src/shared/disposable-store.js';
import type {EntryProcess} from '../standins/fleet/index.js';

/** Interval of the checks of each entry. */
const checkIntervalMs = 200;

export class HealthChecks implements Disposable {
	static start(entries: Iterable<EntryProcess>): HealthChecks {
		const checks = new HealthChecks([...entries]);
		for (const entry of checks.entries) {
			checks.#disposables.addInterval(() => {
				void checks.#checkEntry(entry);
			}, checkIntervalMs);
			void checks.#checkEntry(entry);
		}

		return checks;
	}

	readonly #disposables = DisposableStore.create();
	readonly #readyEntries = new Set<EntryProcess>();

	private constructor(private readonly entries: readonly EntryProcess[]) {}

	/** Base URLs of the entries that were ready at their last check. */
	targets(): string[] {
		return this.entries.filter(entry => this.#readyEntries.has(entry)).map(entry => entry.callersUrl);
	}

	async dispose(): Promise<void> {
		await this.#disposables.dispose();
	}

	async #checkEntry(entry: EntryProcess): Promise<void> {
		if (await entry.isReady()) {
			this.#readyEntries.add(entry);
		} else {
			this.#readyEntries.delete(entry);
		}
	}
}
