/** Retries that may be saved up; more would let a burst of failures double the load on endpoints that fail. */
const maximumAvailableRetries = 10;

/**
Limits retries to a share of the requests.

Each request adds the share to the budget and each retry takes one from it, so that retries can't multiply the load when an endpoint fails everything.
*/
export class RetryBudget {
	static create(): RetryBudget {
		return new RetryBudget();
	}

	#availableRetries = 0;

	private constructor() {}

	/** @param ratio retries for each request, 0 to 1 */
	recordRequest(ratio: number): void {
		this.#availableRetries = Math.min(this.#availableRetries + ratio, maximumAvailableRetries);
	}

	/** Takes one retry; false when the budget is used up. */
	tryTake(): boolean {
		// Sums of decimal shares may miss a whole number by a rounding error.
		if (this.#availableRetries < 1 - 1e-9) {
			return false;
		}

		this.#availableRetries--;
		return true;
	}
}
