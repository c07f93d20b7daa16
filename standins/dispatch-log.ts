/** The log of everything that a stand-in endpoint was sent, for the proof that nothing ran twice. */

/** What became of a request at the endpoint. Only `admitted` ran. */
export type DispatchOutcome = 'admitted' | 'overload' | 'reset';

export type LoggedDispatch = {
	readonly requestId: string;
	/** Wall-clock milliseconds since the Unix epoch. */
	readonly time: number;
	/** Requests running at that time, with this one. */
	readonly concurrency: number;
	readonly phase: 'cold' | 'warm';
	readonly outcome: DispatchOutcome;
};

export class DispatchLog {
	static create(): DispatchLog {
		return new DispatchLog();
	}

	readonly #entries: LoggedDispatch[] = [];

	private constructor() {}

	add(entry: Omit<LoggedDispatch, 'time'>): void {
		this.#entries.push({time: Date.now(), ...entry});
	}

	/** Entries from an index on. */
	entriesFrom(index: number): readonly LoggedDispatch[] {
		return this.#entries.slice(index);
	}
}
