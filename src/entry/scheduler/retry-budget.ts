/** Upper bound of the budget; with more, a burst of failures would double the load on failing endpoints. */
const maximumAvailableRetries = 10;

/**
Limits retries to a ratio of the requests.

Each request adds the ratio to the budget and each retry takes one from it, so that retries can't multiply the load when an endpoint fails every request.
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

	/** Takes one retry from the budget. Returns false when it is used up. */
	tryTake(): boolean {
		// Rounding errors may keep a sum of decimal ratios just below a whole number.
		if (this.#availableRetries < 1 - 1e-9) {
			return false;
		}

		this.#availableRetries--;
		return true;
	}
}
