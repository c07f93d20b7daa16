export type LabelLimiterOptions = {
	/** Distinct labels before the rest is counted as `other`. */
	readonly maximumLabels: number;
};

/** The label of all values beyond the bound. */
export const overflowLabel = 'other';

/** Keeps the number of distinct label values of a metric bounded: the first values keep their name, later ones share a label. */
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
