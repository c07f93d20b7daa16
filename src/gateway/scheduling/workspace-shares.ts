/** Workspaces without waiting requests whose last use is remembered, so that the state stays bounded. */
const maximumIdleFlows = 256;

/** Weight where no workspace has one. */
const defaultWeight = 1;

/** The requests of one workspace. */
type Flow = {
	/** Virtual time at which its next request is due. */
	start: number;
	weight: number | undefined;
	waiting: number;
};

/**
Start-time fair queueing: each workspace gets slot time in proportion to its weight while it has waiting requests.

The virtual time is that at which the last dispatched request was due. A workspace that begins to wait starts there, so that it has earned nothing while it was idle. When nothing waits any more, all start anew.
*/
export class WorkspaceShares {
	static create(): WorkspaceShares {
		return new WorkspaceShares();
	}

	readonly #flows = new Map<string, Flow>();
	#virtualTime = 0;
	#waiting = 0;

	private constructor() {}

	/** Workspaces that are kept. */
	get size(): number {
		return this.#flows.size;
	}

	/** Records that a request begins to wait. */
	enter(workspace: string, weight: number | undefined): void {
		let flow = this.#flows.get(workspace);
		if (flow === undefined) {
			this.#removeIdle();
			flow = {start: this.#virtualTime, weight, waiting: 0};
			this.#flows.set(workspace, flow);
		}

		if (flow.waiting === 0) {
			flow.start = Math.max(flow.start, this.#virtualTime);
		}

		flow.weight = weight ?? flow.weight;
		flow.waiting++;
		this.#waiting++;
	}

	/** Records that a waiting request was withdrawn, refused or moved. */
	leave(workspace: string): void {
		const flow = this.#flows.get(workspace)!;
		flow.waiting--;
		this.#waiting--;
		if (this.#waiting === 0) {
			this.#flows.clear();
			this.#virtualTime = 0;
		}
	}

	/** Records that a waiting request was dispatched. */
	recordDispatch(workspace: string, cost: number): void {
		const flow = this.#flows.get(workspace)!;
		this.#virtualTime = Math.max(this.#virtualTime, flow.start);
		flow.start += cost / this.weight(workspace);
		this.leave(workspace);
	}

	/** Virtual time at which the next request of a workspace is due; the lowest is served first. */
	start(workspace: string): number {
		return Math.max(this.#flows.get(workspace)?.start ?? 0, this.#flows.get(workspace)?.waiting ? 0 : this.#virtualTime);
	}

	/** Weight of a workspace; the mean of the others if it has none of its own. */
	weight(workspace: string): number {
		const own = this.#flows.get(workspace)?.weight;
		if (own !== undefined) {
			return own;
		}

		let sum = 0;
		let count = 0;
		for (const {weight} of this.#flows.values()) {
			if (weight !== undefined) {
				sum += weight;
				count++;
			}
		}

		return count === 0 ? defaultWeight : sum / count;
	}

	#removeIdle(): void {
		if (this.#flows.size < maximumIdleFlows) {
			return;
		}

		for (const [workspace, {waiting, start}] of this.#flows) {
			if (waiting === 0 && (start <= this.#virtualTime || this.#flows.size >= maximumIdleFlows)) {
				this.#flows.delete(workspace);
			}
		}
	}
}
