/** Items in ascending order of a fixed key. */
export class SortedList<Item> {
	static create<Item>(compare: (a: Item, b: Item) => number): SortedList<Item> {
		return new SortedList(compare);
	}

	readonly #items: Item[] = [];

	private constructor(private readonly compare: (a: Item, b: Item) => number) {}

	get length(): number {
		return this.#items.length;
	}

	at(index: number): Item | undefined {
		return this.#items[index];
	}

	add(item: Item): void {
		this.#items.splice(this.position(item), 0, item);
	}

	remove(item: Item): void {
		const index = this.position(item);
		if (this.#items[index] === item) {
			this.#items.splice(index, 1);
		}
	}

	/** Number of items with a lower key. */
	position(item: Item): number {
		let low = 0;
		let high = this.#items.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (this.compare(this.#items[middle]!, item) < 0) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low;
	}
}
