export type LabelLimiterOptions = {
	/** Number of distinct values with a label of their own; further ones share the label `other`. */
	readonly maximumLabels: number;
};

/** Label of all values beyond the limit. */
export const overflowLabel = 'other';

/** Limits the number of distinct label values of a metric: the first values are used as they are, later ones share one label. */
export class LabelLimiter {
	static create(options: LabelLimiterOptions): LabelLimiter {
		return new LabelLimiter(options.maximumLabels);
	}

	readonly #labels = new Set<string>();

	private constructor(private readonly maximumLabels: number) {}

	labelFor(value: string): string {
		if (this.#labels.has(value)) {
			return value;
		}

		if (this.#labels.size >= this.maximumLabels) {
			return overflowLabel;
		}

		this.#labels.add(value);
		return value;
	}
}
