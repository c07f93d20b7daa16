/** Log of every dispatch that a stand-in endpoint received, to verify that no request was executed twice. */

/** What the endpoint did with a request. Only `admitted` requests were executed. */
export type DispatchOutcome = 'admitted' | 'overload' | 'reset';

export type LoggedDispatch = {
	readonly requestId: string;
	/** Wall-clock milliseconds since the Unix epoch. */
	readonly time: number;
	/** Requests running at that time, including this one. */
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

	/** Entries starting at an index. */
	entriesFrom(index: number): readonly LoggedDispatch[] {
		return this.#entries.slice(index);
	}
}
