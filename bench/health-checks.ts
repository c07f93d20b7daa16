/** The health checks of a load balancer: which entries get new requests. */
import {DisposableStore, type Disposable} from '../src/shared/disposable-store.js';
import type {EntryProcess} from '../standins/fleet/index.js';

/** How often each entry is asked, in milliseconds. */
const checkMilliseconds = 200;

export class HealthChecks implements Disposable {
	static start(entries: Iterable<EntryProcess>): HealthChecks {
		const checks = new HealthChecks([...entries]);
		for (const entry of checks.entries) {
			checks.#disposables.addInterval(() => {
				void checks.#check(entry);
			}, checkMilliseconds);
			void checks.#check(entry);
		}

		return checks;
	}

	readonly #disposables = DisposableStore.create();
	readonly #ready = new Set<EntryProcess>();

	private constructor(private readonly entries: readonly EntryProcess[]) {}

	/** Base URLs of the entries that answered as ready when last asked. */
	targets(): string[] {
		return this.entries.filter(entry => this.#ready.has(entry)).map(entry => entry.callersUrl);
	}

	async dispose(): Promise<void> {
		await this.#disposables.dispose();
	}

	async #check(entry: EntryProcess): Promise<void> {
		if (await entry.isReady()) {
			this.#ready.add(entry);
		} else {
			this.#ready.delete(entry);
		}
	}
}
