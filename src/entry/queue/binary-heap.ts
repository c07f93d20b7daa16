/** A binary min-heap. */
export class BinaryHeap<Item> {
	static create<Item>(compare: (left: Item, right: Item) => number, items: Iterable<Item> = []): BinaryHeap<Item> {
		const heap = new BinaryHeap(compare);
		for (const item of items) {
			heap.push(item);
		}

		return heap;
	}

	readonly #items: Item[] = [];

	private constructor(private readonly compare: (left: Item, right: Item) => number) {}

	get size(): number {
		return this.#items.length;
	}

	peek(): Item | undefined {
		return this.#items[0];
	}

	push(item: Item): void {
		const items = this.#items;
		let index = items.push(item) - 1;
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (this.compare(items[parent]!, item) <= 0) {
				break;
			}

			items[index] = items[parent]!;
			index = parent;
		}

		items[index] = item;
	}

	pop(): Item | undefined {
		const first = this.#items[0];
		const last = this.#items.pop();
		if (this.#items.length > 0) {
			this.#siftDown(last!);
		}

		return first;
	}

	#siftDown(item: Item): void {
		const items = this.#items;
		let index = 0;
		for (;;) {
			const child = this.#lowerChild(index);
			if (child === undefined || this.compare(item, items[child]!) <= 0) {
				break;
			}

			items[index] = items[child]!;
			index = child;
		}

		items[index] = item;
	}

	#lowerChild(index: number): number | undefined {
		const left = (2 * index) + 1;
		const right = left + 1;
		if (left >= this.#items.length) {
			return undefined;
		}

		return right < this.#items.length && this.compare(this.#items[right]!, this.#items[left]!) < 0 ? right : left;
	}
}
